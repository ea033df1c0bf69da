package dispatch

import "time"

// versionDoubt records that an upstream's host refused connections. The upstream may have been
// started again under its identifier with another software version, which the platform's list
// shows later than its requests are answered.
type versionDoubt struct {
	// downAt is when a connection was refused last; zero if the list is right.
	downAt time.Time
	// upAt is when a request that was sent later was answered first; zero before that.
	upAt time.Time
}

// versionCertain reports whether the upstream runs the software version that the list shows.
func (e *engine) versionCertain() bool { return e.doubt.downAt.IsZero() }

// doubtVersion records the outcome of a request at the present start of its upstream.
func (p *placedRequest) doubtVersion(now time.Time, outcome Outcome) {
	switch outcome {
	case Crashed, ConnectionRefused:
		p.engine.doubt = versionDoubt{
			downAt: now,
		}
	case Answered, AnsweredError:
		p.noteAnswer(now)
	}
}

// noteAnswer records that the upstream answers the request.
func (p *placedRequest) noteAnswer(now time.Time) {
	d := &p.engine.doubt
	if !d.downAt.IsZero() && d.upAt.IsZero() && p.placedAt.After(d.downAt) {
		d.upAt = now
	}
}

// ConfirmVersions records that the list of upstreams shows what was true at a time.
func (s *Scheduler) ConfirmVersions(asOf time.Time) {
	for _, e := range s.engines {
		if e.listed && !e.doubt.upAt.IsZero() && asOf.After(e.doubt.upAt) {
			e.doubt = versionDoubt{}
		}
	}
}

// DoubtedVersions returns the identifiers of the upstreams whose software versions are not certain.
func (s *Scheduler) DoubtedVersions() []string {
	var out []string
	for id, e := range s.engines {
		if !e.versionCertain() {
			out = append(out, id)
		}
	}
	return out
}

// DoubtVersions takes over what another Scheduler reports as DoubtedVersions.
func (s *Scheduler) DoubtVersions(now time.Time, upstreams []string) {
	for _, id := range upstreams {
		if e := s.engines[id]; e != nil && e.versionCertain() {
			e.doubt.downAt = now
		}
	}
}
