package fence

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/fleet/resource"
)

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

func desired(upstream string, version uint64, size int64) DesiredPlacement {
	return DesiredPlacement{
		Version: version,
		Placement: resource.Placement{
			Upstream:  upstream,
			SizeBytes: size,
		},
	}
}

// TestPlannerSpacesLoads checks that loads from the weight store are serialized
// and that a placement without a load does not wait for them.
func TestPlannerSpacesLoads(t *testing.T) {
	is := is.New(t)
	p := NewPlanner(100)
	list := []DesiredPlacement{desired("a", 1, 1000), desired("b", 1, 1000), desired("c", 1, 0)}
	first := p.Next(start, list)
	is.Equal(len(first), 2) // one load, and one placement that loads nothing
	is.Equal(len(p.Next(start.Add(9*time.Second), list)), 0)
	is.Equal(p.Next(start.Add(10*time.Second), list)[0].Placement.Upstream, "b")
}

// TestPlannerRetriesAfterBackoff checks that a failed order is given again after
// the backoff, and a completed one not until its version changes.
func TestPlannerRetriesAfterBackoff(t *testing.T) {
	is := is.New(t)
	p := NewPlanner(0)
	list := []DesiredPlacement{desired("a", 1, 0)}
	is.Equal(len(p.Next(start, list)), 1)
	is.Equal(len(p.Next(start, list)), 0) // in flight
	p.Done(start, Outcome{
		Upstream: "a",
		Version:  1,
	})
	is.Equal(len(p.Next(start, list)), 0) // within the backoff
	is.Equal(len(p.Next(start.Add(minBackoff), list)), 1)
	p.Done(start.Add(minBackoff), Outcome{
		Upstream: "a",
		Version:  1,
		OK:       true,
	})
	is.Equal(len(p.Next(start.Add(time.Hour), list)), 0) // carried out
	is.Equal(len(p.Next(start.Add(time.Hour), []DesiredPlacement{desired("a", 2, 0)})), 1)
}

// TestGuardRefusesStaleOrders checks fencing tokens and deadlines for each
// upstream.
func TestGuardRefusesStaleOrders(t *testing.T) {
	is := is.New(t)
	g := NewGuard()
	deadline := start.Add(time.Second)
	is.NoErr(g.Admit(start, "a", 5, deadline))
	is.NoErr(g.Admit(start, "a", 5, deadline)) // given again after its answer was lost
	is.True(errors.Is(g.Admit(start, "a", 4, deadline), ErrStaleToken))
	is.True(errors.Is(g.Admit(deadline, "a", 6, deadline), ErrLeaseExpired))
	is.NoErr(g.Admit(start, "b", 1, deadline))
}
