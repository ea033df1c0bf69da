package serve

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// refusals are the statuses that tell callers that a request was not run.
var refusals = map[int]bool{
	http.StatusRequestTimeout:     true,
	http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests:    true,
	http.StatusServiceUnavailable: true,
}

// afterDuplicate returns a script that answers the request "id-1" with an answer, and any
// other one with a refusal before the answer. The refusal names a request if named is set.
func afterDuplicate(status, named string, answer script) script {
	return func(w net.Conn, r *http.Request) bool {
		if r.Header.Get("Baobabpaddle-Attempt-Id") != "id-1" {
			name := ""
			if named != "" {
				name = "Baobabpaddle-Attempt-Id: " + named + "\r\n"
			}
			_, _ = io.WriteString(w, "HTTP/1.1 "+status+"\r\n"+name+"Baobabpaddle-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		}
		return answer(w, r)
	}
}

// TestDuplicateRefusalIsNoPromise guards against a refusal of an earlier request that an
// upstream writes again on a kept connection: callers were told that the next request was not
// run although it was, or it ran at a second upstream as well.
func TestDuplicateRefusalIsNoPromise(t *testing.T) {
	for _, status := range []string{"503 Service Unavailable", "429 Too Many Requests", "421 Misdirected Request"} {
		for _, named := range []string{"id-0", ""} {
			for path, idempotent := range map[string]bool{
				"/book/":  false,
				"/draft/": false,
				"/look/":  true,
				"/chat/":  true,
			} {
				t.Run(path+" "+status+" names "+named, func(t *testing.T) {
					is := is.New(t)
					answer, want := reply("200 OK", stamp, "yes"), "yes"
					if path == "/draft/" || path == "/chat/" {
						answer, want = eventStream(event1, true), event1
					}
					g := newTestGateway(t, afterDuplicate(status, named, answer), answer)
					response, body, err := g.send(path, "X-Api-Key", "key-1")
					is.NoErr(err)
					is.Equal(response.StatusCode, http.StatusOK)
					is.Equal(body, want)
					g.scheduler.next = 0 // the same upstream again
					response, body, err = g.send(path, "X-Api-Key", "key-1", "Baobabpaddle-Attempt-Id", "id-2")
					is.NoErr(err)
					if named != "" || idempotent {
						is.Equal(response.StatusCode, http.StatusOK)
						is.Equal(body, want)
					}
					is.True(!refusals[response.StatusCode])
					if !idempotent {
						is.Equal(g.requestCount(), 2) // each request ran once
					}
				})
			}
		}
	}
}
