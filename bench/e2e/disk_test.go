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

// TestLostDisksAreReplaced destroys a controller's disk, replaces it under a
// new identifier, and destroys a second one right after the repair.
func TestLostDisksAreReplaced(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, small(t))
	version := versionOf(putSurely(t, f, "kept", 0, 1, "first"))
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
		eventually(t, "the new one votes", func() bool {
			s, ok := statusOf(f, leaderOf(t, f))
			voters := 0
			for _, m := range s.Members.List {
				if m.Voter {
					voters++
				}
			}
			return ok && voters == 3
		})
		version = versionOf(putSurely(t, f, "kept", version, 2+round, fmt.Sprintf("after-%d", round)))
		is.True(version > 0)
	}
	for i := range f.Addresses.Controllers {
		eventually(t, "read everywhere", func() bool {
			r := operate(context.Background(), f, i, http.MethodGet, "/v1/resources/team/kept", "")
			return r.status == http.StatusOK && versionOf(r) == version
		})
	}
	// The old identifier is never taken back.
	_, err := f.Ctl("member", "add", "1", freeAddress(t))
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "never taken back"))
}

// TestLostDiskUnderOldIdentifierIsRefused initializes a lost disk under the
// identifier it had: the others don't listen to it, and it stops.
func TestLostDiskUnderOldIdentifierIsRefused(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, small(t))
	putSurely(t, f, "kept", 0, 1, "first")
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
		is.Equal(s.Revision, uint64(0)) // it was told nothing and had no say
		is.True(s.Role != "leader")
	}
	is.Equal(putSurely(t, f, "other", 0, 1, "second").status, http.StatusOK)
	// Its word counts for nothing: with one more gone there is no quorum.
	f.Controllers[leaderOf(t, f)].Kill()
	for deadline := time.Now().Add(6 * time.Second); time.Now().Before(deadline); {
		for i := range f.Addresses.Controllers {
			ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
			is.True(putTeam(ctx, f, i, "lost", 0, 1, "third").status != http.StatusOK)
			cancel()
		}
	}
}

// TestDamagedDiskIsRefused flips a byte in a controller's log: it does not start
// and says why; the others go on.
func TestDamagedDiskIsRefused(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, small(t))
	for i := range 3 {
		putSurely(t, f, fmt.Sprintf("team-x%d", i), 0, 1, fmt.Sprintf("x%d", i))
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
	is.Equal(putSurely(t, f, "after", 0, 1, "after").status, http.StatusOK)
}

// TestBackupAndRestore restores a backup into a new fleet's folder.
func TestBackupAndRestore(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, small(t))
	putSurely(t, f, "kept", 0, 7, "first")
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
	eventually(t, "read the restored", func() bool {
		r := operate(context.Background(), f, 3, http.MethodGet, "/v1/resources/team/kept", "")
		return r.status == http.StatusOK && strings.Contains(string(r.body), `"weight":7`)
	})
}

// TestFailingDiskStopsItsController takes the leader's data folder away while
// it runs. It stops at the next snapshot instead of going on without a disk, and
// what was accepted before and meanwhile is at the others.
func TestFailingDiskStopsItsController(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	plan := small(t)
	plan.SnapshotEvery = 20
	f := startFleet(t, plan)
	version := versionOf(putSurely(t, f, "kept", 0, 1, "before"))
	leader := leaderOf(t, f)
	failing := f.Controllers[leader]
	is.NoErr(os.RemoveAll(filepath.Join(f.Plan.Folder, fmt.Sprintf("data-controller-%d", leader+1))))
	changes := 0
	eventually(t, "the controller stops", func() bool {
		changes++
		version = versionOf(putSurely(t, f, "kept", version, 1+changes%9, fmt.Sprintf("change-%d", changes)))
		exited, err := failing.Exited()
		return exited && err != nil
	})
	version = versionOf(putSurely(t, f, "kept", version, 1, "after"))
	for i := range f.Addresses.Controllers {
		if i == leader {
			continue
		}
		eventually(t, "read at the others", func() bool {
			r := operate(context.Background(), f, i, http.MethodGet, "/v1/resources/team/kept", "")
			return r.status == http.StatusOK && versionOf(r) == version
		})
	}
}
