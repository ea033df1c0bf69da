package gateway

import (
	"time"

	"baobabpaddle/fleet/share"
	"baobabpaddle/fleet/wire"
)

// admission is the answer to an arrived request.
type admission struct {
	ok       bool
	id       uint64
	upstream share.UpstreamID
	start    chan struct{}
}

// admit uses a grant, or asks for a place at once when grant is zero.
func (c *Scheduler) admit(gateway string, r *wire.RunRequest, bodyBytes int) admission {
	return ask(c, func(now time.Time) admission {
		q := c.queues[r.Service]
		if q == nil {
			return admission{}
		}
		c.setWeight(r.Team, r.Weight, r.TeamVersion)
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
		c.started[startKey{
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

// served, finish and release pass on how a run goes.
func (c *Scheduler) served(service share.ServiceID, id uint64, units int64) {
	c.post(func(now time.Time) { c.queue(service).RecordService(now, id, units) })
}

func (c *Scheduler) firstToken(service share.ServiceID, upstream share.UpstreamID, took time.Duration) {
	c.post(func(now time.Time) {
		if l := c.queue(service).Limit(upstream); l != nil {
			l.FirstToken(now, took)
		}
	})
}

func (c *Scheduler) finish(service share.ServiceID, id uint64, cost int64) {
	c.post(func(now time.Time) { c.queue(service).Finish(now, id, cost) })
}

func (c *Scheduler) release(service share.ServiceID, id uint64) {
	c.post(func(now time.Time) {
		delete(c.started, startKey{
			service: service,
			id:      id,
		})
		c.queue(service).Release(now, id)
	})
}
