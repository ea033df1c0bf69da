package dispatch

import "time"

// unseenLoad is the estimated load that other gateways put on each upstream of a
// service.
type unseenLoad struct {
	running        float64
	prefillBacklog float64
}

// estimateUnseen estimates the load that a Scheduler which sees only a fraction of the
// requests does not see: it scales up the load that it sees and spreads it evenly over
// the engines.
func (s *Scheduler) estimateUnseen(engines []*engine) unseenLoad {
	var unseen unseenLoad
	if s.settings.TrafficFraction >= 1 || len(engines) == 0 {
		return unseen
	}
	for _, e := range engines {
		unseen.running += float64(e.running)
		unseen.prefillBacklog += e.prefillBacklog
	}
	each := (1/s.settings.TrafficFraction - 1) / float64(len(engines))
	unseen.running *= each
	unseen.prefillBacklog *= each
	return unseen
}

// startIndex returns the index at which the search of n upstreams begins. It is random
// for a Scheduler that sees only a fraction of the requests, so that gateways which
// decide alone don't all choose the same one of several equal upstreams.
func (s *Scheduler) startIndex(n int) int {
	if s.settings.TrafficFraction >= 1 || n == 0 {
		return 0
	}
	return s.random.IntN(n)
}

// choice is the best upstream for a request and the estimates that it was chosen by.
type choice struct {
	engine *engine // nil if no upstream is usable
	// uncached is the number of prompt tokens that the engine would have to prefill.
	uncached float64
	// running and prefillBacklog are the engine's requests and its prompt tokens to be
	// prefilled, including the estimated load from other gateways.
	running        float64
	prefillBacklog float64
	// speed is the engine's prefill speed in tokens per millisecond.
	speed float64
	// usable is the number of upstreams that could have been chosen.
	usable int
	// paced is the upstream that takes requests first among those whose rate limits leave
	// the request no start now, or nil if there are none. It does so in pacedFor.
	paced    *engine
	pacedFor time.Duration
}

// bestEngine returns the engine with the least cost for a request. The cost is in prompt
// tokens at the typical speed: the prefill backlog and the request's own uncached tokens,
// plus penalties for running requests, for prefilling shared segments again, for another
// availability zone, for an engine that asked a peer for backoff or runs a trial, and for
// missing slots. A trial goes to an engine with few other requests, which it may end.
// Reserve is the part of a burst that the request may use at engines with a rate limit.
func (s *Scheduler) bestEngine(now time.Time, r Request, trial bool, reserve float64) choice {
	var best choice
	var bestCost float64
	engines := s.services[r.Service]
	unseen := s.estimateUnseen(engines)
	start := s.startIndex(len(engines))
	typical := s.serviceSpeed(r.Service).typical()
	for i := range engines {
		e := engines[(start+i)%len(engines)]
		if !e.takes(now, &r) {
			continue
		}
		if !s.mayStart(now, e, reserve, &best) {
			continue
		}
		best.usable++
		speed := e.speed.at(now, typical)
		uncached, shared := e.cache.uncachedTokens(r.Prompt)
		running := float64(e.running) + unseen.running
		backlog := e.prefillBacklog + unseen.prefillBacklog
		cost := (backlog+uncached)*typical/speed + runningCost*running + sharedMissCost*shared
		if e.Zone != r.Zone {
			cost += zoneCost
		}
		if now.Before(e.lastChoiceUntil) || e.trials > 0 {
			cost += lastChoiceCost
		}
		if trial {
			cost += trialRunningCost * running
		}
		if e.Slots > 0 && running >= float64(e.Slots) {
			cost += (running - float64(e.Slots) + 1) * slotCost
		}
		if best.engine == nil || cost < bestCost {
			bestCost = cost
			best.engine, best.uncached, best.running, best.prefillBacklog, best.speed = e, uncached, running, backlog, speed
		}
	}
	return best
}
