package controller

import (
	"sync"

	"baobabpaddle/fleet/dispatch"
)

// maxRefusedTeams is the maximum number of teams whose refusals are reported with one ping.
// Those of further teams are reported with later pings.
const maxRefusedTeams = 256

// refusals counts the requests and tokens that this gateway refused without asking the
// leader, by team, until they are reported.
type refusals struct {
	mu    sync.Mutex
	teams map[string]*dispatch.GatewayRefusals
}

// add counts a refused request.
func (r *refusals) add(team string, p dispatch.Prompt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.teams[team]
	if t == nil {
		if r.teams == nil {
			r.teams = make(map[string]*dispatch.GatewayRefusals)
		}
		t = &dispatch.GatewayRefusals{
			Team: team,
		}
		r.teams[team] = t
	}
	t.Add(p)
}

// take returns the counts of up to maxRefusedTeams teams and resets them.
func (r *refusals) take() []dispatch.GatewayRefusals {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]dispatch.GatewayRefusals, 0, min(len(r.teams), maxRefusedTeams))
	for name, t := range r.teams {
		if len(out) == maxRefusedTeams {
			break
		}
		out = append(out, *t)
		delete(r.teams, name)
	}
	return out
}

// reset drops all counts. A new leader has no use for refusals from before it led.
func (r *refusals) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.teams)
}

// ReportRefusal reports that the gateway refused a team's request without asking the leader.
func (l *Link) ReportRefusal(team string, p dispatch.Prompt) { l.refusals.add(team, p) }
