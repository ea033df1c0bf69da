package gateway

import (
	"testing"

	"github.com/matryer/is"

	"baobabpaddle/fleet/share"
	"baobabpaddle/fleet/wire"
)

// fakeLink is the link of a gateway, to which nothing is sent.
type fakeLink struct {
	name string
}

// Send implements frameSender.
func (*fakeLink) Send(wire.Work) error { return nil }

// TestReplacedLinkIsNotHeard guards against demands of a gateway's former link that arrive
// after its next one was opened: slots were granted to requests that no longer wait.
func TestReplacedLinkIsNotHeard(t *testing.T) {
	is := is.New(t)
	s := NewScheduler("i", share.QueueSettings{}, nil)
	q := s.queue(1)
	former, present := &fakeLink{
		name: "former",
	}, &fakeLink{
		name: "present",
	}
	demand := func(l *fakeLink, count int) {
		frame := wire.Work{}
		frame.AddDemand(share.Demand{
			Service: 1,
			Team:    2,
			Count:   count,
		})
		s.handleFrame("g", l, frame)
	}
	s.addGateway("g", former)
	s.addGateway("g", present)
	demand(present, 1)
	demand(former, 7)
	s.runQueuedEvents()
	is.Equal(q.Waiting(), 1)
}
