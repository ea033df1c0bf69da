package gateway

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/state"
	"baobabpaddle/fleet/telemetry"
	"baobabpaddle/fleet/wire"
)

// TestNewLeaderKnowsNoUpstreams links a gateway to a leader that has not read the
// platform's list yet, as after each change of the leader. It must not refuse what
// the gateway can place by itself, and must not forget what is at upstreams.
func TestNewLeaderKnowsNoUpstreams(t *testing.T) {
	is := is.New(t)
	h := New(nil, nil, telemetry.NewMetrics(), slog.New(slog.DiscardHandler))
	c := &conn{
		name: "a",
	}
	h.receive(c, wire.Serve{
		InFlight: []wire.InFlight{{
			ID:       1,
			Upstream: "u1",
		}},
		PlacementRequests: []dispatch.Request{{
			ID:      2,
			Service: "desk",
		}},
	})
	is.Equal(len(h.replies[c]), 0) // the gateway decides by itself

	h.setUpstreams([]dispatch.Upstream{
		{
			ID:      "u1",
			Service: "desk",
			Address: "10.0.0.1:1",
			Slots:   4,
		},
		{
			ID:      "u2",
			Service: "desk",
			Address: "10.0.0.2:1",
			Slots:   4,
		},
	})
	h.receive(c, wire.Serve{
		PlacementRequests: []dispatch.Request{{
			ID:      3,
			Service: "desk",
		}},
	})
	is.Equal(len(h.replies[c]), 1)
	is.Equal(h.replies[c][0].Upstream, "u2") // u1 still has the first request
}

// TestListIsWanted asks for the platform's list while there is none, not too often.
func TestListIsWanted(t *testing.T) {
	is := is.New(t)
	h := New(nil, nil, telemetry.NewMetrics(), slog.New(slog.DiscardHandler))
	now := time.Unix(1000, 0)
	h.requestList(now)
	select {
	case <-h.ListRequests():
	case <-time.After(time.Second):
		is.Fail() // no list is asked for
	}
	h.requestList(now.Add(listRequestInterval - 1))
	is.Equal(len(h.ListRequests()), 0) // asked for a moment ago
	h.requestList(now.Add(listRequestInterval))
	is.Equal(len(h.ListRequests()), 1)
	<-h.ListRequests()
	h.setUpstreams([]dispatch.Upstream{})
	h.requestList(now.Add(time.Minute))
	select {
	case <-h.ListRequests():
		is.Fail() // there is one already
	default:
	}
}

// TestNewLeaderTakesAccounts has a gateway tell what its teams were given.
func TestNewLeaderTakesAccounts(t *testing.T) {
	is := is.New(t)
	h := New(nil, nil, telemetry.NewMetrics(), slog.New(slog.DiscardHandler))
	h.receive(&conn{
		name: "a",
	}, wire.Serve{
		Accounts: []dispatch.Account{{
			Team:     "north",
			Demand:   500,
			Admitted: 300,
		}},
	})
	accounts := h.scheduler.Accounts(time.Now())
	is.Equal(len(accounts), 1)
	is.Equal(accounts[0].Admitted, 300.0)
}

// TestGatewaysAreToldChanges puts versions in force: a gateway with the version before
// gets what changed, others all of it, and those that have it nothing.
func TestGatewaysAreToldChanges(t *testing.T) {
	is := is.New(t)
	h := New(nil, nil, telemetry.NewMetrics(), slog.New(slog.DiscardHandler))
	accept := func(version uint64, routes string) *preparedConfiguration {
		a, err := h.cache.prepare(state.Configuration{
			Version: version,
			Document: fmt.Appendf(nil, `{"version":%d,"routes":[%s],"services":[{"name":"desk"}],"limits":{},"teams":[]}`,
				version, routes),
		})
		is.NoErr(err)
		return a
	}
	const route = `{"name":"a","host":"a","path_prefix":"/","kind":"safe","timeout_ms":1000,"service":"desk"}`
	h.activate(accept(3, ""))
	is.Equal(len(h.deltaFrame), 0)
	h.activate(accept(5, route))
	is.Equal(h.deltaBase, uint64(3))
	is.Equal(len(h.fullFrame), 0) // no gateway needed it
	h.activate(accept(4, ""))     // older
	is.Equal(h.active.document.Version, uint64(5))
	h.reset()
	is.Equal(h.active.document.Version, uint64(5)) // kept for another term
}
