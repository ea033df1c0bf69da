package trace

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/internal/golden"
	"baobabpaddle/fleet/telemetry"
)

// plain leaves out what differs between runs.
func plain(w io.Writer) *slog.Logger {
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{
		ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
			if a.Key == slog.TimeKey {
				return slog.Attr{}
			}
			return a
		},
	}))
}

var start = time.Unix(1_000_000, 0)

var about = About{
	Route:     "chat",
	Service:   "assistant",
	Team:      "north",
	Version:   7,
	ProofLeft: 3 * time.Second,
	Waits:     15 * time.Second,
	Prompt: dispatch.Prompt{
		Tokens:    900,
		MaxOutput: 200,
	},
}

var decided = dispatch.Inputs{
	DecidedBy:   dispatch.ByLeader,
	Usable:      4,
	Running:     9,
	QueueDelay:  120 * time.Millisecond,
	PrefillTime: 16 * time.Millisecond,
	Objective:   time.Second,
	Received:    41_000,
	Share:       40_000,
}

// TestLines holds one line of each kind.
func TestLines(t *testing.T) {
	var out bytes.Buffer
	l := New(plain(&out))
	r := l.Request("9c41", start)
	r.Step(start, Placed{
		About:    about,
		Upstream: "i-1",
		Inputs:   decided,
	})
	r.Step(start, Tried{
		Upstream:  "i-1",
		Outcome:   "cut",
		Status:    200,
		Cause:     "EOF",
		Took:      1500 * time.Millisecond,
		LastEvent: "12",
	})
	r.Step(start, NotRetried{
		Reason: "budget",
	})
	r.Failed(start, Ended{
		Status:  200,
		Outcome: "cut",
		First:   250 * time.Millisecond,
		Took:    1700 * time.Millisecond,
		Tries:   1,
	})
	r = l.Request("9c42", start)
	r.Failed(start, Refused{
		About:      about,
		Status:     429,
		Reason:     "over_share",
		RetryAfter: 300 * time.Millisecond,
		Inputs:     decided,
	})
	golden.Check(t, "lines.json", out.String())
}

// TestFloodIsBounded answers 5,000 requests a second for ten seconds, a hundredth
// of them refused: the refused keep their lines, of the others few are written,
// and the rest are counted.
func TestFloodIsBounded(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	l := New(plain(&out))
	const perSecond, seconds = 5000, 10
	for i := range perSecond * seconds {
		now := start.Add(time.Duration(i) * time.Second / perSecond)
		r := l.Request(fmt.Sprint(i), now)
		if i%100 == 99 {
			r.Failed(now, Refused{
				About:  about,
				Status: 429,
			})
			continue
		}
		r.Step(now, Placed{
			About: about,
		})
		r.Served(now, Ended{
			Outcome: "answered",
		})
	}
	refused := strings.Count(out.String(), MsgRefused)
	served := strings.Count(out.String(), MsgEnded)
	is.Equal(refused, perSecond*seconds/100)
	is.Equal(served, FullPerSecond*seconds)
	is.True(strings.Contains(out.String(), MsgLeftOut))
	is.True(strings.Count(out.String(), "\n") < refused+2*served+seconds)
}

// BenchmarkRefused measures the line of a refusal.
func BenchmarkRefused(b *testing.B) {
	l := New(telemetry.NewLogger(io.Discard, "gateway a"))
	b.ReportAllocs()
	for range b.N {
		r := l.Request("9c41d07be2a35f68", start)
		r.Failed(start, Refused{
			About:      about,
			Status:     429,
			Reason:     "over_share",
			RetryAfter: 300 * time.Millisecond,
			Inputs:     decided,
		})
	}
}

// BenchmarkServed measures the steps of a request that is left out.
func BenchmarkServed(b *testing.B) {
	l := New(telemetry.NewLogger(io.Discard, "gateway a"))
	b.ReportAllocs()
	for range b.N {
		r := l.Request("9c41d07be2a35f68", start)
		r.Step(start, Placed{
			About:    about,
			Upstream: "i-1",
			Inputs:   decided,
		})
		r.Step(start, Tried{
			Upstream: "i-1",
			Outcome:  "answered",
			Status:   200,
		})
		r.Served(start, Ended{
			Outcome: "answered",
		})
	}
}
