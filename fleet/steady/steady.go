// Package steady reads a monotonic clock that includes the time during which the
// host was suspended (CLOCK_BOOTTIME); Now returns a reading. Go's monotonic clock
// does not advance while the host is suspended, so a lease measured with it would
// still look valid after a suspension that outlasted it.
package steady

import (
	"time"

	"golang.org/x/sys/unix"
)

// Time is a reading of the clock in nanoseconds since the host booted. Readings of
// different hosts can't be compared.
type Time int64

// Now returns the current reading. If the clock can't be read, it returns the
// largest Time, so that every deadline has passed and no lease is taken as valid.
func Now() Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return Time(1<<63 - 1)
	}
	return Time(ts.Nano())
}

// Add returns the reading t+d.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Before reports whether t is earlier than u.
func (t Time) Before(u Time) bool { return t < u }

// Sub returns the duration t-u.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }
