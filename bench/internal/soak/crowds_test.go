package soak

import (
	"encoding/json"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// stoodStill is a FaultHistory in which a gateway stood still for some time and nothing else happened.
type stoodStill struct {
	noFaults
	time time.Duration
}

func (s stoodStill) Standstill(int, time.Time, time.Time) time.Duration { return s.time }

// TestWholeRequestIsAnsweredOrClosed guards against callers whose whole request gets neither an answer
// nor a refusal, which the soak must report: it was closed late, or its caller waited in vain.
func TestWholeRequestIsAnsweredOrClosed(t *testing.T) {
	const slack = 10 * time.Millisecond
	for name, c := range map[string]struct {
		status     int
		took       time.Duration // from the last byte of the request to the end; zero if it was not whole
		timedOut   bool
		executions []*Execution
		faults     FaultHistory
		broken     bool
	}{
		"refused":                                {503, time.Second, false, nil, noFaults{}, false},
		"closed at once":                         {0, lossSlack - slack, false, nil, noFaults{}, false},
		"closed late":                            {0, lossSlack + slack, false, nil, noFaults{}, true},
		"closed late, not whole":                 {0, 0, false, nil, noFaults{}, false},
		"closed late, ran":                       {0, lossSlack + slack, false, []*Execution{{}}, constantFaults{}, false},
		"closed late by a gateway that ended":    {0, time.Second, false, nil, constantFaults{}, false},
		"closed at once after a standstill":      {0, time.Second, false, nil, stoodStill{time: time.Second - lossSlack + slack}, false},
		"closed late after a standstill":         {0, time.Second, false, nil, stoodStill{time: time.Second - lossSlack - slack}, true},
		"its caller waited":                      {0, callerTimeout + time.Second, true, nil, noFaults{}, true},
		"its caller waited, ran":                 {0, callerTimeout + time.Second, true, []*Execution{{}}, noFaults{}, true},
		"its caller waited, a short standstill":  {0, callerTimeout + time.Second, true, nil, stoodStill{time: time.Second / 2}, true},
		"its caller waited for a stopped one":    {0, callerTimeout + time.Second, true, nil, constantFaults{}, false},
		"its caller waited, during a standstill": {0, callerTimeout + time.Second, true, nil, stoodStill{time: 2 * time.Second}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := NewLedger()
			now := time.Now()
			a := &Attempt{
				ID:         "a",
				Kind:       Book,
				Sent:       now.Add(-c.took),
				Ended:      now,
				Status:     c.status,
				TimedOut:   c.timedOut,
				Executions: c.executions,
			}
			if c.took > 0 {
				a.Written = a.Sent
			}
			l.checkUnanswered(a, c.faults)
			is.Equal(strings.Contains(strings.Join(l.Violations(), "\n"), " unanswered: "), c.broken)
		})
	}
}

// TestStandstillsCountOnce guards against a check that is lax since standstills that overlap count twice.
func TestStandstillsCountOnce(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	list := []interval{
		{from: at(6)}, // lasts
		{from: at(0), to: at(3)},
		{from: at(1), to: at(2)},
		{from: at(2), to: at(4)},
	}
	is.Equal(covered(list, at(1), at(8)), 5*time.Second)
	is.Equal(covered(list, at(4), at(6)), time.Duration(0))
	is.Equal(covered(nil, at(0), at(9)), time.Duration(0))
}

// TestLoggedStandstillsAreRead guards against a check that doesn't know what gateways have logged.
func TestLoggedStandstillsAreRead(t *testing.T) {
	is := is.New(t)
	p := &process{
		name: "gateway-1",
		work: t.TempDir(),
	}
	path := filepath.Join(p.work, "gateway-1.log")
	lines := `{"time":"2026-12-07T04:00:00Z","level":"INFO","msg":"gateway started"}` + "\n" +
		`{"time":"2026-12-07T04:00:10Z","level":"WARN","msg":"the process stood still","paused_ms":2500}` + "\n"
	half := len(lines) - 20
	is.NoErr(os.WriteFile(path, []byte(lines[:half]), 0o600))
	is.NoErr(p.readStandstills())
	is.Equal(len(p.standstills.all()), 0)
	is.NoErr(os.WriteFile(path, []byte(lines), 0o600))
	for range 2 {
		is.NoErr(p.readStandstills())
		is.Equal(len(p.standstills.all()), 1)
	}
	one := p.standstills.all()[0]
	is.Equal(one.to.Sub(one.from), 2*time.Second)
	is.Equal(one.to.Format("15:04:05"), "04:00:10")
}

// TestLimitsOfRoutes guards against a limit on calls that breaks off streams.
func TestLimitsOfRoutes(t *testing.T) {
	is := is.New(t)
	f := newFaults(t, Options{}, "")
	short := false
	for seed := range uint64(20) {
		f.soak.operator.limits = drawLimits(rand.New(rand.NewPCG(seed, 0)))
		var document struct {
			Routes []struct {
				Kind    string `json:"kind"`
				Timeout int64  `json:"timeout_ms"`
			} `json:"routes"`
		}
		is.NoErr(json.Unmarshal(f.soak.operator.document(), &document))
		for _, route := range document.Routes {
			short = short || route.Timeout == shortCallTimeout.Milliseconds()
			is.True(route.Kind != "stream" || route.Timeout >= (callerTimeout*3/4).Milliseconds())
		}
	}
	is.True(short)
}
