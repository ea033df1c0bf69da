package program

import (
	"errors"
	"fmt"
	"log"
	"log/slog"
	"net/http"
	"path"
	"runtime"
	"strings"
	"sync"
	"time"

	"baobabpaddle/fleet/problem"
	"baobabpaddle/fleet/telemetry"
)

// Bounds of the lines of a Reporter.
const (
	// reportLinesPerSecond is the number of lines of a kind in each second. The next line counts
	// those that are left out.
	reportLinesPerSecond = 10
	// maxReportedBytes bounds a text that comes from elsewhere, in bytes.
	maxReportedBytes = 400
	// maxStackFrames is the number of functions of a stack that are written, the innermost first.
	maxStackFrames = 8
	// maxStackDepth is the number of frames of a stack that are looked at.
	maxStackDepth = 64
)

// requestIDHeader is the header with the identifier of a change that an operator sends.
const requestIDHeader = "Request-Id"

// Reporter logs and counts handlers of one listener that panic, and logs the errors of its
// http.Server. It is safe for concurrent use.
type Reporter struct {
	listener string
	metrics  *telemetry.Metrics
	log      *slog.Logger
	panics   lineLimit
	errors   lineLimit
}

// NewReporter returns the Reporter of the listener with the given name. A nil log logs nothing.
func NewReporter(listener string, metrics *telemetry.Metrics, log *slog.Logger) *Reporter {
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	return &Reporter{
		listener: listener,
		metrics:  metrics,
		log:      log,
	}
}

// Panicked logs and counts a panic with the given value while a request was handled; identifier is
// that of the request, or empty. It must be called by the deferred function that has recovered the
// value, whose stack still holds that of the panic.
func (p *Reporter) Panicked(value any, r *http.Request, identifier string) {
	p.metrics.Counter(`handler_panics_total{listener="` + p.listener + `"}`).Inc()
	leftOut, ok := p.panics.take(time.Now())
	if !ok {
		return
	}
	p.log.Error("handler panicked", "listener", p.listener, "cause", bounded(fmt.Sprint(value)), "request", bounded(identifier),
		"method", bounded(r.Method), "path", bounded(r.URL.Path), "left_out", leftOut, "stack", panicStack())
}

// TaskPanicked logs and counts a panic with the given value in a goroutine that serves one connection or one
// request, which is then ended; subject names it, or is empty. A goroutine that owns state of the process must
// not recover. It must be called as Panicked.
func (p *Reporter) TaskPanicked(value any, task, subject string) {
	p.metrics.Counter(`task_panics_total{task="` + task + `"}`).Inc()
	leftOut, ok := p.panics.take(time.Now())
	if !ok {
		return
	}
	p.log.Error("task panicked", "task", task, "cause", bounded(fmt.Sprint(value)), "subject", bounded(subject), "left_out", leftOut,
		"stack", panicStack())
}

// LinkPanicked logs and counts a panic of a link, as link.Dialer.Panicked.
func (p *Reporter) LinkPanicked(value any) { p.TaskPanicked(value, "link", "") }

// Aborts reports whether a handler panicked with http.ErrAbortHandler, to close its connection.
func Aborts(value any) bool {
	err, ok := value.(error)
	return ok && errors.Is(err, http.ErrAbortHandler)
}

// Handler returns a handler that passes requests to next. If next panics, that is reported, and the
// request is answered with status 500, or its connection is closed if an answer has begun. A panic
// with http.ErrAbortHandler closes the connection and is not reported.
func (p *Reporter) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := &response{
			ResponseWriter: w,
		}
		defer func() {
			value := recover()
			if value == nil {
				return
			}
			if !Aborts(value) {
				p.Panicked(value, r, r.Header.Get(requestIDHeader))
			}
			if Aborts(value) || answer.begun {
				panic(http.ErrAbortHandler)
			}
			clear(w.Header())
			w.Header().Set("Connection", "close")
			problem.New(http.StatusInternalServerError, problem.InternalError, "the request could not be handled").Write(w)
		}()
		next.ServeHTTP(answer, r)
	})
}

// Server returns a server like NewServer whose handlers' panics and whose errors are reported.
func (p *Reporter) Server(handler http.Handler) *http.Server {
	server := NewServer(p.Handler(handler))
	server.ErrorLog = p.ErrorLog()
	return server
}

// ErrorLog returns the logger for http.Server.ErrorLog.
func (p *Reporter) ErrorLog() *log.Logger { return log.New(errorWriter{p}, "", 0) }

// errorWriter writes each line of a log.Logger as a line of the Reporter's log.
type errorWriter struct {
	*Reporter
}

// Write implements io.Writer.
func (w errorWriter) Write(line []byte) (int, error) {
	if leftOut, ok := w.errors.take(time.Now()); ok {
		w.log.Warn("error of an HTTP server", "listener", w.listener, "left_out", leftOut, "cause", bounded(strings.TrimSpace(string(line))))
	}
	return len(line), nil
}

// lineLimit limits the lines of one kind to reportLinesPerSecond. It is safe for concurrent use.
type lineLimit struct {
	mu      sync.Mutex
	second  int64 // current second as Unix time
	lines   int   // in the current second
	leftOut int   // since the last line
}

// take reports whether a line may be written now, and the number of lines left out since the last.
func (l *lineLimit) take(now time.Time) (leftOut int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := now.Unix(); s != l.second {
		l.second, l.lines = s, 0
	}
	if l.lines >= reportLinesPerSecond {
		l.leftOut++
		return 0, false
	}
	l.lines++
	leftOut, l.leftOut = l.leftOut, 0
	return leftOut, true
}

// bounded returns at most the first maxReportedBytes bytes of a text.
func bounded(text string) string {
	return strings.ToValidUTF8(text[:min(len(text), maxReportedBytes)], "")
}

// panicStack returns the innermost functions of the stack on which the panic began that a deferred
// function has recovered, as function, file and line.
func panicStack() []string {
	var counters [maxStackDepth]uintptr
	frames := runtime.CallersFrames(counters[:runtime.Callers(1, counters[:])])
	stack := make([]string, 0, maxStackFrames)
	for panicked, more := false, true; more && len(stack) < maxStackFrames; {
		var f runtime.Frame
		f, more = frames.Next()
		if strings.HasPrefix(f.Function, "runtime.") {
			panicked = panicked || f.Function == "runtime.gopanic"
			continue
		}
		if panicked {
			stack = append(stack, fmt.Sprintf("%s %s:%d", path.Base(f.Function), path.Base(f.File), f.Line))
		}
	}
	return stack
}
