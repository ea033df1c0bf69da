package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/fleet/origin"
)

// restartOf has the first of two engines crash, start again and answer a request.
func restartOf(t *testing.T, m *simulation) {
	t.Helper()
	is := is.New(t)
	request := Request{
		ID:         1,
		Service:    "llm",
		Objective:  time.Second,
		Remaining:  10 * time.Second,
		Idempotent: true,
		Excluded:   []string{engineName(1)},
		Prompt: Prompt{
			Tokens: 50,
		},
	}
	is.Equal(m.scheduler.Place(m.now, gateway, request).Upstream, engineName(0))
	m.scheduler.RecordEnd(m.now, Key{
		Gateway: gateway,
		ID:      1,
	}, Crashed)
	m.now = m.now.Add(maxSuspension)
	request.ID = 2
	is.Equal(m.scheduler.Place(m.now, gateway, request).Upstream, engineName(0))
	m.now = m.now.Add(10 * time.Millisecond)
	m.scheduler.RecordStart(m.now, Key{
		Gateway: gateway,
		ID:      2,
	})
}

// TestRestartedUpstreamContinuesNoStreams guards against streams that go on at an upstream which
// started again under its identifier with another software version than the list still shows.
func TestRestartedUpstreamContinuesNoStreams(t *testing.T) {
	is := is.New(t)
	m := versioned("v1", "v1")
	restartOf(t, m)
	r := continuation(3, "v1", 50)
	r.Excluded = []string{engineName(1)}
	d := m.scheduler.Place(m.now, gateway, r)
	is.Equal(d.Reason, NoUpstream)
	is.True(d.RetryAfter > 0) // the list may show the same version
	within := r
	within.Continues = false // within one answer
	is.Equal(m.scheduler.Place(m.now, gateway, within).Reason, NoUpstream)
	r.Excluded = nil
	is.Equal(m.scheduler.Place(m.now, gateway, r).Upstream, engineName(1))
}

// TestListConfirmsVersions guards against streams that can't be resumed for long after their upstream
// crashed once, and against a list that shows what was true before the start.
func TestListConfirmsVersions(t *testing.T) {
	is := is.New(t)
	m := versioned("v1", "v1")
	restartOf(t, m)
	up := m.now
	begins := Request{
		ID:        3,
		Service:   "llm",
		Objective: time.Second,
		Remaining: 10 * time.Second,
		Excluded:  []string{engineName(1)},
		Stream:    origin.Stream(7),
		Prompt: Prompt{
			Tokens: 50,
		},
	}
	d := m.scheduler.Place(m.now, gateway, begins)
	is.Equal(d.Upstream, engineName(0))
	is.True(d.VersionUncertain)
	m.scheduler.ConfirmVersions(up)
	is.Equal(m.scheduler.DoubtedVersions(), []string{engineName(0)})
	m.scheduler.ConfirmVersions(up.Add(1))
	is.Equal(len(m.scheduler.DoubtedVersions()), 0)
	begins.ID = 4
	d = m.scheduler.Place(m.now, gateway, begins)
	is.Equal(d.Upstream, engineName(0))
	is.True(!d.VersionUncertain)
	r := continuation(5, "v1", 50)
	r.Excluded = []string{engineName(1)}
	is.Equal(m.scheduler.Place(m.now, gateway, r).Upstream, engineName(0))

	m.scheduler.DoubtVersions(m.now, []string{engineName(0), "unknown"}) // from a gateway that links
	m.scheduler.ConfirmVersions(m.now.Add(time.Minute))
	r.ID = 6
	is.Equal(m.scheduler.Place(m.now, gateway, r).Reason, NoUpstream) // it has not answered since
}
