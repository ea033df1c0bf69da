package trace

import (
	"bytes"
	"regexp"
	"strings"
	"testing"
	"time"

	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/internal/golden"
	"baobabpaddle/fleet/quarantine"
	"baobabpaddle/fleet/telemetry"
)

// keptCharacters is the length at which collectors cut off a line.
const keptCharacters = 200

var timeField = regexp.MustCompile(`"time":"[^"]*"`)

// cutLines returns the beginnings of lines that collectors keep, with a fixed time.
func cutLines(lines string) string {
	var out strings.Builder
	for line := range strings.Lines(lines) {
		line = timeField.ReplaceAllString(strings.TrimSuffix(line, "\n"), `"time":"2026-01-02T03:04:05.000000Z"`)
		out.WriteString(line[:min(len(line), keptCharacters)] + "\n")
	}
	return out.String()
}

// TestCutLinesShowWhatDecides guards against warnings of which only the time, the names and the
// identifiers are left once they are cut off.
func TestCutLinesShowWhatDecides(t *testing.T) {
	var out bytes.Buffer
	log := telemetry.NewLogger(&out, "gateway front-gr-central-a-1")
	l := New(log)
	info := sampleRequest
	info.Version = 13
	info.ProofLeft = -507 * time.Millisecond
	none := sampleRequest
	none.Version = 0
	none.ProofLeft = 0
	for _, last := range []Step{
		Refused{
			RequestInfo: info,
			Status:      503,
			Reason:      "not_ready",
			Cause:       "the configuration may be old",
			RetryAfter:  300 * time.Millisecond,
		},
		Refused{
			RequestInfo: none,
			Status:      503,
			Reason:      "not_ready",
			Cause:       "no configuration yet",
			RetryAfter:  300 * time.Millisecond,
		},
		Refused{
			RequestInfo: sampleRequest,
			Status:      429,
			Reason:      "over_share",
			RetryAfter:  300 * time.Millisecond,
			Inputs:      sampleInputs,
		},
		Ended{
			Status:    200,
			Outcome:   "cut",
			FirstByte: 250 * time.Millisecond,
			Took:      1700 * time.Millisecond,
			Tries:     1,
		},
	} {
		r := l.Request("5f0c1d2e-9c41-4d07-be2a-35f68aa01b7c", start)
		r.Failed(start, last)
	}
	LogShortfalls(log, 1500*time.Millisecond, []dispatch.Shortfall{
		{
			Team:     "north",
			Demand:   90_000,
			Due:      60_000,
			Received: 20_000,
		},
	})
	LogQuarantine(log, []quarantine.Change{
		{
			Record: quarantine.Record{
				Subject: quarantine.Subject{
					Kind: quarantine.Request,
					ID:   0x5c1e07a291bd3f06,
				},
				Rounds:  2,
				Crashes: 3,
				TrialIn: 5 * time.Second,
			},
			Cause: quarantine.Crashed,
		},
	})
	golden.Check(t, "cut_lines.json", cutLines(out.String()))
}
