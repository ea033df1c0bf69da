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
	if snapshot := l.newer(f); snapshot != nil {
		l.snapshot = snapshot
		l.version = snapshot.Configuration.Version
		next.Table = configuration.NewTable(snapshot.Configuration)
		l.core.SetConfiguration(next.Table)
		changed = true
		l.log.Info("configuration in force", "version", l.version, "leader", next.Leader)
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
		l.core.SetTrafficFraction(1 / float64(f.Gateways))
		changed = true
	}
	if f.TrafficFraction > 0 {
		l.core.SetTrafficFraction(min(f.TrafficFraction, 1))
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

// newer returns the configuration that a frame brings, or nil if it brings none that
// is newer.
func (l *Link) newer(f wire.Serve) *configuration.Snapshot {
	switch {
	case f.Configuration != nil && f.Configuration.Version > l.version:
		parsed, err := configuration.Parse(f.Configuration.Document)
		if err != nil {
			l.log.Error("configuration not understood", "version", f.Configuration.Version, "cause", err)
			return nil
		}
		snapshot, err := configuration.NewSnapshot(parsed)
		if err != nil {
			l.log.Error("configuration not understood", "version", f.Configuration.Version, "cause", err)
			return nil
		}
		l.wantWhole.Store(false)
		return snapshot
	case f.Change != nil && f.Change.To > l.version:
		return l.changed(f.Change)
	}
	return nil
}

// changed returns the configuration after a change. If that does not fit the one that
// is here, all of it comes with another link.
func (l *Link) changed(d *configuration.Change) *configuration.Snapshot {
	err := configuration.ErrBaseMismatch
	if l.snapshot != nil {
		var next *configuration.Snapshot
		if next, err = l.snapshot.Apply(d); err == nil {
			return next
		}
	}
	l.log.Warn("change of the configuration does not fit, all of it is asked for", "version", l.version, "cause", err)
	l.wantWhole.Store(true)
	l.conn.Close()
	return nil
}

// decided takes a leader's decision.
func (l *Link) decided(d dispatch.Decision) {
	now := time.Now()
	w, ok := l.waiting[d.ID]
	if !ok {
		l.decidedLate(d)
		return
	}
	if d.Upstream != "" && l.core.Declines(now, d.Upstream) {
		l.placeElsewhere(now, w, d)
		return
	}
	delete(l.waiting, d.ID)
	l.core.RecordDemand(now, w.request)
	if d.Upstream != "" {
		l.core.RecordPlacement(now, dispatch.Placement{
			Key:      l.key(d.ID),
			Upstream: d.Upstream,
			Team:     w.request.Team,
			Prompt:   w.request.Prompt,
		}, false)
	}
	d.Inputs.DecidedBy = dispatch.ByLeader
	l.untilRested(now, w.request.Service, &d)
	w.answer <- d
}

// decidedLate takes a decision on a request that was decided on here meanwhile. The
// leader knows where it went, but not that it went nowhere.
func (l *Link) decidedLate(d dispatch.Decision) {
	if d.Upstream != "" && !l.core.IsPlaced(l.key(d.ID)) {
		l.out.Ended = append(l.out.Ended, wire.Ended{
			ID:      d.ID,
			Outcome: dispatch.Unsent,
		})
	}
}

// placeElsewhere asks the leader again about a request that it gave to an upstream
// which has told this gateway meanwhile that it wants none.
func (l *Link) placeElsewhere(now time.Time, w waiting, d dispatch.Decision) {
	l.out.Ended = append(l.out.Ended, wire.Ended{
		ID:      d.ID,
		Outcome: dispatch.Unsent,
	})
	w.request.Excluded = append(w.request.Excluded, l.core.Declining(now, w.request.Service)...)
	l.waiting[d.ID] = w
	l.out.PlacementRequests = append(l.out.PlacementRequests, w.request)
	l.flush()
}
