package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// check logs the result of a seed and checks the bound of each crashing request.
func (m *plainModel) check(t *testing.T, is *is.I, seed uint64) {
	t.Helper()
	is.Helper()
	requested, answered, refused := m.countSound()
	text := ""
	for digest := range m.crashing {
		text += fmt.Sprintf(" %d: %d crashes, %d after the bound;", digest, len(m.crashes[digest]), m.reachedAfterBound(digest))
	}
	t.Logf("seed %d:%s %d of %d sound requests answered, %d refused", seed, text, answered, requested, refused)
	for digest := range m.crashing {
		is.True(len(m.crashes[digest]) >= 3) // otherwise it proves nothing
		is.True(m.reachedAfterBound(digest) <= maxReachedThrice)
	}
	is.True(100*refused <= requested) // sound requests beside it are no suspects for long
}

// TestRequestStopsCrashingUpstreams guards against one request to a plain service, which has
// no prompt segments, that ends one upstream after the other as it comes again.
func TestRequestStopsCrashingUpstreams(t *testing.T) {
	for seed := range uint64(10) {
		is := is.New(t)
		m := newPlainModel(seed, 3, 7)
		m.play(30*time.Second, func() {
			m.sound()
			if perSecond(m.random, 2) {
				m.send(7, seed%2 == 0)
			}
		})
		m.check(t, is, seed)
		requested, answered, _ := m.countSound()
		is.True(100*answered >= 85*requested)
	}
}

// TestSeveralRequestsCrashUpstreams: three requests crash upstreams at the same time, two of
// them safe ones that gateways send to two upstreams.
func TestSeveralRequestsCrashUpstreams(t *testing.T) {
	for seed := range uint64(10) {
		is := is.New(t)
		m := newPlainModel(seed, 6, 7, 8, 9)
		m.play(40*time.Second, func() {
			m.sound()
			for digest := range m.crashing {
				if perSecond(m.random, 0.8) {
					m.send(digest, digest != 7)
				}
			}
		})
		m.check(t, is, seed)
	}
}

// TestRequestCrashesUpstreamsAcrossLeaders: leaders change again and again while a request
// crashes upstreams. What gateways know of it outlasts them.
func TestRequestCrashesUpstreamsAcrossLeaders(t *testing.T) {
	for seed := range uint64(10) {
		is := is.New(t)
		m := newPlainModel(seed, 3, 7)
		for range 6 {
			m.play(5*time.Second, func() {
				m.sound()
				if perSecond(m.random, 3) {
					m.send(7, true)
				}
			})
			m.changeLeader()
		}
		m.check(t, is, seed)
	}
}

// TestUnrelatedCrashesRefuseNoRequest guards against refusals of sound requests, popular ones
// too, because upstreams crash for reasons of their own: one, half of them or all, again and
// again.
func TestUnrelatedCrashesRefuseNoRequest(t *testing.T) {
	for _, c := range []struct {
		together int
		every    time.Duration
	}{
		{1, 1500 * time.Millisecond},
		{2, 1500 * time.Millisecond},
		{2, 5 * time.Second},
		{4, 3500 * time.Millisecond}, // all are up for 0.3 s at a time
		{4, 5 * time.Second},
	} {
		for seed := range uint64(10) {
			is := is.New(t)
			m := newPlainModel(seed, 4)
			next := m.now
			m.play(40*time.Second, func() {
				m.sound()
				if !m.now.Before(next) {
					next = m.now.Add(c.every)
					first := m.random.IntN(4)
					for i := range c.together {
						m.crash(engineName((first + i) % 4))
					}
				}
			})
			requested, _, refused := m.countSound()
			t.Logf("%d together every %v, seed %d: %d of %d sound requests refused", c.together, c.every, seed, refused, requested)
			is.True(200*refused <= requested)
		}
	}
}

// TestRequestOfModelIsToldFromItsSegments guards against refusals of sound requests with the
// same rare segment as a request that crashes engines.
func TestRequestOfModelIsToldFromItsSegments(t *testing.T) {
	const rareSegment, digest = 5, 4242
	for seed := range uint64(5) {
		is := is.New(t)
		m := newCrashModel(seed, 9)
		beside, refused := 0, 0
		m.play(30*time.Second, func() {
			if perSecond(m.random, 80) {
				m.submit(m.chat())
			}
			if perSecond(m.random, 3) {
				q := m.chat(rareSegment)
				beside++
				before := m.refused[Quarantined]
				m.submit(q)
				refused += m.refused[Quarantined] - before
			}
			if perSecond(m.random, 2) {
				q := m.chat(rareSegment)
				m.sound.requested--
				q.crashing, q.request.Digest = true, digest
				m.submit(q)
			}
		})
		m.logCrashes(t, seed)
		t.Logf("seed %d: %d of %d sound requests with the segment refused", seed, refused, beside)
		is.True(len(m.crashes) >= 3)
		after := 0
		for _, at := range m.reached {
			if at.After(m.crashes[2].Add(crashGrace)) {
				after++
			}
		}
		is.True(after <= maxReachedThrice)
		is.True(10*refused <= 2*beside)
	}
}
