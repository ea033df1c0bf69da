package e2e

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLostDisksAreReplaced deletes a controller's disk and replaces the member by a new
// one under a new identifier, then does the same with a second controller right after.
// Every accepted change must survive.
func TestLostDisksAreReplaced(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, smallPlan(t))
	version := versionOf(putTeamUntilAnswered(t, f, "kept", 0, 1, "first"))
	for round := range 2 {
		lost := round // controllers 1 and 2
		f.Controllers[lost].Kill()
		is.NoErr(os.RemoveAll(filepath.Join(f.Plan.Folder, fmt.Sprintf("data-controller-%d", lost+1))))
		id := uint64(10 + round)
		name := fmt.Sprintf("controller-%d", id)
		address := freeAddress(t)
		is.NoErr(f.WriteControllerSettings(name, id, address, freeAddress(t), nil))
		is.NoErr(f.Run("controller", "init", "--join", "--settings", f.SettingsPath(name)))
		eventually(t, "remove", func() bool {
			_, err := f.Ctl("member", "remove", strconv.Itoa(lost+1))
			return err == nil
		})
		eventually(t, "add", func() bool {
			_, err := f.Ctl("member", "add", strconv.Itoa(int(id)), address)
			return err == nil
		})
		p, err := f.StartProcess(name, "controller")
		is.NoErr(err)
		f.Controllers[lost] = p
		f.Addresses.Controllers[lost] = address
		eventually(t, "the new member votes", func() bool {
			s, ok := statusOf(f, leaderOf(t, f))
			voters := 0
			for _, m := range s.Members.List {
				if m.Voter {
					voters++
				}
			}
			return ok && voters == 3
		})
		version = versionOf(putTeamUntilAnswered(t, f, "kept", version, 2+round, fmt.Sprintf("after-%d", round)))
		is.True(version > 0)
	}
	for i := range f.Addresses.Controllers {
		eventually(t, "read everywhere", func() bool {
			r := operatorCall(context.Background(), f, i, http.MethodGet, "/v1/resources/team/kept", "")
			return r.status == http.StatusOK && versionOf(r) == version
		})
	}
	// A removed identifier can't be added again.
	_, err := f.Ctl("member", "add", "1", freeAddress(t))
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "never taken back"))
}

// TestLostDiskUnderOldIdentifierIsRefused initializes a new disk under the identifier of
// a lost one. The empty disk has forgotten its votes and log entries, so the other
// controllers must not accept its messages or count its votes, and it stops.
func TestLostDiskUnderOldIdentifierIsRefused(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, smallPlan(t))
	putTeamUntilAnswered(t, f, "kept", 0, 1, "first")
	lost := (leaderOf(t, f) + 1) % 3
	name := fmt.Sprintf("controller-%d", lost+1)
	eventually(t, "all disks are bound", func() bool {
		s, ok := statusOf(f, leaderOf(t, f))
		return ok && s.Disks == 3
	})
	f.Controllers[lost].Kill()
	is.NoErr(os.RemoveAll(filepath.Join(f.Plan.Folder, "data-"+name)))
	is.NoErr(f.Run("controller", "init", "--settings", f.SettingsPath(name)))
	p, err := f.StartProcess(name, "controller")
	is.NoErr(err)
	f.Controllers[lost] = p
	time.Sleep(4 * time.Second)
	if s, ok := statusOf(f, lost); ok {
		is.Equal(s.Revision, uint64(0)) // it received no entries
		is.True(s.Role != "leader")
	}
	is.Equal(putTeamUntilAnswered(t, f, "other", 0, 1, "second").status, http.StatusOK)
	// It doesn't count towards the quorum: with one more controller down there is none.
	f.Controllers[leaderOf(t, f)].Kill()
	for deadline := time.Now().Add(6 * time.Second); time.Now().Before(deadline); {
		for i := range f.Addresses.Controllers {
			ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
			is.True(putTeam(ctx, f, i, "lost", 0, 1, "third").status != http.StatusOK)
			cancel()
		}
	}
}

// TestDamagedDiskIsRefused flips a bit in a controller's log. The controller must refuse
// to start and name the damage, while the others keep accepting changes.
func TestDamagedDiskIsRefused(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, smallPlan(t))
	for i := range 3 {
		putTeamUntilAnswered(t, f, fmt.Sprintf("team-x%d", i), 0, 1, fmt.Sprintf("x%d", i))
	}
	f.Controllers[0].Kill()
	path := filepath.Join(f.Plan.Folder, "data-controller-1", "log")
	data, err := os.ReadFile(path)
	is.NoErr(err)
	data[len(data)/3] ^= 0x10
	is.NoErr(os.WriteFile(path, data, 0o600))
	out, err := f.Output("controller", "run", "--settings", f.SettingsPath("controller-1"))
	is.True(err != nil)
	is.True(strings.Contains(out, "the file is damaged"))
	is.Equal(putTeamUntilAnswered(t, f, "after", 0, 1, "after").status, http.StatusOK)
}

// TestBackupAndRestore restores a backup into a new single controller and reads an
// accepted change from it.
func TestBackupAndRestore(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, smallPlan(t))
	putTeamUntilAnswered(t, f, "kept", 0, 7, "first")
	backup := filepath.Join(f.Plan.Folder, "backup")
	_, err := f.Ctl("backup", backup)
	is.NoErr(err)
	address := freeAddress(t)
	is.NoErr(f.WriteControllerSettings("restored", 1, address, freeAddress(t), []map[string]any{
		{
			"id":      1,
			"address": address,
		},
	}))
	is.NoErr(f.Run("controller", "restore", "--settings", f.SettingsPath("restored"), "--backup", backup))
	p, err := f.StartProcess("restored", "controller")
	is.NoErr(err)
	defer p.Kill()
	f.Addresses.Controllers = append(f.Addresses.Controllers, address)
	eventually(t, "the restored controller returns the change", func() bool {
		r := operatorCall(context.Background(), f, 3, http.MethodGet, "/v1/resources/team/kept", "")
		return r.status == http.StatusOK && strings.Contains(string(r.body), `"weight":7`)
	})
}

// TestFailingDiskStopsItsController removes the leader's data folder while it runs. The
// leader must exit at the next snapshot instead of running without a disk, and the
// others hold every change accepted before and meanwhile.
func TestFailingDiskStopsItsController(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	plan := smallPlan(t)
	plan.SnapshotEvery = 20
	f := startFleet(t, plan)
	version := versionOf(putTeamUntilAnswered(t, f, "kept", 0, 1, "before"))
	leader := leaderOf(t, f)
	failing := f.Controllers[leader]
	is.NoErr(os.RemoveAll(filepath.Join(f.Plan.Folder, fmt.Sprintf("data-controller-%d", leader+1))))
	changes := 0
	eventually(t, "the controller stops", func() bool {
		changes++
		version = versionOf(putTeamUntilAnswered(t, f, "kept", version, 1+changes%9, fmt.Sprintf("change-%d", changes)))
		exited, err := failing.Exited()
		return exited && err != nil
	})
	version = versionOf(putTeamUntilAnswered(t, f, "kept", version, 1, "after"))
	for i := range f.Addresses.Controllers {
		if i == leader {
			continue
		}
		eventually(t, "read at the others", func() bool {
			r := operatorCall(context.Background(), f, i, http.MethodGet, "/v1/resources/team/kept", "")
			return r.status == http.StatusOK && versionOf(r) == version
		})
	}
}
