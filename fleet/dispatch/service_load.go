package dispatch

import "time"

// ServiceLoad is the load of one service, summed over its listed upstreams.
type ServiceLoad struct {
	Service string
	// Listed is the number of upstreams in the platform's list, Usable the number of
	// those that take requests now.
	Listed int
	Usable int
	// Slow is the number that SlownessChanges reported as slow.
	Slow int
	// Slots is the number of requests that the upstreams can run at once, Running the
	// number in flight.
	Slots   int
	Running int
	// PrefillBacklog is the number of prompt tokens sent to the upstreams in requests
	// whose responses have not begun.
	PrefillBacklog int64
}

// ServiceLoads returns the loads of all services with listed upstreams, in no particular
// order.
func (s *Scheduler) ServiceLoads(now time.Time) []ServiceLoad {
	out := make([]ServiceLoad, 0, len(s.services))
	for service, engines := range s.services {
		load := ServiceLoad{
			Service: service,
			Listed:  len(engines),
		}
		for _, e := range engines {
			if e.usable(now, true) {
				load.Usable++
			}
			if e.slow {
				load.Slow++
			}
			load.Slots += e.Slots
			load.Running += e.running
			load.PrefillBacklog += int64(e.prefillBacklog)
		}
		out = append(out, load)
	}
	return out
}
