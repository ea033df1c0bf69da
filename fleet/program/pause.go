package program

import (
	"context"
	"log/slog"
	"time"

	"baobabpaddle/fleet/steady"
)

const (
	// pauseCheckInterval is the interval at which the clock is read.
	pauseCheckInterval = 500 * time.Millisecond
	// minLoggedPause is the shortest time between two readings that is logged. It is
	// far longer than the delay of a tick in a busy process.
	minLoggedPause = 1500 * time.Millisecond
)

// msgPaused is the log message about a pause of the process. The explain command
// matches it.
const msgPaused = "the process stood still"

// WatchPauses logs a warning when the process has not run for minLoggedPause or
// longer, for example because its host was suspended. It returns when the context
// ends. During such a pause the process answered none of its callers.
func WatchPauses(ctx context.Context, log *slog.Logger) {
	ticker := time.NewTicker(pauseCheckInterval)
	defer ticker.Stop()
	last := steady.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := steady.Now()
		if paused := now.Sub(last); paused >= minLoggedPause {
			log.Warn(msgPaused, "paused_ms", paused.Milliseconds())
		}
		last = now
	}
}
