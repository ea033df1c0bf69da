package disk

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"baobabpaddle/fleet/raft"
)

func entry(index, term uint64) raft.Entry {
	return raft.Entry{
		Index: index,
		Term:  term,
		Data:  []byte{byte(index), byte(term)},
	}
}

// newFolder returns a data folder whose log has three records, and the size of the
// log after each of them.
func newFolder(t *testing.T) (string, []int64) {
	t.Helper()
	is := is.New(t)
	folder := t.TempDir()
	is.NoErr(Init(folder, Identity{
		ReplicaID: 1,
		DiskID:    "d",
		Members:   &raft.Members{},
	}))
	s, restored, err := Open(folder)
	is.NoErr(err)
	is.Equal(restored.Snapshot.Index, uint64(1))
	defer s.Close()
	var sizes []int64
	for i := range uint64(3) {
		is.NoErr(s.Append(&raft.HardState{
			Term: i + 1,
		}, []raft.Entry{entry(i+2, i+1)}))
		sizes = append(sizes, s.LogBytes())
	}
	return folder, sizes
}

func reopen(folder string) (raft.Restored, error) {
	s, restored, err := Open(folder)
	if err == nil {
		s.Close()
	}
	return restored, err
}

// TestStoreTruncatesTornTail truncates the log at every byte: Open restores the
// complete records and truncates the rest.
func TestStoreTruncatesTornTail(t *testing.T) {
	is := is.New(t)
	folder, sizes := newFolder(t)
	path := filepath.Join(folder, logFile)
	whole, err := os.ReadFile(path)
	is.NoErr(err)
	for cut := range whole {
		is.NoErr(os.WriteFile(path, whole[:cut], fileMode))
		restored, err := reopen(folder)
		is.NoErr(err)
		records := 0
		for _, size := range sizes {
			if int64(cut) >= size {
				records++
			}
		}
		is.Equal(len(restored.Entries), records)
		is.Equal(restored.HardState.Term, uint64(records))
		info, err := os.Stat(path)
		is.NoErr(err)
		if records > 0 {
			is.Equal(info.Size(), sizes[records-1])
		}
	}
}

// TestStoreTruncatesPartialLastRecord zeroes every range of bytes in the last
// record. After a power loss before the sync any sectors of a record may be missing
// while later ones are present; the records synced before must be restored.
func TestStoreTruncatesPartialLastRecord(t *testing.T) {
	is := is.New(t)
	folder, sizes := newFolder(t)
	path := filepath.Join(folder, logFile)
	whole, err := os.ReadFile(path)
	is.NoErr(err)
	last := sizes[len(sizes)-2]
	for from := last; from < int64(len(whole)); from++ {
		for to := from + 1; to <= int64(len(whole)); to++ {
			partial := append([]byte(nil), whole...)
			clear(partial[from:to])
			is.NoErr(os.WriteFile(path, partial, fileMode))
			restored, err := reopen(folder)
			is.NoErr(err)
			is.True(len(restored.Entries) >= len(sizes)-1)
		}
	}
}

// TestStoreRefusesDamage flips a bit in every byte of the log: damage before the
// last record is refused with ErrDamaged and never decoded as other content.
func TestStoreRefusesDamage(t *testing.T) {
	is := is.New(t)
	folder, sizes := newFolder(t)
	path := filepath.Join(folder, logFile)
	whole, err := os.ReadFile(path)
	is.NoErr(err)
	for i := range whole {
		damaged := append([]byte(nil), whole...)
		damaged[i] ^= 0x40
		is.NoErr(os.WriteFile(path, damaged, fileMode))
		restored, err := reopen(folder)
		if int64(i) < sizes[1] {
			is.True(errors.Is(err, ErrDamaged))
			continue
		}
		// Damage in the last record can't be told from a torn write.
		if err == nil {
			is.Equal(len(restored.Entries), 2)
		}
	}
}

// TestStoreRefusesDamagedSnapshot flips a bit in every byte of the snapshot: each
// damaged file is refused with ErrDamaged.
func TestStoreRefusesDamagedSnapshot(t *testing.T) {
	is := is.New(t)
	folder, _ := newFolder(t)
	s, restored, err := Open(folder)
	is.NoErr(err)
	is.NoErr(s.SaveSnapshot(raft.Snapshot{
		Index: 3,
		Term:  2,
		Data:  []byte("state"),
	}, restored.HardState, restored.Entries[2:]))
	s.Close()
	path := filepath.Join(folder, snapshotFile)
	whole, err := os.ReadFile(path)
	is.NoErr(err)
	for i := range whole {
		damaged := append([]byte(nil), whole...)
		damaged[i] ^= 0x01
		is.NoErr(os.WriteFile(path, damaged, fileMode))
		_, err := reopen(folder)
		is.True(errors.Is(err, ErrDamaged))
	}
}

// TestStoreSnapshotInterrupted simulates a crash between the replacement of the
// snapshot and that of the log: the new snapshot must be read correctly with the
// new log and with the old one.
func TestStoreSnapshotInterrupted(t *testing.T) {
	is := is.New(t)
	folder, _ := newFolder(t)
	oldLog, err := os.ReadFile(filepath.Join(folder, logFile))
	is.NoErr(err)
	s, restored, err := Open(folder)
	is.NoErr(err)
	is.NoErr(s.SaveSnapshot(raft.Snapshot{
		Index: 3,
		Term:  2,
		Data:  []byte("state"),
	}, restored.HardState, restored.Entries[2:]))
	is.NoErr(s.Append(nil, []raft.Entry{entry(5, 3)}))
	s.Close()
	after, err := reopen(folder)
	is.NoErr(err)
	is.Equal(after.Snapshot.Index, uint64(3))
	is.Equal(len(after.Entries), 2)
	is.NoErr(os.WriteFile(filepath.Join(folder, logFile), oldLog, fileMode))
	after, err = reopen(folder)
	is.NoErr(err)
	is.Equal(after.HardState.Term, uint64(3))
	is.Equal(len(after.Entries), 1) // entry 4, which follows the snapshot
	is.Equal(after.Entries[0].Index, uint64(4))
}

// installInterrupted returns a folder in which the snapshot of a leader has replaced
// the old one, but not yet the log of newFolder, and to which the entry after the
// snapshot was appended since.
func installInterrupted(t *testing.T, index uint64) string {
	t.Helper()
	is := is.New(t)
	const term = 9
	folder, _ := newFolder(t)
	path := filepath.Join(folder, logFile)
	oldLog, err := os.ReadFile(path)
	is.NoErr(err)
	s, restored, err := Open(folder)
	is.NoErr(err)
	is.NoErr(s.SaveSnapshot(raft.Snapshot{
		Index: index,
		Term:  term,
		Data:  []byte("state"),
	}, restored.HardState, nil))
	s.Close()
	is.NoErr(os.WriteFile(path, oldLog, fileMode))
	s, restored, err = Open(folder)
	is.NoErr(err)
	is.Equal(restored.Snapshot.Index, index)
	is.Equal(len(restored.Entries), 0)
	is.NoErr(s.Append(nil, []raft.Entry{entry(index+1, term)}))
	s.Close()
	return folder
}

// TestStoreOpensAfterInterruptedInstall guards against a folder that is refused as
// damaged at the second start after a power loss amid the install of a snapshot.
func TestStoreOpensAfterInterruptedInstall(t *testing.T) {
	is := is.New(t)
	restored, err := reopen(installInterrupted(t, 9)) // the old log ends at entry 4
	is.NoErr(err)
	is.Equal(len(restored.Entries), 1)
}

// TestStoreKeepsEntriesAfterInterruptedInstall guards against the loss of entries
// synced after a power loss amid the install of a snapshot over a conflicting log.
func TestStoreKeepsEntriesAfterInterruptedInstall(t *testing.T) {
	is := is.New(t)
	restored, err := reopen(installInterrupted(t, 4)) // entry 4 of the old log has another term
	is.NoErr(err)
	is.Equal(len(restored.Entries), 1)
}

// TestStoreFailsAfterFullDisk writes to a full disk: the write and all later ones
// fail, even once there is space again. Entries written before are kept.
func TestStoreFailsAfterFullDisk(t *testing.T) {
	is := is.New(t)
	folder, _ := newFolder(t)
	s, before, err := Open(folder)
	is.NoErr(err)
	original := s.log
	s.log, err = os.OpenFile("/dev/full", os.O_RDWR, 0)
	is.NoErr(err)
	err = s.Append(nil, []raft.Entry{entry(5, 3)})
	is.True(errors.Is(err, syscall.ENOSPC))
	is.NoErr(s.log.Close())
	s.log = original
	is.True(errors.Is(s.Append(nil, []raft.Entry{entry(5, 3)}), ErrFailed))
	is.True(errors.Is(s.SaveSnapshot(raft.Snapshot{}, raft.HardState{}, nil), ErrFailed))
	s.Close()
	after, err := reopen(folder)
	is.NoErr(err)
	is.Equal(after.Entries, before.Entries)
}

// TestStoreIsExclusive checks that Init and Open refuse a folder that is in use, and
// that Open refuses one that has not been initialized.
func TestStoreIsExclusive(t *testing.T) {
	is := is.New(t)
	folder, _ := newFolder(t)
	is.True(errors.Is(Init(folder, Identity{}), ErrHasIdentity))
	s, _, err := Open(folder)
	is.NoErr(err)
	_, _, err = Open(folder)
	is.True(errors.Is(err, ErrLocked))
	s.Close()
	_, _, err = Open(t.TempDir())
	is.True(errors.Is(err, ErrNoIdentity))
}

// FuzzDecodeLog checks that arbitrary bytes give either an error or entries with
// consecutive indexes.
func FuzzDecodeLog(f *testing.F) {
	payload := []byte{0xa0}
	f.Add(appendRecord(nil, payload))
	f.Add(appendRecord(appendRecord(nil, payload), []byte{0xa1, 0x02, 0x80}))
	f.Add(append(appendRecord(nil, payload), 0, 0, 0))
	f.Fuzz(func(t *testing.T, data []byte) {
		var restored raft.Restored
		size, err := decodeLog(data, &restored)
		if err != nil {
			return
		}
		if size > int64(len(data)) {
			t.Fatalf("decoded size is %d bytes, want at most %d", size, len(data))
		}
		for i := 1; i < len(restored.Entries); i++ {
			if restored.Entries[i].Index != restored.Entries[i-1].Index+1 {
				t.Fatal("entry indexes are not consecutive")
			}
		}
	})
}

// BenchmarkAppend measures one durable append of a single entry.
func BenchmarkAppend(b *testing.B) {
	folder := b.TempDir()
	if err := Init(folder, Identity{
		ReplicaID: 1,
	}); err != nil {
		b.Fatal(err)
	}
	s, _, err := Open(folder)
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	index := uint64(1)
	for b.Loop() {
		index++
		if err := s.Append(nil, []raft.Entry{entry(index, 1)}); err != nil {
			b.Fatal(err)
		}
	}
}
