package share

import (
	"time"
)

// RejectReason tells why a request was given up.
type RejectReason uint8

// Reject answers a request that will not be run.
type Reject struct {
	Request    Request
	Reason     RejectReason
	RetryAfter time.Duration
}

// unreachable reports whether no sidecar has been linked for the grace that
// links get to come up, after a restart or a cut.
func (p *Placer) unreachable(now time.Time) bool {
	if len(p.names) > 0 {
		p.emptySince = time.Time{}
		return false
	}
	if p.emptySince.IsZero() {
		p.emptySince = now
	}
	return now.Sub(p.emptySince) >= p.settings.LinkGrace
}

// measure updates the rate of starts.
func (p *Placer) measure(now time.Time) {
	if p.rateAt.IsZero() {
		p.rateAt = now
		return
	}
	if passed := now.Sub(p.rateAt); passed >= drainInterval {
		p.rate = p.rate*drainDecay + float64(p.starts)/passed.Seconds()*(1-drainDecay)
		p.starts = 0
		p.rateAt = now
	}
}

func (p *Placer) giveUp(t *waitingTeam, r Request, reason RejectReason) {
	p.do(Reject{
		Request:    r,
		Reason:     reason,
		RetryAfter: p.retryAfter(t),
	})
}

// retryAfter estimates when the team's queue will have drained by half, taking
// the team's share as an equal one among the teams that wait here.
func (p *Placer) retryAfter(t *waitingTeam) time.Duration {
	if t == nil || p.rate <= 0 {
		return minRetryAfter
	}
	share := p.rate / float64(max(1, len(p.teams)))
	wait := time.Duration(float64(len(t.queue)) / 2 / share * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
