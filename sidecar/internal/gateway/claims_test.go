package gateway

import (
	"testing"

	"github.com/matryer/is"

	"baobabpaddle/fleet/wire"
)

func newRun(key string, attempt uint64) *run {
	return &run{
		request: &wire.RunRequest{
			ClaimKey:     key,
			ClaimAttempt: attempt,
		},
		startState: &startState{
			cancel: func() {},
		},
	}
}

// TestFenceFailsOnceAttemptHasBegun guards against reporting an attempt as not run when it
// was sent to the upstream. Attempts are fenced before they arrive, while they wait to
// start and after they have begun; the last fence must fail.
func TestFenceFailsOnceAttemptHasBegun(t *testing.T) {
	is := is.New(t)
	c := newClaims()
	early := claimKey{
		key:     "early",
		attempt: 1,
	}
	is.True(c.fence(early))
	is.True(c.isFenced(early)) // a copy that arrives late is refused
	is.True(c.fence(early))    // a repeated fence succeeds too

	waiting := newRun("waiting", 1)
	c.add(waiting)
	is.True(c.fence(claimKeyOf(waiting.request)))
	is.True(!waiting.begin())

	begun := newRun("begun", 1)
	c.add(begun)
	is.True(begun.begin())
	is.True(!c.fence(claimKeyOf(begun.request)))
	next := claimKeyOf(begun.request)
	next.attempt = 2
	is.True(c.fence(next)) // the next attempt of the claim is fenced on its own
	is.True(!c.isFenced(claimKey{}))
}

// TestFullClaimTableFencesNothing guards against reporting an attempt as not run after the
// table has overflowed: the attempt that was not recorded has begun, and fencing it must
// fail. The table does not grow beyond maxClaims.
func TestFullClaimTableFencesNothing(t *testing.T) {
	is := is.New(t)
	c := newClaims()
	for i := range uint64(maxClaims) {
		c.set(claimKey{
			key:     "k",
			attempt: i,
		}, &startState{})
	}
	unrecorded := newRun("one too many", 1)
	c.add(unrecorded)
	is.True(unrecorded.begin())
	is.True(!c.fence(claimKeyOf(unrecorded.request)))
	is.Equal(len(c.records), maxClaims)
}
