package trace

import (
	"log/slog"
	"time"

	"baobabpaddle/fleet/dispatch"
)

// MsgTeamShort is the message of the lines about teams that received too little.
const MsgTeamShort = "team received less than half of what was due"

// maxLoggedTeams is how many teams are written at once; the others are counted.
const maxLoggedTeams = 3

// LogShortfalls writes a line for each of the teams that received least of what was due to
// them. Leading is for how long the accounts have been kept.
func LogShortfalls(log *slog.Logger, leading time.Duration, short []dispatch.Shortfall) {
	for _, s := range short[:min(len(short), maxLoggedTeams)] {
		log.Warn(MsgTeamShort, KeyTeam, s.Team, "teams_short", len(short),
			"asked", int64(s.Asked), "due", int64(s.Due), "received", int64(s.Received),
			"refused_over_share", s.Refused.OverShare, "refused_busy", s.Refused.Busy,
			"refused_no_upstream", s.Refused.NoUpstream, "refused_by_gateways", s.Refused.ByGateway,
			"leading_ms", leading.Milliseconds())
	}
}
