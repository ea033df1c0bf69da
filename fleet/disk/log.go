package disk

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"

	"baobabpaddle/fleet/raft"
)

// readLog reads the log into restored, truncates an incomplete last record and
// leaves the log open for appending. It empties a log without entries that follow the
// snapshot, since an entry appended later would not connect to the old ones.
func (s *Store) readLog(restored *raft.Restored) error {
	path := filepath.Join(s.folder, logFile)
	data, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return merry.Prepend(err, "read the log")
	}
	validBytes, entries, err := decodeLog(data, restored)
	if err != nil {
		return err
	}
	restored.Entries = afterSnapshot(entries, restored.Snapshot)
	if len(entries) > 0 && entries[0].Index > restored.Snapshot.Index+1 {
		return merry.Prependf(ErrDamaged, "the log begins with entry %d, the snapshot ends with entry %d", entries[0].Index, restored.Snapshot.Index)
	}
	if len(entries) > 0 && len(restored.Entries) == 0 {
		if validBytes, err = s.replaceLog(restored.HardState, nil); err != nil {
			return err
		}
	}
	s.log, err = os.OpenFile(path, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return merry.Prepend(err, "open the log")
	}
	if err := s.log.Truncate(validBytes); err != nil {
		return merry.Prepend(err, "truncate the torn tail of the log")
	}
	if _, err := s.log.Seek(validBytes, 0); err != nil {
		return merry.Prepend(err, "seek in the log")
	}
	s.logBytes = validBytes
	if err := s.log.Sync(); err != nil {
		return merry.Prepend(err, "sync the log")
	}
	return syncFolder(s.folder)
}

// replaceLog replaces the log by one record and returns its size in bytes. The caller
// opens the new file.
func (s *Store) replaceLog(hard raft.HardState, entries []raft.Entry) (int64, error) {
	payload, err := cbor.Marshal(logRecord{
		HardState: &hard,
		Entries:   entries,
	})
	if err != nil {
		return 0, merry.Prepend(err, "encode a log record")
	}
	record := appendRecord(nil, payload)
	return int64(len(record)), replaceFile(s.folder, logFile, record)
}

// decodeLog reads the hard state of a log into restored, and returns the size in bytes
// of the log without a torn tail, and its entries. It returns ErrDamaged, with the byte
// offset, for damage before the last record and for entries that leave a gap.
func decodeLog(data []byte, restored *raft.Restored) (int64, []raft.Entry, error) {
	var entries []raft.Entry
	offset := 0
	for offset < len(data) {
		payload, size, err := nextRecord(data[offset:])
		if errors.Is(err, errTorn) {
			break
		}
		// Each record is synced before the next one is written, so only the last
		// record can be incomplete: without a valid record after it, it is torn.
		if err != nil && !containsRecord(data[offset+1:]) {
			break
		}
		if err != nil {
			return 0, nil, merry.Prependf(err, "log at byte %d", offset)
		}
		var r logRecord
		if err := cbor.Unmarshal(payload, &r); err != nil {
			return 0, nil, merry.Prependf(ErrDamaged, "log at byte %d: %v", offset, err)
		}
		if r.HardState != nil {
			restored.HardState = *r.HardState
		}
		if entries, err = mergeEntries(entries, r.Entries, restored.Snapshot.Index); err != nil {
			return 0, nil, merry.Prependf(err, "log at byte %d", offset)
		}
		offset += size
	}
	return int64(offset), entries, nil
}

// mergeEntries appends added to entries. An added entry whose index is present
// replaces that entry and discards those after it, as Raft does when a new leader
// overwrites a follower's uncommitted entries. The entry after the snapshot may follow
// older ones with a gap: builds that kept the log of an interrupted install wrote it so.
func mergeEntries(entries, added []raft.Entry, snapshotIndex uint64) ([]raft.Entry, error) {
	for _, e := range added {
		if len(entries) > 0 {
			first := entries[0].Index
			next := entries[len(entries)-1].Index + 1
			switch {
			case e.Index > next && e.Index == snapshotIndex+1:
				entries = entries[:0] // the snapshot covers them
			case e.Index > next:
				return nil, merry.Prependf(ErrDamaged, "entry %d follows entry %d", e.Index, next-1)
			case e.Index < first:
				entries = entries[:0]
			default:
				entries = entries[:e.Index-first]
			}
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// afterSnapshot returns the entries that directly follow the snapshot. It returns
// none when the entry at the snapshot's index has another term, since the entries
// then belong to a history that the snapshot has replaced, or when the first entry
// after the snapshot is missing.
func afterSnapshot(entries []raft.Entry, snapshot raft.Snapshot) []raft.Entry {
	for i, e := range entries {
		if e.Index == snapshot.Index && e.Term != snapshot.Term {
			return nil
		}
		if e.Index == snapshot.Index+1 {
			return entries[i:]
		}
		if e.Index > snapshot.Index {
			return nil
		}
	}
	return nil
}
