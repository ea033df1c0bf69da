package controller

import (
	"context"
	"slices"
	"time"

	"baobabpaddle/fleet/link"
	"baobabpaddle/fleet/wire"
)

// findInterval is the pause before a controller that does not lead is asked again.
const findInterval = 40 * time.Millisecond

// keep holds a link to the leader until the context ends.
func (l *Link) keep(ctx context.Context) {
	for ctx.Err() == nil {
		if f := l.find(ctx); f.conn != nil {
			l.use(f)
			f.conn.Close()
		}
	}
}

func (l *Link) use(f found) {
	c := f.conn
	l.events <- event{
		linked: c,
		leader: f.target,
	}
	frame, err := f.first, error(nil)
	for err == nil {
		arrived := frame // the control goroutine reads it later
		l.events <- event{
			frame: &arrived,
			from:  c,
		}
		frame, err = c.Receive()
	}
	l.events <- event{
		lost:  c,
		cause: err,
	}
}

// found is a link to the leader with its first frame; without a link the target
// does not lead or does not answer.
type found struct {
	target string
	conn   *link.Conn[wire.Serve]
	first  wire.Serve
}

// find asks all known controllers, each again and again, until one leads, and
// returns a link to it. One that does not answer holds nobody up. The result has no
// link when the context ends.
func (l *Link) find(ctx context.Context) found {
	ctx, cancel := context.WithCancel(ctx)
	answers := make(chan found)
	asking := make(map[string]bool)
	ticker := time.NewTicker(findInterval)
	defer ticker.Stop()
	for {
		for _, target := range l.targets() {
			if !asking[target] {
				asking[target] = true
				go func() { answers <- l.ask(ctx, target) }()
			}
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
		for waiting := true; waiting; {
			select {
			case f := <-answers:
				delete(asking, f.target)
				if f.conn != nil {
					// The context must outlive the link.
					go l.discard(answers, len(asking), f.conn, cancel)
					return f
				}
			default:
				waiting = false
			}
		}
		if ctx.Err() != nil {
			go l.discard(answers, len(asking), nil, cancel)
			return found{}
		}
	}
}

// discard closes links that are found too late, and ends their context once the
// link in use has ended.
func (l *Link) discard(answers <-chan found, open int, used *link.Conn[wire.Serve], cancel context.CancelFunc) {
	for range open {
		if late := <-answers; late.conn != nil {
			late.conn.Close()
		}
	}
	if used != nil {
		<-used.Done()
	}
	cancel()
}

func (l *Link) targets() []string {
	out := slices.Clone(*l.seeds.Load())
	if known := l.known.Load(); known != nil {
		for _, address := range *known {
			if !slices.Contains(out, address) {
				out = append(out, address)
			}
		}
	}
	return out
}

// ask opens a link and returns it if the controller leads.
func (l *Link) ask(ctx context.Context, address string) found {
	c, err := link.Dial[wire.Serve](ctx, l.dialer, address, wire.PathServe)
	if err != nil {
		return found{
			target: address,
		}
	}
	view := l.view.Load()
	version := uint64(0)
	if view.Table != nil && !l.wantWhole.Load() {
		version = view.Table.Configuration.Version
	}
	if c.Send(wire.Serve{
		Hello: &wire.ServeHello{
			Name:          l.settings.Name,
			Zone:          l.settings.Zone,
			Version:       version,
			UpstreamsHash: wire.UpstreamsHash(view.Upstreams),
		},
	}) != nil {
		c.Close()
		return found{
			target: address,
		}
	}
	first, err := c.Receive()
	if err != nil || first.Welcome == nil || !first.Welcome.IsLeader {
		if first.Welcome != nil && len(first.Welcome.Controllers) > 0 {
			l.known.Store(&first.Welcome.Controllers)
		}
		c.Close()
		return found{
			target: address,
		}
	}
	return found{
		target: address,

		conn:  c,
		first: first,
	}
}
