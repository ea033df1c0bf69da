package wire

import "baobabpaddle/fleet/share"

// TeamCount is a number of requests or places of one team.
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
	// Version is the team's, which tells the newer of two weights.
	Version uint64
}

// Demands are the demands of several teams for one service.
type Demands struct {
	_       struct{} `cbor:",toarray"`
	Service share.ServiceID
	Teams   []TeamCount
}

// Grants are places on one upstream for several teams, numbered from ID in the
// order of the teams.
type Grants struct {
	_        struct{} `cbor:",toarray"`
	ID       uint64
	Service  share.ServiceID
	Upstream share.UpstreamID
	Stock    bool
	Teams    []TeamCount
}

// AddDemand adds a demand to the frame.
func (w *Work) AddDemand(d share.Demand) {
	i := len(w.Demands) - 1
	if i < 0 || w.Demands[i].Service != d.Service {
		w.Demands = append(w.Demands, Demands{
			Service: d.Service,
		})
		i++
	}
	w.Demands[i].Teams = append(w.Demands[i].Teams, TeamCount{
		Team:  d.Team,
		Count: d.Count,
	})
}

// AllDemands calls take with each demand of the frame.
func (w *Work) AllDemands(take func(share.Demand)) {
	for _, group := range w.Demands {
		for _, t := range group.Teams {
			take(share.Demand{
				Service: group.Service,
				Team:    t.Team,
				Count:   t.Count,
			})
		}
	}
}

// AddGrant adds a grant to the frame.
func (w *Work) AddGrant(g share.Grant) {
	i := len(w.Grants) - 1
	if i < 0 || !w.Grants[i].continues(g) {
		w.Grants = append(w.Grants, Grants{
			ID:       g.ID,
			Service:  g.Service,
			Upstream: g.Upstream,
			Stock:    g.Prefetch,
		})
		i++
	}
	w.Grants[i].Teams = append(w.Grants[i].Teams, TeamCount{
		Team:  g.Team,
		Count: g.ExtraSlots + 1,
	})
}

// GrantFrames calls send with one frame for each gateway that the grants go to.
// Grants to one gateway stand together, as Queue.Next returns them.
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

// continues reports whether the grant's places follow those of the group.
func (group *Grants) continues(g share.Grant) bool {
	next := group.ID
	for _, t := range group.Teams {
		next += uint64(t.Count)
	}
	return group.Service == g.Service && group.Upstream == g.Upstream && group.Stock == g.Prefetch && next == g.ID
}

// AllGrants calls take with each grant of the frame. Groups that name no place
// are passed over.
func (w *Work) AllGrants(take func(share.Grant)) {
	for _, group := range w.Grants {
		id := group.ID
		for _, t := range group.Teams {
			if t.Count <= 0 {
				continue
			}
			take(share.Grant{
				ID:         id,
				Service:    group.Service,
				Team:       t.Team,
				Upstream:   group.Upstream,
				ExtraSlots: t.Count - 1,
				Prefetch:   group.Stock,
			})
			id += uint64(t.Count)
		}
	}
}
