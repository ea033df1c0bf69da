package serve

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/program"
	"baobabpaddle/fleet/telemetry"
	"baobabpaddle/fleet/trace"
	"baobabpaddle/gateway/internal/controller"
)

// panickingScheduler is a fakeScheduler one method of which panics.
type panickingScheduler struct {
	*fakeScheduler
	method string
	// skip is the number of calls of the method before that.
	skip atomic.Int64
	// started is sent to when an answer starts.
	started chan struct{}
}

// call panics if it is time for the method.
func (p *panickingScheduler) call(method string) {
	if method == p.method && p.skip.Add(-1) < 0 {
		panic("the scheduler failed in " + method)
	}
}

func (p *panickingScheduler) View() *controller.View {
	p.call("View")
	return p.fakeScheduler.View()
}

func (p *panickingScheduler) Place(ctx context.Context, r dispatch.Request) dispatch.Decision {
	p.call("Place")
	return p.fakeScheduler.Place(ctx, r)
}

func (p *panickingScheduler) ReportStarted(uint64, time.Duration) {
	p.call("ReportStarted")
	p.started <- struct{}{}
}

func (p *panickingScheduler) ReportOutcome(id uint64, o dispatch.Outcome) {
	p.fakeScheduler.ReportOutcome(id, o)
	p.call("ReportOutcome")
}

// TestPanicsAreAnswered guards against handlers that panic and leave their callers without an answer,
// their placements without an outcome and their requests running.
func TestPanicsAreAnswered(t *testing.T) {
	whole := reply("200 OK", stamp, "whole")
	var scheduler *panickingScheduler
	for _, c := range []struct {
		name   string
		path   string
		method string // that panics
		skip   int64
		script script
		status int // zero means that the connection is closed
		answer string
		ended  []dispatch.Outcome
		last   string // line about the request
		abort  bool   // its connection to the upstream is closed
	}{
		{
			name:   "before the view",
			path:   "/book/",
			method: "View",
			script: whole,
			status: http.StatusServiceUnavailable,
			answer: `"run":"not_run"`,
			last:   trace.MsgRefused,
		},
		{
			name:   "placement",
			path:   "/book/",
			method: "Place",
			script: whole,
			status: http.StatusServiceUnavailable,
			answer: `"run":"not_run"`,
			last:   trace.MsgRefused,
		},
		{
			name:   "placed and not sent",
			path:   "/book/",
			method: "View",
			skip:   1,
			script: whole,
			status: http.StatusServiceUnavailable,
			answer: `"run":"not_run"`,
			ended:  []dispatch.Outcome{dispatch.Unsent},
			last:   trace.MsgRefused,
		},
		{
			name:   "answered by the upstream",
			path:   "/book/",
			method: "ReportStarted",
			script: whole,
			status: http.StatusBadGateway,
			answer: `"run":"unknown"`,
			ended:  []dispatch.Outcome{dispatch.CallerLeft},
			last:   trace.MsgEnded,
		},
		{
			name:   "running",
			path:   "/look/",
			method: "Place",
			skip:   1, // the second one is for the stalled request
			script: func(net.Conn, *http.Request) bool { return true },
			status: http.StatusBadGateway,
			answer: `"run":"unknown"`,
			ended:  []dispatch.Outcome{dispatch.CallerLeft},
			last:   trace.MsgEnded,
			abort:  true,
		},
		{
			name:   "part of a stream sent",
			path:   "/draft/",
			method: "View",
			skip:   1000, // until the script changes it
			script: func(w net.Conn, r *http.Request) bool {
				head := "HTTP/1.1 200 OK\r\nBaobabpaddle-Attempt-Id: " + r.Header.Get("Baobabpaddle-Attempt-Id") + "\r\n" + stamp
				_, _ = io.WriteString(w, head+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n12\r\nid: 1\ndata: one\n\n\n\r\n")
				<-scheduler.started // the head and the first event are sent without a further view
				scheduler.skip.Store(0)
				_, _ = io.WriteString(w, "12\r\nid: 2\ndata: two\n\n\n\r\n")
				return true
			},
			ended: []dispatch.Outcome{dispatch.CallerLeft},
			last:  trace.MsgEnded,
			abort: true,
		},
		{
			name:   "whole answer written",
			path:   "/book/",
			method: "ReportOutcome",
			script: whole,
			status: http.StatusOK,
			answer: "whole",
			ended:  []dispatch.Outcome{dispatch.Answered},
			last:   "handler panicked",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			ended := make(chan struct{})
			g := newTestGateway(t, func(w net.Conn, r *http.Request) bool {
				if !c.script(w, r) {
					return false
				}
				if c.abort {
					_, _ = io.Copy(io.Discard, w) // ends with the connection
					close(ended)
				}
				return true
			})
			log := captureLog(g)
			metrics := telemetry.NewMetrics()
			g.handler.reporter = program.NewReporter("callers", metrics, slog.New(slog.NewJSONHandler(log, nil)))
			g.handler.gate = newGate(1)
			scheduler = &panickingScheduler{
				fakeScheduler: g.scheduler,
				method:        c.method,
				started:       make(chan struct{}, 1),
			}
			scheduler.skip.Store(c.skip)
			g.handler.scheduler = scheduler

			response, answer, err := g.send(c.path, "X-Api-Key", "key-1")
			if c.status == 0 {
				is.True(err != nil)
			} else {
				is.NoErr(err)
				is.Equal(response.StatusCode, c.status)
				is.True(strings.Contains(answer, c.answer))
				is.Equal(response.Header.Get("Retry-After") != "", c.status == http.StatusServiceUnavailable)
			}
			logged := log.waitFor(t, "id-1", c.last)
			panicked := 0
			for _, line := range logged {
				if line["msg"] == "handler panicked" {
					panicked++
					is.Equal(line["cause"], "the scheduler failed in "+c.method)
					is.True(strings.HasPrefix(line["stack"].([]any)[0].(string), "serve.(*panickingScheduler).call panicked_test.go:"))
				}
			}
			is.Equal(panicked, 1)
			is.Equal(metrics.Counter(`handler_panics_total{listener="callers"}`).Get(), uint64(1))
			if c.abort {
				select {
				case <-ended:
				case <-time.After(time.Second):
					t.Fatal("the request still runs at its upstream")
				}
			}
			g.scheduler.mu.Lock()
			defer g.scheduler.mu.Unlock()
			is.Equal(g.scheduler.ended, c.ended)
			waiting, _ := g.handler.Waiting()
			is.Equal(waiting, 0)
			is.Equal(g.handler.bodies.used.Load(), int64(0))
			is.Equal(len(g.handler.conns.callers.requests), 0)
		})
	}
}

// TestPanicOfTheLog guards against a panic of what logs the end of a request that panicked: its caller
// has no answer then.
func TestPanicOfTheLog(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t)
	g.handler.scheduler = &panickingScheduler{
		fakeScheduler: g.scheduler,
		method:        "Place",
	}
	g.handler.trace = nil
	metrics := telemetry.NewMetrics()
	g.handler.reporter = program.NewReporter("callers", metrics, nil)
	response, _, err := g.send("/book/")
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(metrics.Counter(`handler_panics_total{listener="callers"}`).Get(), uint64(2))
}
