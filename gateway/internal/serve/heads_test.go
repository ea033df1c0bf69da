package serve

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
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
