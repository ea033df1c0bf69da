package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestHeadsRunTogetherAreNoAnswer guards against a refusal that is cut off within its head and
// continued by the head of the next answer, or the other way round: the headers of both would
// make a refusal of a request that ran.
func TestHeadsRunTogetherAreNoAnswer(t *testing.T) {
	refusal := "HTTP/1.1 503 Service Unavailable\r\nBaobabpaddle-Not-Executed: 1\r\nAttempt: first\r\nContent-Length: 0\r\n\r\n"
	named := "HTTP/1.1 503 Service Unavailable\r\nAttempt: first\r\nBaobabpaddle-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	answer := "HTTP/1.1 200 OK\r\nAttempt: second\r\nX: y\r\nContent-Length: 3\r\n\r\nyes"
	interim := "HTTP/1.1 100 Continue\r\nX: y\r\n\r\n"
	for name, c := range map[string]struct {
		cut, rest string
	}{
		"a refusal, then the answer":                  {refusal, answer},
		"a refusal that names first, then the answer": {named, answer},
		"the answer, then a refusal":                  {answer, refusal},
		"the answer, then a refusal without a name":   {answer, refusalFor("", "503 Service Unavailable")},
		"an interim answer, then the answer":          {interim, answer},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for cut := range strings.Index(c.cut, "\r\n\r\n") + 4 {
				if cut == 0 {
					continue
				}
				u := serve(t, func(n int64, w net.Conn, _ *bufio.Reader, r *http.Request) bool {
					if n == 1 {
						write(w, answerFor(r.Header.Get(idHeader), "yes"))
						return true
					}
					write(w, c.cut[:cut]+c.rest)
					return false
				})
				client := newClient()
				_, err := exchange(t, client, u.address(), request("first", ""))
				is.NoErr(err)
				a, err := client.Send(context.Background(), u.address(), request("second", ""))
				if err == nil {
					t.Errorf("cut at %d, %q: status %d, %v", cut, c.cut[:cut], a.Status, a.Header)
					a.Close()
				}
				u.listener.Close()
			}
		})
	}
}

// TestHeadersThatNameTheProtocolAreKept checks that headers that mention HTTP are no reason to
// drop an answer.
func TestHeadersThatNameTheProtocolAreKept(t *testing.T) {
	is := is.New(t)
	u := serve(t, func(_ int64, w net.Conn, _ *bufio.Reader, _ *http.Request) bool {
		write(w, "HTTP/1.1 200 OK\r\nVia: HTTP/1.1 a, 1.1 b\r\nUpgrade: HTTP/2.0, HTTP/1.1\r\nServer: HTTP/1.1\r\n"+
			"Attempt: a\r\nContent-Length: 3\r\n\r\nyes")
		return true
	})
	body, err := exchange(t, newClient(), u.address(), request("a", ""))
	is.NoErr(err)
	is.Equal(body, "yes")
}

// TestInvalidStatusFailsExchange guards against a status that isn't one of HTTP and that is
// taken for an answer, or for an interim one, also after interim answers and after an answer to
// another request.
func TestInvalidStatusFailsExchange(t *testing.T) {
	for _, status := range []string{"000", "099", "+20", "600", "999"} {
		for name, before := range map[string]string{
			"first":                  "",
			"after an interim one":   "HTTP/1.1 103 Early Hints\r\n\r\n",
			"after a foreign answer": answerFor("other", "no"),
		} {
			t.Run(status+" "+name, func(t *testing.T) {
				is := is.New(t)
				u := serve(t, func(_ int64, w net.Conn, _ *bufio.Reader, _ *http.Request) bool {
					write(w, before+"HTTP/1.1 "+status+" x\r\nAttempt: a\r\nContent-Length: 0\r\n\r\n")
					return true
				})
				c := newClient()
				started := time.Now()
				_, err := exchange(t, c, u.address(), request("a", ""))
				is.True(errors.Is(err, ErrBroken))
				is.Equal(c.Idle(), 0)
				is.True(time.Since(started) < time.Second)
			})
		}
	}
}
