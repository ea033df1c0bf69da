package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Times of a crash loop: engines crash every loopInterval and are back after loopRestart.
const (
	loopBegin    = 4 * time.Second
	loopEnd      = 12 * time.Second
	loopInterval = 200 * time.Millisecond
	loopRestart  = 600 * time.Millisecond
)

// TestCrashLoopRefusesNothingForGood guards against final refusals of sound requests while two of
// nine engines crash five times a second for eight seconds. Requests share parts of their prompts,
// so that each part is at many crashes and in trials that end with one.
func TestCrashLoopRefusesNothingForGood(t *testing.T) {
	for seed := range uint64(10) {
		is := is.New(t)
		m := newCrashModel(seed, 9)
		m.restartTime = loopRestart
		next := epoch.Add(loopBegin)
		m.play(20*time.Second, func() {
			if m.now.After(next) && m.now.Before(epoch.Add(loopEnd)) {
				next = next.Add(loopInterval)
				first := m.random.IntN(9)
				m.crash(engineName(first))
				m.crash(engineName((first + 1 + m.random.IntN(8)) % 9))
			}
			if perSecond(m.random, 60) {
				m.submit(m.chat(10 + uint64(m.random.IntN(40))))
			}
		})
		t.Logf("seed %d: %d of %d begun, refused %v, %d for good", seed, m.sound.started, m.sound.requested, m.refused, m.refusedForGood)
		is.Equal(m.refusedForGood, 0)
	}
}
