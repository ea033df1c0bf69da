package room

import "time"

const (
	// spacingStart and spacingFull are the parts of the processor share in use between which
	// the spacing grows from zero to its maximum. They are well below 1 because a process does
	// not see all processor time that its host charges it.
	spacingStart = 0.15
	spacingFull  = 0.35
	// spacingFraction is the maximum spacing as a fraction of the objective for pauses. The
	// rest is left to the upstream's own pauses and to delays in the gateway.
	spacingFraction = 0.4
)

// Spacing returns the least time between two writes to the caller of a stream at a gateway
// that uses the given part of its processor share. The objective is the longest pause
// between two events that callers accept; zero means that it is unknown.
func Spacing(part float64, objective time.Duration) time.Duration {
	fraction := min(max((part-spacingStart)/(spacingFull-spacingStart), 0), 1)
	return time.Duration(fraction * spacingFraction * float64(objective))
}
