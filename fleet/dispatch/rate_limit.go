package dispatch

import (
	"maps"
	"slices"
	"time"
)

// RateLimit is what an answer of an upstream says about the rate of requests that it
// accepts from the whole fleet. The zero value means that the answer states no limit.
type RateLimit struct {
	// Stated reports whether the upstream limits the rate, to PerSecond requests a second.
	Stated    bool    `cbor:"1,keyasint,omitempty"`
	PerSecond float64 `cbor:"2,keyasint,omitempty"`
	// Malformed reports that the answer has a limit which can't be read, so that it is
	// unknown whether and how the upstream limits the rate. Stated is false then.
	Malformed bool `cbor:"3,keyasint,omitempty"`
}

// RateLimitReport is a RateLimit as processes report it to each other.
type RateLimitReport struct {
	// Request is the identifier, within its gateway, of the answered request, or zero if
	// the report doesn't come from a new answer.
	Request  uint64    `cbor:"1,keyasint,omitempty"`
	Upstream string    `cbor:"2,keyasint"`
	Limit    RateLimit `cbor:"3,keyasint,omitempty"`
}

// NewRateLimitReport returns the report of an upstream's limit in requests a second, where
// zero stands for none.
func NewRateLimitReport(upstream string, perSecond float64) RateLimitReport {
	return RateLimitReport{
		Upstream: upstream,
		Limit: RateLimit{
			Stated:    perSecond > 0,
			PerSecond: perSecond,
		},
	}
}

// Constants of rate limits.
const (
	// rateBurst is the number of requests that an upstream with a rate limit gets at once
	// after a pause. It lets the limit be used up although requests arrive at random.
	rateBurst = 3
	// minRateLimit is the least rate, in requests a second, at which an upstream is used. An
	// upstream that gets no requests could not state that its limit has ended.
	minRateLimit = 0.2
	// maxRateLimit is the rate, in requests a second, from which a limit counts as none.
	maxRateLimit = 100_000.0
	// aloneRateFraction is the part of its share of a limit that a gateway uses while it
	// decides alone. The leader of other gateways doesn't know what it uses, the traffic
	// fractions of all gateways may add up to 1.25, and many gateways that don't know of each
	// other send at random times.
	aloneRateFraction = 0.4
	// minStartReserve is the least part of a burst that the teams may use which are ahead
	// of others; the rest is for those behind.
	minStartReserve = 1.0 / (rateBurst - 1)
)

// pacer spaces the requests to an upstream that states a rate limit. It is the virtual
// scheduling form of the generic cell rate algorithm (ITU-T I.371).
type pacer struct {
	// perSecond is the limit in requests a second; zero means none.
	perSecond float64
	// reportedAt is when the last answer that stated perSecond, or less, arrived.
	reportedAt time.Time
	// coldPerSecond is what the upstream's service declares for cold upstreams, in requests a
	// second, while the upstream is cold or may be; zero otherwise.
	coldPerSecond float64
	// theoretical is the time at which the next request is due if requests are evenly
	// spaced. They may be early by up to the duration of a burst.
	theoretical time.Time
}

// limited reports whether the upstream states a rate limit.
func (p *pacer) limited() bool { return p.perSecond > 0 }

// paced reports whether requests to the upstream are spaced.
func (p *pacer) paced() bool { return p.limited() || p.coldPerSecond > 0 }

// rate returns the requests a second that the upstream takes, or zero if there is no limit.
func (p *pacer) rate() float64 {
	if !p.limited() || p.coldPerSecond > 0 && p.coldPerSecond < p.perSecond {
		return p.coldPerSecond
	}
	return p.perSecond
}

// pace returns the interval between two requests that this Scheduler sends to the upstream
// and the time by which a request may be early.
func (s *Scheduler) pace(p *pacer) (interval, tolerance time.Duration) {
	if p.coldPerSecond > 0 {
		interval, tolerance = s.coldPace(p.coldPerSecond)
	}
	if !p.limited() {
		return interval, tolerance
	}
	if stated, early := s.statedPace(p); stated > interval {
		return stated, early
	}
	return interval, tolerance
}

// statedPace returns what pace returns for the limit that the upstream states.
func (s *Scheduler) statedPace(p *pacer) (interval, tolerance time.Duration) {
	rate := p.perSecond
	if s.settings.TrafficFraction < 1 {
		rate *= s.settings.TrafficFraction * aloneRateFraction
		return secondsOf(1 / rate), 0
	}
	interval = secondsOf(1 / rate)
	return interval, (rateBurst - 1) * interval
}

// secondsOf converts a number of seconds to a duration.
func secondsOf(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// mayStart reports whether the rate limit that the upstream states lets it get a request now.
// Reserve is the part of the burst, from 0 to 1, that the request may use. If not, the
// upstream is recorded in c.
func (s *Scheduler) mayStart(now time.Time, e *engine, reserve float64, c *choice) bool {
	if s.expireCold(now, e); !e.pacer.paced() {
		return s.withinAllowance(now, e, c)
	}
	if s.barred(e) {
		if c.paced == nil {
			c.paced, c.pacedFor = e, coldWindow
		}
		return false
	}
	_, tolerance := s.pace(&e.pacer)
	early := e.pacer.theoretical.Sub(now)
	if early <= time.Duration(reserve*float64(tolerance)) {
		return true
	}
	if wait := early - tolerance; c.paced == nil || wait < c.pacedFor {
		c.paced, c.pacedFor = e, wait
	}
	return false
}

// chargeStart counts a request against the upstream's rate limit.
func (s *Scheduler) chargeStart(now time.Time, e *engine) {
	if !e.pacer.paced() {
		return
	}
	interval, tolerance := s.pace(&e.pacer)
	if e.pacer.theoretical.Before(now) {
		e.pacer.theoretical = now
	}
	e.pacer.theoretical = e.pacer.theoretical.Add(interval)
	if latest := now.Add(tolerance + coldWindow); !e.pacer.limited() && e.pacer.theoretical.After(latest) {
		e.pacer.theoretical = latest // by then the requests counted so far don't matter
	}
}

// refundStart takes back what chargeStart counted for a request that was not sent. At a cold
// upstream it takes back what the time since has not made up for, so that late refunds don't
// let more requests through.
func (s *Scheduler) refundStart(now time.Time, p *placedRequest) {
	if e := p.engine; p.charged && e.pacer.paced() {
		interval, _ := s.pace(&e.pacer)
		if e.pacer.coldPerSecond > 0 {
			interval = max(interval-now.Sub(p.placedAt), 0)
		}
		e.pacer.theoretical = e.pacer.theoretical.Add(-interval)
		p.charged = false
	}
}

// ApplyRateLimit applies what an answer to a request of a gateway states, or what a gateway
// knows from earlier answers. A lower limit applies at once. A higher one, or that there is
// none, applies if the request was placed after the last answer with the present limit had
// arrived: the answers to requests that overlap may arrive in another order than they were
// sent in.
func (s *Scheduler) ApplyRateLimit(now time.Time, gateway string, report RateLimitReport) {
	if report.Limit.Malformed {
		return
	}
	e := s.engine(report.Upstream)
	perSecond := 0.0
	if report.Limit.Stated && report.Limit.PerSecond < maxRateLimit {
		perSecond = max(report.Limit.PerSecond, minRateLimit)
	}
	p := &e.pacer
	switch {
	case perSecond == 0 && !p.limited():
		return
	case perSecond > 0 && (!p.limited() || perSecond <= p.perSecond):
		s.setRateLimit(now, p, perSecond)
		p.reportedAt = now
		return
	}
	request := s.placed[Key{
		Gateway: gateway,
		ID:      report.Request,
	}]
	if request == nil || request.engine != e || !request.charged || !request.placedAt.After(p.reportedAt) {
		return
	}
	s.setRateLimit(now, p, perSecond)
	p.reportedAt = now
}

// FollowRateLimits takes over the limits that the leader knows. Complete reports whether
// these are all; otherwise those of other upstreams stay.
func (s *Scheduler) FollowRateLimits(now time.Time, reports []RateLimitReport, complete bool) {
	known := make(map[string]bool, len(reports))
	for _, report := range reports {
		known[report.Upstream] = true
		e := s.engine(report.Upstream)
		s.setRateLimit(now, &e.pacer, report.Limit.PerSecond)
		e.pacer.reportedAt = now
	}
	if !complete {
		return
	}
	for id, e := range s.engines {
		if !known[id] {
			s.setRateLimit(now, &e.pacer, 0)
		}
	}
}

// setRateLimit sets the limit of an upstream, or removes it if perSecond is zero. With a new
// limit the upstream is treated as if a burst had been sent just now. With a changed one the
// number of requests that it may get stays the same.
func (s *Scheduler) setRateLimit(now time.Time, p *pacer, perSecond float64) {
	switch {
	case perSecond == p.perSecond:
	case perSecond == 0:
		*p = pacer{
			coldPerSecond: p.coldPerSecond,
			theoretical:   p.theoretical,
		}
	case p.coldPerSecond > 0:
		p.perSecond = perSecond // the requests counted so far are those at a cold upstream
	case !p.limited():
		p.perSecond = perSecond
		interval, tolerance := s.pace(p)
		p.theoretical = now.Add(tolerance + interval)
		if tolerance == 0 {
			p.theoretical = s.randomPhase(now, interval)
		}
	default:
		ahead := max(p.theoretical.Sub(now), 0).Seconds() * p.perSecond / perSecond
		p.perSecond = perSecond
		p.theoretical = now.Add(secondsOf(ahead))
	}
}

// randomPhase returns a time within one interval from now.
func (s *Scheduler) randomPhase(now time.Time, interval time.Duration) time.Time {
	return now.Add(time.Duration(s.random.Float64() * float64(interval)))
}

// DecideAlone prepares the Scheduler of a gateway for decisions without the leader. All
// gateways may do so at the same moment, so each lets its first request to an upstream with
// a rate limit wait for a random part of the interval between two.
func (s *Scheduler) DecideAlone(now time.Time) {
	for _, report := range s.RateLimitReports() {
		p := &s.engines[report.Upstream].pacer
		interval, _ := s.pace(p)
		p.theoretical = s.randomPhase(now, interval)
	}
}

// RateLimits returns the limits of all upstreams that state one, in requests a second.
func (s *Scheduler) RateLimits() map[string]float64 {
	var limits map[string]float64
	for id, e := range s.engines {
		if !e.pacer.limited() {
			continue
		}
		if limits == nil {
			limits = make(map[string]float64)
		}
		limits[id] = e.pacer.perSecond
	}
	return limits
}

// RateLimitReports returns the limits of all upstreams that state one, ordered by upstream.
func (s *Scheduler) RateLimitReports() []RateLimitReport {
	limits := s.RateLimits()
	var reports []RateLimitReport
	for _, upstream := range slices.Sorted(maps.Keys(limits)) {
		reports = append(reports, NewRateLimitReport(upstream, limits[upstream]))
	}
	return reports
}

// costWeight is the weight of the newest request in the mean cost of a service's requests.
const costWeight = 1.0 / 64

// observeCost adds the tokens of a placed request to the mean of its service.
func (s *Scheduler) observeCost(service string, tokens float64) {
	mean, ok := s.meanCosts[service]
	if !ok {
		mean = tokens
	}
	s.meanCosts[service] = mean + costWeight*(tokens-mean)
}

// capacityFraction returns the part of the declared throughput that model engines reach with
// their rate limits and without evacuated availability zones, if all engines contribute alike
// otherwise.
func (s *Scheduler) capacityFraction(declared float64) float64 {
	if s.table == nil || declared <= 0 {
		return 1
	}
	engines, lost := 0, 0.0
	for service, list := range s.services {
		if known := s.table.Service(service); known != nil && known.Engine != nil {
			engines += len(list)
		}
	}
	if engines == 0 {
		return 1
	}
	each := declared / float64(engines)
	lost += s.evacuatedLoss(each)
	for service, list := range s.services {
		mean := s.meanCosts[service]
		if mean <= 0 {
			continue
		}
		for _, e := range list {
			if e.pacer.paced() && !e.evacuated {
				lost += max(0, each-e.pacer.rate()*mean)
			}
		}
	}
	return 1 - lost/declared
}

// startReserve returns the part of a burst that a request may use at upstreams with a rate
// limit. Teams that received their share, or more than others, leave a part to the others.
func (s *Scheduler) startReserve(r Request, overShare bool) float64 {
	if r.Team == "" || r.Resumed {
		return 1
	}
	t := s.shares.team(r.Team)
	reserve := queueFraction(s.shares.lead(t))
	if overShare && !s.shares.trailsAnother(t) {
		reserve = 0
	}
	return max(reserve, minStartReserve)
}

// refusePaced returns the Decision to refuse a request because the usable upstreams have
// rate limits, or are cold, and leave it no start now.
func (s *Scheduler) refusePaced(now time.Time, r Request, best choice, overShare bool, in Inputs) Decision {
	in.RateLimit = best.paced.pacer.rate()
	reason := RateLimited
	if !best.paced.pacer.limited() {
		reason = ColdUpstreams
	}
	if !best.paced.pacer.paced() {
		in.RateLimit = float64(len(best.paced.recent.times)) / coldWindow.Seconds()
	}
	s.pacedRefusals[reason]++
	if best.pacedFor <= 0 { // there is one for teams that received less
		reason = AheadOfOthers
		if overShare {
			reason = OverShare
		}
	}
	d := s.refuse(now, r, reason, in)
	spread := time.Duration(s.random.Float64() * float64(maxRetryAfter-minRetryAfter))
	d.RetryAfter = max(best.pacedFor, 0) + minRetryAfter + spread
	return d
}
