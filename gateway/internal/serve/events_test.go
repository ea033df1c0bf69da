package serve

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestEventScanner splits the same stream at every position. The output must be the
// complete events, in order and once each.
func TestEventScanner(t *testing.T) {
	is := is.New(t)
	text := "id: 1\ndata: a\n\nid: 2\ndata: id:9\n\ndata: no identifier\n\nid: 30\ndata: c\n\n"
	for i := range len(text) {
		for _, step := range []int{1, 3, len(text)} {
			var s eventScanner
			var out strings.Builder
			rest := text
			out.Write(s.next([]byte(rest[:i])))
			rest = rest[i:]
			for len(rest) > 0 {
				n := min(step, len(rest))
				out.Write(s.next([]byte(rest[:n])))
				rest = rest[n:]
			}
			is.Equal(out.String(), text)
			is.Equal(string(s.lastID), "30")
			is.True(!s.incomplete())
		}
	}
}

// FuzzEventScanner checks that no byte of a stream is lost, repeated or reordered.
func FuzzEventScanner(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n", 3)
	f.Fuzz(func(t *testing.T, text string, step int) {
		if step < 1 {
			return
		}
		var s eventScanner
		var out strings.Builder
		for rest := text; len(rest) > 0; {
			n := min(step, len(rest))
			out.Write(s.next([]byte(rest[:n])))
			rest = rest[n:]
		}
		if got := out.String() + string(s.partial); got != text {
			t.Errorf("stream %q was returned as %q", text, got)
		}
	})
}

// TestFirstEventMustFollow guards against a resumed stream that goes on with anything else
// than an event after the last one.
func TestFirstEventMustFollow(t *testing.T) {
	for name, c := range map[string]struct {
		whole   string
		last    string
		found   bool
		follows bool
	}{
		"the next":                {"id: 10\ndata: x\n\n", "9", true, true},
		"one left out":            {"id:12\ndata: x\n\n", "9", true, true},
		"the same":                {"id: 9\ndata: x\n\n", "9", true, false},
		"an earlier one":          {"id: 1\ndata: x\n\nid: 10\ndata: x\n\n", "9", true, false},
		"no identifier":           {"data: id:10\n\nid: 10\ndata: x\n\n", "9", true, false},
		"a line before it":        {"version: 7\nid: 10\ndata: x\n\n", "9", true, true},
		"after a comment":         {": wait\n\nid: 10\ndata: x\n\n", "9", true, true},
		"comments only":           {": wait\n\n:id: 10\n\n", "9", false, false},
		"names":                   {"id: b\ndata: x\n\n", "a", true, true},
		"the same name":           {"id: a\ndata: x\n\n", "a", true, false},
		"a stream without events": {"\n\n", "9", false, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			id, found := firstID([]byte(c.whole))
			is.Equal(found, c.found)
			if found {
				is.Equal(follows(id, c.last), c.follows)
			}
		})
	}
}
