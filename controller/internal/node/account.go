package node

import (
	"context"
	"net/http"
	"sync"
	"time"

	"baobabpaddle/controller/internal/replica"
	"baobabpaddle/fleet/credential"
	"baobabpaddle/fleet/link"
	"baobabpaddle/fleet/raft"
	"baobabpaddle/fleet/resource"
	"baobabpaddle/fleet/share"
	"baobabpaddle/fleet/state"
	"baobabpaddle/fleet/wire"
)

const (
	// expiryInterval is the pause between two checks for sidecars that are gone.
	expiryInterval = time.Minute
	// sidecarExpiry is the time without a report after which a sidecar is forgotten.
	sidecarExpiry = time.Hour
)

// Replica is this controller's replica.
type Replica interface {
	View(f func(*state.State))
	Changed() <-chan struct{}
	Status() replica.Status
}

// Accounts adds up the service that teams receive at all sidecars while this
// controller leads. While it doesn't lead, it closes the links of sidecars, which then
// turn to the leader.
type Accounts struct {
	replica Replica

	mu          sync.Mutex // guards the following fields
	term        uint64     // in which the accounts were reported
	accountants map[share.ServiceID]*share.Accountant
	weights     map[share.TeamID]cachedWeight
}

// cachedWeight is a team's weight at a version of its resource, so that each
// specification is decoded once.
type cachedWeight struct {
	version uint64
	weight  float64
}

// NewAccounts returns accounts without any reports. The replica provides the weights of
// teams.
func NewAccounts(r Replica) *Accounts {
	return &Accounts{
		replica:     r,
		accountants: make(map[share.ServiceID]*share.Accountant),
		weights:     make(map[share.TeamID]cachedWeight),
	}
}

// leaderTerm returns the term in which this controller leads, or zero.
func (a *Accounts) leaderTerm() uint64 {
	status := a.replica.Status()
	if status.Role != raft.Leader.String() {
		return 0
	}
	return status.Term
}

// followTerm drops the accounts of a term that has ended, since sidecars report only what
// has changed; a.mu is held.
func (a *Accounts) followTerm() {
	if term := a.leaderTerm(); term != a.term {
		clear(a.accountants)
		a.term = term
	}
}

// Run drops sidecars that were silent for sidecarExpiry, and all accounts at the end of a term, until the
// context ends.
func (a *Accounts) Run(ctx context.Context) {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		changed := a.replica.Changed()
		a.mu.Lock()
		a.followTerm()
		a.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
			a.mu.Lock()
			for _, accountant := range a.accountants {
				accountant.Forget(time.Now().Add(-sidecarExpiry))
			}
			a.mu.Unlock()
		}
	}
}

// Handler accepts the links of sidecars and answers their reports of service with the
// totals of the fleet. A link ends with the term in which it was accepted, so that the next
// one begins with full reports.
func (a *Accounts) Handler(ctx context.Context, dialer link.Dialer) http.Handler {
	return link.Handler(ctx, dialer, func(peer credential.Peer, c *link.Conn[wire.Account]) {
		incarnation := ""
		var unpacker wire.ReportUnpacker
		term := a.leaderTerm()
		for term != 0 && a.leaderTerm() == term {
			frame, err := c.Receive()
			if err != nil {
				return
			}
			if frame.Incarnation != "" {
				incarnation = frame.Incarnation
			}
			if len(frame.Reports) == 0 {
				continue
			}
			reports := make([]share.Report, 0, len(frame.Reports))
			for _, p := range frame.Reports {
				r, err := unpacker.Unpack(p)
				if err != nil {
					return // the sidecar connects again and sends full reports
				}
				reports = append(reports, r)
			}
			totals, ok := a.recordReports(term, peer.Name, incarnation, reports)
			if !ok || c.Send(wire.Account{
				Totals: totals,
			}) != nil {
				return
			}
		}
	})
}

// recordReports adds a sidecar's reports to the accounts and returns the totals of
// their services, or false if the term has ended. A new incarnation means that the sidecar
// was started again.
func (a *Accounts) recordReports(term uint64, sidecar, incarnation string, reports []share.Report) ([]wire.PackedTotals, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.followTerm()
	if term != a.term {
		return nil, false
	}
	out := make([]wire.PackedTotals, 0, len(reports))
	for _, r := range reports {
		accountant := a.accountants[r.Service]
		if accountant == nil {
			accountant = share.NewAccountant(share.AccountantSettings{
				Service: r.Service,
			}, a.weight)
			a.accountants[r.Service] = accountant
		}
		out = append(out, wire.PackTotals(accountant.Report(time.Now(), sidecar, incarnation, r)))
	}
	return out, true
}

// weight returns a team's weight, which is 1 unless its specification has a positive
// one; a.mu is held.
func (a *Accounts) weight(team share.TeamID) float64 {
	weight := 1.0
	a.replica.View(func(s *state.State) {
		r, ok := s.TeamByNumber(uint64(team))
		if !ok {
			return
		}
		if cached := a.weights[team]; cached.version == r.Version {
			weight = cached.weight
			return
		}
		if spec, err := r.Decode(); err == nil && spec.(*resource.Team).Weight > 0 {
			weight = spec.(*resource.Team).Weight
		}
		a.weights[team] = cachedWeight{
			version: r.Version,
			weight:  weight,
		}
	})
	return weight
}

// BackloggedTeams returns the number of backlogged teams, summed over all services.
func (a *Accounts) BackloggedTeams() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, accountant := range a.accountants {
		n += accountant.Backlogged()
	}
	return n
}
