package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/state"
	"baobabpaddle/fleet/wire"
)

// TestPlacementWaitsForUpstreams guards against a new leader that refuses requests
// because it has not read the platform's list yet, although the gateway can place them
// by itself. The requests in flight that the gateway reports before the list is read
// must count afterwards.
func TestPlacementWaitsForUpstreams(t *testing.T) {
	is := is.New(t)
	h := newTestHub()
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
	is.Equal(len(h.replies[c]), 0) // unanswered, so that the gateway decides by itself

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
	is.Equal(h.replies[c][0].Upstream, "u2") // u1 has the request in flight
}

// TestListIsRequestedUntilRead checks that the platform's list is requested while there
// is none, at most once per listRequestInterval.
func TestListIsRequestedUntilRead(t *testing.T) {
	is := is.New(t)
	h := newTestHub()
	now := time.Unix(1000, 0)
	h.requestList(now)
	select {
	case <-h.ListRequests():
	case <-time.After(time.Second):
		is.Fail() // no list was requested
	}
	h.requestList(now.Add(listRequestInterval - 1))
	is.Equal(len(h.ListRequests()), 0) // requested within the interval
	h.requestList(now.Add(listRequestInterval))
	is.Equal(len(h.ListRequests()), 1)
	<-h.ListRequests()
	h.setUpstreams([]dispatch.Upstream{})
	h.requestList(now.Add(time.Minute))
	select {
	case <-h.ListRequests():
		is.Fail() // there is a list
	default:
	}
}

// TestNewLeaderRecordsAccounts checks that a leader's scheduler takes over the accounts
// of teams that a gateway reports.
func TestNewLeaderRecordsAccounts(t *testing.T) {
	is := is.New(t)
	h := newTestHub()
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

// TestConfigurationFrames checks which frames are encoded when a configuration is
// activated: the change from the previous version at once, the whole configuration
// only when a gateway needs it, and none for an older version.
func TestConfigurationFrames(t *testing.T) {
	is := is.New(t)
	h := newTestHub()
	prepare := func(version uint64, routes string) *preparedConfiguration {
		prepared, err := h.cache.prepare(state.Configuration{
			Version: version,
			Document: fmt.Appendf(nil, `{"version":%d,"routes":[%s],"services":[{"name":"desk"}],"limits":{},"teams":[]}`,
				version, routes),
		})
		is.NoErr(err)
		return prepared
	}
	const route = `{"name":"a","host":"a","path_prefix":"/","kind":"safe","timeout_ms":1000,"service":"desk"}`
	h.activate(prepare(3, ""))
	is.Equal(len(h.deltaFrame), 0)
	h.activate(prepare(5, route))
	is.Equal(h.deltaBase, uint64(3))
	is.Equal(len(h.fullFrame), 0) // no gateway needs it
	h.activate(prepare(4, ""))    // older
	is.Equal(h.active.document.Version, uint64(5))
	h.reset()
	is.Equal(h.active.document.Version, uint64(5)) // kept for the next term as leader
}
