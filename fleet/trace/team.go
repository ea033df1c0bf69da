package trace

import (
	"log/slog"
	"time"

	"baobabpaddle/fleet/dispatch"
)

// MsgTeamShort is the message of the lines about teams that received less than half of
// their due tokens.
const MsgTeamShort = "team received less than half of what was due"

// maxLoggedTeams is the maximum number of lines that LogShortfalls writes per call.
const maxLoggedTeams = 3

// LogShortfalls writes a line for each of the first maxLoggedTeams elements of short,
// which must be sorted by the fraction of the due tokens that the team received, lowest
// first. Each line also has the length of short. leading is for how long the leading
// controller has counted tokens.
func LogShortfalls(log *slog.Logger, leading time.Duration, short []dispatch.Shortfall) {
	for _, s := range short[:min(len(short), maxLoggedTeams)] {
		log.Warn(MsgTeamShort, KeyTeam, s.Team, "due", int64(s.Due), "received", int64(s.Received),
			"asked", int64(s.Demand), "refused_over_share", s.Refused.OverShare, "refused_busy", s.Refused.Busy,
			"refused_no_upstream", s.Refused.NoUpstream, "refused_by_gateways", s.Refused.ByGateway,
			"teams_short", len(short), "leading_ms", leading.Milliseconds())
	}
}
