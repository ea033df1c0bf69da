package sidecar

import (
	"context"
	"time"

	"baobabpaddle/fleet/controller"
	"baobabpaddle/fleet/share"
	"baobabpaddle/fleet/wire"
)

// Placement is where a request may run, or why it may not.
type Placement struct {
	Start       *share.Start
	Incarnation string
	Reject      *share.Reject
}

// waiter is the goroutine that waits for a placement.
type waiter struct {
	answer chan Placement
}

func (c *Coordinator) answer(id uint64, p Placement) {
	w, ok := c.waiters[id]
	if !ok {
		return
	}
	delete(c.waiters, id)
	w.answer <- p
}

// Place waits until the request may run somewhere or is given up. Refused names
// the sidecar that has just refused it, or is empty. When the context ends the
// request no longer waits.
func (c *Coordinator) Place(ctx context.Context, service *controller.Service, r share.Request, refused string) (Placement, error) {
	w := waiter{
		answer: make(chan Placement, 1),
	}
	c.post(func(now time.Time) {
		c.waiters[r.ID] = w
		if len(c.config.View().Sidecars(service.Name)) == 0 {
			c.answer(r.ID, Placement{
				Reject: &share.Reject{
					Request:    r,
					Reason:     share.RejectNoUpstream,
					RetryAfter: noUpstreamRetry,
				},
			})
			return
		}
		if refused != "" {
			c.placer(service.ID).Requeue(now, r, refused)
		} else {
			c.placer(service.ID).Arrive(now, r)
		}
	})
	select {
	case p := <-w.answer:
		return p, nil
	case <-c.stopped:
		return Placement{}, context.Canceled
	case <-ctx.Done():
	}
	c.post(func(time.Time) {
		delete(c.waiters, r.ID)
		c.placer(service.ID).Cancel(r.Team, r.ID)
		select {
		case p := <-w.answer: // granted while the caller went away
			if p.Start != nil {
				c.decline(service.ID, *p.Start)
			}
		default:
		}
	})
	return Placement{}, ctx.Err()
}

// DeclineGrant returns a grant that is not used.
func (c *Coordinator) DeclineGrant(service share.ServiceID, start share.Start) {
	c.post(func(time.Time) { c.decline(service, start) })
}

// decline tells the sidecar that a grant is not used.
func (c *Coordinator) decline(service share.ServiceID, start share.Start) {
	p := c.peers[start.Sidecar]
	if start.GrantID == 0 || p == nil || p.conn == nil {
		return
	}
	// A failed send ends the link, which releases the grant.
	_ = p.conn.Send(wire.Work{
		Declines: []share.Decline{
			{
				ID:      start.GrantID,
				Service: service,
			},
		},
	})
}
