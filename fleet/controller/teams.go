package controller

import (
	"slices"
	"sync"

	"baobabpaddle/fleet/resource"
	"baobabpaddle/fleet/share"
)

// Team is a team resource with its decoded specification.
type Team struct {
	ID      share.TeamID
	Name    string
	Version uint64
	resource.Team
}

// ShareWeight returns the team's weight in the division of capacity. Without a
// weight of its own it is 1.
func (t *Team) ShareWeight() float64 {
	if t.Weight > 0 {
		return t.Weight
	}
	return 1
}

// MayCall reports whether the team may call the service. A team that lists no
// services may call all.
func (t *Team) MayCall(service string) bool {
	return len(t.Services) == 0 || slices.Contains(t.Services, service)
}

// TeamCache caches the teams that were looked up and keeps the newest version of
// each. It is safe for concurrent use.
type TeamCache struct {
	mu    sync.RWMutex
	names map[string]*Team
	ids   map[share.TeamID]*Team
	keys  map[string]*Team
	stale map[string]bool // by name; teams that must be looked up again
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
// current. A team that is not current must be looked up again.
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

// Len returns the number of cached teams.
func (t *TeamCache) Len() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.names)
}

// SetAllStale marks every cached team stale: it may have changed without an update.
func (t *TeamCache) SetAllStale() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name := range t.names {
		t.stale[name] = true
	}
}

// SetStale marks one team stale: it may have changed without an update.
func (t *TeamCache) SetStale(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stale[name] = true
}

// Set caches a looked-up team and marks it current. A version older than the cached
// one is ignored.
func (t *TeamCache) Set(r resource.Resource) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.set(r)
}

// Update applies a change of a team. Teams that are not cached are ignored.
func (t *TeamCache) Update(r resource.Resource) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.names[r.Name] != nil {
		t.set(r)
	}
}

// set replaces or evicts the cached team. The caller holds the lock.
func (t *TeamCache) set(r resource.Resource) {
	if old := t.names[r.Name]; old != nil {
		if old.Version > r.Version {
			return
		}
		t.evict(old)
	}
	delete(t.stale, r.Name)
	if r.Deleted {
		return
	}
	spec, err := r.Decode()
	if err != nil {
		return // written by a newer controller in a format unknown to this version
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

// evict removes a team from the cache. A key that another team has now stays.
func (t *TeamCache) evict(team *Team) {
	for _, h := range team.KeyHashes {
		if t.keys[h] == team {
			delete(t.keys, h)
		}
	}
	delete(t.names, team.Name)
	delete(t.ids, team.ID)
}

// Remove removes a team that no longer exists.
func (t *TeamCache) Remove(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if team := t.names[name]; team != nil {
		t.evict(team)
	}
	delete(t.stale, name)
}
