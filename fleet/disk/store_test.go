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

// filled returns a folder whose log has three records, and its size after each.
func filled(t *testing.T) (string, []int64) {
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

// TestStoreCutsTornTail cuts the log at every byte: what was whole before the
// cut is there, and the store goes on.
func TestStoreCutsTornTail(t *testing.T) {
	is := is.New(t)
	folder, sizes := filled(t)
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

// TestStoreCutsRaggedTail loses parts of the last record, as a loss of power does
// before the record is synced: any of its sectors may be missing while later ones
// are there. What was synced before stays.
func TestStoreCutsRaggedTail(t *testing.T) {
	is := is.New(t)
	folder, sizes := filled(t)
	path := filepath.Join(folder, logFile)
	whole, err := os.ReadFile(path)
	is.NoErr(err)
	last := sizes[len(sizes)-2]
	for from := last; from < int64(len(whole)); from++ {
		for to := from + 1; to <= int64(len(whole)); to++ {
			ragged := append([]byte(nil), whole...)
			clear(ragged[from:to])
			is.NoErr(os.WriteFile(path, ragged, fileMode))
			restored, err := reopen(folder)
			is.NoErr(err)
			is.True(len(restored.Entries) >= len(sizes)-1)
		}
	}
}

// TestStoreRefusesDamage flips every byte of the log: damage before the last
// record is refused, and never read as something else.
func TestStoreRefusesDamage(t *testing.T) {
	is := is.New(t)
	folder, sizes := filled(t)
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
		// In the last record it may pass for a torn tail.
		if err == nil {
			is.Equal(len(restored.Entries), 2)
		}
	}
}

func TestStoreRefusesDamagedSnapshot(t *testing.T) {
	is := is.New(t)
	folder, _ := filled(t)
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

// TestStoreSnapshotCrashes stops between the two files of a snapshot: either
// the old log or the new one is beside the new snapshot, and both are right.
func TestStoreSnapshotCrashes(t *testing.T) {
	is := is.New(t)
	folder, _ := filled(t)
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

// TestFullDiskIsRefused writes to a full disk: the entry is refused, and all that
// follow, also once there is space again. What was written before is kept.
func TestFullDiskIsRefused(t *testing.T) {
	is := is.New(t)
	folder, _ := filled(t)
	s, before, err := Open(folder)
	is.NoErr(err)
	good := s.log
	s.log, err = os.OpenFile("/dev/full", os.O_RDWR, 0)
	is.NoErr(err)
	err = s.Append(nil, []raft.Entry{entry(5, 3)})
	is.True(errors.Is(err, syscall.ENOSPC))
	is.NoErr(s.log.Close())
	s.log = good
	is.True(errors.Is(s.Append(nil, []raft.Entry{entry(5, 3)}), ErrFailed))
	is.True(errors.Is(s.SaveSnapshot(raft.Snapshot{}, raft.HardState{}, nil), ErrFailed))
	s.Close()
	after, err := reopen(folder)
	is.NoErr(err)
	is.Equal(after.Entries, before.Entries)
}

func TestStoreOpensOnce(t *testing.T) {
	is := is.New(t)
	folder, _ := filled(t)
	is.True(errors.Is(Init(folder, Identity{}), ErrHasIdentity))
	s, _, err := Open(folder)
	is.NoErr(err)
	_, _, err = Open(folder)
	is.True(errors.Is(err, ErrLocked))
	s.Close()
	_, _, err = Open(t.TempDir())
	is.True(errors.Is(err, ErrNoIdentity))
}

// FuzzDecodeLog feeds foreign bytes: they give an error or a log in order.
func FuzzDecodeLog(f *testing.F) {
	payload := []byte{0xa0}
	f.Add(appendRecord(nil, payload))
	f.Add(appendRecord(appendRecord(nil, payload), []byte{0xa1, 0x02, 0x80}))
	f.Add(append(appendRecord(nil, payload), 0, 0, 0))
	f.Fuzz(func(t *testing.T, data []byte) {
		var restored raft.Restored
		good, err := decodeLog(data, &restored)
		if err != nil {
			return
		}
		if good > int64(len(data)) {
			t.Fatalf("read %d of %d bytes", good, len(data))
		}
		for i := 1; i < len(restored.Entries); i++ {
			if restored.Entries[i].Index != restored.Entries[i-1].Index+1 {
				t.Fatal("entries out of order")
			}
		}
	})
}

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
