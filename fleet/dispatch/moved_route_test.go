package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestMovedRequestStopsCrashingUpstreams guards against a request that is new to the fleet each
// time that its route moves to another service, at drawn times, and crashes upstreams of that.
func TestMovedRequestStopsCrashingUpstreams(t *testing.T) {
	for seed := range uint64(20) {
		is := is.New(t)
		m := newTwoServiceModel(seed, 6, 3, 7)
		service, moveAt := "plain", m.now
		m.play(40*time.Second, func() {
			m.sound()
			if !m.now.Before(moveAt) {
				service = map[string]string{
					"plain": "other",
					"other": "plain",
				}[service]
				moveAt = m.now.Add(time.Duration(m.random.Int64N(int64(20 * time.Second))))
			}
			if perSecond(m.random, 4) {
				m.sendTo(service, 7, seed%2 == 0)
			}
		})
		m.check(t, is, seed)
	}
}

// TestRequestCrashesOneOfTwoServices guards against answers of one service that clear a request
// which crashes the upstreams of another one, to which its route is split, and against its
// refusal at the service that answers it.
func TestRequestCrashesOneOfTwoServices(t *testing.T) {
	for seed := range uint64(20) {
		is := is.New(t)
		m := newTwoServiceModel(seed, 6, 3, 7)
		m.soundAtPlain = true
		sent, answered := 0, 0
		m.play(40*time.Second, func() {
			m.sound()
			if seed >= 10 && perSecond(m.random, 0.1) {
				m.changeLeader()
			}
			if perSecond(m.random, 4) {
				service := []string{"plain", "other"}[m.random.IntN(2)]
				m.sendTo(service, 7, seed%2 == 0)
			}
		})
		for _, q := range m.requests {
			if q.request.Digest == 7 && q.request.Service == "plain" {
				sent++
				if q.answered {
					answered++
				}
			}
		}
		m.check(t, is, seed)
		t.Logf("seed %d: %d of %d answered by the service that it doesn't crash", seed, answered, sent)
		is.True(10*answered >= 9*sent)
	}
}
