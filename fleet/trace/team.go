package trace

import (
	"log/slog"
	"time"

	"baobabpaddle/fleet/dispatch"
)

// MsgShort is the message of the lines about teams that received too little.
const MsgShort = "team received less than half of what was due"

// mostShort is how many teams are written at once; the others are counted.
const mostShort = 3

// Shortfalls writes a line for each of the teams that received least of what was due to
// them. Leading is for how long the accounts have been kept.
func Shortfalls(log *slog.Logger, leading time.Duration, short []dispatch.Shortfall) {
	for _, s := range short[:min(len(short), mostShort)] {
		log.Warn(MsgShort, KeyTeam, s.Team, "teams_short", len(short),
			"asked", int64(s.Demand), "due", int64(s.Due), "received", int64(s.Received),
			"refused_over_share", s.Refused.OverShare, "refused_busy", s.Refused.Busy,
			"refused_no_upstream", s.Refused.NoUpstream, "refused_by_gateways", s.Refused.ByGateway,
			"leading_ms", leading.Milliseconds())
	}
}
