package operator

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"baobabpaddle/fleet/problem"
	"baobabpaddle/fleet/telemetry"
)

// Pace of the lines about reads that fail again in the same way, which operators repeat
// several times a second.
const (
	failedReadInterval    = time.Second
	failedReadMaxInterval = 8 * time.Second
)

// failedReads spaces the lines about reads that fail. The zero value is ready for use, and it is
// safe for concurrent use.
type failedReads struct {
	mu      sync.Mutex
	last    string // the last failure: message, status, code and detail
	at      time.Time
	leftOut int // since the last line
	pace    telemetry.Pace
}

// note records a failure with the message and the fields. It returns whether its line is due and
// how many were left out since the last one. A failure that differs from the last one, or that
// follows it after a pause of failedReadMaxInterval, is due at once.
func (f *failedReads) note(message string, fields []any, now time.Time) (leftOut int, due bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	failure := fmt.Sprint(message, fields)
	if failure != f.last || now.Sub(f.at) > failedReadMaxInterval {
		f.pace = telemetry.Pace{
			First: failedReadInterval,
			Max:   failedReadMaxInterval,
		}
	}
	f.last, f.at = failure, now
	if !f.pace.Due(now) {
		f.leftOut++
		return 0, false
	}
	leftOut, f.leftOut = f.leftOut, 0
	return leftOut, true
}

// loggedResponse is a http.ResponseWriter that records what the log line of an answer
// holds. Handlers set version to that of the configuration, or zone to the
// availability zone.
type loggedResponse struct {
	http.ResponseWriter
	status  int
	version uint64
	zone    string
	body    []byte // the first maxErrorBytes of an error's body
}

// Limits of what is logged of an answer.
const (
	// maxErrorBytes bounds how much of an error's body is kept.
	maxErrorBytes = 4 << 10
	// maxDetailBytes bounds the logged detail of an error.
	maxDetailBytes = 400
)

// WriteHeader implements http.ResponseWriter. It records the status.
func (l *loggedResponse) WriteHeader(status int) {
	l.status = status
	l.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter. It records the beginning of an error's body.
func (l *loggedResponse) Write(data []byte) (int, error) {
	if l.status >= http.StatusBadRequest {
		l.body = append(l.body, data[:min(len(data), maxErrorBytes-len(l.body))]...)
	}
	return l.ResponseWriter.Write(data)
}

// logged returns a handler that logs each answer under the message, as a warning if its
// status is an error. Reads that fail again in the same way are logged at growing intervals.
func (c *ConfigurationAPI) logged(message string, handle func(*loggedResponse, *http.Request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		started := time.Now()
		response := &loggedResponse{
			ResponseWriter: w,
			status:         http.StatusOK,
		}
		handle(response, r)
		level := slog.LevelInfo
		if response.status >= http.StatusBadRequest {
			level = slog.LevelWarn
		}
		fields := append([]any{"status", response.status}, response.problemFields()...)
		if r.Method == http.MethodGet && level == slog.LevelWarn {
			repeated, due := c.failedReads.note(message, fields, time.Now())
			if !due {
				return
			}
			fields = append(fields, "left_out", repeated)
		}
		fields = append(fields, response.about()...)
		c.log.Log(r.Context(), level, message, append(fields, "took_ms", time.Since(started).Milliseconds(), "from", r.RemoteAddr)...)
	}
}

// about returns the log's field on what the call is about.
func (l *loggedResponse) about() []any {
	if l.zone != "" {
		return []any{"zone", bounded(l.zone)}
	}
	return []any{"version", l.version}
}

// problemFields returns the code and the detail of an error for the log, or the beginning of its
// body if that holds no problem.
func (l *loggedResponse) problemFields() []any {
	if len(l.body) == 0 {
		return nil
	}
	var p problem.Problem
	if err := json.Unmarshal(l.body, &p); err != nil || p.Code == "" {
		return []any{"detail", bounded(string(l.body))}
	}
	return []any{"code", string(p.Code), "detail", bounded(p.Detail)}
}

// bounded returns the beginning of a text.
func bounded(text string) string { return text[:min(len(text), maxDetailBytes)] }
