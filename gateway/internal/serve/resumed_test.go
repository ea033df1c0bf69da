package serve

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/platform"
)

// rawAnswer returns a script that sends a status line, the header that names the request, and
// text, and then closes the connection.
func rawAnswer(status, text string) script {
	return func(w net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(w, "HTTP/1.1 "+status+"\r\nBaobabpaddle-Attempt-Id: "+r.Header.Get("Baobabpaddle-Attempt-Id")+"\r\n"+text)
		return false
	}
}

// eventType is the header of an event stream.
const eventType = "Content-Type: text/event-stream\r\n"

// noContinuations are answers of an upstream that is asked to resume a stream after its first
// event, and which does not.
var noContinuations = map[string]script{
	"400":                      reply("400 Bad Request", stamp, "no\n\n"),
	"404":                      reply("404 Not Found", stamp, "no\n\n"),
	"429 without the mark":     reply("429 Too Many Requests", stamp, "no\n\n"),
	"500":                      reply("500 Internal Server Error", stamp+eventType, "data: no\n\n"),
	"503 without the mark":     reply("503 Service Unavailable", stamp+"Retry-After: 1\r\n", "no\n\n"),
	"504":                      reply("504 Gateway Timeout", stamp, "no\n\n"),
	"a redirection":            reply("302 Found", stamp+"Location: /\r\n", "no\n\n"),
	"a rejection":              reply("503 Service Unavailable", "Baobabpaddle-Not-Executed: 1\r\n", "full\n\n"),
	"a rejection, 429":         reply("429 Too Many Requests", "Baobabpaddle-Not-Executed: 1\r\n", "full\n\n"),
	"a rejection, 400":         reply("400 Bad Request", "Baobabpaddle-Not-Executed: 1\r\n", "full\n\n"),
	"another upstream":         reply("421 Misdirected Request", "", "no\n\n"),
	"no body is due":           rawAnswer("204 No Content", stamp+"\r\n"),
	"a part":                   reply("206 Partial Content", stamp+eventType, event2),
	"JSON":                     reply("200 OK", stamp+"Content-Type: application/json\r\n", "{\"error\":\"no\"}\n\n"),
	"JSON of several lines":    reply("200 OK", stamp+"Content-Type: application/json\r\n", "{\n\n\"error\":\"no\"\n\n}\n\n"),
	"JSON without an end":      reply("200 OK", stamp+"Content-Type: application/json\r\n", "{\"error\":\"no\"}"),
	"empty JSON":               reply("200 OK", stamp+"Content-Type: application/json\r\n", ""),
	"text":                     reply("200 OK", stamp+"Content-Type: text/plain\r\n", "no\n\n"),
	"no type":                  reply("200 OK", stamp, "no\n\n"),
	"unframed JSON":            rawAnswer("200 OK", stamp+"Content-Type: application/json\r\n\r\nno\n\n"),
	"no signature":             reply("200 OK", eventType, event2),
	"an encoding":              reply("200 OK", stamp+eventType+"Content-Encoding: gzip\r\n", event2),
	"nothing":                  hangUp,
	"a status line":            rawAnswer("200 OK", ""),
	"a part of the head":       rawAnswer("200 OK", stamp+"Content-Type: text/ev"),
	"a head without its end":   rawAnswer("200 OK", stamp+eventType+"Content-Length: 14\r\n"),
	"a head only":              rawAnswer("200 OK", stamp+eventType+"\r\n"),
	"an interim answer":        rawAnswer("103 Early Hints", "\r\n"),
	"a part of a chunk size":   rawAnswer("200 OK", stamp+eventType+"Transfer-Encoding: chunked\r\n\r\n1"),
	"bytes that are no HTTP":   rawAnswer("\x00", "\n\n"),
	"an error event":           eventStream("event: error\ndata: no\n\n", true),
	"an error event, broken":   eventStream("event: error\ndata: no\n\n", false),
	"a head instead of event":  eventStream("HTTP/1.1 500 Internal Server Error\nContent-Length: 2\n\nno\n\n", true),
	"the first event again":    eventStream(event1+event2, true),
	"a comment, then an error": eventStream(": wait\n\nevent: error\ndata: no\n\n", true),
}

// TestResumedStreamMeetsNoContinuation guards against an answer of the next upstream, such as
// an error, whose text or head becomes part of a stream that has begun, and against a stream
// that then ends as if it were complete. It must break off after its last event, or go on if a
// third upstream resumes it.
func TestResumedStreamMeetsNoContinuation(t *testing.T) {
	for name, answer := range noContinuations {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newTestGateway(t, eventStream(event1, false), answer, eventStream(event2, true))
			response, body, err := g.send("/chat/", "X-Api-Key", "key-1")
			is.Equal(response.StatusCode, http.StatusOK)
			is.True(err != nil) // the answer breaks off
			is.Equal(withoutComments(body), event1)
			is.Equal(g.requestCount(), 2)

			g = newTestGateway(t, eventStream(event1, false), answer, eventStream(event2, true))
			g.scheduler.view.Table.Route("a", "/chat/").MaxUpstreams = 3
			_, body, err = g.send("/chat/", "X-Api-Key", "key-1")
			is.NoErr(err)
			is.Equal(withoutComments(body), event1+event2)
			_, placed := platform.PeerHeaders{}.ReadPlacement(g.received[2].Header)
			is.Equal(placed.LastEvent, "1")
		})
	}
}

// withoutComments removes the comments of the test's scripts from a stream.
func withoutComments(stream string) string { return strings.ReplaceAll(stream, ": wait\n\n", "") }

// TestBrokenStreamMeetsNoOtherAnswer guards against an answer of another upstream in a stream
// that may not be resumed: that one is not asked.
func TestBrokenStreamMeetsNoOtherAnswer(t *testing.T) {
	for name, answer := range noContinuations {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newTestGateway(t, eventStream(event1+"id: 2\nda", false), answer)
			_, body, err := g.send("/draft/", "X-Api-Key", "key-1")
			is.True(err != nil)
			is.Equal(body, event1)
			is.Equal(g.requestCount(), 1)
		})
	}
}

// TestStreamWithoutIdentifiersIsNotResumed guards against a stream that begins again in the
// middle of an answer, since no identifier tells the next upstream what its caller has.
func TestStreamWithoutIdentifiersIsNotResumed(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, eventStream("data: x\n\n", false), eventStream("data: x\n\ndata: y\n\n", true))
	_, body, err := g.send("/chat/", "X-Api-Key", "key-1")
	is.True(err != nil)
	is.Equal(body, "data: x\n\n")
	is.Equal(g.requestCount(), 1)
}

// TestSilentAnswerThatCannotContinueIsNotAbandoned guards against answers that are broken off
// for another upstream although that one can't go on with them: a stream without identifiers
// and a long plain answer.
func TestSilentAnswerThatCannotContinueIsNotAbandoned(t *testing.T) {
	long := strings.Repeat("x", testLimits.BufferedBytes+1)
	for _, c := range []struct {
		path  string
		head  string
		begin string
		end   string
	}{
		{
			path:  "/chat/",
			head:  eventType,
			begin: "data: x\n\n",
			end:   "data: y\n\n",
		},
		{
			path:  "/look/",
			begin: long,
			end:   "yy",
		},
	} {
		t.Run(c.path, func(t *testing.T) {
			is := is.New(t)
			slow := func(w net.Conn, r *http.Request) bool {
				rawAnswer("200 OK", stamp+c.head+"Content-Length: "+lengthOf(c.begin+c.end)+"\r\n\r\n"+c.begin)(w, r)
				time.Sleep(minStreamWait * 7 / 10)
				_, _ = io.WriteString(w, c.end)
				return true
			}
			g := newTestGateway(t, slow, reply("200 OK", stamp, "no"))
			_, body, err := g.send(c.path, "X-Api-Key", "key-1")
			is.NoErr(err)
			is.Equal(body, c.begin+c.end)
			is.Equal(g.requestCount(), 1)
		})
	}
}
