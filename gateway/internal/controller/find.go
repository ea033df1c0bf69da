package controller

import (
	"context"
	"slices"
	"time"

	"baobabpaddle/fleet/link"
	"baobabpaddle/fleet/wire"
)

// findInterval is the pause between two searches for the leader.
const findInterval = 150 * time.Millisecond

// keep holds a link to the leader until the context ends.
func (l *Link) keep(ctx context.Context) {
	for ctx.Err() == nil {
		if c, first := l.find(ctx); c != nil {
			l.use(c, first)
			c.Close()
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(findInterval):
		}
	}
}

func (l *Link) use(c *link.Conn[wire.Serve], first wire.Serve) {
	l.events <- event{
		linked: c,
	}
	frame, err := first, error(nil)
	for err == nil {
		arrived := frame // the control goroutine reads it later
		l.events <- event{
			frame: &arrived,
			from:  c,
		}
		frame, err = c.Receive()
	}
	l.events <- event{
		lost: c,
	}
}

// found is a link to the leader with its first frame.
type found struct {
	conn  *link.Conn[wire.Serve]
	first wire.Serve
}

// find asks all known controllers at once and returns a link to the one that
// leads, or nil.
func (l *Link) find(ctx context.Context) (*link.Conn[wire.Serve], wire.Serve) {
	ctx, cancel := context.WithCancel(ctx)
	answers := make(chan found)
	targets := l.targets()
	for _, target := range targets {
		go func() { answers <- l.ask(ctx, target) }()
	}
	for n := range targets {
		f := <-answers
		if f.conn == nil {
			continue
		}
		// The rest is closed when it comes; the context must outlive the link.
		go func() {
			for range len(targets) - n - 1 {
				if late := <-answers; late.conn != nil {
					late.conn.Close()
				}
			}
			<-f.conn.Done()
			cancel()
		}()
		return f.conn, f.first
	}
	cancel()
	return nil, wire.Serve{}
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
		return found{}
	}
	version := uint64(0)
	if v := l.view.Load(); v.Table != nil {
		version = v.Table.Configuration.Version
	}
	if c.Send(wire.Serve{
		Hello: &wire.ServeHello{
			Name:    l.settings.Name,
			Zone:    l.settings.Zone,
			Version: version,
		},
	}) != nil {
		c.Close()
		return found{}
	}
	first, err := c.Receive()
	if err != nil || first.Welcome == nil || !first.Welcome.Leads {
		if first.Welcome != nil && len(first.Welcome.Controllers) > 0 {
			l.known.Store(&first.Welcome.Controllers)
		}
		c.Close()
		return found{}
	}
	return found{
		conn:  c,
		first: first,
	}
}
