// Package steady reads a clock that is not set by anybody and counts the time in
// which the host stood still. Go's own monotonic clock leaves that time out, so
// that a proof that is good for some seconds would outlive a pause of the host.
package steady

import (
	"time"

	"golang.org/x/sys/unix"
)

// Time is a reading of the clock. Readings of one host can be compared; they
// mean nothing on another.
type Time int64

// Now returns the present reading. Where the clock can't be read the result is
// the largest value, so that every deadline has passed.
func Now() Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return Time(1<<63 - 1)
	}
	return Time(ts.Nano())
}

// Add returns the reading after a time.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Before reports whether t is earlier than u.
func (t Time) Before(u Time) bool { return t < u }

// Sub returns the time from u to t.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }
