package trace

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// Bounds of a Log.
const (
	// FullRequestsPerSecond is how many requests that end well have all their lines written
	// each second.
	FullRequestsPerSecond = 10
	// leftOutInterval is how often those left out are counted in a line.
	leftOutInterval = 5 * time.Second
)

// Log writes the lines about requests. It is safe for use by several goroutines.
type Log struct {
	handler slog.Handler

	mu            sync.Mutex
	second        int64 // of the Unix time
	begun         int   // requests chosen in this second
	leftOut       uint64
	leftOutLogged time.Time // when those left out were last written
}

// New returns a log that writes to the handler of a logger.
func New(log *slog.Logger) *Log {
	return &Log{
		handler: log.Handler(),
	}
}

// Request is one request's way through a process. It is used by one goroutine.
type Request struct {
	log      *Log
	id       string
	writeAll bool
	deferred []deferredStep
}

// deferredStep is a step that is written only if the request ends badly.
type deferredStep struct {
	at   time.Time
	step Step
}

// Request begins the lines about a request.
func (l *Log) Request(id string, now time.Time) Request {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := now.Unix(); s != l.second {
		l.second = s
		l.begun = 0
	}
	l.begun++
	return Request{
		log:      l,
		id:       id,
		writeAll: l.begun <= FullRequestsPerSecond,
	}
}

// Step notes a decision. Its line is written at once, or when the request fails.
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

// Failed writes all lines of a request that does not end well, the last step
// included.
func (r *Request) Failed(now time.Time, last Step) {
	for _, h := range r.deferred {
		r.write(h.at, slog.LevelInfo, h.step)
	}
	r.deferred = nil
	r.writeAll = true
	r.write(now, slog.LevelWarn, last)
}

// Served ends the lines of a request that was answered.
func (r *Request) Served(now time.Time, last Step) {
	if r.writeAll {
		r.write(now, slog.LevelInfo, last)
		return
	}
	r.deferred = nil
	r.log.countLeftOut(now)
}

// countLeftOut notes a request whose lines are left out, and says from time to time how
// many there were.
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
	// The handler writes to memory; see telemetry.Writer.
	_ = l.handler.Handle(context.Background(), record)
}

// attrsCapacity is how many fields a line may have without another allocation.
const attrsCapacity = 24

func (r *Request) write(at time.Time, level slog.Level, s Step) {
	record := slog.NewRecord(at, level, s.message(), 0)
	var room [attrsCapacity]slog.Attr
	record.AddAttrs(s.attrs(append(room[:0], slog.String(KeyRequest, r.id)))...)
	// The handler writes to memory; see telemetry.Writer.
	_ = r.log.handler.Handle(context.Background(), record)
}
