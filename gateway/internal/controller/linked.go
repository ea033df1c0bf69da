package controller

import (
	"slices"
	"time"

	"baobabpaddle/fleet/link"
	"baobabpaddle/fleet/steady"
	"baobabpaddle/fleet/wire"
)

// handleLinked makes a new link the one in use. It reports the requests in flight and the
// upstreams' notices, and if the leader or its term has changed also the teams' accounts,
// which the last leader already has.
func (l *Link) handleLinked(c *link.Conn[wire.Serve], next leader) {
	if l.conn != nil {
		l.conn.Close()
	}
	l.conn = c
	l.outgoing = wire.Serve{}
	for _, p := range l.scheduler.Placements() {
		l.outgoing.InFlight = append(l.outgoing.InFlight, wire.InFlight{
			ID:       p.ID,
			Upstream: p.Upstream,
			Team:     p.Team,
			Prompt:   p.Prompt,
			Digest:   p.Digest,
			Started:  p.Started,
			Counted:  true,
		})
	}
	l.outgoing.UpstreamNotices = l.scheduler.Notices(time.Now())
	l.outgoing.RateLimits = l.scheduler.RateLimitReports()
	l.outgoing.Cold = l.scheduler.ColdReports(time.Now())
	l.outgoing.Suspects = l.knownSuspects(time.Now())
	l.outgoing.Quarantine = l.scheduler.Quarantine().Records(time.Now())
	l.outgoing.DoubtedVersions = l.scheduler.DoubtedVersions()
	l.outgoing.Begun = l.begun.Latest("", max(maxReportedStreams, l.unconfirmed.Len()))
	l.scheduler.SetFollowing(true)
	if next != l.lastLeader {
		l.refusals.reset()
		l.outgoing.Accounts = l.scheduler.Accounts(time.Now())
		l.lastLeader = next
	}
	l.flush()
	l.sendPing()
	l.setLeader(next.address)
	l.log.Info("linked to the leader", "leader", next.address, "term", next.term, "configuration", l.version, "at_upstreams", len(l.scheduler.Placements()),
		"unconfirmed_streams", l.unconfirmed.Len())
}

// handleLost stops using a link that failed, and decides locally on all waiting requests.
func (l *Link) handleLost(c *link.Conn[wire.Serve], cause error) {
	if l.conn != c {
		return
	}
	l.conn = nil
	l.scheduler.SetFollowing(false)
	l.outgoing = wire.Serve{}
	clear(l.pings)
	now := time.Now()
	for _, id := range slices.Concat(l.waitingOrder, l.originOrder) {
		if w, ok := l.waiting[id]; ok {
			delete(l.waiting, id)
			l.decideLocally(now, w)
		}
	}
	l.waitingOrder, l.originOrder = nil, nil
	l.log.Warn("link to the leader lost", "cause", cause, "configuration", l.version,
		"proof_left_ms", l.view.Load().ProvenUntil.Sub(steady.Now()).Milliseconds(), "leader", l.view.Load().Leader,
		"unconfirmed_streams", l.unconfirmed.Len())
	l.setLeader("")
}
