package trace

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// Limits of a Log.
const (
	// FullRequestsPerSecond is the number of requests per second whose lines are all
	// written as they arise, however the requests end.
	FullRequestsPerSecond = 10
	// leftOutInterval is the minimum time between two lines that report how many
	// requests were left out.
	leftOutInterval = 5 * time.Second
)

// Log writes the lines about requests. It is safe for concurrent use.
type Log struct {
	handler slog.Handler

	mu            sync.Mutex
	second        int64     // current second as Unix time
	requests      int       // in the current second
	leftOut       uint64    // requests left out since leftOutLogged
	leftOutLogged time.Time // when leftOut was last written
}

// New returns a Log that writes to the handler of a logger.
func New(log *slog.Logger) *Log {
	return &Log{
		handler: log.Handler(),
	}
}

// Request collects the lines about one request in one process. It is not safe for
// concurrent use. Failed or Served must be called at the end.
type Request struct {
	log      *Log
	id       string
	writeAll bool // write each step at once
	deferred []deferredStep
}

// deferredStep is a step that is written only if the request fails.
type deferredStep struct {
	at   time.Time
	step Step
}

// Request returns a Request for the lines about the request with the given identifier.
// The first FullRequestsPerSecond requests of each second write each step at once.
func (l *Log) Request(id string, now time.Time) Request {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := now.Unix(); s != l.second {
		l.second = s
		l.requests = 0
	}
	l.requests++
	return Request{
		log:      l,
		id:       id,
		writeAll: l.requests <= FullRequestsPerSecond,
	}
}

// Step records a decision. Its line is written at once if the request was selected to
// be logged completely; otherwise only if the request fails.
func (r *Request) Step(now time.Time, s Step) {
	if r.writeAll {
		r.write(now, slog.LevelInfo, s)
		return
	}
	r.deferred = append(r.deferred, deferredStep{
		at:   now,
		step: s,
	})
}

// Failed ends a request that was refused or failed. It writes all deferred lines and
// the line of the last step at level warn.
func (r *Request) Failed(now time.Time, last Step) {
	for _, d := range r.deferred {
		r.write(d.at, slog.LevelInfo, d.step)
	}
	r.deferred = nil
	r.writeAll = true
	r.write(now, slog.LevelWarn, last)
}

// Served ends a request that was answered. Unless the request was selected to be logged
// completely, its lines are dropped and it is counted as left out.
func (r *Request) Served(now time.Time, last Step) {
	if r.writeAll {
		r.write(now, slog.LevelInfo, last)
		return
	}
	r.deferred = nil
	r.log.countLeftOut(now)
}

// Shed ends a request that was refused because its gateway is crowded. Like that of an
// answered request its line, which is at level warn, is written only if the request was
// selected to be logged completely, since writing it takes as long as the refusal itself.
func (r *Request) Shed(now time.Time, last Step) {
	if r.writeAll {
		r.write(now, slog.LevelWarn, last)
		return
	}
	r.deferred = nil
	r.log.countLeftOut(now)
}

// countLeftOut counts a request whose lines are left out, and writes a line with the
// count if the last such line is at least leftOutInterval old.
func (l *Log) countLeftOut(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leftOut == 0 && l.leftOutLogged.IsZero() {
		l.leftOutLogged = now
	}
	l.leftOut++
	if now.Sub(l.leftOutLogged) < leftOutInterval {
		return
	}
	record := slog.NewRecord(now, slog.LevelInfo, MsgLeftOut, 0)
	record.AddAttrs(slog.Uint64(KeyCount, l.leftOut))
	l.leftOutLogged = now
	l.leftOut = 0
	// Errors are ignored: the handler writes to a telemetry.Writer, which never fails.
	_ = l.handler.Handle(context.Background(), record)
}

// attrsCapacity is the number of fields for which write needs no heap allocation.
const attrsCapacity = 24

// write writes the line of a step.
func (r *Request) write(at time.Time, level slog.Level, s Step) {
	record := slog.NewRecord(at, level, s.message(), 0)
	var buffer [attrsCapacity]slog.Attr
	record.AddAttrs(s.attrs(buffer[:0], r.id)...)
	// Errors are ignored: the handler writes to a telemetry.Writer, which never fails.
	_ = r.log.handler.Handle(context.Background(), record)
}
