package telemetry

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// blockedOutput takes nothing until it is released.
type blockedOutput struct {
	release chan struct{}
	mu      sync.Mutex
	taken   bytes.Buffer
}

func (b *blockedOutput) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.taken.Write(p)
}

func (b *blockedOutput) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.taken.String()
}

// TestWriterNeverBlocks writes far more lines than fit while the output takes
// nothing: no write waits, memory is bounded, and the log says what is missing.
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
	whole := out.String()
	is.True(strings.Contains(whole, "log lines dropped"))
	is.True(strings.HasSuffix(whole, "\n"))
	is.Equal(uint64(strings.Count(whole, "xxx\n"))+w.Dropped(), uint64(lines))
	is.Equal(w.Lines(), uint64(lines))
}

// TestWriterKeepsOrder writes lines at intervals and all at once.
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
