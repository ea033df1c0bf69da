package controller

import (
	"maps"
	"slices"
	"time"

	"baobabpaddle/fleet/configuration"
	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/quarantine"
	"baobabpaddle/fleet/steady"
	"baobabpaddle/fleet/wire"
)

// receive applies a frame from the leader.
func (l *Link) receive(f wire.Serve) {
	l.receiveEvacuations(f)
	l.receiveQuarantine(f)
	l.receiveSuspects(f)
	l.receiveRateLimits(f)
	for _, d := range f.Decisions {
		l.handleDecision(d)
	}
	next := *l.view.Load()
	changed := false
	if snapshot := l.newerSnapshot(f); snapshot != nil {
		l.snapshot = snapshot
		l.version = snapshot.Configuration.Version
		next.Table = configuration.NewTable(snapshot.Configuration)
		l.scheduler.SetConfiguration(next.Table)
		changed = true
		l.log.Info("configuration in force", "version", l.version, "leader", next.Leader)
	}
	if f.Upstreams != nil {
		list, same := f.Upstreams.Apply(next.Upstreams)
		l.log.Info("list of upstreams changed", "upstreams", len(list), "before", len(next.Upstreams), "same_as_leader", same)
		next.Upstreams = list
		l.scheduler.SetUpstreams(slices.Collect(maps.Values(list)))
		l.evacuations.Listed(time.Now(), l.scheduler)
		if !same {
			// A change was missed. The next link starts with the whole list.
			l.conn.Close()
		}
		changed = true
	}
	l.scheduler.FollowCold(time.Now(), f.Cold)
	if f.Gateways > 0 {
		next.Gateways = f.Gateways
		l.scheduler.SetRank(f.Rank, f.Gateways)
		l.scheduler.SetTrafficFraction(1 / float64(f.Gateways))
		changed = true
	}
	if f.TrafficFraction > 0 {
		l.scheduler.SetTrafficFraction(min(f.TrafficFraction, 1))
	}
	if f.ZoneRoom != nil {
		next.Zone, next.ZoneAt = *f.ZoneRoom, time.Now()
		changed = true
	}
	if f.Pong != 0 {
		if ping, ok := l.pings[f.Pong]; ok {
			next.ProvenUntil = max(next.ProvenUntil, ping.at.Add(l.settings.ProofLifetime))
			l.unconfirmed.Confirm(ping.reported)
			if f.ListAge > 0 {
				next.ListAsOf = ping.at.Add(-f.ListAge)
				l.scheduler.ConfirmVersions(time.Now().Add(next.ListAsOf.Sub(steady.Now())))
			}
			changed = true
		}
		for n := range l.pings {
			if n <= f.Pong {
				delete(l.pings, n)
			}
		}
	}
	if f.Welcome != nil && len(f.Welcome.Controllers) > 0 {
		l.learned.Store(&f.Welcome.Controllers)
	}
	if changed {
		l.view.Store(&next)
	}
}

// receiveQuarantine applies the leader's records of quarantined prompt segments.
func (l *Link) receiveQuarantine(f wire.Serve) {
	switch now := time.Now(); {
	case f.QuarantineComplete:
		l.scheduler.Quarantine().Replace(now, f.Quarantine)
	case len(f.Quarantine) > 0:
		l.scheduler.Quarantine().Merge(now, f.Quarantine)
	}
}

// receiveSuspects keeps the leader's suspects for the next leader.
func (l *Link) receiveSuspects(f wire.Serve) {
	if f.SuspectsComplete {
		l.suspects, l.suspectsAt = f.Suspects, time.Now()
	}
}

// knownSuspects returns the suspects that a leader sent last.
func (l *Link) knownSuspects(now time.Time) []quarantine.Record {
	out := slices.Clone(l.suspects)
	for i := range out {
		out[i].SinceCrash += now.Sub(l.suspectsAt)
	}
	return out
}

// receiveRateLimits applies the leader's rate limits of upstreams.
func (l *Link) receiveRateLimits(f wire.Serve) {
	if len(f.RateLimits) == 0 && !f.RateLimitsComplete {
		return
	}
	l.scheduler.FollowRateLimits(time.Now(), f.RateLimits, f.RateLimitsComplete)
	l.updateRateLimits()
}

// newerSnapshot returns the configuration that results from a frame, or nil if the frame has
// none, or one that is invalid or not newer.
func (l *Link) newerSnapshot(f wire.Serve) *configuration.Snapshot {
	switch {
	case f.Configuration != nil && f.Configuration.Version > l.version:
		parsed, err := configuration.Parse(f.Configuration.Document)
		if err != nil {
			l.log.Error("received configuration is invalid, keeping the previous one", "cause", err, "version", f.Configuration.Version)
			return nil
		}
		snapshot, err := configuration.NewSnapshot(parsed)
		if err != nil {
			l.log.Error("received configuration is invalid, keeping the previous one", "cause", err, "version", f.Configuration.Version)
			return nil
		}
		l.needsFull.Store(false)
		return snapshot
	case f.Change != nil && f.Change.To > l.version:
		return l.applyChange(f.Change)
	}
	return nil
}

// applyChange returns the configuration after a change. If the change has another base than
// the configuration in force, it closes the link so that the next one brings the whole
// configuration.
func (l *Link) applyChange(d *configuration.Change) *configuration.Snapshot {
	err := configuration.ErrBaseMismatch
	if l.snapshot != nil {
		var next *configuration.Snapshot
		if next, err = l.snapshot.Apply(d); err == nil {
			return next
		}
	}
	l.log.Warn("configuration change has another base, linking again for the whole configuration", "cause", err, "version", l.version)
	l.needsFull.Store(true)
	l.conn.Close()
	return nil
}

// handleDecision applies a decision of the leader and passes it to the caller of Place.
func (l *Link) handleDecision(d dispatch.Decision) {
	now := time.Now()
	w, ok := l.waiting[d.ID]
	if !ok {
		l.handleLateDecision(d)
		return
	}
	if d.Service != "" {
		w.request.Service = d.Service
	}
	if d.Upstream != "" && l.scheduler.Declines(now, d.Upstream) {
		l.requestAnother(now, w, d)
		return
	}
	delete(l.waiting, d.ID)
	l.alone = false
	l.scheduler.RecordDemand(now, w.request)
	if d.Upstream != "" {
		l.scheduler.RecordPlacement(now, dispatch.Placement{
			Key:      l.key(d.ID),
			Upstream: d.Upstream,
			Team:     w.request.Team,
			Prompt:   w.request.Prompt,
			Digest:   w.request.Digest,
			Class:    w.request.Class,
		}, false)
	}
	if w.request.Version != "" {
		d.Version = w.request.Version
	}
	d.Inputs.DecidedBy = dispatch.ByLeader
	l.setRetryAfter(now, w.request.Service, &d)
	w.reply <- d
}

// handleLateDecision handles a decision on a request that was already decided locally. The
// leader was told if the request was placed, but not if it was refused; the placement that
// the leader counts must then be released.
func (l *Link) handleLateDecision(d dispatch.Decision) {
	if d.Upstream != "" && !l.scheduler.IsPlaced(l.key(d.ID)) {
		l.outgoing.Ended = append(l.outgoing.Ended, wire.NewEnded(d.ID, dispatch.Unsent))
	}
}

// requestAnother asks the leader for another placement, since the chosen upstream has
// meanwhile told this gateway to send no requests, or is in an availability zone of whose
// evacuation the leader did not know.
func (l *Link) requestAnother(now time.Time, w waiting, d dispatch.Decision) {
	l.outgoing.Ended = append(l.outgoing.Ended, wire.NewEnded(d.ID, dispatch.Unsent))
	w.request.Excluded = append(w.request.Excluded, l.unwanted(now, w.request.Service)...)
	if d.Version != "" {
		w.request.Version = d.Version
	}
	l.waiting[d.ID] = w
	l.outgoing.PlacementRequests = append(l.outgoing.PlacementRequests, w.request)
	l.flush()
}
