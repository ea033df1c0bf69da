package telemetry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPaceGrows guards against a line that is repeated each second and pushes out what was
// logged before.
func TestPaceGrows(t *testing.T) {
	is := is.New(t)
	p := Pace{
		First: time.Second,
		Max:   8 * time.Second,
	}
	start := time.Unix(1_000_000, 0)
	due := func() []int {
		var out []int
		for second := range 34 {
			if p.Due(start.Add(time.Duration(second) * time.Second)) {
				out = append(out, second)
			}
		}
		return out
	}
	want := []int{0, 1, 3, 7, 15, 23, 31}
	is.Equal(due(), want)
	p.Reset()
	is.Equal(due(), want)
}
