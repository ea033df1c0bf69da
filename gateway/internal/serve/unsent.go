package serve

import (
	"github.com/ansel1/merry/v2"

	"baobabpaddle/fleet/dispatch"
)

// maxUnsent is the number of upstreams that are chosen for one request without getting it.
const maxUnsent = 4

// errEvacuated means that nothing is sent to an upstream since its availability zone is
// evacuated.
var errEvacuated = merry.Sentinel("the upstream's availability zone is evacuated")

// sentTo returns the number of upstreams that the request was sent to.
func (x *exchange) sentTo() int { return len(x.tried) - x.unsentTo }

// checkDestination returns why the request may not be sent to the upstream that was chosen
// for it: the list of upstreams or the evacuated zones may have changed since the decision.
func (x *exchange) checkDestination() error {
	switch {
	case x.version != "" && x.upstream.Version != x.version:
		return errOtherVersion
	case x.evacuated():
		return errEvacuated
	}
	return nil
}

// evacuated reports whether the availability zone of the chosen upstream is evacuated now.
func (x *exchange) evacuated() bool {
	return x.handler.scheduler.View().EvacuatedZones[x.upstream.Zone]
}

// reportUnsent reports an attempt at which nothing was sent, so that the request may go
// elsewhere without a charge to the retry budget.
func (x *exchange) reportUnsent(id uint64, cause dispatch.Outcome) outcome {
	x.nothingSent = true
	x.unsentTo++
	x.reportOutcome(id, cause)
	return notRun
}
