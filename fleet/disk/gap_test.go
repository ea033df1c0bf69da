package disk

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"baobabpaddle/fleet/raft"
)

// TestLogWithoutItsSnapshotIsDamage guards against a replica that starts empty under its
// old identifier: entries beyond the snapshot's successor can't be those of an interrupted
// install, and were dropped and erased.
func TestLogWithoutItsSnapshotIsDamage(t *testing.T) {
	is := is.New(t)
	const compacted = 3
	folder, _ := newFolder(t)
	s, _, err := Open(folder)
	is.NoErr(err)
	is.NoErr(s.SaveSnapshot(raft.Snapshot{
		Index: compacted,
		Term:  2,
	}, raft.HardState{
		Term: 3,
	}, []raft.Entry{entry(compacted+1, 3)}))
	s.Close()
	before, err := os.ReadFile(filepath.Join(folder, logFile))
	is.NoErr(err)
	is.NoErr(os.Remove(filepath.Join(folder, snapshotFile)))
	_, err = reopen(folder)
	after, readErr := os.ReadFile(filepath.Join(folder, logFile))
	is.NoErr(readErr)
	is.Equal(after, before) // nothing is erased
	is.True(errors.Is(err, ErrDamaged))
}
