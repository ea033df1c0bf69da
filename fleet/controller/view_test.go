package controller

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"baobabpaddle/fleet/resource"
	"baobabpaddle/fleet/wire"
)

// service returns a service resource whose specification depends on its version.
func service(name string, version uint64) resource.Resource {
	return resource.Resource{
		Kind:    resource.KindService,
		Name:    name,
		Version: version,
		Number:  version,
		Spec:    json.RawMessage(fmt.Sprintf(`{"type":"plain","max_wait_seconds":%d}`, version)),
	}
}

// TestViewIsMonotonic applies syncs in any order, also repeated ones and those of
// controllers that lag behind: the view's revision and the versions of its services
// must not decrease.
func TestViewIsMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := NewView()
		for range rapid.IntRange(1, 50).Draw(t, "syncs") {
			revision := uint64(rapid.IntRange(1, 30).Draw(t, "revision"))
			s := wire.Sync{
				Full:     rapid.Bool().Draw(t, "full"),
				Revision: revision,
			}
			for range rapid.IntRange(0, 3).Draw(t, "resources") {
				at := uint64(rapid.IntRange(1, int(revision)).Draw(t, "version"))
				s.Resources = append(s.Resources, service(fmt.Sprintf("s%d", rapid.IntRange(1, 2).Draw(t, "name")), at))
			}
			before := v
			next, _ := v.Apply(s)
			if next.Revision < before.Revision {
				t.Fatalf("the revision decreased from %d to %d", before.Revision, next.Revision)
			}
			for name, old := range before.Services {
				now := next.Services[name]
				if now != nil && now.Version < old.Version && !s.Full {
					t.Fatalf("the version of %s decreased from %d to %d", name, old.Version, now.Version)
				}
			}
			v = next
		}
	})
}

func team(version uint64, deleted bool, hash string) resource.Resource {
	return resource.Resource{
		Kind:    resource.KindTeam,
		Name:    "clubs",
		Version: version,
		Number:  1,
		Deleted: deleted,
		Spec:    json.RawMessage(`{"key_hashes":["` + hash + `"]}`),
	}
}

// TestTeamCacheKeepsTheNewest checks that updates of uncached teams and late answers
// of look-ups are ignored, and that staleness, changed keys and deletion are applied.
func TestTeamCacheKeepsTheNewest(t *testing.T) {
	is := is.New(t)
	const key = "0000000000000000000000000000000000000000000000000000000000000001"
	const other = "0000000000000000000000000000000000000000000000000000000000000002"
	c := NewTeamCache()
	c.Update(team(1, false, key)) // not looked up yet, so not cached
	is.Equal(c.Len(), 0)
	c.Set(team(2, false, key))
	c.Set(team(1, false, other)) // an answer older than the cached version
	found, current := c.ByKey(key)
	is.True(current)
	is.Equal(found.Version, uint64(2))
	c.SetAllStale()
	_, current = c.ByKey(key)
	is.True(!current) // must be looked up again
	c.Update(team(3, false, other))
	_, current = c.ByKey(other)
	is.True(current)
	found, _ = c.ByKey(key)
	is.True(found == nil) // the old key no longer belongs to a team
	c.Update(team(4, true, other))
	is.Equal(c.Len(), 0)
}
