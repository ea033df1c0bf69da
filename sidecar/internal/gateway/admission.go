package gateway

import (
	"time"

	"baobabpaddle/fleet/share"
	"baobabpaddle/fleet/wire"
)

// admission is the result of admitting an arrived request.
type admission struct {
	ok bool
	// id is the identifier of the grant that the request uses.
	id       uint64
	upstream share.UpstreamID
	// start is closed when the request may be sent to the upstream.
	start chan struct{}
}

// admit admits an arrived request under its grant. If the request has none, it is granted
// a slot if one is free and no team waits. The result is not ok if there is no such grant
// or slot.
func (s *Scheduler) admit(gateway string, r *wire.RunRequest, bodyBytes int) admission {
	return call(s, func(now time.Time) admission {
		q := s.queues[r.Service]
		if q == nil {
			return admission{}
		}
		s.setWeight(r.Team, r.Weight, r.TeamVersion)
		id := r.Grant
		if id == 0 {
			g, ok := q.GrantDirect(now, gateway, r.Team)
			if !ok {
				return admission{}
			}
			id = g.ID
		}
		if !q.Arrive(now, id, r.Idempotent) {
			return admission{}
		}
		q.RecordBodySize(bodyBytes)
		start := make(chan struct{})
		s.startSignals[startKey{
			service: r.Service,
			id:      id,
		}] = start
		return admission{
			ok:       true,
			id:       id,
			upstream: q.UpstreamOf(id),
			start:    start,
		}
	})
}

// recordService charges a run for the units of cost that it has received since its start.
func (s *Scheduler) recordService(service share.ServiceID, id uint64, units int64) {
	s.post(func(now time.Time) { s.queue(service).RecordService(now, id, units) })
}

// recordFirstToken adjusts the concurrency limit of an upstream to the time that it took to
// the first token.
func (s *Scheduler) recordFirstToken(service share.ServiceID, upstream share.UpstreamID, took time.Duration) {
	s.post(func(now time.Time) {
		if l := s.queue(service).Limit(upstream); l != nil {
			l.FirstToken(now, took)
		}
	})
}

// finish ends a run that reached its upstream and charges its final cost.
func (s *Scheduler) finish(service share.ServiceID, id uint64, cost int64) {
	s.post(func(now time.Time) { s.queue(service).Finish(now, id, cost) })
}

// release ends a run that did not reach its upstream and refunds its charge.
func (s *Scheduler) release(service share.ServiceID, id uint64) {
	s.post(func(now time.Time) {
		delete(s.startSignals, startKey{
			service: service,
			id:      id,
		})
		s.queue(service).Release(now, id)
	})
}
