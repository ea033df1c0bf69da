package rig

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// engine is a stand-in of an upstream. Its fields before mu are set before it starts.
type engine struct {
	id      string
	service string
	zone    string
	slots   int
	number  int
	// pause is the time from one event of a stream to the next.
	pause time.Duration
	// handle runs a request that the engine accepts.
	handle func(e *engine, w http.ResponseWriter, r *http.Request)

	address string
	record  *record

	mu          sync.Mutex
	version     string
	nextVersion string
	listed      bool
	state       string
	server      *http.Server
	boot        int
	born        time.Time
	running     atomic.Int64
}

func newEngine(number int, id, service, version string, slots int, handle func(*engine, http.ResponseWriter, *http.Request)) *engine {
	return &engine{
		id:      id,
		service: service,
		zone:    zoneOf(number),
		slots:   slots,
		number:  number,
		pause:   eventPause,
		handle:  handle,
		state:   "ready",

		version:     version,
		nextVersion: version,
	}
}

// place gives the engine its address in the network of a fleet.
func (e *engine) place(f *fleet) {
	e.address = fmt.Sprintf("%s:%d", f.address(5, e.number+1), upstreamPort)
	e.record = f.record
}

func (e *engine) entry() (entry, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return entry{
		ID:      e.id,
		Service: e.service,
		Address: e.address,
		Zone:    e.zone,
		Version: e.version,
		Slots:   e.slots,
		State:   e.state,
	}, e.listed
}

// start starts the engine, again after a crash.
func (e *engine) start() error {
	var listener net.Listener
	var err error
	for range 40 {
		if listener, err = net.Listen("tcp", e.address); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.boot++
	e.version = e.nextVersion
	e.born = time.Now()
	e.listed = true
	e.server = &http.Server{
		Handler: http.HandlerFunc(e.serve),
	}
	go e.server.Serve(listener)
	e.record.line("engine %s starts: version %s, boot %d", e.id, e.version, e.boot)
	return nil
}

// crash closes the engine's listener and all of its connections. It stays on the list.
func (e *engine) crash() {
	e.mu.Lock()
	server := e.server
	e.mu.Unlock()
	e.record.line("engine %s crashes", e.id)
	server.Close()
}

// crashFor crashes the engine and starts it again after a time.
func (e *engine) crashFor(down time.Duration) {
	e.crash()
	time.Sleep(down)
	if err := e.start(); err != nil {
		e.record.line("engine %s: %v", e.id, err)
	}
}

// setNextVersion sets the software version of the next start.
func (e *engine) setNextVersion(version string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nextVersion = version
}

// identity returns what the engine says of itself.
func (e *engine) identity() (version string, boot int, born time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version, e.boot, e.born
}

var stamps atomic.Int64

// serve answers reports and health checks, refuses what is meant for another engine, and runs the
// rest.
func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	_, _, born := e.identity()
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set("Baobabpaddle-Instance-Id", e.id)
		return
	case "/report":
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"born":%d,"Busy":false,"Active":%d}`, born.UnixMilli(), e.running.Load())
		return
	}
	attempt := r.Header.Get("Baobabpaddle-Attempt-Id")
	w.Header().Set("Baobabpaddle-Attempt-Id", attempt)
	if expected := r.Header.Get("Baobabpaddle-Expect-Instance"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.Header().Set("Baobabpaddle-Server-Stamp", fmt.Sprintf("%s.%d", e.id, stamps.Add(1)))
	e.running.Add(1)
	defer e.running.Add(-1)
	e.handle(e, w, r)
}

// answerPlain answers a request of a plain service after its work.
func answerPlain(e *engine, w http.ResponseWriter) {
	time.Sleep(15 * time.Millisecond)
	fmt.Fprintf(w, "answer of %s", e.id)
}

// Pace of the streams where a case sets no other.
const (
	eventPause = 150 * time.Millisecond
	eventCount = 60
)

// streamEvents writes a stream, from the event after Last-Event-Id on. Each event names what made it.
func streamEvents(e *engine, w http.ResponseWriter, r *http.Request) {
	version, boot, _ := e.identity()
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.record.line("engine %s (version %s, boot %d) runs %s from event %d", e.id, version, boot, r.Header.Get("Baobabpaddle-Attempt-Id"), last+1)
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for i := last + 1; i <= eventCount; i++ {
		if !sleep(r.Context(), e.pause) {
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s boot-%d\n\n", i, version, e.id, boot); err != nil {
			return
		}
		if err := flush.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
			return
		}
	}
}

// sleep waits, and reports false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
