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
