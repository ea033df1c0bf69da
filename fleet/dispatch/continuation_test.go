package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// versioned returns a simulation whose engines run the software versions.
func versioned(versions ...string) *simulation {
	m := newSimulation(1, len(versions))
	list := upstreams(len(versions))
	for i := range list {
		list[i].Version = versions[i]
	}
	m.scheduler.SetUpstreams(list)
	return m
}

// continuation returns a request that continues a stream which a software version began.
func continuation(id uint64, version string, tokens int) Request {
	return Request{
		ID:        id,
		Service:   "llm",
		Team:      "t00",
		Objective: 400 * time.Millisecond,
		Remaining: 10 * time.Second,
		Resumed:   true,
		Continues: true,
		Version:   version,
		Prompt: Prompt{
			Tokens: tokens,
		},
	}
}

// TestContinuationGoesToItsVersion guards against streams that go on at another software version
// than the one that began them, however idle its upstreams are.
func TestContinuationGoesToItsVersion(t *testing.T) {
	is := is.New(t)
	m := versioned("v1", "v2", "v1")
	for id := range uint64(20) {
		d := m.scheduler.Place(m.now, gateway, continuation(id+1, "v2", 50))
		is.Equal(d.Upstream, engineName(1))
	}
	excluded := continuation(30, "v2", 50)
	excluded.Excluded = []string{engineName(1)}
	is.Equal(m.scheduler.Place(m.now, gateway, excluded).Reason, NoUpstream)
	d := m.scheduler.Place(m.now, gateway, continuation(31, "v3", 50))
	is.Equal(d.Reason, VersionUnavailable)
	is.Equal(d.RetryAfter, time.Duration(0))
	d = m.scheduler.Place(m.now, gateway, continuation(32, "", 50))
	is.Equal(d.Reason, UnknownVersion)
	plain := continuation(33, "v2", 0)
	plain.Team = ""
	is.Equal(m.scheduler.Place(m.now, gateway, plain).Upstream, engineName(1))
}

// TestContinuationsDoNotOverloadSlowEngines guards against callers whose streams break off since
// engines are slow, and whose continuations, admitted whatever the queue, make them slower. The
// load is that of a flood on a fleet whose engines slow down.
func TestContinuationsDoNotOverloadSlowEngines(t *testing.T) {
	is := is.New(t)
	m := versioned("v1")
	first := continuation(1, "v1", 57_000) // a second of prefill
	is.True(m.scheduler.Place(m.now, gateway, first).Upstream != "")
	d := m.scheduler.Place(m.now, gateway, continuation(2, "v1", 500))
	is.Equal(d.Reason, Busy)
	is.True(d.RetryAfter > 0)
	resumed := continuation(3, "v1", 500) // by the gateway, within one answer
	resumed.Continues = false
	is.True(m.scheduler.Place(m.now, gateway, resumed).Upstream != "")
}
