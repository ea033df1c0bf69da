package state

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"baobabpaddle/fleet/resource"
)

var epoch = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// putCommand returns a command that creates or replaces a team.
func putCommand(name string, version uint64, weight int) Command {
	return Command{
		Time: epoch,
		Put: &Put{
			Resource: resource.Resource{
				Kind:    resource.KindTeam,
				Name:    name,
				Version: version,
				Spec:    json.RawMessage(fmt.Sprintf(`{"weight":%d,"key_hashes":[]}`, weight)),
			},
		},
	}
}

func deleteCommand(name string, version uint64) Command {
	return Command{
		Time: epoch,
		Delete: &Delete{
			ID: resource.ID{
				Kind: resource.KindTeam,
				Name: name,
			},
			Version: version,
		},
	}
}

// TestPutWithStaleVersionConflicts guards against lost updates when two operators
// change the same version.
func TestPutWithStaleVersionConflicts(t *testing.T) {
	is := is.New(t)
	s := New()
	first := s.Apply(1, putCommand("a", 0, 1))
	is.Equal(first.Code, CodeOK)
	is.Equal(s.Apply(2, putCommand("a", first.Resource.Version, 2)).Code, CodeOK)
	lost := s.Apply(3, putCommand("a", first.Resource.Version, 3))
	is.Equal(lost.Code, CodeVersionConflict)
	is.Equal(lost.Resource.Version, uint64(2)) // the refusal carries the current resource
	is.Equal(s.Apply(4, putCommand("a", 0, 4)).Code, CodeVersionConflict)
}

// TestResentChangeGetsFirstAnswer guards against a change that is applied twice
// because its first answer was lost.
func TestResentChangeGetsFirstAnswer(t *testing.T) {
	is := is.New(t)
	s := New()
	command := putCommand("a", 0, 1)
	command.RequestID = "r1"
	first := s.Apply(1, command)
	command.Time = epoch.Add(time.Minute)
	is.Equal(s.Apply(2, command), first)
	is.Equal(s.Revision, uint64(1))
	other := putCommand("b", 0, 1)
	other.RequestID = "r1"
	is.Equal(s.Apply(3, other).Code, CodeRequestIDReused)
	data, err := s.Snapshot()
	is.NoErr(err)
	restored, err := Restore(data)
	is.NoErr(err)
	is.Equal(restored.Apply(4, command), first) // also after a restart
}

// TestVersionsAreNeverUsedTwice guards against a delayed change that hits a new
// resource of the same name.
func TestVersionsAreNeverUsedTwice(t *testing.T) {
	is := is.New(t)
	s := New()
	created := s.Apply(1, putCommand("a", 0, 1)).Resource
	is.Equal(s.Apply(2, deleteCommand("a", created.Version)).Code, CodeOK)
	again := s.Apply(3, putCommand("a", 0, 1)).Resource
	is.True(again.Version > created.Version)
	is.True(again.Number != created.Number)
	// A change meant for the first "a" does not hit the second.
	is.Equal(s.Apply(4, putCommand("a", created.Version, 9)).Code, CodeVersionConflict)
	is.Equal(s.Apply(5, deleteCommand("a", created.Version)).Code, CodeVersionConflict)
}

// TestChangesSinceReportsTrimmedHistory guards against a reader that misses changes
// which the bounded history no longer holds.
func TestChangesSinceReportsTrimmedHistory(t *testing.T) {
	is := is.New(t)
	s := New()
	for i := range 2*MaxHistory + 10 {
		is.Equal(s.Apply(uint64(i+1), putCommand(fmt.Sprintf("t%d", i), 0, 1)).Code, CodeOK)
	}
	_, kept := s.ChangesSince(5)
	is.True(!kept)
	changes, kept := s.ChangesSince(s.Revision - 3)
	is.True(kept)
	is.Equal(len(changes), 3)
	_, kept = s.ChangesSince(s.Revision - MaxHistory)
	is.True(kept)
}

// TestKeysBelongToOneTeam guards against a bearer key that identifies two teams.
func TestKeysBelongToOneTeam(t *testing.T) {
	is := is.New(t)
	s := New()
	hash := "0000000000000000000000000000000000000000000000000000000000000001"
	withKey := func(name string) Command {
		c := putCommand(name, 0, 1)
		c.Put.Resource.Spec = json.RawMessage(`{"key_hashes":["` + hash + `"]}`)
		return c
	}
	is.Equal(s.Apply(1, withKey("a")).Code, CodeOK)
	is.Equal(s.Apply(2, withKey("b")).Code, CodeInvalid)
	found, ok := s.TeamByKey(hash)
	is.True(ok)
	is.Equal(found.Name, "a")
	s.Apply(3, deleteCommand("a", 1))
	_, ok = s.TeamByKey(hash)
	is.True(!ok)
	is.Equal(s.Apply(4, withKey("b")).Code, CodeOK)
}

// TestDiskBindingIsPermanent guards against a replica that returns under its old
// identifier with an empty disk and votes again.
func TestDiskBindingIsPermanent(t *testing.T) {
	is := is.New(t)
	s := New()
	bind := func(disk string) Code {
		return s.Apply(1, Command{
			Disk: &DiskBinding{
				ReplicaID: 2,
				DiskID:    disk,
			},
		}).Code
	}
	is.Equal(bind("first"), CodeOK)
	is.Equal(bind("first"), CodeOK)
	is.Equal(bind("second"), CodeDiskReplaced)
}

// TestLeaseWithoutFencingWaitsForExpiry guards against two holders of a lease on an
// upstream that does not check fencing tokens.
func TestLeaseWithoutFencingWaitsForExpiry(t *testing.T) {
	is := is.New(t)
	s := New()
	ask := func(index uint64, after time.Duration, holder string, canFence bool) Result {
		now := epoch.Add(after)
		return s.Apply(index, Command{
			Time: now,
			Lease: &LeaseRequest{
				Upstream: "engine-1",
				Holder:   holder,
				Deadline: now.Add(30 * time.Second),
				CanFence: canFence,
			},
		})
	}
	is.Equal(ask(1, 0, "controller-1", false).Code, CodeOK)
	is.Equal(ask(2, time.Second, "controller-2", false).Code, CodeLeaseHeld)
	is.Equal(ask(3, 30*time.Second, "controller-2", false).Code, CodeLeaseHeld) // clocks may differ
	got := ask(4, 30*time.Second+MaxClockSkew, "controller-2", false)
	is.Equal(got.Code, CodeOK)
	is.Equal(got.Lease.FencingToken, uint64(4))
	next := ask(5, 31*time.Second+MaxClockSkew, "controller-1", true) // the engine checks fencing tokens
	is.Equal(next.Code, CodeOK)
	is.True(next.Lease.FencingToken > got.Lease.FencingToken)
}

// randomCommand draws a command of a random kind.
func randomCommand(t *rapid.T, now time.Time) Command {
	c := Command{
		Time: now,
	}
	name := fmt.Sprintf("n%d", rapid.IntRange(1, 3).Draw(t, "name"))
	version := uint64(rapid.IntRange(0, 10).Draw(t, "version"))
	if rapid.Bool().Draw(t, "with id") {
		c.RequestID = fmt.Sprintf("r%d", rapid.IntRange(1, 5).Draw(t, "id"))
	}
	switch rapid.IntRange(0, 5).Draw(t, "command") {
	case 0, 1:
		c.Put = putCommand(name, version, rapid.IntRange(1, 5).Draw(t, "weight")).Put
	case 2:
		c.Delete = deleteCommand(name, version).Delete
	case 3:
		c.Claim = &ClaimRequest{
			Key:         name,
			Digest:      fmt.Sprint(rapid.IntRange(1, 2).Draw(t, "digest")),
			Sidecar:     "s",
			Incarnation: fmt.Sprint(rapid.IntRange(1, 2).Draw(t, "incarnation")),
			Nonce:       fmt.Sprint(rapid.IntRange(1, 4).Draw(t, "nonce")),
		}
	case 4:
		c.Finish = &Finish{
			Key:     name,
			Attempt: uint64(rapid.IntRange(1, 3).Draw(t, "attempt")),
			State:   rapid.SampledFrom([]ClaimState{ClaimDone, ClaimNotRun, ClaimUnknown, ClaimOpen}).Draw(t, "state"),
			Answer: &Answer{
				Status: 200,
				Body:   []byte("x"),
			},
		}
	case 5:
		c.Start = &SidecarStart{
			Sidecar:     "s",
			Incarnation: fmt.Sprint(rapid.IntRange(1, 2).Draw(t, "started")),
		}
	}
	return c
}

// TestReplicasAgree applies random commands to two replicas, one of which is
// restored from a snapshot at a random step. Both must return the same results
// and end in the same state. Revisions must not decrease, and the proved outcome
// of a claim must not change.
func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(), New()
		now := epoch
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		restoreAt := rapid.IntRange(0, 60).Draw(t, "restore at")
		proved := make(map[string]ClaimState)
		for i := range steps {
			now = now.Add(time.Duration(rapid.IntRange(0, 3600).Draw(t, "seconds")) * time.Second)
			if i == restoreAt {
				data, err := b.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				if b, err = Restore(data); err != nil {
					t.Fatal(err)
				}
			}
			c := randomCommand(t, now)
			before := a.Revision
			x, _ := Encode(a.Apply(uint64(i), c))
			y, _ := Encode(b.Apply(uint64(i), c))
			if !bytes.Equal(x, y) {
				t.Fatalf("results differ: %x and %x", x, y)
			}
			if a.Revision < before {
				t.Fatal("the revision decreased")
			}
			for key, claim := range a.Claims {
				was := proved[key+fmt.Sprint(claim.Attempt)]
				if (was == ClaimDone || was == ClaimNotRun) && claim.State != was {
					t.Fatalf("claim %s changed from the proved state %s to %s", key, was, claim.State)
				}
				proved[key+fmt.Sprint(claim.Attempt)] = claim.State
			}
		}
		x, _ := a.Snapshot()
		y, _ := b.Snapshot()
		if !bytes.Equal(x, y) {
			t.Fatal("final states of the replicas differ")
		}
	})
}

// FuzzRestore checks that arbitrary bytes give an error or a usable state.
func FuzzRestore(f *testing.F) {
	s := New()
	s.Apply(1, putCommand("a", 0, 1))
	data, err := s.Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Restore(data)
		if err != nil {
			return
		}
		s.Apply(1, putCommand("fuzz", 0, 1))
		if _, err := s.Snapshot(); err != nil {
			t.Fatal(err)
		}
	})
}

// FuzzCommand checks that no decodable command makes Apply panic.
func FuzzCommand(f *testing.F) {
	data, err := Encode(putCommand("a", 0, 1))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		var c Command
		if Decode(data, &c) == nil {
			New().Apply(1, c)
		}
	})
}
