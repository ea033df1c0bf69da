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
		p.unlinkedSince = time.Time{}
		return false
	}
	if p.unlinkedSince.IsZero() {
		p.unlinkedSince = now
	}
	return now.Sub(p.unlinkedSince) >= p.settings.LinkGrace
}

// updateStartRate updates the rate of starts.
func (p *Placer) updateStartRate(now time.Time) {
	if p.rateAt.IsZero() {
		p.rateAt = now
		return
	}
	if passed := now.Sub(p.rateAt); passed >= startRateInterval {
		p.startRate = p.startRate*startRateDecay + float64(p.starts)/passed.Seconds()*(1-startRateDecay)
		p.starts = 0
		p.rateAt = now
	}
}

func (p *Placer) reject(t *waitingTeam, r Request, reason RejectReason) {
	p.emit(Reject{
		Request:    r,
		Reason:     reason,
		RetryAfter: p.retryAfter(t),
	})
}

// retryAfter estimates when the team's queue will have drained by half, taking
// the team's share as an equal one among the teams that wait here.
func (p *Placer) retryAfter(t *waitingTeam) time.Duration {
	if t == nil || p.startRate <= 0 {
		return minRetryAfter
	}
	share := p.startRate / float64(max(1, len(p.teams)))
	wait := time.Duration(float64(len(t.queue)) / 2 / share * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
