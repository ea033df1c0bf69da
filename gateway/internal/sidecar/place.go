package sidecar

import (
	"context"
	"time"

	"baobabpaddle/fleet/controller"
	"baobabpaddle/fleet/share"
	"baobabpaddle/fleet/wire"
)

// Placement reports where a request may run, or why it may not. Exactly one of Start and
// Reject is set.
type Placement struct {
	Start *share.Start
	// Incarnation identifies the sidecar's process that granted the slot.
	Incarnation string
	Reject      *share.Reject
}

// waiter holds the channel on which a call of Place receives its placement.
type waiter struct {
	placement chan Placement
}

// deliver sends a placement to the call of Place that waits for it, if any.
func (c *Coordinator) deliver(id uint64, p Placement) {
	w, ok := c.waiters[id]
	if !ok {
		return
	}
	delete(c.waiters, id)
	w.placement <- p
}

// Place waits until a sidecar grants the request a slot or the request is rejected.
// The argument refused is the address of the sidecar that has just refused the request,
// or empty. When the context ends, Place removes the request from the queue and returns
// the context's error.
func (c *Coordinator) Place(ctx context.Context, service *controller.Service, r share.Request, refused string) (Placement, error) {
	w := waiter{
		placement: make(chan Placement, 1),
	}
	c.post(func(now time.Time) {
		c.waiters[r.ID] = w
		if len(c.config.View().Sidecars(service.Name)) == 0 {
			c.deliver(r.ID, Placement{
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
	case p := <-w.placement:
		return p, nil
	case <-c.stopped:
		return Placement{}, context.Canceled
	case <-ctx.Done():
	}
	c.post(func(time.Time) {
		delete(c.waiters, r.ID)
		c.placer(service.ID).Cancel(r.Team, r.ID)
		select {
		case p := <-w.placement: // placed while the context ended
			if p.Start != nil {
				c.decline(service.ID, *p.Start)
			}
		default:
		}
	})
	return Placement{}, ctx.Err()
}

// DeclineGrant returns an unused grant to its sidecar.
func (c *Coordinator) DeclineGrant(service share.ServiceID, start share.Start) {
	c.post(func(time.Time) { c.decline(service, start) })
}

// decline tells the sidecar that a grant will not be used. It does nothing if the request
// was placed without a grant or the sidecar is not linked.
func (c *Coordinator) decline(service share.ServiceID, start share.Start) {
	p := c.peers[start.Sidecar]
	if start.GrantID == 0 || p == nil || p.conn == nil {
		return
	}
	// A failed send ends the link, and the sidecar then releases the grant.
	_ = p.conn.Send(wire.Work{
		Declines: []share.Decline{
			{
				ID:      start.GrantID,
				Service: service,
			},
		},
	})
}
