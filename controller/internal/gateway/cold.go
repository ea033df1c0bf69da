package gateway

import (
	"time"

	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/trace"
	"baobabpaddle/fleet/wire"
)

// coldChangeTolerance is the difference between two times until which an upstream is cold that
// gateways need not be told of. Lists that are read one after the other differ by some
// milliseconds.
const coldChangeTolerance = 300 * time.Millisecond

// SetColdAllowance sets what the platform tolerates at cold upstreams. It is called before Run.
func (h *Hub) SetColdAllowance(a dispatch.ColdAllowance) {
	h.coldAllowance = a
	h.reset()
}

// sentCold is what the gateways were told of an upstream that is cold or may be.
type sentCold struct {
	until   time.Time
	suspect bool
}

// takeCold returns what a list says about cold upstreams, by identifier, and removes it from the
// list: it differs at each reading, and is not part of what gateways are sent.
func takeCold(list []dispatch.Upstream) map[string]dispatch.ColdEntry {
	out := make(map[string]dispatch.ColdEntry, len(list))
	for i := range list {
		out[list[i].ID] = list[i].Cold
		list[i].Cold = dispatch.ColdEntry{}
	}
	return out
}

// observeCold passes the scheduler what the list said about cold upstreams, and the gateways
// what follows from it.
func (h *Hub) observeCold() {
	now := time.Now()
	h.scheduler.ObserveList(now, h.listedCold)
	h.publishCold(now)
}

// publishCold logs which upstreams have turned cold or warm and tells the gateways, which need
// it while they decide alone and for the next leader.
func (h *Hub) publishCold(now time.Time) {
	h.scheduler.ExpireCold(now)
	trace.LogCold(h.log, h.scheduler.ColdChanges())
	current := make(map[string]sentCold)
	frame := wire.Serve{}
	for _, report := range h.scheduler.ColdReports(now) {
		next := sentCold{
			until:   now.Add(report.Left),
			suspect: report.Suspect,
		}
		sent, known := h.coldReports[report.Upstream]
		if known && sent.suspect == next.suspect && (next.suspect || next.until.Sub(sent.until).Abs() < coldChangeTolerance) {
			current[report.Upstream] = sent
			continue
		}
		current[report.Upstream] = next
		frame.Cold = append(frame.Cold, report)
	}
	for upstream := range h.coldReports {
		if _, cold := current[upstream]; !cold {
			frame.Cold = append(frame.Cold, dispatch.ColdReport{
				Upstream: upstream,
			})
		}
	}
	h.coldReports = current
	if len(frame.Cold) == 0 {
		return
	}
	for _, c := range h.conns {
		h.send(c, frame)
	}
}
