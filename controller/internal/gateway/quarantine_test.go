package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/quarantine"
	"baobabpaddle/fleet/state"
	"baobabpaddle/fleet/wire"
)

const crashingSegment = 77

// newLeadingHub returns a hub with one service of two engines.
func newLeadingHub() *Hub {
	h := newTestHub()
	h.setUpstreams([]dispatch.Upstream{
		{
			ID:      "u1",
			Service: "llm",
			Address: "10.0.0.1:1",
			Slots:   64,
		},
		{
			ID:      "u2",
			Service: "llm",
			Address: "10.0.0.2:1",
			Slots:   64,
		},
	})
	return h
}

// request returns a request whose prompt has the crashing segment.
func request(id uint64) dispatch.Request {
	return dispatch.Request{
		ID:        id,
		Service:   "llm",
		Objective: time.Second,
		Prompt: dispatch.Prompt{
			Tokens: 200,
			Segments: []dispatch.PromptSegment{
				{
					ID:     crashingSegment,
					Tokens: 100,
				},
				{
					ID:     1000 + id,
					Tokens: 100,
				},
			},
		},
	}
}

// place returns the hub's decision on a request of a gateway.
func place(h *Hub, c *conn, r dispatch.Request) dispatch.Decision {
	h.receive(c, wire.Serve{
		PlacementRequests: []dispatch.Request{r},
	})
	decisions := h.replies[c]
	delete(h.replies, c)
	return decisions[len(decisions)-1]
}

// TestCrashesAtSeveralGatewaysAreAddedUp guards against evidence that stays with each
// gateway: two of them have a request with the same segment at an engine that crashes.
func TestCrashesAtSeveralGatewaysAreAddedUp(t *testing.T) {
	is := is.New(t)
	h := newLeadingHub()
	gateways := []*conn{
		{
			name: "a",
		},
		{
			name: "b",
		},
	}
	for i, c := range gateways {
		id := uint64(i + 1)
		is.True(place(h, c, request(id)).Upstream != "")
		time.Sleep(time.Millisecond) // the next request is sent after this crash
		h.receive(c, wire.Serve{
			Ended: []wire.Ended{wire.NewEnded(id, dispatch.Crashed)},
		})
		time.Sleep(time.Millisecond)
	}
	is.Equal(h.scheduler.Quarantine().Quarantined(), 1)
	changes := h.scheduler.Quarantine().TakeChanges()
	is.Equal(changes[0].ID, uint64(crashingSegment))
	is.Equal(changes[0].Crashes, 2)
}

// TestFirstCrashOutlastsItsLeader guards against a request that crashes an upstream under each leader and
// is never quarantined, since one crash proves little and the next leader doesn't know of it.
func TestFirstCrashOutlastsItsLeader(t *testing.T) {
	is := is.New(t)
	c := &conn{
		name: "a",
	}
	crashing := dispatch.Request{
		ID:        1,
		Service:   "llm",
		Objective: time.Second,
		Digest:    42,
	}
	first, second := newLeadingHub(), newLeadingHub()
	is.True(place(first, c, crashing).Upstream != "")
	first.receive(c, wire.Serve{
		Ended: []wire.Ended{wire.NewEnded(1, dispatch.Crashed)},
	})
	suspects := first.scheduler.Suspects(time.Now().Add(time.Second))
	is.Equal(len(suspects), 1)
	is.Equal(suspects[0].ID, uint64(42))

	second.receive(c, wire.Serve{
		Suspects: suspects,
	})
	is.True(place(second, c, crashing).Upstream != "") // one crash proves little
	time.Sleep(time.Millisecond)
	second.receive(c, wire.Serve{
		Ended: []wire.Ended{wire.NewEnded(1, dispatch.Crashed)},
	})
	is.Equal(second.scheduler.Quarantine().Quarantined(), 1)
	second.receive(c, wire.Serve{
		Suspects: suspects, // from another gateway
	})
	is.Equal(second.scheduler.Quarantine().TakeChanges()[0].Crashes, 2)
}

// TestAnsweredRequestsAreNoSuspects checks that what was at an upstream that crashed is not reported once
// it is answered, or is at an upstream again.
func TestAnsweredRequestsAreNoSuspects(t *testing.T) {
	is := is.New(t)
	h := newLeadingHub()
	c := &conn{
		name: "a",
	}
	send := func(id, digest uint64) {
		is.True(place(h, c, dispatch.Request{
			ID:        id,
			Service:   "llm",
			Objective: time.Second,
			Digest:    digest,
		}).Upstream != "")
	}
	end := func(id uint64, outcome dispatch.Outcome) {
		h.receive(c, wire.Serve{
			Ended: []wire.Ended{wire.NewEnded(id, outcome)},
		})
	}
	later := func() int { return len(h.scheduler.Suspects(time.Now().Add(time.Second))) }
	send(1, 42)
	end(1, dispatch.Crashed)
	is.Equal(len(h.scheduler.Suspects(time.Now())), 0) // it may be sent elsewhere at once
	is.Equal(later(), 1)
	send(2, 42)
	is.Equal(later(), 0)
	h.receive(c, wire.Serve{
		Started: []uint64{2},
	})
	end(2, dispatch.Answered)
	is.Equal(later(), 0)
}

// TestRecordedQuarantineIsEnforced guards against a leader that forgets the quarantine after
// a restart of all controllers: it starts from the replicated state.
func TestRecordedQuarantineIsEnforced(t *testing.T) {
	is := is.New(t)
	c := &conn{
		name: "a",
	}
	for rounds := 4; rounds <= 5; rounds++ {
		h := newLeadingHub()
		h.applyRecorded(&recordedQuarantine{
			revision: 1,
			subjects: map[uint64]state.QuarantinedSubject{
				crashingSegment: {
					ID:      crashingSegment,
					Rounds:  rounds,
					Crashes: 6,
				},
			},
		})
		d := place(h, c, request(1))
		is.Equal(d.Reason, dispatch.Quarantined)
		if rounds == 4 {
			is.True(d.RetryAfter >= quarantine.TrialWait(rounds)) // until the next trial
		} else {
			is.Equal(d.RetryAfter, time.Duration(0))
		}
		h.applyRecorded(&recordedQuarantine{ // an operator has released the segment
			revision: 2,
		})
		is.True(place(h, c, request(2)).Upstream != "")
	}
}

// TestRecordedTrialWithoutKnownEnd guards against refusals that are final 5 s after a restart of all
// controllers during a trial: the state has the trial and not its end.
func TestRecordedTrialWithoutKnownEnd(t *testing.T) {
	is := is.New(t)
	h := newLeadingHub()
	h.applyRecorded(&recordedQuarantine{
		revision: 1,
		subjects: map[uint64]state.QuarantinedSubject{
			crashingSegment: {
				ID:         crashingSegment,
				Rounds:     3,
				Crashes:    8,
				LateTrials: 1,
			},
		},
	})
	c := &conn{
		name: "a",
	}
	d := place(h, c, request(1))
	is.Equal(d.Reason, dispatch.Quarantined)
	is.True(d.RetryAfter >= quarantine.TrialWait(4)) // as after a failed trial
}

// TestGatewayReportsQuarantineToNewLeader checks that a leader takes over what a gateway
// knows from the leader before.
func TestGatewayReportsQuarantineToNewLeader(t *testing.T) {
	is := is.New(t)
	h := newLeadingHub()
	c := &conn{
		name: "a",
	}
	h.receive(c, wire.Serve{
		Quarantine: []quarantine.Record{
			{
				Subject: quarantine.Subject{
					ID: crashingSegment,
				},
				Rounds:  3,
				Crashes: 3,
				TrialIn: 4 * time.Second,
			},
		},
	})
	is.Equal(place(h, c, request(1)).Reason, dispatch.Quarantined)
}

// TestRequestThatCrashesUpstreamsAtSeveralGateways guards against one request to a plain
// service that each gateway takes for another one: it comes through two gateways with
// different identifiers, and a gateway reports it in flight to a new leader.
func TestRequestThatCrashesUpstreamsAtSeveralGateways(t *testing.T) {
	is := is.New(t)
	h := newLeadingHub()
	gateways := []*conn{
		{
			name: "a",
		},
		{
			name: "b",
		},
	}
	booking := func(id uint64) dispatch.Request {
		return dispatch.Request{
			ID:         id,
			Service:    "llm",
			Digest:     0xdc61,
			Idempotent: true,
		}
	}
	is.True(place(h, gateways[0], booking(1)).Upstream != "")
	time.Sleep(time.Millisecond)
	h.receive(gateways[0], wire.Serve{
		Ended: []wire.Ended{wire.NewEnded(1, dispatch.Crashed)},
	})
	time.Sleep(time.Millisecond)
	h.receive(gateways[1], wire.Serve{ // as it links, or after a decision of its own
		InFlight: []wire.InFlight{{
			ID:       2,
			Upstream: "u2",
			Digest:   0xdc61,
			Counted:  true,
		}},
	})
	time.Sleep(time.Millisecond)
	h.receive(gateways[1], wire.Serve{
		Ended: []wire.Ended{wire.NewEnded(2, dispatch.Crashed)},
	})
	is.Equal(h.scheduler.Quarantine().QuarantinedOf(quarantine.Request), 1)
	time.Sleep(350 * time.Millisecond)                        // both upstreams are suspended
	is.True(place(h, gateways[0], booking(3)).Upstream != "") // the trial
	d := place(h, gateways[1], booking(4))
	is.Equal(d.Reason, dispatch.Quarantined)
	is.True(d.RetryAfter > 0)
}
