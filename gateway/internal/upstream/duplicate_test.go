package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// refusalFor returns a refusal of the request with an ID, or one that names no request if the
// ID is empty.
func refusalFor(id, status string) string {
	const body = "full"
	text := "HTTP/1.1 " + status + "\r\n"
	if id != "" {
		text += idHeader + ": " + id + "\r\n"
	}
	return text + "Baobabpaddle-Not-Executed: 1\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// arrival writes a duplicate and the answer to the request of which the upstream has read the
// head.
type arrival func(w net.Conn, r *http.Request, duplicate, answer string)

// arrivals are the ways in which a duplicate reaches a client that waits for an answer.
var arrivals = map[string]arrival{
	"while the request is written": func(w net.Conn, r *http.Request, duplicate, answer string) {
		write(w, duplicate)
		_, _ = io.Copy(io.Discard, r.Body)
		write(w, answer)
	},
	"after the request was written": func(w net.Conn, r *http.Request, duplicate, answer string) {
		_, _ = io.Copy(io.Discard, r.Body)
		write(w, duplicate)
		time.Sleep(20 * time.Millisecond)
		write(w, answer)
	},
	"together with the answer": func(w net.Conn, r *http.Request, duplicate, answer string) {
		_, _ = io.Copy(io.Discard, r.Body)
		write(w, duplicate+answer)
	},
	"in two parts, the second with the answer": func(w net.Conn, r *http.Request, duplicate, answer string) {
		_, _ = io.Copy(io.Discard, r.Body)
		write(w, duplicate[:20])
		time.Sleep(20 * time.Millisecond)
		write(w, duplicate[20:]+answer)
	},
	"twice": func(w net.Conn, r *http.Request, duplicate, answer string) {
		_, _ = io.Copy(io.Discard, r.Body)
		write(w, duplicate+duplicate+answer)
	},
}

// TestDuplicateRefusalIsNoAnswer guards against a refusal of an earlier request that the
// upstream writes again on a kept connection, and that is taken for a refusal of the next
// request although that one runs. One that names the earlier request is discarded, and one
// that names none fails the exchange.
func TestDuplicateRefusalIsNoAnswer(t *testing.T) {
	for how, arrive := range arrivals {
		for _, status := range []string{"503 Service Unavailable", "429 Too Many Requests", "421 Misdirected Request", "400 Bad Request"} {
			for _, named := range []string{"first", ""} {
				t.Run(how+", "+status+", names "+strconv.Quote(named), func(t *testing.T) {
					is := is.New(t)
					u := serve(t, func(n int64, w net.Conn, _ *bufio.Reader, r *http.Request) bool {
						if n == 1 {
							write(w, refusalFor(named, status))
							return true
						}
						arrive(w, r, refusalFor(named, status), answerFor(r.Header.Get(idHeader), "yes"))
						return true
					})
					c := newClient()
					body, err := exchange(t, c, u.address(), request("first", ""))
					is.NoErr(err)
					is.Equal(body, "full")
					is.Equal(c.Idle(), 1) // the connection is kept
					body, err = exchange(t, c, u.address(), request("second", strings.Repeat("x", 2*maxInlineBytes)))
					is.Equal(u.conns.Load(), int64(1))
					if named == "" {
						is.True(errors.Is(err, ErrBroken))
						return
					}
					is.NoErr(err)
					is.Equal(body, "yes")
				})
			}
		}
	}
}

// TestUnnamedAnswerAfterForeignOne guards against an unnamed refusal that follows an answer to
// another request on a new connection: it may belong to another request as well.
func TestUnnamedAnswerAfterForeignOne(t *testing.T) {
	is := is.New(t)
	u := serve(t, func(_ int64, w net.Conn, _ *bufio.Reader, r *http.Request) bool {
		write(w, answerFor("other", "no")+refusalFor("", "503 Service Unavailable")+answerFor(r.Header.Get(idHeader), "yes"))
		return true
	})
	_, err := exchange(t, newClient(), u.address(), request("a", ""))
	is.True(errors.Is(err, ErrBroken))
}

// TestDuplicateOnIdleConnection guards against a refusal that an upstream writes again before
// the next request, or with the first one: the next request is sent on another connection.
func TestDuplicateOnIdleConnection(t *testing.T) {
	for name, pause := range map[string]time.Duration{
		"with the first": 0,
		"later":          20 * time.Millisecond,
	} {
		for _, named := range []string{"first", ""} {
			t.Run(name+", names "+strconv.Quote(named), func(t *testing.T) {
				is := is.New(t)
				refusal := refusalFor(named, "503 Service Unavailable")
				written := make(chan struct{})
				u := serve(t, func(n int64, w net.Conn, _ *bufio.Reader, r *http.Request) bool {
					if n == 1 {
						if pause == 0 {
							write(w, refusal+refusal)
						} else {
							write(w, refusal)
							time.Sleep(pause)
							write(w, refusal)
						}
						close(written)
						return true
					}
					write(w, answerFor(r.Header.Get(idHeader), "yes"))
					return true
				})
				c := newClient()
				_, err := exchange(t, c, u.address(), request("first", ""))
				is.NoErr(err)
				<-written
				time.Sleep(20 * time.Millisecond) // until the duplicate has arrived
				body, err := exchange(t, c, u.address(), request("second", ""))
				is.NoErr(err)
				is.Equal(body, "yes")
				is.Equal(u.conns.Load(), int64(2))
			})
		}
	}
}

// TestManyDuplicatesFailTheExchange guards against a connection that brings more answers to
// earlier requests than are discarded: none of them is the answer.
func TestManyDuplicatesFailTheExchange(t *testing.T) {
	is := is.New(t)
	u := serve(t, func(_ int64, w net.Conn, _ *bufio.Reader, r *http.Request) bool {
		write(w, strings.Repeat(refusalFor("first", "503 Service Unavailable"), maxForeignAnswers+1)+answerFor(r.Header.Get(idHeader), "yes"))
		return true
	})
	_, err := exchange(t, newClient(), u.address(), request("second", ""))
	is.True(errors.Is(err, ErrBroken))
}

// TestRequestWithoutID guards against an answer to an earlier request that is taken for the
// answer to a request without an ID: only the connection tells which request it belongs to.
func TestRequestWithoutID(t *testing.T) {
	is := is.New(t)
	u := serve(t, func(n int64, w net.Conn, _ *bufio.Reader, _ *http.Request) bool {
		if n == 2 {
			write(w, refusalFor("", "503 Service Unavailable"))
		}
		write(w, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"+strconv.FormatInt(n, 10))
		return true
	})
	c := newClient()
	body, err := exchange(t, c, u.address(), request("", ""))
	is.NoErr(err)
	is.Equal(body, "1")
	answer, err := c.Send(context.Background(), u.address(), request("", ""))
	is.NoErr(err)
	defer answer.Close()
	is.Equal(answer.Status, http.StatusServiceUnavailable) // the first answer on a connection of its own
	is.Equal(u.conns.Load(), int64(2))
}
