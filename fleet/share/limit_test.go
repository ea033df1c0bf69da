package share

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLimitIgnoresStaleReports checks that a load report changes the limit only if it is
// neither older than DefaultLoadMaxAge nor out of sequence.
func TestLimitIgnoresStaleReports(t *testing.T) {
	is := is.New(t)
	var l ConcurrencyLimit
	l.SetMax(16)
	queueing := Load{
		Sequence: 5,
		At:       start,
		Running:  16,
		Waiting:  8,
	}
	is.True(!l.Report(start.Add(DefaultLoadMaxAge+time.Second), queueing)) // too old
	is.Equal(l.Value(), 16)
	is.True(l.Report(start.Add(time.Second), queueing))
	is.True(l.Value() < 16)
	after := l.Value()
	is.True(!l.Report(start.Add(5*time.Second), queueing)) // repeated
	older := queueing
	older.Sequence = 4
	is.True(!l.Report(start.Add(6*time.Second), older))
	is.Equal(l.Value(), after)
}

// TestLimitRisesAgain guards against a limit that stays low after a cut or exceeds the
// declared maximum.
func TestLimitRisesAgain(t *testing.T) {
	is := is.New(t)
	var l ConcurrencyLimit
	l.SetMax(16)
	l.Report(start, Load{
		Sequence: 1,
		At:       start,
		Running:  16,
		Waiting:  4,
	})
	now := start
	for range 1000 {
		now = now.Add(50 * time.Millisecond)
		l.Finished(now, true)
	}
	is.Equal(l.Value(), 16)
	l.Finished(now.Add(time.Hour), true)
	is.Equal(l.Value(), 16) // never above the declared maximum
}

// TestLimitFallsOnLateFirstTokens checks that the limit is cut when the time to the first
// token is far above its typical value, but never below one.
func TestLimitFallsOnLateFirstTokens(t *testing.T) {
	is := is.New(t)
	var l ConcurrencyLimit
	l.SetMax(16)
	now := start
	for range 100 {
		l.FirstToken(now, 200*time.Millisecond)
	}
	is.Equal(l.Value(), 16)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		l.FirstToken(now, 10*time.Second)
	}
	is.True(l.Value() < 16)
	is.True(l.Value() >= 1)
}

// TestRetryBudget guards against retries that multiply the load: after a burst only a tenth of
// the requests may be retried.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	var b RetryBudget
	allowed := 0
	for range 100 {
		if b.Take() {
			allowed++
		}
	}
	is.Equal(allowed, 10) // the burst
	for range 100 {
		b.Request()
	}
	allowed = 0
	for range 100 {
		if b.Take() {
			allowed++
		}
	}
	is.Equal(allowed, 10) // a tenth of the requests
}
