package origin

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestAllowanceIsBounded guards against a team that begins one stream and gets around its share
// by continuing it again and again.
func TestAllowanceIsBounded(t *testing.T) {
	is := is.New(t)
	var a Allowance
	now := time.Unix(1000, 0)
	for i := range 3 * MaxContinuations {
		is.Equal(a.Take(now, 7), i < MaxContinuations)
	}
	is.True(a.Take(now, 8))
	is.True(a.Take(now.Add(Retention+1), 7))
}
