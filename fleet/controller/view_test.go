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

func service(name string, version uint64) resource.Resource {
	return resource.Resource{
		Kind:    resource.KindService,
		Name:    name,
		Version: version,
		Number:  version,
		Spec:    json.RawMessage(fmt.Sprintf(`{"type":"plain","max_wait_seconds":%d}`, version)),
	}
}

// TestViewNeverGoesBack applies syncs in any order, repeated and from
// controllers that are behind: revisions and versions only grow.
func TestViewNeverGoesBack(t *testing.T) {
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
				t.Fatalf("from revision %d to %d", before.Revision, next.Revision)
			}
			for name, old := range before.Services {
				now := next.Services[name]
				if now != nil && now.Version < old.Version && !s.Full {
					t.Fatalf("%s went from version %d to %d", name, old.Version, now.Version)
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

func TestTeamsKeepTheNewest(t *testing.T) {
	is := is.New(t)
	const key = "0000000000000000000000000000000000000000000000000000000000000001"
	const other = "0000000000000000000000000000000000000000000000000000000000000002"
	c := NewTeamCache()
	c.Update(team(1, false, key)) // not looked up yet, so not kept
	is.Equal(c.Len(), 0)
	c.Set(team(2, false, key))
	c.Set(team(1, false, other)) // an answer that was overtaken
	found, current := c.ByKey(key)
	is.True(current)
	is.Equal(found.Version, uint64(2))
	c.SetAllStale()
	_, current = c.ByKey(key)
	is.True(!current) // to be looked up again
	c.Update(team(3, false, other))
	_, current = c.ByKey(other)
	is.True(current)
	found, _ = c.ByKey(key)
	is.True(found == nil) // the old key is gone
	c.Update(team(4, true, other))
	is.Equal(c.Len(), 0)
}
