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
	// countInterval is how often those left out are counted in a line.
	countInterval = 5 * time.Second
)

// Log writes the lines about requests. It is safe for use by several goroutines.
type Log struct {
	handler slog.Handler

	mu      sync.Mutex
	second  int64 // of the Unix time
	full    int   // requests chosen in this second
	leftOut uint64
	counted time.Time // when those left out were last written
}

// New returns a log that writes to the handler of a logger.
func New(log *slog.Logger) *Log {
	return &Log{
		handler: log.Handler(),
	}
}

// Request is one request's way through a process. It is used by one goroutine.
type Request struct {
	log  *Log
	id   string
	full bool
	held []held
}

// held is a step that is written only if the request ends badly.
type held struct {
	at   time.Time
	step Step
}

// Request begins the lines about a request.
func (l *Log) Request(id string, now time.Time) Request {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := now.Unix(); s != l.second {
		l.second = s
		l.full = 0
	}
	l.full++
	return Request{
		log:  l,
		id:   id,
		full: l.full <= FullRequestsPerSecond,
	}
}

// Step notes a decision. Its line is written at once, or when the request fails.
func (r *Request) Step(now time.Time, s Step) {
	if r.full {
		r.write(now, slog.LevelInfo, s)
		return
	}
	r.held = append(r.held, held{
		at:   now,
		step: s,
	})
}

// Failed writes all lines of a request that does not end well, the last step
// included.
func (r *Request) Failed(now time.Time, last Step) {
	for _, h := range r.held {
		r.write(h.at, slog.LevelInfo, h.step)
	}
	r.held = nil
	r.full = true
	r.write(now, slog.LevelWarn, last)
}

// Served ends the lines of a request that was answered.
func (r *Request) Served(now time.Time, last Step) {
	if r.full {
		r.write(now, slog.LevelInfo, last)
		return
	}
	r.held = nil
	r.log.count(now)
}

// count notes a request whose lines are left out, and says from time to time how
// many there were.
func (l *Log) count(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leftOut == 0 && l.counted.IsZero() {
		l.counted = now
	}
	l.leftOut++
	if now.Sub(l.counted) < countInterval {
		return
	}
	record := slog.NewRecord(now, slog.LevelInfo, MsgLeftOut, 0)
	record.AddAttrs(slog.Uint64(KeyCount, l.leftOut))
	l.counted = now
	l.leftOut = 0
	// The handler writes to memory; see telemetry.Writer.
	_ = l.handler.Handle(context.Background(), record)
}

// attrsRoom is how many fields a line may have without another allocation.
const attrsRoom = 24

func (r *Request) write(at time.Time, level slog.Level, s Step) {
	record := slog.NewRecord(at, level, s.message(), 0)
	var room [attrsRoom]slog.Attr
	record.AddAttrs(s.attrs(append(room[:0], slog.String(KeyRequest, r.id)))...)
	// The handler writes to memory; see telemetry.Writer.
	_ = r.log.handler.Handle(context.Background(), record)
}
