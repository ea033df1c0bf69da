package program

import (
	"context"
	"log/slog"
	"time"

	"baobabpaddle/fleet/steady"
)

const (
	// pauseLook is how often the clock is read.
	pauseLook = 500 * time.Millisecond
	// shortestPause is the least time without a reading that is logged: far longer
	// than a busy process is late.
	shortestPause = 1500 * time.Millisecond
)

// msgPaused is the message of the line about a process that stood still.
const msgPaused = "the process stood still"

// WatchPauses logs when the process did not run for a while, as when its host is
// suspended, until the context ends. Callers that it had meanwhile saw nothing.
func WatchPauses(ctx context.Context, log *slog.Logger) {
	ticker := time.NewTicker(pauseLook)
	defer ticker.Stop()
	last := steady.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := steady.Now()
		if paused := now.Sub(last); paused >= shortestPause {
			log.Warn(msgPaused, "paused_ms", paused.Milliseconds())
		}
		last = now
	}
}
