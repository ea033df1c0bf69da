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

// TestUnmarkedRefusalIsNoPromise guards against an upstream's status that tells callers that a
// request was not run, although the upstream does not say so and may have run it.
func TestUnmarkedRefusalIsNoPromise(t *testing.T) {
	for _, status := range []string{"408 Request Timeout", "429 Too Many Requests", "503 Service Unavailable"} {
		for _, signature := range []string{stamp, ""} {
			for _, path := range []string{"/book/", "/draft/"} {
				t.Run(path+" "+status+" "+signature, func(t *testing.T) {
					is := is.New(t)
					g := newTestGateway(t, reply(status, signature, "no"), reply("200 OK", stamp, "yes"))
					response, _, err := g.send(path, "X-Api-Key", "key-1")
					is.NoErr(err)
					is.Equal(response.StatusCode, http.StatusBadGateway)
					is.Equal(response.Header.Get("Baobabpaddle-Server-Stamp"), "") // the status is not the upstream's
					is.Equal(response.Header.Get("Retry-After"), "")
					is.Equal(g.requestCount(), 1)
				})
			}
		}
	}
}

// TestRefusalOfIdempotentRequestIsForwarded checks that the answer of the last upstream that
// an idempotent request may be sent to reaches the caller unchanged, whatever its status.
func TestRefusalOfIdempotentRequestIsForwarded(t *testing.T) {
	is := is.New(t)
	busy := reply("503 Service Unavailable", stamp+"Retry-After: 1\r\n", "busy")
	g := newTestGateway(t, busy, busy)
	response, body, err := g.send("/look/")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(response.Header.Get("Baobabpaddle-Server-Stamp"), "s")
	is.Equal(body, "busy")
	is.Equal(g.requestCount(), 2)
}
