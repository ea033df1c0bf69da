package serve

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/fleet/dispatch"
)

// attempt is the line with which an answer names its request, whose identifier replaces ID.
const attempt = "Baobabpaddle-Attempt-Id: ID\r\n"

// writeText returns a script that writes an answer as it is, but for the request's identifier,
// and keeps the connection open or closes it.
func writeText(text string, keepOpen bool) script {
	return func(w net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(w, strings.Replace(text, "ID", r.Header.Get("Baobabpaddle-Attempt-Id"), 1))
		return keepOpen
	}
}

// checkNoAnswer has the upstream "a" send a text that is no answer to each kind of route. The
// caller must get another upstream's answer if the request may run twice and 502 otherwise, long
// before the timeout of its route, and the scheduler a failure.
func checkNoAnswer(t *testing.T, text string, keepOpen bool) {
	t.Helper()
	for path, whole := range map[string]string{
		"/book/":  "",
		"/look/":  "elsewhere",
		"/draft/": "",
		"/chat/":  event1 + event2,
	} {
		is := is.New(t)
		elsewhere := reply("200 OK", stamp, whole)
		if path == "/chat/" {
			elsewhere = eventStream(whole, true)
		}
		g := newTestGateway(t, writeText(text, keepOpen), elsewhere)
		started := time.Now()
		response, body, err := g.send(path, "X-Api-Key", "key-1")
		is.NoErr(err)
		if took := time.Since(started); took > time.Second {
			t.Errorf("%s was answered after %v", path, took)
		}
		g.scheduler.mu.Lock()
		is.Equal(g.scheduler.ended[0], dispatch.Broken)
		g.scheduler.mu.Unlock()
		if whole == "" {
			is.Equal(response.StatusCode, http.StatusBadGateway)
			is.Equal(response.Header.Get("Retry-After"), "") // it may have run
			is.Equal(g.requestCount(), 1)
			continue
		}
		is.Equal(response.StatusCode, http.StatusOK)
		is.Equal(body, whole)
	}
}

// TestInvalidStatusIsNoAnswer guards against an answer whose status isn't one of HTTP, and that
// reaches a caller or is waited for until the deadline as if it were an interim answer.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "-00", "001", "+20", "099", "600", "999"} {
		for name, rest := range map[string]string{
			"length":    "Content-Length: 3\r\n\r\nyes",
			"empty":     "Content-Length: 0\r\n\r\n",
			"chunks":    "Transfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n0\r\n\r\n",
			"no length": "\r\nyes",
			"events":    eventType + "\r\n" + event1,
		} {
			for _, keepOpen := range []bool{true, false} {
				t.Run(status+" "+name+", open "+strconv.FormatBool(keepOpen), func(t *testing.T) {
					t.Parallel()
					checkNoAnswer(t, "HTTP/1.1 "+status+" x\r\n"+attempt+stamp+rest, keepOpen)
				})
			}
		}
	}
}

// TestSwitchOfProtocolIsNoAnswer guards against an upstream that switches the protocol although no
// request asks for that: the answer was waited for until the deadline.
func TestSwitchOfProtocolIsNoAnswer(t *testing.T) {
	for name, head := range map[string]string{
		"without Upgrade": "",
		"with Upgrade":    "Connection: Upgrade\r\nUpgrade: h2c\r\n",
	} {
		for _, keepOpen := range []bool{true, false} {
			t.Run(name+", open "+strconv.FormatBool(keepOpen), func(t *testing.T) {
				t.Parallel()
				checkNoAnswer(t, "HTTP/1.1 101 Switching Protocols\r\n"+head+attempt+stamp+"\r\n", keepOpen)
			})
		}
	}
}

// TestSpaceInHeaderNameIsNoAnswer guards against a space in the name of the header that frames an
// answer: a part of the body looked whole, or its chunks were taken for it.
func TestSpaceInHeaderNameIsNoAnswer(t *testing.T) {
	for name, rest := range map[string]string{
		"length":   "Content-Length : 12\r\n\r\ntwelve",
		"tab":      "Content-Length\t: 12\r\n\r\ntwelve",
		"chunks":   "Transfer-Encoding : chunked\r\n\r\n3\r\nyes\r\n0\r\n\r\n",
		"encoding": "Content-Encoding : gzip\r\nContent-Length: 3\r\n\r\nyes",
	} {
		for _, keepOpen := range []bool{true, false} {
			t.Run(name+", open "+strconv.FormatBool(keepOpen), func(t *testing.T) {
				t.Parallel()
				checkNoAnswer(t, "HTTP/1.1 200 OK\r\n"+attempt+stamp+rest, keepOpen)
			})
		}
	}
}

// TestChunksOfOldVersionAreNoBody guards against the marks of chunks in a body, and a part of it
// that looks whole: net/http ignores Transfer-Encoding in an answer of a version before HTTP/1.1.
func TestChunksOfOldVersionAreNoBody(t *testing.T) {
	for _, version := range []string{"HTTP/1.0", "HTTP/0.9"} {
		for name, extra := range map[string]string{
			"chunks":            "",
			"chunks and length": "Content-Length: 3\r\n",
			"after a long head": "X: " + strings.Repeat("x", 3000) + "\r\n",
		} {
			for _, keepOpen := range []bool{true, false} {
				t.Run(version+" "+name+", open "+strconv.FormatBool(keepOpen), func(t *testing.T) {
					t.Parallel()
					checkNoAnswer(t, version+" 200 OK\r\n"+attempt+stamp+extra+"transfer-encoding: chunked\r\n\r\n3\r\nyes\r\n0\r\n\r\n", keepOpen)
				})
			}
		}
	}
}

// TestAnswerOfOldVersion checks that answers of HTTP/1.0 arrive.
func TestAnswerOfOldVersion(t *testing.T) {
	for name, rest := range map[string]string{
		"length":    "Content-Length: 27\r\n\r\n",
		"no length": "\r\n",
		"long head": "X: " + strings.Repeat("x", 8000) + "\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const body = "Transfer-Encoding: chunked\n"
			g := newTestGateway(t, writeText("HTTP/1.0 200 OK\r\n"+attempt+stamp+rest+body, false))
			response, got, err := g.send("/book/")
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusOK)
			is.Equal(got, body)
		})
	}
}

// TestFaultyFramingIsNoAnswer guards against a head whose version, status or framing is faulty and
// that is taken for an answer, or waited for until the deadline.
func TestFaultyFramingIsNoAnswer(t *testing.T) {
	for name, head := range map[string]string{
		"two lengths":         "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 2\r\n",
		"a list of lengths":   "HTTP/1.1 200 OK\r\nContent-Length: 3, 2\r\n",
		"a negative length":   "HTTP/1.1 200 OK\r\nContent-Length: -3\r\n",
		"a signed length":     "HTTP/1.1 200 OK\r\nContent-Length: +3\r\n",
		"an endless length":   "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n",
		"an empty length":     "HTTP/1.1 200 OK\r\nContent-Length: \r\n",
		"another coding":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n",
		"two codings":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
		"no header name":      "HTTP/1.1 200 OK\r\n: x\r\nContent-Length: 3\r\n",
		"a line, no header":   "HTTP/1.1 200 OK\r\nfoo bar\r\nContent-Length: 3\r\n",
		"four digits":         "HTTP/1.1 2000 OK\r\nContent-Length: 3\r\n",
		"two digits":          "HTTP/1.1 20 OK\r\nContent-Length: 3\r\n",
		"no status":           "HTTP/1.1 OK\r\nContent-Length: 3\r\n",
		"no version":          "200 OK\r\nContent-Length: 3\r\n",
		"a version in lower":  "http/1.1 200 OK\r\nContent-Length: 3\r\n",
		"a long version":      "HTTP/1.10 200 OK\r\nContent-Length: 3\r\n",
		"a version, no point": "HTTP/11 200 OK\r\nContent-Length: 3\r\n",
		"another protocol":    "\x15\x03\x01\x00\x02\x02\n",
	} {
		for _, keepOpen := range []bool{true, false} {
			t.Run(name+", open "+strconv.FormatBool(keepOpen), func(t *testing.T) {
				t.Parallel()
				checkNoAnswer(t, head+attempt+stamp+"\r\nyes", keepOpen)
			})
		}
	}
}

// TestBodyWithoutPlaceIsNoAnswer guards against the body of an answer that has none by its status,
// and that is taken for the answer to the next request on the connection.
func TestBodyWithoutPlaceIsNoAnswer(t *testing.T) {
	const body = "HTTP/1.1 200 OK\r\n" + stamp + "Content-Length: 2\r\n\r\nno"
	for _, status := range []string{"204 No Content", "304 Not Modified"} {
		for name, framing := range map[string]string{
			"length":    "Content-Length: " + lengthOf(body) + "\r\n",
			"chunks":    "Transfer-Encoding: chunked\r\n",
			"no length": "",
		} {
			for _, pause := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
				t.Run(status+" "+name+", pause "+pause.String(), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					g := newTestGateway(t, nil)
					var later atomic.Bool
					g.setScript("a", func(w net.Conn, r *http.Request) bool {
						if later.Swap(true) {
							return reply("200 OK", stamp, "yes")(w, r)
						}
						writeText("HTTP/1.1 "+status+"\r\n"+attempt+stamp+framing+"\r\n", true)(w, r)
						time.Sleep(pause)
						return writeText(body, true)(w, r)
					})
					response, got, err := g.send("/book/")
					is.NoErr(err)
					is.Equal(response.Status, status)
					is.Equal(got, "")
					response, got, err = g.send("/book/")
					is.NoErr(err)
					if response.StatusCode != http.StatusBadGateway {
						is.Equal(response.StatusCode, http.StatusOK)
						is.Equal(got, "yes")
					}
				})
			}
		}
	}
}
