package node

import (
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/controller/internal/replica"
	"baobabpaddle/fleet/credential"
	"baobabpaddle/fleet/link"
	"baobabpaddle/fleet/raft"
	"baobabpaddle/fleet/share"
	"baobabpaddle/fleet/state"
	"baobabpaddle/fleet/wire"
)

// fakeReplica is a replica with an empty state that leads in a term; zero means that it
// doesn't lead.
type fakeReplica struct {
	mu   sync.Mutex
	term uint64
}

func (f *fakeReplica) View(view func(*state.State)) { view(state.New()) }

func (f *fakeReplica) Changed() <-chan struct{} { return make(chan struct{}) }

func (f *fakeReplica) Status() replica.Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	status := replica.Status{
		Role: raft.Follower.String(),
		Term: f.term,
	}
	if f.term > 0 {
		status.Role = raft.Leader.String()
	}
	return status
}

func (f *fakeReplica) lead(term uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.term = term
}

// TestAccountsEndWithTheTerm guards against totals of a former term: leadership is lost and
// regained between two reports of a sidecar, which would send only what has changed to an
// accountant that knows nothing of the rest.
func TestAccountsEndWithTheTerm(t *testing.T) {
	is := is.New(t)
	cred, err := credential.Load(credential.Settings{
		PrivateNetwork: true,
	}, credential.Peer{
		Role: credential.Sidecar,
		Name: "s",
	})
	is.NoErr(err)
	dialer := link.Dialer{
		Credential: cred,
		Heartbeat:  100 * time.Millisecond,
		Stats:      &link.Stats{},
	}
	leader := &fakeReplica{
		term: 4,
	}
	accounts := NewAccounts(leader)
	server := httptest.NewServer(accounts.Handler(t.Context(), dialer))
	defer server.Close()
	report := func(c *link.Conn[wire.Account]) error {
		var packer wire.ReportPacker
		if err := c.Send(wire.Account{
			Incarnation: "i",
			Reports: []wire.PackedReport{packer.Pack(share.Report{
				Service: 1,
			})},
		}); err != nil {
			return err
		}
		_, err := c.Receive()
		return err
	}
	dial := func() *link.Conn[wire.Account] {
		c, err := link.Dial[wire.Account](t.Context(), dialer, strings.TrimPrefix(server.URL, "http://"), wire.PathAccount)
		is.NoErr(err)
		return c
	}
	held := func() int {
		accounts.mu.Lock()
		defer accounts.mu.Unlock()
		return len(accounts.accountants)
	}
	c := dial()
	is.NoErr(report(c))
	is.Equal(held(), 1)
	leader.lead(6)
	is.True(report(c) != nil) // the link of the first term has ended
	is.Equal(held(), 0)
	is.NoErr(report(dial()))
	leader.lead(0)
	is.True(report(dial()) != nil)
}
