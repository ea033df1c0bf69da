package controller

import (
	"maps"
	"slices"
	"time"

	"baobabpaddle/fleet/configuration"
	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/wire"
)

// receive takes a frame of the leader.
func (l *Link) receive(f wire.Serve) {
	for _, d := range f.Decisions {
		l.decided(d)
	}
	next := *l.view.Load()
	changed := false
	if f.Configuration != nil && f.Configuration.Version > l.version {
		parsed, err := configuration.Parse(f.Configuration.Document)
		if err != nil {
			l.log.Error("configuration not understood", "version", f.Configuration.Version, "cause", err)
		} else {
			l.version = f.Configuration.Version
			next.Table = configuration.NewTable(parsed)
			l.core.SetConfiguration(next.Table)
			changed = true
			l.log.Info("configuration in force", "version", l.version, "leader", next.Leader)
		}
	}
	if f.Upstreams != nil {
		list, same := f.Upstreams.Apply(next.Upstreams)
		l.log.Info("list of upstreams changed", "upstreams", len(list), "before", len(next.Upstreams), "same_as_leader", same)
		next.Upstreams = list
		l.core.SetUpstreams(slices.Collect(maps.Values(list)))
		if !same {
			// A change was missed; with another link comes the whole list.
			l.conn.Close()
		}
		changed = true
	}
	if f.Gateways > 0 {
		next.Gateways = f.Gateways
		l.core.SetPortion(1 / float64(f.Gateways))
		changed = true
	}
	if f.Pong != 0 {
		if asked, ok := l.pings[f.Pong]; ok {
			next.ProvenUntil = max(next.ProvenUntil, asked.Add(l.settings.ProofLifetime))
			changed = true
		}
		for n := range l.pings {
			if n <= f.Pong {
				delete(l.pings, n)
			}
		}
	}
	if f.Welcome != nil && len(f.Welcome.Controllers) > 0 {
		l.known.Store(&f.Welcome.Controllers)
	}
	if changed {
		l.view.Store(&next)
	}
}

func (l *Link) decided(d dispatch.Decision) {
	w, ok := l.waiting[d.ID]
	if !ok {
		return // decided here meanwhile, and the leader was told
	}
	delete(l.waiting, d.ID)
	l.core.Count(time.Now(), w.request, d.Upstream != "")
	if d.Upstream != "" {
		l.core.Sent(l.settings.Name, d.ID, d.Upstream, w.request.Prompt, false)
	}
	d.Inputs.By = dispatch.ByLeader
	w.answer <- d
}
