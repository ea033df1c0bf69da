package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestFailureOfAnEarlierStartDoesNotSuspend guards against an upstream that gets no requests
// after its replacement under the same identifier, since requests to its earlier start fail.
func TestFailureOfAnEarlierStartDoesNotSuspend(t *testing.T) {
	for _, outcome := range []Outcome{Unreachable, ConnectionRefused, Crashed, AddressReassigned, Broken} {
		is := is.New(t)
		s := newScheduler(upstreamAt("a"))
		for id := range uint64(4) {
			is.Equal(s.Place(begin, "g", Request{
				ID:      id,
				Service: "desk",
			}).Upstream, "a")
		}
		replaced := upstreamAt("a")
		replaced.Address = "b:1"
		s.SetUpstreams([]Upstream{replaced})
		for id := range uint64(4) {
			s.RecordEnd(begin, Key{
				Gateway: "g",
				ID:      id,
			}, outcome)
		}
		is.Equal(len(s.SuspensionChanges()), 0)
		is.Equal(s.Place(begin, "g", Request{
			ID:      5,
			Service: "desk",
		}).Upstream, "a")
	}
}

// TestProbeOfAnEarlierStartEnds checks that a replaced upstream is probed again though the
// answer of the probe that its earlier start got doesn't count.
func TestProbeOfAnEarlierStartEnds(t *testing.T) {
	is := is.New(t)
	s := newScheduler(upstreamAt("a"))
	now := begin
	place := func(id uint64) Decision {
		return s.Place(now, "g", Request{
			ID:         id,
			Service:    "desk",
			Idempotent: true,
		})
	}
	end := func(id uint64, outcome Outcome) {
		s.RecordEnd(now, Key{
			Gateway: "g",
			ID:      id,
		}, outcome)
	}
	is.Equal(place(1).Upstream, "a")
	end(1, Unreachable)
	now = now.Add(time.Second)
	is.Equal(place(2).Upstream, "a") // the probe
	is.Equal(place(3).Upstream, "")
	replaced := upstreamAt("a")
	replaced.Address = "b:1"
	s.SetUpstreams([]Upstream{replaced})
	is.Equal(place(4).Upstream, "a") // the probe of the new start
	end(2, Answered)
	is.Equal(place(5).Upstream, "") // the earlier one doesn't count
	end(4, Answered)
	is.Equal(place(6).Upstream, "a")
}
