package connlimit

import (
	"context"
	"errors"
	"io"

	"github.com/ansel1/merry/v2"
)

// initialBodyBytes is the memory reserved for a body before any of it has arrived.
const initialBodyBytes = 512

// reservedFraction is the part of HeldBytes in addition to it that peers may use that are not
// the one that holds most.
const reservedFraction = 8

// reserve reserves bytes for c. If there is no room it gives up connections that hold more. It
// reports false if c itself is the one to give up.
func (l *Listener) reserve(c *conn, n int64) bool {
	if used := l.used.Add(n); used <= l.limits.HeldBytes {
		c.held.Add(n)
		return true
	} else if used > l.limits.HeldBytes+l.limits.HeldBytes/reservedFraction {
		l.used.Add(-n)
		return false
	}
	wanted := c.held.Add(n)
	l.mu.Lock()
	enough := l.giveUpBytes(c.peer, func(o *conn) int64 {
		if o == c || o.peer == c.peer && o.held.Load() <= wanted {
			return 0
		}
		return o.held.Load()
	}, n)
	l.unlock()
	if enough {
		return true
	}
	c.held.Add(-n)
	l.used.Add(-n)
	return false
}

// connKey is the context key of the connection of a request.
type connKey struct{}

// ErrNoMemory is returned for a body that there is no memory for.
var ErrNoMemory = merry.Sentinel("there is no memory for another request")

// ReadAll reads the body of the request with the context to its end and reserves its memory as
// it arrives. The error is ErrNoMemory if there is no room.
func ReadAll(ctx context.Context, body io.Reader) ([]byte, error) {
	var out []byte
	for {
		if len(out) == cap(out) {
			more := max(cap(out), initialBodyBytes)
			if !Reserve(ctx, int64(more)) {
				return nil, ErrNoMemory
			}
			grown := make([]byte, len(out), cap(out)+more) // no more than what is reserved
			copy(grown, out)
			out = grown
		}
		n, err := body.Read(out[len(out):cap(out)])
		out = out[:len(out)+n]
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// Reserve reserves bytes for what the request with the context holds, until it is answered. It
// reports false if there is no room. Without a Listener there is always room.
func Reserve(ctx context.Context, n int64) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	return !ok || c.listener.reserve(c, n)
}
