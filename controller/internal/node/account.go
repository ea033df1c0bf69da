package node

import (
	"context"
	"net/http"
	"sync"
	"time"

	"baobabpaddle/controller/internal/replica"
	"baobabpaddle/fleet/credential"
	"baobabpaddle/fleet/link"
	"baobabpaddle/fleet/resource"
	"baobabpaddle/fleet/share"
	"baobabpaddle/fleet/state"
	"baobabpaddle/fleet/wire"
)

const (
	expiryInterval = time.Minute
	sidecarExpiry  = time.Hour
)

// Accounts adds up the service of teams while this controller leads. When it
// does not, sidecars are sent to the leader.
type Accounts struct {
	replica *replica.Replica

	mu          sync.Mutex // guards the accountants and weights
	accountants map[share.ServiceID]*share.Accountant
	weights     map[share.TeamID]cachedWeight
}

// cachedWeight is a team's weight at a version, so that specifications are
// decoded once.
type cachedWeight struct {
	version uint64
	weight  float64
}

// NewAccounts returns accounts without any service.
func NewAccounts(r *replica.Replica) *Accounts {
	return &Accounts{
		replica:     r,
		accountants: make(map[share.ServiceID]*share.Accountant),
		weights:     make(map[share.TeamID]cachedWeight),
	}
}

// Run forgets sidecars that are gone, and everything when the lead is lost,
// until the context ends.
func (a *Accounts) Run(ctx context.Context) {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		changed := a.replica.Changed()
		if !a.replica.IsLeader() {
			a.mu.Lock()
			clear(a.accountants)
			a.mu.Unlock()
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
			a.mu.Lock()
			for _, s := range a.accountants {
				s.Forget(time.Now().Add(-sidecarExpiry))
			}
			a.mu.Unlock()
		}
	}
}

// Handler accepts the links of sidecars that report.
func (a *Accounts) Handler(ctx context.Context, dialer link.Dialer) http.Handler {
	return link.Handler(ctx, dialer, func(peer credential.Peer, c *link.Conn[wire.Account]) {
		incarnation := ""
		var unpacker wire.ReportUnpacker
		for a.replica.IsLeader() {
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
					return // the sidecar begins anew with everything
				}
				reports = append(reports, r)
			}
			if c.Send(wire.Account{
				Totals: a.recordReports(peer.Name, incarnation, reports),
			}) != nil {
				return
			}
		}
	})
}

func (a *Accounts) recordReports(sidecar, incarnation string, reports []share.Report) []wire.PackedTotals {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]wire.PackedTotals, 0, len(reports))
	for _, r := range reports {
		s := a.accountants[r.Service]
		if s == nil {
			s = share.NewAccountant(share.AccountantSettings{
				Service: r.Service,
			}, a.weight)
			a.accountants[r.Service] = s
		}
		out = append(out, wire.PackTotals(s.Report(time.Now(), sidecar, incarnation, r)))
	}
	return out
}

// weight returns a team's weight; a.mu is held.
func (a *Accounts) weight(team share.TeamID) float64 {
	weight := 1.0
	a.replica.View(func(s *state.State) {
		r, ok := s.TeamByNumber(uint64(team))
		if !ok {
			return
		}
		if c := a.weights[team]; c.version == r.Version {
			weight = c.weight
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

// BackloggedTeams returns how many teams are backlogged over all services.
func (a *Accounts) BackloggedTeams() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, s := range a.accountants {
		n += s.Backlogged()
	}
	return n
}
