package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of a Writer.
const (
	// maxPendingBytes is the maximum size of the lines that wait to be written.
	maxPendingBytes = 512 << 10
	// flushDelay is how long a line waits for further lines, so that they are written
	// together.
	flushDelay = 25 * time.Millisecond
	// closeTimeout is how long Close waits for an output that is blocked.
	closeTimeout = 200 * time.Millisecond
)

// Writer is an io.Writer for log lines that never blocks its caller, so that a blocked
// output cannot stop a process. Lines wait in a bounded buffer and are written by a
// goroutine. Lines that do not fit are dropped, and a line with their number is written
// afterwards. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	wake    chan struct{}
	stop    chan struct{}
	done    chan struct{}
	closing sync.Once
	dropped atomic.Uint64
	lines   atomic.Uint64
	bytes   atomic.Uint64

	mu         sync.Mutex
	pending    []byte
	unreported uint64 // lines dropped since the last flush, which no line reports yet
}

// NewWriter returns a Writer for out and starts its goroutine, which runs until Close.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{
		out:  out,
		wake: make(chan struct{}, 1),
		stop: make(chan struct{}),
		done: make(chan struct{}),
	}
	go w.run()
	return w
}

// Write queues one line, which must end with a newline. It never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	w.lines.Add(1)
	w.bytes.Add(uint64(len(line)))
	w.mu.Lock()
	if len(w.pending)+len(line) > maxPendingBytes {
		w.unreported++
		w.mu.Unlock()
		w.dropped.Add(1)
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped because the buffer was full, plus one for
// each write to the output that failed.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Lines returns the number of lines passed to Write, including dropped lines.
func (w *Writer) Lines() uint64 { return w.lines.Load() }

// Bytes returns the size of all lines passed to Write, including dropped lines.
func (w *Writer) Bytes() uint64 { return w.bytes.Load() }

// Close writes the queued lines and stops the goroutine. It returns after closeTimeout
// at the latest, even if the output is still blocked. Lines written afterwards are lost.
func (w *Writer) Close() {
	w.closing.Do(func() { close(w.stop) })
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

// run flushes the queued lines until the writer is closed.
func (w *Writer) run() {
	defer close(w.done)
	var batch []byte
	for {
		select {
		case <-w.stop:
			w.flush(batch)
			return
		case <-w.wake:
		}
		select {
		case <-w.stop:
		case <-time.After(flushDelay):
		}
		batch = w.flush(batch)
	}
}

// flush writes the queued lines and returns their buffer for reuse. empty is the buffer
// for the lines queued meanwhile; its contents are discarded.
func (w *Writer) flush(empty []byte) []byte {
	w.mu.Lock()
	batch := w.pending
	w.pending = empty[:0]
	lost := w.unreported
	w.unreported = 0
	w.mu.Unlock()
	if lost > 0 {
		batch = fmt.Appendf(batch, `{"time":%q,"level":"WARN","msg":"log lines dropped","lines":%d}`+"\n",
			time.Now().UTC().Format(time.RFC3339Nano), lost)
	}
	if len(batch) > 0 {
		// There is no other place to report a failed write of the log, so it is only
		// counted.
		if _, err := w.out.Write(batch); err != nil {
			w.dropped.Add(1)
		}
	}
	return batch
}
