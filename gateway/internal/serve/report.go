package serve

import (
	"errors"

	"baobabpaddle/fleet/dispatch"
)

// notePlacement records that the outcome of a placement has to be reported.
func (x *exchange) notePlacement(d dispatch.Decision) {
	if d.Upstream != "" {
		x.unreported = d.ID
	}
}

// reportOutcome reports to the scheduler how the request ended at an upstream.
func (x *exchange) reportOutcome(id uint64, outcome dispatch.Outcome) {
	if id == x.unreported {
		x.unreported = 0
	}
	x.handler.scheduler.ReportOutcome(id, outcome)
}

// reportBroken reports an exchange that broke off, and whether the upstream crashed: its
// host then refuses connections. One whose answer the gateway doesn't use since the list of upstreams has
// changed did not break off.
func (x *exchange) reportBroken(id uint64, address string) {
	if errors.Is(x.responseErr, errOtherVersion) {
		x.reportOutcome(id, dispatch.CallerLeft) // says nothing of the upstream
		return
	}
	x.reportOutcome(id, brokenOutcome(x.handler.client.Refuses(address)))
}

// brokenOutcome returns the outcome of an exchange that broke off.
func brokenOutcome(crashed bool) dispatch.Outcome {
	if crashed {
		return dispatch.Crashed
	}
	return dispatch.Broken
}

// reportPanicked reports the end of a placement that a panic has kept from being reported. The panic
// says nothing of the upstream.
func (x *exchange) reportPanicked() {
	if x.unreported == 0 {
		return
	}
	outcome := dispatch.Unsent
	if x.sending {
		outcome = dispatch.CallerLeft
	}
	x.reportOutcome(x.unreported, outcome)
}
