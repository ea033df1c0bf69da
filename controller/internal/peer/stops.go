package peer

import (
	"errors"
	"log/slog"
	"sync/atomic"
	"syscall"
	"time"

	"baobabpaddle/controller/internal/replica"
	"baobabpaddle/fleet/disk"
	"baobabpaddle/fleet/raft"
	"baobabpaddle/fleet/telemetry"
)

// Pace of the lines about replicas that stop again and again.
const (
	stopLogInterval    = time.Second
	stopLogMaxInterval = 8 * time.Second
)

// Causes of a stop in short form.
const (
	causeRemoved      = "removed" // from the group
	causeNoSpace      = "no_space"
	causeReadOnly     = "read_only"
	causeIOError      = "io_error"
	causeDamaged      = "damaged"
	causeLocked       = "locked" // by another process
	causeWriteFailed  = "earlier_write_failed"
	causeDiskMismatch = "disk_mismatch"
	causeOther        = "other"
)

// stopCause returns the short form of the error that stopped a replica or kept one from being
// started.
func stopCause(err error) string {
	for _, known := range []struct {
		is    error
		cause string
	}{
		{syscall.ENOSPC, causeNoSpace},
		{syscall.EDQUOT, causeNoSpace},
		{syscall.EROFS, causeReadOnly},
		{syscall.EIO, causeIOError},
		{disk.ErrDamaged, causeDamaged},
		{disk.ErrLocked, causeLocked},
		{disk.ErrFailed, causeWriteFailed},
		{replica.ErrDiskMismatch, causeDiskMismatch},
	} {
		if errors.Is(err, known.is) {
			return known.cause
		}
	}
	return causeOther
}

// stops records what has stopped the replicas of this process. Only the goroutine of Run uses
// it, except for count.
type stops struct {
	log     *slog.Logger
	history replica.History
	count   atomic.Uint64 // history.Stops for other goroutines

	failedStarts int           // since a replica last ran
	ran          time.Duration // for how long the last replica ran; zero after a failed start
	pace         telemetry.Pace
	unlogged     bool // whether the last stop was left out of the log
}

func newStops(log *slog.Logger) stops {
	return stops{
		log: log,
		pace: telemetry.Pace{
			First: stopLogInterval,
			Max:   stopLogMaxInterval,
		},
	}
}

// noteStop records that a replica with the status stopped after it ran from started to now.
func (s *stops) noteStop(status replica.Status, cause string, started, now time.Time) {
	s.history = s.history.After(status, cause, now)
	s.count.Store(uint64(s.history.Stops))
	s.failedStarts = 0
	s.ran = now.Sub(started)
	if s.ran >= stopLogInterval {
		s.pace.Reset()
		s.unlogged = false
	}
}

// noteFailedStart records that no replica could be started.
func (s *stops) noteFailedStart() {
	s.failedStarts++
	s.ran = 0
}

// logStop logs that a replica stopped, or could not be started, with the error. While that
// repeats, lines are left out.
func (s *stops) logStop(err error, now time.Time) {
	s.unlogged = !s.pace.Due(now)
	if s.unlogged {
		return
	}
	s.log.Warn("replica stopped, started again from its data folder", "cause", stopCause(err), "stops", s.history.Stops,
		"failed_starts", s.failedStarts, "ran_ms", s.ran.Milliseconds(), "detail", err)
}

// logStart logs that a replica was started. If the stop before was left out of the log, it
// does so only once the replica has run for stopLogInterval. The returned function is called
// when the replica has stopped.
func (s *stops) logStart(restored raft.Restored, id uint64) (stopped func()) {
	stops := s.history.Stops
	write := func() {
		s.log.Info("replica started", "stops", stops,
			"last_index", restored.Snapshot.Index+uint64(len(restored.Entries)), "replica", id)
	}
	if !s.unlogged {
		write()
		return func() {}
	}
	timer := time.AfterFunc(stopLogInterval, write)
	return func() { timer.Stop() }
}
