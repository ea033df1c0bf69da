package disk

import (
	"errors"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"baobabpaddle/fleet/raft"
)

// childVariable is set in the process of a test that limits the size of its files.
const childVariable = "BAOBABPADDLE_LIMITED_FILES"

// largeBytes is the size of data that doesn't fit under the limits of the tests.
const largeBytes = 4096

// inChild runs the test in a process of its own, since the limit on the size of files is
// that of a process. It reports whether this process is that one.
func inChild(t *testing.T) bool {
	t.Helper()
	if os.Getenv(childVariable) != "" {
		signal.Ignore(syscall.SIGXFSZ) // writes beyond the limit then fail
		return true
	}
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	child := exec.Command(program, "-test.run=^"+t.Name()+"$", "-test.v")
	child.Env = append(os.Environ(), childVariable+"=1")
	if out, err := child.CombinedOutput(); err != nil || !strings.Contains(string(out), "--- PASS: "+t.Name()) {
		t.Fatalf("%v\n%s", err, out)
	}
	return false
}

// limitFiles makes writes beyond a size of files fail, as on a full disk, until the
// returned function is called.
func limitFiles(t *testing.T, bytes uint64) (restore func()) {
	t.Helper()
	is := is.New(t)
	var before syscall.Rlimit
	is.NoErr(syscall.Getrlimit(syscall.RLIMIT_FSIZE, &before))
	limited := before
	limited.Cur = bytes
	is.NoErr(syscall.Setrlimit(syscall.RLIMIT_FSIZE, &limited))
	return func() { is.NoErr(syscall.Setrlimit(syscall.RLIMIT_FSIZE, &before)) }
}

// temporaryFiles returns the files that are left of interrupted replacements.
func temporaryFiles(t *testing.T, folder string) []string {
	t.Helper()
	found, err := filepath.Glob(filepath.Join(folder, "*.new"))
	is.New(t).NoErr(err)
	return found
}

// largeEntry returns an entry that doesn't fit under the limits of the tests.
func largeEntry(index, term uint64) raft.Entry {
	e := entry(index, term)
	e.Data = make([]byte, largeBytes)
	return e
}

// TestFailedSnapshotFreesItsSpace guards against a disk that stays full for want of the space
// that a snapshot took before it failed, and against a store that goes on with a log of which
// it is not known whether it is still the one in the folder.
func TestFailedSnapshotFreesItsSpace(t *testing.T) {
	if !inChild(t) {
		return
	}
	for name, c := range map[string]struct {
		data  []byte       // of the snapshot
		after []raft.Entry // entries in the new log
	}{
		"snapshot": {
			data:  make([]byte, largeBytes),
			after: []raft.Entry{entry(4, 3)},
		},
		"log": {
			after: []raft.Entry{largeEntry(4, 3)},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			folder, _ := newFolder(t)
			s, before, err := Open(folder)
			is.NoErr(err)
			hard := raft.HardState{
				Term: 4,
			}
			snapshot := raft.Snapshot{
				Index: 3,
				Term:  2,
				Data:  c.data,
			}
			restore := limitFiles(t, largeBytes/2)
			for range 2 {
				is.True(s.SaveSnapshot(snapshot, hard, c.after) != nil)
				is.Equal(len(temporaryFiles(t, folder)), 0)
			}
			restore()
			is.True(errors.Is(s.Append(&hard, nil), ErrFailed))
			s.Close()
			after, err := reopen(folder)
			is.NoErr(err)
			is.Equal(after.HardState, before.HardState)
			for _, e := range before.Entries { // acknowledged
				if e.Index > after.Snapshot.Index {
					is.Equal(after.Entries[e.Index-after.Snapshot.Index-1], e)
				}
			}
		})
	}
}

// TestOpenRemovesTemporaryFiles guards against a disk that stays full for want of the space
// of a replacement that the end of the process has interrupted.
func TestOpenRemovesTemporaryFiles(t *testing.T) {
	is := is.New(t)
	folder, _ := newFolder(t)
	for _, name := range []string{identityFile, snapshotFile, logFile} {
		is.NoErr(os.WriteFile(filepath.Join(folder, name+".new"), make([]byte, largeBytes), fileMode))
	}
	_, err := reopen(folder)
	is.NoErr(err)
	is.Equal(len(temporaryFiles(t, folder)), 0)
}

// TestOpenOnFullDisk checks that a folder is opened without space, which is needed only to
// replace a log that the snapshot covers, and that nothing acknowledged is lost.
func TestOpenOnFullDisk(t *testing.T) {
	if !inChild(t) {
		return
	}
	for name, c := range map[string]struct {
		prepare func(is *is.I, folder string)
		opens   bool
	}{
		"stopped": {
			prepare: func(*is.I, string) {},
			opens:   true,
		},
		"torn tail": {
			prepare: func(is *is.I, folder string) {
				f, err := os.OpenFile(filepath.Join(folder, logFile), os.O_APPEND|os.O_WRONLY, fileMode)
				is.NoErr(err)
				_, err = f.Write([]byte("torn"))
				is.NoErr(err)
				is.NoErr(f.Close())
			},
			opens: true,
		},
		"covered log": {
			prepare: func(is *is.I, folder string) {
				s, _, err := Open(folder)
				is.NoErr(err)
				log, err := os.ReadFile(filepath.Join(folder, logFile))
				is.NoErr(err)
				is.NoErr(s.SaveSnapshot(raft.Snapshot{
					Index: 9,
					Term:  3,
				}, raft.HardState{
					Term: 3,
				}, nil))
				s.Close()
				is.NoErr(os.WriteFile(filepath.Join(folder, logFile), log, fileMode)) // interrupted
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			folder, _ := newFolder(t)
			c.prepare(is, folder)
			restore := limitFiles(t, 0)
			for range 2 {
				s, _, err := Open(folder)
				is.Equal(err == nil, c.opens)
				is.Equal(len(temporaryFiles(t, folder)), 0)
				if err == nil {
					is.True(s.Append(nil, []raft.Entry{entry(5, 3)}) != nil)
					s.Close()
				}
			}
			restore()
			after, err := reopen(folder)
			is.NoErr(err)
			is.Equal(after.HardState.Term, uint64(3))
			if c.opens {
				is.Equal(after.Entries, []raft.Entry{entry(2, 1), entry(3, 2), entry(4, 3)})
			} else {
				is.Equal(after.Snapshot.Index, uint64(9))
			}
		})
	}
}

// TestInitOnFullDisk checks that a folder can be prepared once there is space: an identity
// that was not written completely is no identity.
func TestInitOnFullDisk(t *testing.T) {
	if !inChild(t) {
		return
	}
	is := is.New(t)
	folder := t.TempDir()
	identity := Identity{
		ReplicaID: 1,
		DiskID:    "d",
	}
	restore := limitFiles(t, 1)
	for range 2 {
		is.True(Init(folder, identity) != nil)
		is.Equal(len(temporaryFiles(t, folder)), 0)
		_, _, err := Open(folder)
		is.True(errors.Is(err, ErrNoIdentity))
	}
	restore()
	is.NoErr(Init(folder, identity))
	_, err := reopen(folder)
	is.NoErr(err)
}

// TestRewriteKeepsTheState guards against a rewritten log that lacks what was read, or to which
// entries can't be appended.
func TestRewriteKeepsTheState(t *testing.T) {
	is := is.New(t)
	folder, _ := newFolder(t)
	s, before, err := Open(folder)
	is.NoErr(err)
	is.NoErr(s.Rewrite(before))
	hard := raft.HardState{
		Term: before.HardState.Term + 1,
	}
	next := entry(before.Snapshot.Index+uint64(len(before.Entries))+1, hard.Term)
	is.NoErr(s.Append(&hard, []raft.Entry{next}))
	s.Close()
	s, after, err := Open(folder)
	is.NoErr(err)
	defer s.Close()
	is.Equal(after.HardState, hard)
	is.Equal(after.Entries, append(before.Entries, next))
}
