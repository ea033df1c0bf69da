package gateway

import (
	"time"

	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/wire"
)

// receive passes a gateway's frame to the scheduler. What the gateway has in flight,
// has started and has finished is recorded before its requests are placed.
func (h *Hub) receive(c *conn, frame wire.Serve) {
	now := time.Now()
	key := dispatch.Key{
		Gateway: c.name,
	}
	h.scheduler.AddAccounts(now, frame.Accounts)
	h.scheduler.RecordGatewayRefusals(now, frame.Refused)
	h.scheduler.Quarantine().Merge(now, frame.Quarantine)
	h.scheduler.Quarantine().MergeSuspects(now, frame.Suspects)
	for _, n := range frame.UpstreamNotices {
		h.scheduler.ApplyPeerNotice(now, n)
	}
	for _, f := range frame.InFlight {
		h.scheduler.RecordPlacement(now, dispatch.Placement{
			Key: dispatch.Key{
				Gateway: c.name,
				ID:      f.ID,
			},
			Upstream: f.Upstream,
			Team:     f.Team,
			Prompt:   f.Prompt,
			Digest:   f.Digest,
			Started:  f.Started,
		}, f.Counted)
	}
	for _, report := range frame.RateLimits {
		h.scheduler.ApplyRateLimit(now, c.name, report)
	}
	h.recordRoom(now, c, frame.Room)
	h.scheduler.LearnCold(now, frame.Cold)
	h.receiveBegun(now, frame.Begun)
	h.scheduler.DoubtVersions(now, frame.DoubtedVersions)
	for _, t := range frame.ServiceTimes {
		key.ID = t.ID
		h.scheduler.RecordServiceTime(now, key, t.Duration())
	}
	for _, id := range frame.Started {
		key.ID = id
		h.scheduler.RecordStart(now, key)
	}
	for _, e := range frame.Ended {
		key.ID = e.ID
		h.scheduler.RecordEnd(now, key, e.Exactly())
	}
	if h.upstreams == nil {
		// Without the list every request would be refused. A gateway that gets no answer
		// decides by itself, with the list that it has.
		frame.PlacementRequests = nil
		h.requestList(now)
	}
	for _, r := range frame.PlacementRequests {
		if r.Continues && r.Version == "" {
			h.continueStream(c, r)
			continue
		}
		h.place(c, r)
	}
	if frame.Ping != 0 {
		select {
		case h.pings <- ping{
			conn:     c,
			sequence: frame.Ping,
		}:
		default: // the gateway pings again within a second
		}
	}
}
