package quarantine

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestSchedules runs random sequences of crashes, answers, trials, releases and reports of
// other processes, and checks what must hold after each step.
func TestSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, other := New(), New()
		now := epoch
		drawn := rapid.SliceOfNDistinct(rapid.Uint64Range(1, 6), 1, 4, rapid.ID[uint64])
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "pause")) * time.Millisecond)
			ids := drawn.Draw(t, "segments")
			subjects := segments(ids...)
			for i := range subjects {
				if subjects[i].ID > 3 {
					subjects[i].Kind = Request
				}
			}
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0, 1:
				r.RecordCrash(now, now.Add(-time.Millisecond), uint64(step/2+1), subjects)
			case 2:
				r.RecordAnswer(now, subjects)
				for _, id := range ids {
					if v := verdict(r, now, id); v != Allow {
						t.Fatalf("segment %d has verdict %d after an answer", id, v)
					}
				}
			case 3:
				if v, record := r.Check(now, subjects); v == Trial {
					r.StartTrial(now, subjects)
					if v, _ := r.Check(now, subjects); v < Defer {
						t.Fatalf("two trials of segment %d at once", record.ID)
					}
				}
			case 4:
				r.FailTrial(now, subjects)
			case 5:
				r.AbortTrial(now, subjects)
			case 6:
				other.Replace(now, r.Records(now))
				for _, id := range ids {
					if (verdict(r, now, id) == Allow) != (verdict(other, now, id) == Allow) {
						t.Fatalf("segment %d is quarantined at one process and not at the other", id)
					}
				}
			case 7:
				r.Merge(now, other.Records(now))
				r.Sweep(now)
			}
			checkRegister(t, r, now)
		}
	})
}

// checkRegister checks that the counts of a register agree with its entries.
func checkRegister(t *rapid.T, r *Register, now time.Time) {
	n, held := 0, [Request + 1]int{}
	for segment, e := range r.entries {
		held[e.kind]++
		if e.quarantined() {
			n++
		}
		if e.crashes >= e.kind.lateCrashes() && e.lateTrials > maxLateTrials {
			t.Fatalf("segment %d has %d late trials", segment, e.lateTrials)
		}
	}
	if held != r.held {
		t.Fatalf("%v subjects of each kind, %v counted", held, r.held)
	}
	if n != r.Quarantined() || len(r.Records(now)) != n {
		t.Fatalf("%d segments are quarantined, %d counted, %d reported", n, r.Quarantined(), len(r.Records(now)))
	}
}
