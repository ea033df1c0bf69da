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

// TestStoreOpensLogOfInterruptedInstall guards against folders that stay refused, in which an
// older build has appended the entry after an interrupted install to the old log.
func TestStoreOpensLogOfInterruptedInstall(t *testing.T) {
	is := is.New(t)
	const installed = 9
	folder, _ := newFolder(t) // its log ends at entry 4
	path := filepath.Join(folder, logFile)
	old, err := os.ReadFile(path)
	is.NoErr(err)
	s, restored, err := Open(folder)
	is.NoErr(err)
	is.NoErr(s.SaveSnapshot(raft.Snapshot{
		Index: installed,
		Term:  9,
	}, restored.HardState, nil))
	is.NoErr(s.Append(nil, []raft.Entry{entry(installed+1, 9)}))
	s.Close()
	added, err := os.ReadFile(path)
	is.NoErr(err)
	_, size, err := nextRecord(added) // the hard state
	is.NoErr(err)
	is.NoErr(os.WriteFile(path, append(old, added[size:]...), fileMode))
	restored, err = reopen(folder)
	is.NoErr(err)
	is.Equal(len(restored.Entries), 1)
	is.Equal(restored.Entries[0].Index, uint64(installed+1))
}
