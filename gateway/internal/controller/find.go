package controller

import (
	"context"
	"slices"
	"time"

	"baobabpaddle/fleet/link"
	"baobabpaddle/fleet/wire"
)

// dialInterval is the interval at which controllers are dialed until one is the leader.
const dialInterval = 40 * time.Millisecond

// maintain keeps a link to the leader open until the context ends.
func (l *Link) maintain(ctx context.Context) {
	for ctx.Err() == nil {
		if f := l.findLeader(ctx); f.conn != nil {
			l.receiveFrom(f)
			f.conn.Close()
		}
	}
}

// receiveFrom posts the frames of a link to the control goroutine until the link fails.
func (l *Link) receiveFrom(f dialed) {
	c := f.conn
	l.events <- event{
		linked: c,
		leader: leader{
			address: f.address,
			term:    f.first.Welcome.Term,
		},
	}
	frame, err := f.first, error(nil)
	for err == nil {
		arrived := frame // a copy, since the control goroutine reads it later
		l.events <- event{
			frame: &arrived,
			from:  c,
		}
		frame, err = c.Receive()
	}
	l.events <- event{
		lost:      c,
		lostCause: err,
	}
}

// dialed is the result of dialing a controller: a link to the leader and its first frame.
// The conn is nil if the controller is not the leader or did not answer.
type dialed struct {
	address string
	conn    *link.Conn[wire.Serve]
	first   wire.Serve
}

// findLeader dials all known controllers concurrently and repeatedly until one is the
// leader, and returns a link to it. A controller that doesn't answer does not delay the
// others. The result has no link if the context ended.
func (l *Link) findLeader(ctx context.Context) dialed {
	ctx, cancel := context.WithCancel(ctx)
	results := make(chan dialed)
	dialing := make(map[string]bool)
	ticker := time.NewTicker(dialInterval)
	defer ticker.Stop()
	for {
		for _, address := range l.addresses() {
			if !dialing[address] {
				dialing[address] = true
				go func() { results <- l.dialLeader(ctx, address) }()
			}
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
		for waiting := true; waiting; {
			select {
			case f := <-results:
				delete(dialing, f.address)
				if f.conn != nil {
					// The dials share a context, which must outlive the link that is used.
					go l.closeLate(results, len(dialing), f.conn, cancel)
					return f
				}
			default:
				waiting = false
			}
		}
		if ctx.Err() != nil {
			go l.closeLate(results, len(dialing), nil, cancel)
			return dialed{}
		}
	}
}

// closeLate waits for the given number of open dials, closes the links that they return,
// and cancels their context once the used link has ended.
func (l *Link) closeLate(results <-chan dialed, open int, used *link.Conn[wire.Serve], cancel context.CancelFunc) {
	for range open {
		if late := <-results; late.conn != nil {
			late.conn.Close()
		}
	}
	if used != nil {
		<-used.Done()
	}
	cancel()
}

// addresses returns the seeds and the addresses received from controllers.
func (l *Link) addresses() []string {
	out := slices.Clone(*l.seeds.Load())
	if known := l.learned.Load(); known != nil {
		for _, address := range *known {
			if !slices.Contains(out, address) {
				out = append(out, address)
			}
		}
	}
	return out
}

// dialLeader opens a link to a controller and returns it if the controller is the leader.
// Otherwise it stores the addresses of controllers that the answer contains.
func (l *Link) dialLeader(ctx context.Context, address string) dialed {
	c, err := link.Dial[wire.Serve](ctx, l.dialer, address, wire.PathServe)
	if err != nil {
		return dialed{
			address: address,
		}
	}
	view := l.view.Load()
	version := uint64(0)
	if view.Table != nil && !l.needsFull.Load() {
		version = view.Table.Configuration.Version
	}
	if c.Send(wire.Serve{
		Hello: &wire.ServeHello{
			Name:            l.settings.Name,
			Zone:            l.settings.Zone,
			Version:         version,
			UpstreamsHash:   wire.UpstreamsHash(view.Upstreams),
			VersionsHash:    wire.VersionsHash(view.Upstreams),
			UpstreamsDigest: wire.UpstreamsDigest(view.Upstreams),
		},
	}) != nil {
		c.Close()
		return dialed{
			address: address,
		}
	}
	first, err := c.Receive()
	if err != nil || first.Welcome == nil || !first.Welcome.IsLeader {
		if first.Welcome != nil && len(first.Welcome.Controllers) > 0 {
			l.learned.Store(&first.Welcome.Controllers)
		}
		c.Close()
		return dialed{
			address: address,
		}
	}
	return dialed{
		address: address,
		conn:    c,
		first:   first,
	}
}
