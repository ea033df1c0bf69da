package controller

import (
	"sync"

	"baobabpaddle/fleet/dispatch"
)

// maxRefusedTeams bounds for how many teams refusals are told at once; those of further
// teams are told with the next ping.
const maxRefusedTeams = 256

// refused sums what this gateway refused without asking, until the leader is told.
type refused struct {
	mu    sync.Mutex
	teams map[string]*dispatch.GatewayRefusals
}

func (r *refused) add(team string, p dispatch.Prompt) {
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

// take returns the sums and begins anew.
func (r *refused) take() []dispatch.GatewayRefusals {
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

// forget drops the sums: they are of no use for a leader that did not lead then.
func (r *refused) forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.teams)
}

// RecordRefusal tells that a team's request was refused without asking where it goes.
func (l *Link) RecordRefusal(team string, p dispatch.Prompt) { l.refused.add(team, p) }
