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

// The files of a data folder.
const (
	identityFile = "identity"
	snapshotFile = "snapshot"
	logFile      = "log"
	lockFile     = "lock"
	folderMode   = 0o700
	fileMode     = 0o600
)

// Errors of the data folder.
var (
	// ErrNoIdentity is returned for a folder that Init has not prepared.
	ErrNoIdentity = merry.Sentinel("the data folder holds no replica; run `controller init` first")
	// ErrHasIdentity is returned by Init for a folder that holds a replica.
	ErrHasIdentity = merry.Sentinel("the data folder already holds a replica")
	// ErrFailed is returned by every write after a failed write to the log.
	ErrFailed = merry.Sentinel("an earlier write to the log failed")
	// ErrLocked is returned when another process has the folder open.
	ErrLocked = merry.Sentinel("the data folder is in use by another process")
)

// Identity names a replica for the lifetime of its data folder. A replica that
// lost its folder has lost its votes and acknowledged entries, so it may only
// rejoin under a new identity.
type Identity struct {
	ReplicaID uint64 `cbor:"1,keyasint"`
	DiskID    string `cbor:"2,keyasint"`
	// Members is the initial membership of a replica that bootstraps a group, nil
	// for one that joins an existing group.
	Members *raft.Members `cbor:"3,keyasint,omitempty"`
}

// logRecord is one record of the log: the state that one sync makes durable.
type logRecord struct {
	HardState *raft.HardState `cbor:"1,keyasint,omitempty"`
	Entries   []raft.Entry    `cbor:"2,keyasint,omitempty"`
}

// Store is an open data folder. It is not safe for concurrent use.
type Store struct {
	Identity Identity

	folder   string
	lock     *os.File
	log      *os.File
	logBytes int64
	buffer   []byte // reused for encoding records
	failed   bool   // a write failed, so the content of the log is unknown
}

// Init creates the data folder if needed and writes the identity of a new replica
// into it. It returns ErrHasIdentity when the folder holds a replica.
func Init(folder string, identity Identity) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return merry.Prepend(err, "make the data folder")
	}
	if _, err := os.Stat(filepath.Join(folder, identityFile)); err == nil {
		return ErrHasIdentity
	}
	// A snapshot or log without an identity belongs to a replica that was erased.
	if err := Erase(folder); err != nil {
		return err
	}
	payload, err := cbor.Marshal(identity)
	if err != nil {
		return merry.Prepend(err, "encode the identity")
	}
	return replaceFile(folder, identityFile, appendRecord(nil, payload))
}

// Erase removes the replica from a folder that no Store has open. The identity is
// removed first, so that after an interruption the remaining files are not taken
// for a replica's state.
func Erase(folder string) error {
	for _, name := range []string{identityFile, snapshotFile, logFile} {
		if err := os.Remove(filepath.Join(folder, name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return merry.Prepend(err, "erase the data folder")
		}
		if err := syncFolder(folder); err != nil {
			return err
		}
	}
	return nil
}

// Open locks the folder and returns a Store for it and the durable state read from
// it. An incomplete last record of the log is truncated. Errors wrap ErrNoIdentity,
// ErrLocked or ErrDamaged where one of them is the cause.
func Open(folder string) (*Store, raft.Restored, error) {
	s := &Store{
		folder: folder,
	}
	restored, err := s.open()
	if err != nil {
		s.Close()
		return nil, raft.Restored{}, err
	}
	return s, restored, nil
}

func (s *Store) open() (raft.Restored, error) {
	var restored raft.Restored
	if err := s.readIdentity(); err != nil {
		return restored, err
	}
	if err := s.acquireLock(); err != nil {
		return restored, err
	}
	if err := s.readSnapshot(&restored.Snapshot); err != nil {
		return restored, err
	}
	return restored, s.readLog(&restored)
}

func (s *Store) readIdentity() error {
	data, err := os.ReadFile(filepath.Join(s.folder, identityFile))
	if errors.Is(err, fs.ErrNotExist) {
		return ErrNoIdentity
	}
	if err != nil {
		return merry.Prepend(err, "read the identity")
	}
	return decodeFile(data, identityFile, &s.Identity)
}

// decodeFile decodes into target the content of a file that is one record.
func decodeFile(data []byte, name string, target any) error {
	payload, size, err := nextRecord(data)
	if err != nil || size != len(data) {
		return merry.Prepend(ErrDamaged, name)
	}
	if err := cbor.Unmarshal(payload, target); err != nil {
		return merry.Prependf(ErrDamaged, "%s: %v", name, err)
	}
	return nil
}

// readSnapshot reads the snapshot file. Without one, a replica that bootstraps the
// group starts from a snapshot at index 1, term 1 with the initial members.
func (s *Store) readSnapshot(snapshot *raft.Snapshot) error {
	data, err := os.ReadFile(filepath.Join(s.folder, snapshotFile))
	if errors.Is(err, fs.ErrNotExist) {
		if s.Identity.Members != nil {
			snapshot.Index = 1
			snapshot.Term = 1
			snapshot.Members = s.Identity.Members.Clone()
		}
		return nil
	}
	if err != nil {
		return merry.Prepend(err, "read the snapshot")
	}
	return decodeFile(data, snapshotFile, snapshot)
}

// readLog reads the log into restored, truncates an incomplete last record and
// leaves the log open for appending.
func (s *Store) readLog(restored *raft.Restored) error {
	path := filepath.Join(s.folder, logFile)
	data, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return merry.Prepend(err, "read the log")
	}
	validBytes, err := decodeLog(data, restored)
	if err != nil {
		return err
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

// decodeLog reads the records of a log into restored and returns the size in bytes
// of the log without a torn tail. It returns ErrDamaged, with the byte offset, for
// damage before the last record and for entries that leave a gap.
func decodeLog(data []byte, restored *raft.Restored) (int64, error) {
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
			return 0, merry.Prependf(err, "log at byte %d", offset)
		}
		var r logRecord
		if err := cbor.Unmarshal(payload, &r); err != nil {
			return 0, merry.Prependf(ErrDamaged, "log at byte %d: %v", offset, err)
		}
		if r.HardState != nil {
			restored.HardState = *r.HardState
		}
		if entries, err = mergeEntries(entries, r.Entries); err != nil {
			return 0, merry.Prependf(err, "log at byte %d", offset)
		}
		offset += size
	}
	restored.Entries = afterSnapshot(entries, restored.Snapshot)
	return int64(offset), nil
}

// mergeEntries appends added to entries. An added entry whose index is present
// replaces that entry and discards those after it, as Raft does when a new leader
// overwrites a follower's uncommitted entries.
func mergeEntries(entries, added []raft.Entry) ([]raft.Entry, error) {
	for _, e := range added {
		if len(entries) > 0 {
			first := entries[0].Index
			next := entries[len(entries)-1].Index + 1
			switch {
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

// LogBytes returns the current size of the log file in bytes.
func (s *Store) LogBytes() int64 { return s.logBytes }

// Append writes the hard state, if it is not nil, and the entries to the log and
// syncs it. After an error every later write returns ErrFailed.
func (s *Store) Append(hard *raft.HardState, entries []raft.Entry) error {
	if hard == nil && len(entries) == 0 {
		return nil
	}
	payload, err := cbor.Marshal(logRecord{
		HardState: hard,
		Entries:   entries,
	})
	if err != nil {
		return merry.Prepend(err, "encode a log record")
	}
	s.buffer = appendRecord(s.buffer[:0], payload)
	return s.write(s.buffer)
}

// write appends a record to the log and syncs it. After an error it is unknown
// which part of the record is on disk, and a valid record after an incomplete one
// would be read as damage, so every later write is refused with ErrFailed.
func (s *Store) write(record []byte) error {
	if s.failed {
		return ErrFailed
	}
	s.failed = true
	if _, err := s.log.Write(record); err != nil {
		return merry.Prepend(err, "write the log")
	}
	if err := s.log.Sync(); err != nil {
		return merry.Prepend(err, "sync the log")
	}
	s.failed = false
	s.logBytes += int64(len(record))
	return nil
}

// SaveSnapshot makes the snapshot durable, then replaces the log by the hard state
// and the entries after the snapshot. After a crash between the two steps the new
// snapshot is read with the old log, whose entries up to the snapshot are ignored.
func (s *Store) SaveSnapshot(snapshot raft.Snapshot, hard raft.HardState, after []raft.Entry) error {
	if s.failed {
		return ErrFailed
	}
	payload, err := cbor.Marshal(snapshot)
	if err != nil {
		return merry.Prepend(err, "encode the snapshot")
	}
	if err := replaceFile(s.folder, snapshotFile, appendRecord(nil, payload)); err != nil {
		return err
	}
	payload, err = cbor.Marshal(logRecord{
		HardState: &hard,
		Entries:   after,
	})
	if err != nil {
		return merry.Prepend(err, "encode a log record")
	}
	record := appendRecord(nil, payload)
	if err := replaceFile(s.folder, logFile, record); err != nil {
		return err
	}
	if err := s.log.Close(); err != nil {
		return merry.Prepend(err, "close the old log")
	}
	s.log, err = os.OpenFile(filepath.Join(s.folder, logFile), os.O_RDWR|os.O_APPEND, fileMode)
	if err != nil {
		return merry.Prepend(err, "open the new log")
	}
	s.logBytes = int64(len(record))
	return nil
}

// LoadSnapshot reads the newest durable snapshot, including its data.
func (s *Store) LoadSnapshot() (raft.Snapshot, error) {
	var snapshot raft.Snapshot
	err := s.readSnapshot(&snapshot)
	return snapshot, err
}

// Close closes the log and releases the lock on the folder.
func (s *Store) Close() {
	if s.log != nil {
		s.log.Close()
	}
	if s.lock != nil {
		s.lock.Close()
	}
}
