package soak

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// nothing harms nobody.
type nothing struct{}

func (nothing) Gateway(int, time.Time, time.Time) bool     { return false }
func (nothing) Upstream(string, time.Time, time.Time) bool { return false }

// everything is harmed all the time.
type everything struct{}

func (everything) Gateway(int, time.Time, time.Time) bool     { return true }
func (everything) Upstream(string, time.Time, time.Time) bool { return true }

// TestChecksFindFaults has each rule broken once, and kept once.
func TestChecksFindFaults(t *testing.T) {
	event := func(number, run string) string { return "id: " + number + "\ndata: a " + run + "\n\n" }
	for name, c := range map[string]struct {
		kind   Kind
		runs   []*Run
		status int
		whole  bool
		body   string
		harm   Harm
		rule   string // that is broken
	}{
		"whole":                    {Book, []*Run{{Body: "x", Whole: true}}, 200, true, "x", nothing{}, ""},
		"another body":             {Book, []*Run{{Body: "x", Whole: true}}, 200, true, "y", nothing{}, "answer"},
		"half a body":              {Book, []*Run{{Body: "xy"}}, 200, true, "x", nothing{}, "answer"},
		"never ran":                {Book, nil, 200, true, "x", nothing{}, "answer"},
		"ran twice":                {Book, []*Run{{}, {Body: "x", Whole: true}}, 200, true, "x", nothing{}, "twice"},
		"repeated":                 {Look, []*Run{{}, {Body: "x", Whole: true}}, 200, true, "x", nothing{}, ""},
		"false promise":            {Book, []*Run{{}}, 503, true, "", nothing{}, "promise"},
		"true promise":             {Book, nil, 503, true, "", nothing{}, ""},
		"ready answer lost":        {Book, []*Run{{Body: "x", Whole: true}}, 502, true, "", nothing{}, "lost"},
		"ready answer lost, harm":  {Book, []*Run{{Body: "x", Whole: true}}, 502, true, "", everything{}, ""},
		"broken off":               {Book, []*Run{{}}, 0, false, "", nothing{}, "lost"},
		"failed and told":          {Book, []*Run{{}}, 502, true, "", nothing{}, ""},
		"stream":                   {Draft, []*Run{{Whole: true}}, 200, true, event("1", "0") + event("2", "0"), nothing{}, ""},
		"missing event":            {Draft, []*Run{{Whole: true}}, 200, true, event("2", "0"), nothing{}, "order"},
		"event twice":              {Draft, []*Run{{Whole: true}}, 200, true, event("1", "0") + event("1", "0"), nothing{}, "order"},
		"short and whole":          {Draft, []*Run{{Whole: true}}, 200, true, event("1", "0"), nothing{}, "order"},
		"short and broken off":     {Draft, []*Run{{}}, 200, false, event("1", "0"), everything{}, ""},
		"two runs":                 {Draft, []*Run{{}, {Whole: true}}, 200, true, event("1", "0") + event("2", "1"), nothing{}, "order"},
		"goes on":                  {Chat, []*Run{{}, {From: 1, Whole: true}}, 200, true, event("1", "0") + event("2", "1"), nothing{}, ""},
		"goes on elsewhere":        {Chat, []*Run{{}, {From: 0, Whole: true}}, 200, true, event("1", "0") + event("2", "1"), nothing{}, "order"},
		"a failure's body follows": {Chat, []*Run{{}, {From: 1}}, 200, true, event("1", "0") + "no\n\n", nothing{}, "order"},
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
			l.Sent(a)
			for _, r := range c.runs {
				is.Equal(l.Began("a", r), a)
				if r.Whole {
					l.Finished(r, true)
				}
			}
			time.Sleep(time.Millisecond)
			l.Ended(a, func() {
				a.Status, a.Whole, a.Body = c.status, c.whole, c.body
			})
			l.Check(c.harm, true)
			broken := strings.Join(l.Broken(), "\n")
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
	l.Revoke("k", now)
	for id, sent := range map[string]time.Time{
		"early": now.Add(-1),
		"late":  now.Add(1),
	} {
		l.Sent(&Attempt{
			ID:   id,
			Kind: Book,
			Key:  "k",
			Sent: sent,
		})
		l.Began(id, &Run{})
	}
	is.Equal(len(l.Broken()), 1)
	is.True(strings.Contains(l.Broken()[0], "book late"))
	l.Began("nobody's", &Run{})
	is.Equal(len(l.Broken()), 2)
}
