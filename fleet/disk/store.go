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
	// ErrFailed is returned by every write after one that failed.
	ErrFailed = merry.Sentinel("an earlier write to the data folder failed")
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
	identity Identity
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
		if err := removeFile(filepath.Join(folder, name)); err != nil {
			return merry.Prepend(err, "erase the data folder")
		}
		if err := syncFolder(folder); err != nil {
			return err
		}
	}
	return removeTemporary(folder)
}

// Open locks the folder and returns a Store for it and the durable state read from
// it. An incomplete last record of the log is truncated, which takes no space on the
// disk; only a log that a snapshot covers is written again. Errors wrap ErrNoIdentity,
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
	if err := removeTemporary(s.folder); err != nil {
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
	return decodeFile(data, identityFile, &s.identity)
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
		if s.identity.Members != nil {
			snapshot.Index = 1
			snapshot.Term = 1
			snapshot.Members = s.identity.Members.Clone()
			for _, m := range snapshot.Members.List {
				if snapshot.Members.Group == 0 || m.ID < snapshot.Members.Group {
					snapshot.Members.Group = m.ID
				}
			}
		}
		return nil
	}
	if err != nil {
		return merry.Prepend(err, "read the snapshot")
	}
	return decodeFile(data, snapshotFile, snapshot)
}

// Identity returns the identity of the folder's replica.
func (s *Store) Identity() Identity { return s.identity }

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
// snapshot is read with the old log, whose entries up to the snapshot are ignored. After
// an error every later write returns ErrFailed: the open log may no longer be the one in
// the folder.
func (s *Store) SaveSnapshot(snapshot raft.Snapshot, hard raft.HardState, after []raft.Entry) error {
	if s.failed {
		return ErrFailed
	}
	s.failed = true
	payload, err := cbor.Marshal(snapshot)
	if err != nil {
		return merry.Prepend(err, "encode the snapshot")
	}
	if err := replaceFile(s.folder, snapshotFile, appendRecord(nil, payload)); err != nil {
		return err
	}
	return s.startLog(hard, after)
}

// Rewrite replaces the log by a new file with what Open has read. After a failed sync the
// old file may read as written although the disk lacks a part of it. After an error every
// later write returns ErrFailed.
func (s *Store) Rewrite(restored raft.Restored) error {
	if s.failed {
		return ErrFailed
	}
	s.failed = true
	return s.startLog(restored.HardState, restored.Entries)
}

// startLog replaces the log and opens the new one. If it succeeds, the store takes writes.
func (s *Store) startLog(hard raft.HardState, entries []raft.Entry) error {
	logBytes, err := s.replaceLog(hard, entries)
	if err != nil {
		return err
	}
	if err := s.log.Close(); err != nil {
		return merry.Prepend(err, "close the old log")
	}
	s.log, err = os.OpenFile(filepath.Join(s.folder, logFile), os.O_RDWR|os.O_APPEND, fileMode)
	if err != nil {
		return merry.Prepend(err, "open the new log")
	}
	s.logBytes = logBytes
	s.failed = false
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
