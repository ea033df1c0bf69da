package wire

import "baobabpaddle/fleet/share"

// TeamCount is a number of requests or granted slots of one team.
type TeamCount struct {
	_     struct{} `cbor:",toarray"`
	Team  share.TeamID
	Count int
}

// Weight is a team's weight as a gateway knows it.
type Weight struct {
	_      struct{} `cbor:",toarray"`
	Team   share.TeamID
	Weight float64
	// Version is the version of the team's resource; of two weights the one with the
	// higher version is valid.
	Version uint64
}

// DemandBatch holds the demands of several teams for one service.
type DemandBatch struct {
	_       struct{} `cbor:",toarray"`
	Service share.ServiceID
	Teams   []TeamCount
}

// GrantBatch holds grants on one upstream for several teams. Their slots are numbered
// consecutively from ID, in the order of Teams.
type GrantBatch struct {
	_        struct{} `cbor:",toarray"`
	ID       uint64
	Service  share.ServiceID
	Upstream share.UpstreamID
	Prefetch bool // as in share.Grant
	Teams    []TeamCount
}

// AddDemand adds a demand to the frame, to the last batch if that has the same
// service.
func (w *Work) AddDemand(d share.Demand) {
	i := len(w.Demands) - 1
	if i < 0 || w.Demands[i].Service != d.Service {
		w.Demands = append(w.Demands, DemandBatch{
			Service: d.Service,
		})
		i++
	}
	w.Demands[i].Teams = append(w.Demands[i].Teams, TeamCount{
		Team:  d.Team,
		Count: d.Count,
	})
}

// AllDemands calls take for each demand of the frame in order.
func (w *Work) AllDemands(take func(share.Demand)) {
	for _, batch := range w.Demands {
		for _, t := range batch.Teams {
			take(share.Demand{
				Service: batch.Service,
				Team:    t.Team,
				Count:   t.Count,
			})
		}
	}
}

// AddGrant adds a grant to the frame, to the last batch if the grant continues it.
func (w *Work) AddGrant(g share.Grant) {
	i := len(w.Grants) - 1
	if i < 0 || !w.Grants[i].continues(g) {
		w.Grants = append(w.Grants, GrantBatch{
			ID:       g.ID,
			Service:  g.Service,
			Upstream: g.Upstream,
			Prefetch: g.Prefetch,
		})
		i++
	}
	w.Grants[i].Teams = append(w.Grants[i].Teams, TeamCount{
		Team:  g.Team,
		Count: g.ExtraSlots + 1,
	})
}

// GrantFrames calls send with one frame for each run of grants to the same gateway.
// Grants to one gateway must be adjacent, as share.Queue.IssueGrants returns them, for each
// gateway to get a single frame.
func GrantFrames(grants []share.GrantTo, send func(gateway string, frame Work)) {
	for len(grants) > 0 {
		gateway := grants[0].Gateway
		var frame Work
		for len(grants) > 0 && grants[0].Gateway == gateway {
			frame.AddGrant(grants[0].Grant)
			grants = grants[1:]
		}
		send(gateway, frame)
	}
}

// continues reports whether the grant's slots directly follow those of the batch.
func (batch *GrantBatch) continues(g share.Grant) bool {
	next := batch.ID
	for _, t := range batch.Teams {
		next += uint64(t.Count)
	}
	return batch.Service == g.Service && batch.Upstream == g.Upstream && batch.Prefetch == g.Prefetch && next == g.ID
}

// AllGrants calls take for each grant of the frame in order. It skips entries whose
// count is not positive, which a peer may send.
func (w *Work) AllGrants(take func(share.Grant)) {
	for _, batch := range w.Grants {
		id := batch.ID
		for _, t := range batch.Teams {
			if t.Count <= 0 {
				continue
			}
			take(share.Grant{
				ID:         id,
				Service:    batch.Service,
				Team:       t.Team,
				Upstream:   batch.Upstream,
				ExtraSlots: t.Count - 1,
				Prefetch:   batch.Prefetch,
			})
			id += uint64(t.Count)
		}
	}
}
