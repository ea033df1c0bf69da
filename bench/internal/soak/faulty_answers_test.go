package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/fleet/call"
	"baobabpaddle/platform"
)

// faultyNetwork is the second byte of the test's loopback addresses.
const faultyNetwork = 27

// faultyUpstreams answer some executions as faulty upstreams did in the reports of other
// operators, and count them by their kind.
type faultyUpstreams struct {
	ledger *Ledger

	mu    sync.Mutex
	kept  map[net.Conn]bool // connections that have carried an answer
	count map[string]int
}

// isKept reports whether the connection of a request has carried an answer before.
func (f *faultyUpstreams) isKept(u *Upstream, r *http.Request) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range u.conns {
		if c.RemoteAddr().String() == r.RemoteAddr {
			kept := f.kept[c]
			f.kept[c] = true
			return kept
		}
	}
	return false
}

// misbehave answers a third of an upstream's executions faultily.
func (f *faultyUpstreams) misbehave(u *Upstream, w http.ResponseWriter, r *http.Request, a *Attempt, e *Execution) bool {
	kept := f.isKept(u, r)
	switch {
	case e.ResumedAfter > 0 && rand.IntN(3) > 0:
		f.answerResumed(w, a)
	case rand.IntN(3) > 0:
		return false
	case a.Kind.stream() && rand.IntN(2) == 0:
		f.breakOff(w, a)
	case kept && !a.Kind.stream() && rand.IntN(2) == 0:
		f.repeatRefusal(w, a, e)
	default:
		f.cutHead(w, a)
	}
	return true
}

// take counts a faulty answer and returns its connection, which the caller closes.
func (f *faultyUpstreams) take(w http.ResponseWriter, kind string) net.Conn {
	f.mu.Lock()
	f.count[kind]++
	f.mu.Unlock()
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err) // connections of HTTP/1 can be taken
	}
	return c
}

// head returns a status line and the headers of a reply with a body of a type and length. A
// length below zero is left out.
func head(status string, reply call.Reply, contentType string, length int) string {
	h := http.Header{
		"Content-Type": {contentType},
	}
	platform.PeerHeaders{}.WriteReply(h, reply)
	if reply.ID == "" {
		for name, values := range h {
			if values[0] == "" {
				delete(h, name)
			}
		}
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.Itoa(length))
	}
	var text strings.Builder
	text.WriteString("HTTP/1.1 " + status + "\r\n")
	_ = h.Write(&text) // never fails
	return text.String() + "\r\n"
}

// signed is the reply of an upstream that runs the attempt.
func signed(a *Attempt) call.Reply {
	return call.Reply{
		ID:     a.ID,
		Signed: true,
	}
}

// repeatRefusal writes the refusal of an earlier request before the answer. It names the
// earlier request or none.
func (f *faultyUpstreams) repeatRefusal(w http.ResponseWriter, a *Attempt, e *Execution) {
	c := f.take(w, "refusal repeated")
	defer c.Close()
	status := []string{"503 Service Unavailable", "429 Too Many Requests", "421 Misdirected Request"}[rand.IntN(3)]
	earlier := []string{"", "0-0"}[rand.IntN(2)]
	_, _ = io.WriteString(c, head(status, call.Reply{
		ID:     earlier,
		NotRun: true,
	}, "text/plain", 0))
	time.Sleep(time.Duration(rand.IntN(10)) * time.Millisecond)
	body := fmt.Sprintf("%s at last", a.ID)
	f.ledger.mu.Lock()
	e.Body = body
	f.ledger.mu.Unlock()
	if _, err := io.WriteString(c, head("200 OK", signed(a), "text/plain", len(body))+body); err == nil {
		f.ledger.RecordAnswer(e, true)
	}
}

// cutHead writes a part of an answer's head.
func (f *faultyUpstreams) cutHead(w http.ResponseWriter, a *Attempt) {
	c := f.take(w, "head cut off")
	defer c.Close()
	contentType := "text/plain"
	if a.Kind.stream() {
		contentType = "text/event-stream"
	}
	text := head("200 OK", signed(a), contentType, -1)
	_, _ = io.WriteString(c, text[:rand.IntN(len(text))])
}

// breakOff writes the first event of a stream and the beginning of the second.
func (f *faultyUpstreams) breakOff(w http.ResponseWriter, a *Attempt) {
	c := f.take(w, "stream broken off")
	defer c.Close()
	f.ledger.mu.Lock()
	number := len(a.Executions) - 1
	first := a.Executions[number].ResumedAfter + 1
	f.ledger.mu.Unlock()
	event := fmt.Sprintf("id: %d\ndata: %s %d\n\n", first, a.ID, number)
	if first > a.Events {
		event = "" // nothing is left of the stream
	}
	_, _ = io.WriteString(c, head("200 OK", signed(a), "text/event-stream", 1<<20)+event+"id: 9")
}

// answerResumed answers a request to resume a stream with anything else than the rest.
func (f *faultyUpstreams) answerResumed(w http.ResponseWriter, a *Attempt) {
	c := f.take(w, "stream not resumed")
	defer c.Close()
	const text = "error: no\n\n"
	switch rand.IntN(5) {
	case 0:
		_, _ = io.WriteString(c, head("500 Internal Server Error", signed(a), "text/plain", len(text))+text)
	case 1:
		_, _ = io.WriteString(c, head("200 OK", signed(a), "application/json", len(text))+text)
	case 2:
		_, _ = io.WriteString(c, head("200 OK", signed(a), "application/json", 0))
	case 3:
		_, _ = io.WriteString(c, head("204 No Content", signed(a), "text/event-stream", -1))
	default:
		_, _ = io.WriteString(c, head("200 OK", signed(a), "text/event-stream", len(text))+text)
	}
}

// TestFaultyAnswersBreakNoRule guards against faulty answers that reach callers as if they were
// sound: repeated refusals, streams that another upstream does not resume, and heads that are
// cut off. Real processes serve requests of all kinds meanwhile.
func TestFaultyAnswersBreakNoRule(t *testing.T) {
	is := is.New(t)
	s, ctx := startProcesses(t, Options{
		Seed:        5,
		Controllers: 1,
		Gateways:    2,
		Upstreams:   3,
		Network:     faultyNetwork,
	})
	f := &faultyUpstreams{
		ledger: s.ledger,
		kept:   make(map[net.Conn]bool),
		count:  make(map[string]int),
	}
	for _, u := range s.upstreams {
		u.mu.Lock()
		u.misbehave = func(w http.ResponseWriter, r *http.Request, a *Attempt, e *Execution) bool {
			return f.misbehave(u, w, r, a, e)
		}
		u.mu.Unlock()
		t.Cleanup(u.faultTimes.begin())
	}
	calling, stopCalling := context.WithTimeout(ctx, 5*time.Second)
	defer stopCalling()
	var group sync.WaitGroup
	for i := range 12 {
		c := &caller{
			soak:    s,
			gateway: i % len(s.fleet.gateways),
			random:  rand.New(rand.NewPCG(5, uint64(i))),
		}
		kind := []Kind{Draft, Look, Chat, Book}[i%4]
		group.Go(func() { c.press(calling, kind, permanentKeys[i%2]) })
	}
	group.Wait()
	s.ledger.Check(s, true)
	f.mu.Lock()
	defer f.mu.Unlock()
	t.Logf("%v, outcomes %v", f.count, s.ledger.Outcomes())
	for _, kind := range []string{"refusal repeated", "head cut off", "stream broken off", "stream not resumed"} {
		is.True(f.count[kind] > 0)
	}
	is.True(s.ledger.Outcomes()["200"] > 0)
	is.Equal(s.ledger.Violations(), nil)
}
