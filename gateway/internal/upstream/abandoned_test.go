package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestAbandonedRequestIsNotSent abandons requests before and while a connection is opened.
// Nothing may be sent, and an idle connection must stay in the pool.
func TestAbandonedRequestIsNotSent(t *testing.T) {
	is := is.New(t)
	u := serve(t, func(_ int64, w net.Conn, _ *bufio.Reader, r *http.Request) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		write(w, answerFor(r.Header.Get(idHeader), "yes"))
		return true
	})
	c := newClient()
	calls := 0
	abandonAt := func(call int) Request {
		calls = 0
		r := request("a", "body")
		r.Abandoned = func() bool {
			calls++
			return calls == call
		}
		return r
	}
	for call := 1; call <= 2; call++ {
		_, err := c.Send(context.Background(), u.address(), abandonAt(call))
		is.True(errors.Is(err, ErrAbandoned))
		is.Equal(calls, call)
	}
	time.Sleep(50 * time.Millisecond)
	is.Equal(u.requests.Load(), int64(0))

	body, err := exchange(t, c, u.address(), abandonAt(0))
	is.NoErr(err)
	is.Equal(body, "yes")
	_, err = c.Send(context.Background(), u.address(), abandonAt(1))
	is.True(errors.Is(err, ErrAbandoned))
	is.Equal(c.Idle(), 1)
	is.Equal(u.requests.Load(), int64(1))
}

// TestAbortEndsExchangeAtOnce guards against an upstream that works until the goroutine of an aborted
// exchange has run, and against the use of its connection for another request.
func TestAbortEndsExchangeAtOnce(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{})
	u := serve(t, func(n int64, w net.Conn, r *bufio.Reader, request *http.Request) bool {
		write(w, answerFor(request.Header.Get(idHeader), "yes"))
		if n == 1 {
			_, _ = r.ReadByte()
			close(ended)
		}
		return n > 1
	})
	c := newClient()
	ctx, cancel := context.WithCancel(context.Background())
	var abort func()
	stopped := 0
	r := request("a", "")
	r.Watch = func(f func()) func() {
		abort = f
		return func() { stopped++ }
	}
	a, err := c.Send(ctx, u.address(), r)
	is.NoErr(err)
	cancel()
	abort()
	<-ended
	is.Equal(stopped, 0)
	a.Close()
	is.Equal(stopped, 1)
	is.Equal(c.Idle(), 0)
}
