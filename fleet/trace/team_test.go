package trace

import (
	"bytes"
	"testing"
	"time"

	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/internal/golden"
)

// TestShortfalls writes the lines of the shortest three of five teams.
func TestShortfalls(t *testing.T) {
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
	Shortfalls(plain(&out), 1500*time.Millisecond, short)
	golden.Check(t, "teams.json", out.String())
}
