package trace

import (
	"log/slog"
	"strconv"

	"baobabpaddle/fleet/quarantine"
)

// Messages and keys of the lines about quarantined prompt segments and requests. The keys are
// also those of a refused request's line.
const (
	MsgQuarantined = "prompt segment quarantined"
	MsgReleased    = "prompt segment released from quarantine"

	MsgRequestQuarantined = "request quarantined"
	MsgRequestReleased    = "request released from quarantine"

	KeySegment = "segment"
	KeyRounds  = "rounds"
	KeyCrashes = "crashes"
	KeyTrialIn = "trial_in_ms"
	// KeyOneService is true if a request is refused at one service only.
	KeyOneService = "one_service"
)

// subjectID returns the identifier of a subject as it is logged: for a request at one service
// the digest of the request, since callers' lines have that.
func subjectID(s quarantine.Subject) string {
	if s.Of != 0 {
		return SubjectID(s.Of)
	}
	return SubjectID(s.ID)
}

// SubjectID returns the identifier of a segment or the digest of a request as it is logged.
func SubjectID(id uint64) string { return strconv.FormatUint(id, 16) }

// subjectKey returns the key of a subject's identifier.
func subjectKey(s quarantine.Subject) string {
	if s.Kind == quarantine.Request {
		return KeyDigest
	}
	return KeySegment
}

// subjectArgs returns the attributes that name a subject.
func subjectArgs(s quarantine.Subject) []any {
	args := []any{subjectKey(s), subjectID(s)}
	if s.Of != 0 {
		args = append(args, KeyOneService, true)
	}
	return args
}

// LogQuarantine writes a line for each change of a quarantined prompt segment or request.
func LogQuarantine(log *slog.Logger, changes []quarantine.Change) {
	for _, c := range changes {
		quarantined, released := MsgQuarantined, MsgReleased
		if c.Kind == quarantine.Request {
			quarantined, released = MsgRequestQuarantined, MsgRequestReleased
		}
		if c.Released {
			log.Info(released, append(subjectArgs(c.Subject), KeyCause, string(c.Cause))...)
			continue
		}
		log.Warn(quarantined, append([]any{
			KeyCause, string(c.Cause), KeyCrashes, c.Crashes, KeyRounds, c.Rounds,
			KeyTrialIn, c.TrialIn.Milliseconds(),
		}, subjectArgs(c.Subject)...)...)
	}
}

// appendQuarantine appends the record of a refused request's quarantined subject.
func appendQuarantine(dst []slog.Attr, r quarantine.Record) []slog.Attr {
	return append(dst, slog.String(subjectKey(r.Subject), subjectID(r.Subject)), slog.Int(KeyRounds, r.Rounds),
		slog.Int(KeyCrashes, r.Crashes), millis(KeyTrialIn, r.TrialIn))
}
