package origin

import (
	"testing"

	"github.com/matryer/is"
)

// TestSchedulesOutOfStepJoinNoVersions guards against streams that go on at another software version
// since a gateway or a leader was out of step during a release: cut off with a list and a history
// of before, beside another leader, or standing still and acting on decisions of before.
func TestSchedulesOutOfStepJoinNoVersions(t *testing.T) {
	is := is.New(t)
	total := outOfStepFleet{}
	for seed := range schedules() {
		f := newOutOfStepFleet(uint64(seed))
		f.play()
		if f.joined > 0 {
			t.Errorf("seed %d: %d streams joined", seed, f.joined)
		}
		total.continued += f.continued
		total.refused += f.refused
		total.continuedOutOfStep += f.continuedOutOfStep
		total.refusedOutOfStep += f.refusedOutOfStep
	}
	t.Logf("%d continued, %d refused; at hosts out of step %d and %d", total.continued, total.refused, total.continuedOutOfStep, total.refusedOutOfStep)
	is.True(total.continuedOutOfStep > schedules())
	is.True(total.refusedOutOfStep > schedules())
}

// provenSchedules is the number of schedules of TestUnconfirmedProofJoinsVersions, some of which
// reach the fault.
const provenSchedules = 1500

// TestUnconfirmedProofJoinsVersions checks that the schedules of TestSchedulesOutOfStepJoinNoVersions
// reach the fault: leaders that don't have their copy of the history confirmed join versions.
func TestUnconfirmedProofJoinsVersions(t *testing.T) {
	joined := 0
	for seed := range provenSchedules {
		f := newOutOfStepFleet(uint64(seed))
		f.unconfirmedProof = true
		f.play()
		joined += f.joined
	}
	t.Logf("%d streams joined", joined)
	is.New(t).True(joined > 0)
}

// takeUp has a caller take up a stream.
func (f *outOfStepFleet) takeUp(t modelTakeUp) {
	g := t.gateway
	if g.frozen || f.now.Sub(t.stream.at) > MaxReturn {
		return
	}
	if o, ok := g.begun.Find(t.stream.id); ok {
		f.goOn(t, o.Version)
		return
	}
	c := g.leader
	if c == nil {
		f.goOn(t, "")
		return
	}
	recorded, ok := c.history.Find(t.stream.id)
	o, answer := c.keeper.Find(t.stream.id, "llm", only("llm"), recorded, ok)
	switch {
	case answer != Unconfirmed:
		f.decide(t, o.Version)
	case f.unconfirmedProof:
		name, _ := c.history.Single("llm")
		f.decide(t, name)
	default:
		c.reads = append(c.reads, t)
	}
}

// decide sends a gateway the decision of its leader.
func (f *outOfStepFleet) decide(t modelTakeUp, version string) {
	t.gateway.inbox = append(t.gateway.inbox, modelFrame{
		takeUp:  t,
		version: version,
	})
}

// confirm ends the reads of a controller. Those of a controller that no majority follows fail, and
// the gateways refuse the requests.
func (f *outOfStepFleet) confirm(c *modelController) {
	reads := c.reads
	c.reads = nil
	if c == f.leader {
		f.catchUp(c)
	}
	for _, t := range reads {
		if c != f.leader {
			f.goOn(t, "")
			continue
		}
		recorded, ok := c.history.Find(t.stream.id)
		o, answer := c.keeper.Find(t.stream.id, "llm", only("llm"), recorded, ok)
		if answer == Unconfirmed {
			o.Version, _ = c.history.Single("llm")
		}
		f.decide(t, o.Version)
	}
}

// receive has a gateway handle a frame.
func (f *outOfStepFleet) receive(g *laggingGateway) {
	if g.frozen || len(g.inbox) == 0 {
		return
	}
	frame := g.inbox[0]
	g.inbox = g.inbox[1:]
	if frame.takeUp.gateway != nil {
		f.goOn(frame.takeUp, frame.version)
		return
	}
	g.list = frame.list
	if !frame.proven.IsZero() {
		g.provenAt = frame.proven
	}
}

// goOn has a stream go on at an upstream that the gateway's list shows with a version, or be
// refused.
func (f *outOfStepFleet) goOn(t modelTakeUp, version string) {
	outOfStep := t.gateway.leader == nil || t.gateway.leader != f.leader
	id, ok := 0, false
	if version != "" {
		id, ok = f.choose(t.gateway, version)
	}
	switch {
	case ok:
		f.continued++
		if f.engines[id] != t.stream.truth {
			f.joined++
		}
		if outOfStep {
			f.continuedOutOfStep++
		}
	default:
		f.refused++
		if outOfStep {
			f.refusedOutOfStep++
		}
	}
}
