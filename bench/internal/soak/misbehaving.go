package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// Limits of misbehaving clients and of the gateways that they connect to.
const (
	// misbehavingConns is the number of callers' connections that a gateway takes if there are
	// misbehaving clients.
	misbehavingConns = 24
	// misbehavingHeldBytes is what a gateway then holds for callers.
	misbehavingHeldBytes = 2 << 20
	// misbehavingTime is the longest time for which a client keeps one connection.
	misbehavingTime = 3 * time.Second
	// misbehavingPause is the longest pause between two parts that a slow client sends or reads.
	misbehavingPause = 100 * time.Millisecond
)

// misbehaving is a client whose requests are never whole or have no route, so that none of them
// runs. It sends and reads slowly, stops half-way, or sends ahead without reading.
type misbehaving struct {
	soak    *Soak
	gateway int
	random  *rand.Rand
}

// run opens one connection after the other until the context ends.
func (m *misbehaving) run(ctx context.Context) {
	dialer := net.Dialer{
		Timeout: time.Second,
		// The other callers come from another host.
		LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(netip.MustParseAddr(m.soak.address(groupMisbehaving, 1)), 0)),
	}
	for ctx.Err() == nil {
		conn, err := dialer.DialContext(ctx, "tcp", m.soak.fleet.gateways[m.gateway].listenAddress())
		if err != nil {
			m.pause(ctx) // the gateway may be down
			continue
		}
		_ = conn.SetDeadline(time.Now().Add(time.Duration(1 + m.random.Int64N(int64(misbehavingTime)))))
		m.misbehave(ctx, conn)
		conn.Close()
	}
}

// misbehave uses a connection until its deadline, or until the gateway closes it.
func (m *misbehaving) misbehave(ctx context.Context, conn net.Conn) {
	head := func(path string, length int) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: soak.example\r\nContent-Length: %d\r\n\r\n", path, length)
	}
	path := []string{"/" + string(Book) + "/none", "/none"}[m.random.IntN(2)]
	length := 1 + m.random.IntN(1<<20)
	whole := head(path, length) + strings.Repeat("x", length-1) // stops just short
	switch m.random.IntN(5) {
	case 0: // stops half-way
		_, _ = io.WriteString(conn, whole[:m.random.IntN(len(whole))])
	case 1: // sends slowly
		for at := 0; at < len(whole) && ctx.Err() == nil; at++ {
			if _, err := io.WriteString(conn, whole[at:at+1]); err != nil {
				return
			}
			m.pause(ctx)
		}
	case 2: // many fields
		_, _ = io.WriteString(conn, "GET /none HTTP/1.1\r\n"+strings.Repeat("a:\r\n", m.random.IntN(4000)))
	case 3: // sends ahead and does not read
		_, _ = io.WriteString(conn, strings.Repeat(head("/none", 0), 500))
	default: // reads slowly
		_, _ = io.WriteString(conn, strings.Repeat(head("/none", 0), 50))
		for one := make([]byte, 1); ctx.Err() == nil; m.pause(ctx) {
			if _, err := conn.Read(one); err != nil {
				return
			}
		}
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(conn, 1)) // keeps the connection until its deadline
}

// pause waits for a short drawn time or until the context ends.
func (m *misbehaving) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(m.random.Int64N(int64(misbehavingPause)))):
	}
}

// startMisbehaving starts the misbehaving clients of a gateway, which run until the context ends.
func (s *Soak) startMisbehaving(ctx context.Context, group *sync.WaitGroup, gateway int) {
	for i := range s.options.Misbehaving {
		m := &misbehaving{
			soak:    s,
			gateway: gateway,
			random:  rand.New(rand.NewPCG(s.options.Seed, uint64(100_000+1000*gateway+i))),
		}
		group.Go(func() { m.run(ctx) })
	}
}
