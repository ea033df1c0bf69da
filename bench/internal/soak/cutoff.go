package soak

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// cutOffTime is the time from the beginning of the last cut of a run to the end of the
	// gateway. Streams are shorter, so that all that are broken began during the cut.
	cutOffTime = 3500 * time.Millisecond
	// maxCutTime bounds the cuts before. Within it, gateways serve teams' keys without controllers.
	maxCutTime = 4 * time.Second
	// calmTime is the time before and between the events of a sequence, afterTime that after its end.
	calmTime  = 1500 * time.Millisecond
	afterTime = 3 * time.Second
	// streamPause makes streams last a second or two.
	streamPause = 15 * time.Millisecond
	// minTakenUp is the least number of streams that are old enough that they must go on.
	minTakenUp = 12
)

// cutOffFaultKinds follow the kinds before in runs with the option CutOffs. They are drawn by index.
var cutOffFaultKinds = []fault{
	{
		name:   "cut a gateway off",
		inject: func(f *faults, _ context.Context, random *rand.Rand) { f.cutOff(f.gateway(random), random) },
	},
}

// cutOff makes a gateway's links to the controllers of the group silent and, in half the cases, also
// those to controllers without a disk. In three of four cases the gateway is killed during the cut.
func (f *faults) cutOff(p *process, random *rand.Rand) {
	f.calm.RLock()
	defer f.calm.RUnlock()
	f.cutting.Lock()
	defer f.cutting.Unlock()
	relays := f.soak.fleet.relays
	if random.IntN(2) == 0 {
		relays = relays[:len(f.soak.fleet.withDisk())]
	}
	cutOffAt(relays, p.name)
	defer cutOffAt(relays, "")
	time.Sleep(randomDuration(random, maxCutTime))
	if random.IntN(4) > 0 {
		f.restart(p, random, (*process).kill)
	}
}

// cutOffAt cuts a gateway off at relays. An empty name ends it.
func cutOffAt(relays []*Relay, gateway string) {
	for _, r := range relays {
		r.CutOff(gateway)
	}
}

// endWithCutOff cuts a gateway off from the controllers of the group and kills it. The streams that
// began there meanwhile must go on at another gateway, but for those that began just before the end.
func (s *Soak) endWithCutOff(ctx context.Context) {
	f := s.faults
	defer f.lockHosts()()
	random := rand.New(rand.NewPCG(s.options.Seed, 996))
	f.awaitCalm()
	s.lengthenStreams()
	gateway := random.IntN(len(s.fleet.gateways))
	s.logFault("the run ends with a cut of %s", s.fleet.gateways[gateway].name)
	members := s.fleet.relays[:len(s.fleet.withDisk())]
	load := startTakeUps(ctx, s, []int{gateway}, (gateway+1)%len(s.fleet.gateways))
	time.Sleep(calmTime)
	cutOffAt(members, s.fleet.gateways[gateway].name)
	time.Sleep(cutOffTime)
	kill := time.Now()
	s.breakStreams(gateway)
	cutOffAt(members, "")
	time.Sleep(afterTime)
	load.stop()
	s.logFault("%+v", load.counts)
	old, lost := goneOn(load.broken, kill, relayDelay, s.logFault)
	if old < minTakenUp || lost > 0 {
		s.ledger.RecordViolation("origin", "%d of %d streams that began %v before their gateway was lost, which was cut off, did not go on; must be none, of at least %d",
			lost, old, relayDelay, minTakenUp)
	}
}

// lengthenStreams has upstreams pause between events.
func (s *Soak) lengthenStreams() {
	for _, u := range s.upstreams {
		u.mu.Lock()
		u.eventPause = streamPause
		u.mu.Unlock()
	}
}
