package dispatch

import "time"

// placePlain decides on a request to a plain service: it goes to the usable upstream
// with the fewest running requests, counting penalties for another availability zone and
// for one that asked a peer for backoff or runs a trial. Trial reports whether the request
// is a trial itself.
func (s *Scheduler) placePlain(now time.Time, gateway string, r Request, trial bool) Decision {
	var best choice
	var bestLoad float64
	engines := s.services[r.Service]
	unseen := s.estimateUnseen(engines)
	start := s.startIndex(len(engines))
	for i := range engines {
		e := engines[(start+i)%len(engines)]
		if !e.takes(now, &r) {
			continue
		}
		if !s.mayStart(now, e, 1, &best) {
			continue
		}
		best.usable++
		running := float64(e.running) + unseen.running
		load := running
		if e.Zone != r.Zone {
			load += plainZoneCost
		}
		if now.Before(e.lastChoiceUntil) || e.trials > 0 {
			load += plainLastChoiceCost
		}
		if best.engine == nil || load < bestLoad {
			bestLoad = load
			best.engine, best.running = e, running
		}
	}
	in := s.inputs(r, best)
	e := best.engine
	switch {
	case e == nil && best.paced != nil:
		return s.refusePaced(now, r, best, false, in)
	case e == nil:
		return s.refuse(now, r, s.missingUpstream(r), in)
	}
	if e.Slots > 0 && best.running >= float64(e.Slots)*(1+queuePerSlot) {
		return s.refuse(now, r, Busy, in)
	}
	p := s.place(now, Placement{
		Key: Key{
			Gateway: gateway,
			ID:      r.ID,
		},
		Upstream: e.ID,
		Team:     r.Team,
		Digest:   r.Digest,
	}, 0)
	s.charge(now, p)
	if trial {
		s.startTrial(now, p)
	}
	return Decision{
		ID:       r.ID,
		Upstream: e.ID,
		Inputs:   in,
	}
}
