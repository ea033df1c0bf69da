package gateway

import (
	"testing"

	"github.com/matryer/is"

	"baobabpaddle/fleet/wire"
)

func newRun(key string, try uint64) *run {
	return &run{
		asked: &wire.RunRequest{
			ClaimKey:     key,
			ClaimAttempt: try,
		},
		gate: &gate{
			cancel: func() {},
		},
	}
}

// TestClaimsProveNothingFalse fences attempts before they come, while they wait,
// and after they began: only what never began is proved not to run.
func TestClaimsProveNothingFalse(t *testing.T) {
	is := is.New(t)
	c := newClaims()
	early := claimKey{
		key: "early",
		try: 1,
	}
	is.True(c.fence(early))
	is.True(c.isFenced(early)) // a late copy is refused
	is.True(c.fence(early))    // asked again

	waiting := newRun("waiting", 1)
	c.add(waiting)
	is.True(c.fence(claimOf(waiting.asked)))
	is.True(!waiting.begin())

	begun := newRun("begun", 1)
	c.add(begun)
	is.True(begun.begin())
	is.True(!c.fence(claimOf(begun.asked)))
	next := claimOf(begun.asked)
	next.try = 2
	is.True(c.fence(next)) // another attempt is another matter
	is.True(!c.isFenced(claimKey{}))
}

// TestClaimsBoundMemory remembers no more than so many; beyond it nothing is
// proved any more.
func TestClaimsBoundMemory(t *testing.T) {
	is := is.New(t)
	c := newClaims()
	for i := range uint64(maxClaims) {
		c.set(claimKey{
			key: "k",
			try: i,
		}, &gate{})
	}
	forgotten := newRun("one too many", 1)
	c.add(forgotten)
	is.True(forgotten.begin())
	is.True(!c.fence(claimOf(forgotten.asked)))
	is.Equal(len(c.fates), maxClaims)
}
