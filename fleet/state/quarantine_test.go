package state

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/fleet/quarantine"
)

func quarantineCommand(now time.Time, c QuarantineChange) Command {
	return Command{
		Time:       now,
		Quarantine: &c,
	}
}

func putSegment(segment uint64, rounds int) QuarantineChange {
	return QuarantineChange{
		Put: []QuarantinedSubject{
			{
				ID:      segment,
				Rounds:  rounds,
				Crashes: rounds + 1,
			},
		},
	}
}

// TestQuarantineSurvivesSnapshot guards against a quarantine that is forgotten when all
// hosts lose power.
func TestQuarantineSurvivesSnapshot(t *testing.T) {
	is := is.New(t)
	s := New()
	is.Equal(s.Apply(1, quarantineCommand(epoch, putSegment(7, 3))).Code, CodeOK)
	is.Equal(s.Apply(2, quarantineCommand(epoch.Add(time.Hour), putSegment(7, 4))).Code, CodeOK)
	data, err := s.Snapshot()
	is.NoErr(err)
	restored, err := Restore(data)
	is.NoErr(err)
	is.Equal(restored.QuarantineList(), []QuarantinedSubject{
		{
			ID:      7,
			Rounds:  4,
			Crashes: 5,
			Since:   epoch,
		},
	})
	is.Equal(restored.QuarantineRevision, uint64(2))
}

// TestReleaseOfSegment checks the release of segments, known and unknown.
func TestReleaseOfSegment(t *testing.T) {
	is := is.New(t)
	s := New()
	s.Apply(1, quarantineCommand(epoch, putSegment(7, 3)))
	release := QuarantineChange{
		Release: []uint64{7},
	}
	is.Equal(s.Apply(2, quarantineCommand(epoch, release)).Code, CodeOK)
	is.Equal(len(s.Quarantine), 0)
	is.Equal(s.Apply(3, quarantineCommand(epoch, release)).Code, CodeNotFound)
	is.Equal(s.QuarantineRevision, uint64(2))
}

// TestQuarantineIsBounded checks that the segment that was recorded first makes room.
func TestQuarantineIsBounded(t *testing.T) {
	is := is.New(t)
	s := New()
	for i := range quarantine.MaxQuarantined + 10 {
		s.Apply(uint64(i+1), quarantineCommand(epoch.Add(time.Duration(i)*time.Second), putSegment(uint64(i), 3)))
	}
	is.Equal(len(s.Quarantine), quarantine.MaxQuarantined)
	is.Equal(s.QuarantineList()[0].ID, uint64(10))
}

// TestSnapshotOfOlderVersion restores a snapshot that was written before segments were
// quarantined.
func TestSnapshotOfOlderVersion(t *testing.T) {
	is := is.New(t)
	s := New()
	replaceConfiguration(s, 7, "seven")
	data, err := s.Snapshot()
	is.NoErr(err)
	var fields map[string]any
	is.NoErr(Decode(data, &fields))
	delete(fields, "quarantine")
	delete(fields, "quarantine_revision")
	old, err := Encode(fields)
	is.NoErr(err)
	restored, err := Restore(old)
	is.NoErr(err)
	is.Equal(restored.Configuration.Version, uint64(7))
	is.Equal(restored.Apply(1, quarantineCommand(epoch, putSegment(7, 3))).Code, CodeOK)
}

// TestQuarantineKeepsKinds checks that the kinds of subjects outlast a snapshot, and that a
// subject without a kind, as versions before wrote it, is a segment.
func TestQuarantineKeepsKinds(t *testing.T) {
	is := is.New(t)
	s := New()
	s.Apply(1, quarantineCommand(epoch, QuarantineChange{
		Put: []QuarantinedSubject{{
			ID:     8,
			Kind:   quarantine.Request,
			Rounds: 3,
		}},
	}))
	s.Apply(2, quarantineCommand(epoch.Add(time.Second), putSegment(7, 3)))
	data, err := s.Snapshot()
	is.NoErr(err)
	restored, err := Restore(data)
	is.NoErr(err)
	is.Equal(restored.QuarantineList()[0].Kind, quarantine.Request)
	is.Equal(restored.QuarantineList()[1].Kind, quarantine.Segment)
	is.True(!strings.Contains(string(data), `"kind":0`)) // as before for segments
}
