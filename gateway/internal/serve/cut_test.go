package serve

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// cutAfter returns a script that sends the first bytes of an answer and closes the connection.
// The request's identifier replaces "ID" in the answer.
func cutAfter(n int, text string) script {
	return func(w net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(w, strings.Replace(text, "ID", r.Header.Get("Baobabpaddle-Attempt-Id"), 1)[:n])
		return false
	}
}

// cutHead is the beginning of an answer's head.
const cutHead = "HTTP/1.1 200 OK\r\nBaobabpaddle-Attempt-Id: ID\r\n" + stamp

// TestCutAnswerIsNoSuccess guards against an upstream that stops amid its answer and closes the
// connection, and whose caller gets a success with an empty or short body that looks whole. The
// answer is cut off at each byte.
func TestCutAnswerIsNoSuccess(t *testing.T) {
	const id = "id-1"
	chunk := strconv.FormatInt(int64(len(event1+event2)), 16) + "\r\n" + event1 + event2 + "\r\n0\r\n\r\n"
	for name, text := range map[string]string{
		"length":    cutHead + "Content-Length: 12\r\n\r\ntwelve bytes",
		"chunks":    cutHead + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n12\r\nabcdefghijklmnopqr\r\n0\r\n\r\n",
		"interim":   "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n" + cutHead + "Content-Length: 3\r\n\r\nyes",
		"no length": cutHead + "Connection: close\r\n\r\n",
		"failure":   strings.Replace(cutHead, "200 OK", "404 Not Found", 1) + "Content-Length: 2\r\n\r\nno",
		"events":    cutHead + eventType + "Transfer-Encoding: chunked\r\n\r\n" + chunk,
	} {
		whole := len(text) + len(id) - len("ID")
		for _, path := range []string{"/book/", "/look/", "/draft/"} {
			if name == "no length" && path != "/book/" || name == "events" && path == "/draft/" {
				continue // other tests cover what follows the head
			}
			t.Run(path+" "+name, func(t *testing.T) {
				is := is.New(t)
				g := newTestGateway(t, nil, reply("200 OK", stamp, "elsewhere"))
				g.handler.budget.settings.Slack = float64(100 * whole)
				for cut := range whole {
					g.setScript("a", cutAfter(cut, text))
					g.scheduler.next = 0
					response, body, err := g.send(path, "X-Api-Key", "key-1")
					is.NoErr(err)
					if path == "/look/" {
						is.Equal(response.StatusCode, http.StatusOK)
						is.Equal(body, "elsewhere")
						continue
					}
					is.Equal(response.StatusCode, http.StatusBadGateway)
				}
			})
		}
	}
}

// TestCutStreamIsNotWhole guards against a stream that an upstream cuts off at any byte and
// that looks whole: it breaks off, or goes on at another upstream if it may be resumed.
func TestCutStreamIsNotWhole(t *testing.T) {
	chunk := func(text string) string { return strconv.FormatInt(int64(len(text)), 16) + "\r\n" + text + "\r\n" }
	text := cutHead + eventType + "Transfer-Encoding: chunked\r\n\r\n" + chunk(event1) + chunk(event2) + "0\r\n\r\n"
	whole := len(text) + len("id-1") - len("ID")
	rest := func(w net.Conn, r *http.Request) bool {
		events := map[string]string{
			"":  event1 + event2 + event3,
			"1": event2 + event3,
			"2": event3,
		}[r.Header.Get("Last-Event-Id")]
		return eventStream(events, true)(w, r)
	}
	for _, path := range []string{"/draft/", "/chat/"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			g := newTestGateway(t, nil, rest)
			g.handler.budget.settings.Slack = float64(100 * whole)
			for cut := range whole {
				g.setScript("a", cutAfter(cut, text))
				g.scheduler.next = 0
				response, body, err := g.send(path, "X-Api-Key", "key-1")
				if path == "/chat/" {
					is.NoErr(err)
					is.Equal(response.StatusCode, http.StatusOK)
					is.Equal(body, event1+event2+event3)
					continue
				}
				if response.StatusCode == http.StatusBadGateway {
					is.NoErr(err)
					continue
				}
				is.Equal(response.StatusCode, http.StatusOK)
				is.True(err != nil) // the answer breaks off
				is.True(body == event1 || body == event1+event2)
			}
		})
	}
}
