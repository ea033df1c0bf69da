package controller

import (
	"slices"
	"time"

	"baobabpaddle/fleet/wire"
)

// receiveEvacuations puts the leader's evacuations in force. It is called before the decisions
// and the list of upstreams in the frame are handled, so that neither overrides them.
func (l *Link) receiveEvacuations(f wire.Serve) {
	if f.Evacuations == nil {
		return
	}
	now := time.Now()
	set := f.Evacuations.Set(now)
	if !l.evacuations.Apply(now, l.scheduler, set) {
		return
	}
	next := *l.view.Load()
	next.EvacuatedZones = make(map[string]bool, len(set.Active))
	for _, zone := range set.Active {
		next.EvacuatedZones[zone] = true
	}
	l.view.Store(&next)
	l.log.Info("evacuated zones changed", "zones", set.Active, "revision", set.Revision, "leader", next.Leader)
}

// unwanted returns the upstreams of a service that are not to be chosen now: they want no
// requests, or this gateway knows that their availability zone is evacuated.
func (l *Link) unwanted(now time.Time, service string) []string {
	return slices.Concat(l.scheduler.Declining(now, service), l.scheduler.EvacuatedUpstreams(service))
}
