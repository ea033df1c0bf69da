package controller

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/fleet/dispatch"
)

// TestNewTermReceivesAccounts guards against a leader that begins a term with no accounts of
// teams: it has led before at the same address, and its state ended with its former term, as
// after a full disk or a restart. In the same term it has counted the requests.
func TestNewTermReceivesAccounts(t *testing.T) {
	is := is.New(t)
	leader := startLeader(t)
	leader.term = 4
	l := startLink(t, []string{leader.address}, time.Minute)
	eventually(t, "not ready", func() bool { return l.View().Ready() })
	l.Place(context.Background(), dispatch.Request{
		ID:      1,
		Service: "desk",
		Team:    "north",
		Prompt: dispatch.Prompt{
			Tokens: 700,
		},
	})
	accounts := func() (sum float64) {
		leader.set(func(leader *fakeLeader) {
			for _, f := range leader.frames {
				for _, a := range f.Accounts {
					sum += a.Admitted
				}
			}
		})
		return sum
	}
	relink := func(term uint64) {
		links := 0
		leader.set(func(leader *fakeLeader) {
			leader.term = term
			links = len(leader.conns)
			leader.conns[links-1].Close()
		})
		eventually(t, "not linked again", func() bool {
			now := 0
			leader.set(func(leader *fakeLeader) { now = len(leader.conns) })
			return now > links && l.View().Leader != ""
		})
	}
	relink(4)
	is.Equal(accounts(), 0.0)
	relink(6)
	eventually(t, "the leader did not receive the account in its new term", func() bool { return accounts() == 700 })
}
