package share

import (
	"time"
)

// RejectReason tells why a request was rejected.
type RejectReason uint8

// Reject asks the gateway to answer a request that will not be run. RetryAfter is when the
// caller should try again.
type Reject struct {
	Request    Request
	Reason     RejectReason
	RetryAfter time.Duration
}

// unreachable reports whether no sidecar has been linked for LinkGrace, the time that
// links get to come up after a restart or a network fault.
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

// updateStartRate updates the moving average of the starts per second.
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

// retryAfter estimates when half of the team's queue will have started, assuming that all
// teams waiting at this gateway get equal shares.
func (p *Placer) retryAfter(t *waitingTeam) time.Duration {
	if t == nil || p.startRate <= 0 {
		return minRetryAfter
	}
	share := p.startRate / float64(max(1, len(p.teams)))
	wait := time.Duration(float64(len(t.queue)) / 2 / share * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
