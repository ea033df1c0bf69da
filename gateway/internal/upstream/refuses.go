package upstream

import (
	"context"
	"errors"
	"os"
	"syscall"
	"time"
)

const (
	// refusalTimeout bounds the check whether a host refuses connections. A host that is
	// up refuses or accepts within a round trip.
	refusalTimeout = 150 * time.Millisecond
	// refusalGrace is the time for which a connection that was accepted must stay open. The
	// kernel may close the connections of a process that ends before its listener.
	refusalGrace = 20 * time.Millisecond
	// refusalMemory is the time for which the result of a check is used again: all
	// exchanges with an upstream break off at the same moment when it crashes.
	refusalMemory = 100 * time.Millisecond
)

// refusalCheck is a check whether a host refuses connections.
type refusalCheck struct {
	done    chan struct{} // closed at the end of the check
	refused bool          // set before done is closed
	expires time.Time     // set before done is closed
}

// Refuses reports whether the host refuses connections to an address, as it does after the
// process that listened there has ended. A connection that is accepted is kept for the
// next request.
func (c *Client) Refuses(address string) bool {
	now := time.Now()
	c.mu.Lock()
	check := c.refusalChecks[address]
	if check != nil && check.expired(now) {
		check = nil
	}
	first := check == nil
	if first {
		check = &refusalCheck{
			done: make(chan struct{}),
		}
		c.refusalChecks[address] = check
	}
	c.mu.Unlock()
	if first {
		c.finishCheck(check, address)
	}
	<-check.done
	return check.refused
}

// finishCheck sets the result of a check, also if the check panics: others wait for it.
func (c *Client) finishCheck(check *refusalCheck, address string) {
	defer func() {
		check.expires = time.Now().Add(refusalMemory)
		close(check.done)
	}()
	check.refused = c.checkRefusal(address)
}

// expired reports whether the result of the check is too old to be used.
func (k *refusalCheck) expired(now time.Time) bool {
	select {
	case <-k.done:
		return now.After(k.expires)
	default:
		return false
	}
}

// checkRefusal opens a connection and reports whether it was refused. If it is accepted and closed
// within refusalGrace, another one decides: upstreams also close those beyond their limit.
func (c *Client) checkRefusal(address string) bool {
	for range 2 {
		k, err := c.tryConnect(address)
		if errors.Is(err, syscall.ECONNRESET) {
			continue // it was accepted and closed before connect returned
		}
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
		if k.staysOpen(time.Now().Add(refusalGrace)) {
			k.idleUntil = time.Now().Add(maxIdleTime)
			c.putIdle(k)
			return false
		}
		k.close()
	}
	return false
}

// tryConnect opens a connection, also beyond the limit.
func (c *Client) tryConnect(address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), refusalTimeout)
	defer cancel()
	c.mu.Lock()
	c.open++ // such checks are rare and short
	c.mu.Unlock()
	return c.connect(ctx, address)
}

// staysOpen reports whether the connection is open and without data until the given time.
func (k *conn) staysOpen(until time.Time) bool {
	if k.SetReadDeadline(until) != nil {
		return false
	}
	if _, err := k.reader.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	// The process may have had no processor time as the connection was closed.
	return k.SetReadDeadline(time.Time{}) == nil && k.reusable()
}
