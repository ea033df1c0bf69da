package controller

import (
	"slices"
	"sync"

	"baobabpaddle/fleet/resource"
	"baobabpaddle/fleet/share"
)

// Team is a team with its specification.
type Team struct {
	ID      share.TeamID
	Name    string
	Version uint64
	resource.Team
}

// ShareWeight returns the team's weight, which is never zero.
func (t *Team) ShareWeight() float64 {
	if t.Weight > 0 {
		return t.Weight
	}
	return 1
}

// MayCall reports whether the team may call the service.
func (t *Team) MayCall(service string) bool {
	return len(t.Services) == 0 || slices.Contains(t.Services, service)
}

// TeamCache caches the teams that were looked up, each by its version. It may be
// used by several goroutines.
type TeamCache struct {
	mu    sync.RWMutex
	names map[string]*Team
	ids   map[share.TeamID]*Team
	keys  map[string]*Team
	stale map[string]bool
}

// NewTeamCache returns an empty cache.
func NewTeamCache() *TeamCache {
	return &TeamCache{
		names: make(map[string]*Team),
		ids:   make(map[share.TeamID]*Team),
		keys:  make(map[string]*Team),
		stale: make(map[string]bool),
	}
}

// ByKey returns the team with the hash of a key, or nil, and whether it is
// current. One that is not has to be looked up again.
func (t *TeamCache) ByKey(hash string) (team *Team, current bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	team = t.keys[hash]
	return team, team != nil && !t.stale[team.Name]
}

// ByID returns a cached team, or nil.
func (t *TeamCache) ByID(id share.TeamID) *Team {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.ids[id]
}

// Len returns how many teams are cached.
func (t *TeamCache) Len() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.names)
}

// SetAllStale marks every team as one that may have changed unseen.
func (t *TeamCache) SetAllStale() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name := range t.names {
		t.stale[name] = true
	}
}

// SetStale marks one team as one that may have changed unseen.
func (t *TeamCache) SetStale(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stale[name] = true
}

// Set takes a looked-up team. A version older than the cached one is ignored.
func (t *TeamCache) Set(r resource.Resource) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.set(r)
}

// Update takes a change of a team; teams that are not cached are passed over.
func (t *TeamCache) Update(r resource.Resource) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.names[r.Name] != nil {
		t.set(r)
	}
}

func (t *TeamCache) set(r resource.Resource) {
	if old := t.names[r.Name]; old != nil {
		if old.Version > r.Version {
			return
		}
		t.drop(old)
	}
	delete(t.stale, r.Name)
	if r.Deleted {
		return
	}
	spec, err := r.Decode()
	if err != nil {
		return // a newer controller's team that this version can't read
	}
	team := &Team{
		ID:      share.TeamID(r.Number),
		Name:    r.Name,
		Version: r.Version,
		Team:    *spec.(*resource.Team),
	}
	t.names[r.Name] = team
	t.ids[team.ID] = team
	for _, h := range team.KeyHashes {
		t.keys[h] = team
	}
}

// drop forgets a team and those of its keys that no other team has taken over.
func (t *TeamCache) drop(team *Team) {
	for _, h := range team.KeyHashes {
		if t.keys[h] == team {
			delete(t.keys, h)
		}
	}
	delete(t.names, team.Name)
	delete(t.ids, team.ID)
}

// Remove forgets a team that is gone.
func (t *TeamCache) Remove(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if team := t.names[name]; team != nil {
		t.drop(team)
	}
	delete(t.stale, name)
}
