package telemetry

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// blockedOutput is an io.Writer that blocks until release is closed.
type blockedOutput struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (b *blockedOutput) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.written.Write(p)
}

func (b *blockedOutput) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.written.String()
}

// TestWriterNeverBlocks writes far more lines than the buffer holds while the output is
// blocked: Write must not block, the memory must stay bounded, and the log must report
// that lines were dropped.
func TestWriterNeverBlocks(t *testing.T) {
	is := is.New(t)
	out := &blockedOutput{
		release: make(chan struct{}),
	}
	w := NewWriter(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	const lines = 10_000
	started := time.Now()
	for range lines {
		n, err := w.Write(line)
		is.NoErr(err)
		is.Equal(n, len(line))
	}
	is.True(time.Since(started) < 5*time.Second)
	is.True(w.Dropped() > lines/2)
	is.True(len(w.pending) <= maxPendingBytes)
	close(out.release)
	w.Close()
	output := out.String()
	is.True(strings.Contains(output, "log lines dropped"))
	is.True(strings.HasSuffix(output, "\n"))
	is.Equal(uint64(strings.Count(output, "xxx\n"))+w.Dropped(), uint64(lines))
	is.Equal(w.Lines(), uint64(lines))
}

// TestWriterKeepsOrder checks the order of lines that are flushed separately and on
// Close, and that Close may be called twice.
func TestWriterKeepsOrder(t *testing.T) {
	is := is.New(t)
	out := &blockedOutput{
		release: make(chan struct{}),
	}
	close(out.release)
	w := NewWriter(out)
	for _, line := range []string{"a\n", "b\n"} {
		_, err := w.Write([]byte(line))
		is.NoErr(err)
		time.Sleep(2 * flushDelay)
	}
	_, err := w.Write([]byte("c\n"))
	is.NoErr(err)
	w.Close()
	w.Close()
	is.Equal(out.String(), "a\nb\nc\n")
}
