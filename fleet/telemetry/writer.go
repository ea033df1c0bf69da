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
	// maxPendingBytes is how many bytes of lines may wait to be written.
	maxPendingBytes = 512 << 10
	// flushDelay is how long a line may wait for others, so that they are written
	// together.
	flushDelay = 25 * time.Millisecond
	// closeTimeout bounds how long Close waits for an output that takes nothing.
	closeTimeout = 200 * time.Millisecond
)

// Writer passes log lines on without ever blocking the caller. Lines wait in a
// bounded buffer; what does not fit is dropped, and a line says how many were.
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
	unreported uint64 // lines dropped since the last flush
}

// NewWriter returns a writer whose lines go to out.
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

// Write takes one line. It never fails.
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

// Dropped returns how many lines found no room.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Lines returns how many lines were taken, those dropped included.
func (w *Writer) Lines() uint64 { return w.lines.Load() }

// Bytes returns the size of all lines taken.
func (w *Writer) Bytes() uint64 { return w.bytes.Load() }

// Close writes what waits, unless the output takes nothing for closeTimeout. Lines
// written afterwards are lost.
func (w *Writer) Close() {
	w.closing.Do(func() { close(w.stop) })
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

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

// flush writes what waits and returns the memory for the next batch.
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
		// A log that can't be written has nowhere to say so; the lines are counted.
		if _, err := w.out.Write(batch); err != nil {
			w.dropped.Add(1)
		}
	}
	return batch
}
