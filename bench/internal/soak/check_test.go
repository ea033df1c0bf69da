package soak

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// nothing harms nobody.
type nothing struct{}

func (nothing) GatewayAffected(int, time.Time, time.Time) bool     { return false }
func (nothing) UpstreamAffected(string, time.Time, time.Time) bool { return false }

// everything is harmed all the time.
type everything struct{}

func (everything) GatewayAffected(int, time.Time, time.Time) bool     { return true }
func (everything) UpstreamAffected(string, time.Time, time.Time) bool { return true }

// TestChecksFindFaults has each rule broken once, and kept once.
func TestChecksFindFaults(t *testing.T) {
	event := func(number, run string) string { return "id: " + number + "\ndata: a " + run + "\n\n" }
	for name, c := range map[string]struct {
		kind   Kind
		runs   []*Execution
		status int
		whole  bool
		body   string
		harm   FaultHistory
		rule   string // that is broken
	}{
		"whole":                    {Book, []*Execution{{Body: "x", Complete: true}}, 200, true, "x", nothing{}, ""},
		"another body":             {Book, []*Execution{{Body: "x", Complete: true}}, 200, true, "y", nothing{}, "answer"},
		"half a body":              {Book, []*Execution{{Body: "xy"}}, 200, true, "x", nothing{}, "answer"},
		"never ran":                {Book, nil, 200, true, "x", nothing{}, "answer"},
		"ran twice":                {Book, []*Execution{{}, {Body: "x", Complete: true}}, 200, true, "x", nothing{}, "twice"},
		"repeated":                 {Look, []*Execution{{}, {Body: "x", Complete: true}}, 200, true, "x", nothing{}, ""},
		"false promise":            {Book, []*Execution{{}}, 503, true, "", nothing{}, "promise"},
		"true promise":             {Book, nil, 503, true, "", nothing{}, ""},
		"ready answer lost":        {Book, []*Execution{{Body: "x", Complete: true}}, 502, true, "", nothing{}, "lost"},
		"ready answer lost, harm":  {Book, []*Execution{{Body: "x", Complete: true}}, 502, true, "", everything{}, ""},
		"broken off":               {Book, []*Execution{{}}, 0, false, "", nothing{}, "lost"},
		"failed and told":          {Book, []*Execution{{}}, 502, true, "", nothing{}, ""},
		"stream":                   {Draft, []*Execution{{Complete: true}}, 200, true, event("1", "0") + event("2", "0"), nothing{}, ""},
		"missing event":            {Draft, []*Execution{{Complete: true}}, 200, true, event("2", "0"), nothing{}, "order"},
		"event twice":              {Draft, []*Execution{{Complete: true}}, 200, true, event("1", "0") + event("1", "0"), nothing{}, "order"},
		"short and whole":          {Draft, []*Execution{{Complete: true}}, 200, true, event("1", "0"), nothing{}, "order"},
		"short and broken off":     {Draft, []*Execution{{}}, 200, false, event("1", "0"), everything{}, ""},
		"two runs":                 {Draft, []*Execution{{}, {Complete: true}}, 200, true, event("1", "0") + event("2", "1"), nothing{}, "order"},
		"goes on":                  {Chat, []*Execution{{}, {ResumedAfter: 1, Complete: true}}, 200, true, event("1", "0") + event("2", "1"), nothing{}, ""},
		"goes on elsewhere":        {Chat, []*Execution{{}, {ResumedAfter: 0, Complete: true}}, 200, true, event("1", "0") + event("2", "1"), nothing{}, "order"},
		"a failure's body follows": {Chat, []*Execution{{}, {ResumedAfter: 1}}, 200, true, event("1", "0") + "no\n\n", nothing{}, "order"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := NewLedger()
			a := &Attempt{
				ID:     "a",
				Kind:   c.kind,
				Events: 2,
				Sent:   time.Now(),
			}
			l.RecordSent(a)
			for _, r := range c.runs {
				is.Equal(l.RecordExecution("a", r), a)
				if r.Complete {
					l.RecordAnswer(r, true)
				}
			}
			time.Sleep(time.Millisecond)
			l.RecordEnd(a, func() {
				a.Status, a.Complete, a.Body = c.status, c.whole, c.body
			})
			l.Check(c.harm, true)
			broken := strings.Join(l.Violations(), "\n")
			if c.rule == "" {
				is.Equal(broken, "")
				return
			}
			is.True(strings.Contains(broken, " "+c.rule+": "))
		})
	}
}

// TestRevokedKeyMustNotRun runs a request with a key that was taken away before.
func TestRevokedKeyMustNotRun(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	now := time.Now()
	l.RecordRevocation("k", now)
	for id, sent := range map[string]time.Time{
		"early": now.Add(-1),
		"late":  now.Add(1),
	} {
		l.RecordSent(&Attempt{
			ID:   id,
			Kind: Book,
			Key:  "k",
			Sent: sent,
		})
		l.RecordExecution(id, &Execution{})
	}
	is.Equal(len(l.Violations()), 1)
	is.True(strings.Contains(l.Violations()[0], "book late"))
	l.RecordExecution("nobody's", &Execution{})
	is.Equal(len(l.Violations()), 2)
}
