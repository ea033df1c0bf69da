package trace

import (
	"bytes"
	"testing"
	"time"

	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/internal/golden"
)

// TestLogShortfalls checks that of five teams only the first three get a line.
func TestLogShortfalls(t *testing.T) {
	var out bytes.Buffer
	var short []dispatch.Shortfall
	for i, team := range []string{"north", "south", "east", "west", "coast"} {
		short = append(short, dispatch.Shortfall{
			Team:     team,
			Demand:   90_000.4,
			Due:      60_000,
			Received: float64(20_000 + 1000*i),
			Refused: dispatch.Refusals{
				OverShare:  4,
				Busy:       3,
				NoUpstream: 2,
				ByGateway:  i,
			},
		})
	}
	LogShortfalls(newLoggerWithoutTime(&out), 1500*time.Millisecond, short)
	golden.Check(t, "teams.json", out.String())
}
