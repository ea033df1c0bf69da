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

// Errors of opening a data folder.
var (
	ErrNoIdentity  = merry.Sentinel("the data folder holds no replica; run `controller init` first")
	ErrHasIdentity = merry.Sentinel("the data folder holds a replica already")
	ErrFailed      = merry.Sentinel("the disk failed before")
	ErrLocked      = merry.Sentinel("the data folder is in use by another process")
)

// Identity names a replica for as long as its data folder lives. A replica
// whose folder was lost returns under a new identity only.
type Identity struct {
	ReplicaID uint64        `cbor:"1,keyasint"`
	DiskID    string        `cbor:"2,keyasint"`
	Members   *raft.Members `cbor:"3,keyasint,omitempty"`
}

// batch is one record of the log: what one sync made durable.
type batch struct {
	HardState *raft.HardState `cbor:"1,keyasint,omitempty"`
	Entries   []raft.Entry    `cbor:"2,keyasint,omitempty"`
}

// Store is an open data folder. It is used by one goroutine.
type Store struct {
	Identity Identity

	folder   string
	lock     *os.File
	log      *os.File
	logBytes int64
	buffer   []byte
	failed   bool // a write failed; what the log holds is not known
}

// Init writes the identity of a new replica into an empty data folder.
func Init(folder string, identity Identity) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return merry.Prepend(err, "make the data folder")
	}
	if _, err := os.Stat(filepath.Join(folder, identityFile)); err == nil {
		return ErrHasIdentity
	}
	// A snapshot or log without an identity is left over from an erased replica.
	if err := Erase(folder); err != nil {
		return err
	}
	payload, err := cbor.Marshal(identity)
	if err != nil {
		return merry.Prepend(err, "encode the identity")
	}
	return replaceFile(folder, identityFile, appendRecord(nil, payload))
}

// Erase removes the replica from a folder that no store has open. The identity
// goes first, so that nothing left over is ever taken for the replica's.
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

// Open locks the folder and returns the state that was durable in it.
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
	if err := s.takeLock(); err != nil {
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
	return decodeWhole(data, identityFile, &s.Identity)
}

// decodeWhole decodes a file that is one record.
func decodeWhole(data []byte, name string, into any) error {
	payload, used, err := nextRecord(data)
	if err != nil || used != len(data) {
		return merry.Prepend(ErrDamaged, name)
	}
	if err := cbor.Unmarshal(payload, into); err != nil {
		return merry.Prependf(ErrDamaged, "%s: %v", name, err)
	}
	return nil
}

func (s *Store) readSnapshot(into *raft.Snapshot) error {
	data, err := os.ReadFile(filepath.Join(s.folder, snapshotFile))
	if errors.Is(err, fs.ErrNotExist) {
		if s.Identity.Members != nil {
			into.Index = 1
			into.Term = 1
			into.Members = s.Identity.Members.Clone()
		}
		return nil
	}
	if err != nil {
		return merry.Prepend(err, "read the snapshot")
	}
	return decodeWhole(data, snapshotFile, into)
}

func (s *Store) readLog(restored *raft.Restored) error {
	path := filepath.Join(s.folder, logFile)
	data, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return merry.Prepend(err, "read the log")
	}
	good, err := decodeLog(data, restored)
	if err != nil {
		return err
	}
	s.log, err = os.OpenFile(path, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return merry.Prepend(err, "open the log")
	}
	if err := s.log.Truncate(good); err != nil {
		return merry.Prepend(err, "cut the torn tail of the log")
	}
	if _, err := s.log.Seek(good, 0); err != nil {
		return merry.Prepend(err, "seek in the log")
	}
	s.logBytes = good
	if err := s.log.Sync(); err != nil {
		return merry.Prepend(err, "sync the log")
	}
	return syncFolder(s.folder)
}

// decodeLog reads the records of a log and returns the bytes up to a torn tail.
func decodeLog(data []byte, restored *raft.Restored) (int64, error) {
	var entries []raft.Entry
	good := 0
	for good < len(data) {
		payload, used, err := nextRecord(data[good:])
		if errors.Is(err, errTorn) {
			break
		}
		// Each record is synced before the next one is written, so only the last can
		// have parts that never reached the disk.
		if err != nil && !holdsRecord(data[good+1:]) {
			break
		}
		if err != nil {
			return 0, merry.Prependf(err, "log at byte %d", good)
		}
		var b batch
		if err := cbor.Unmarshal(payload, &b); err != nil {
			return 0, merry.Prependf(ErrDamaged, "log at byte %d: %v", good, err)
		}
		if b.HardState != nil {
			restored.HardState = *b.HardState
		}
		if entries, err = mergeEntries(entries, b.Entries); err != nil {
			return 0, merry.Prependf(err, "log at byte %d", good)
		}
		good += used
	}
	restored.Entries = afterSnapshot(entries, restored.Snapshot)
	return int64(good), nil
}

// mergeEntries appends added to entries, replacing those from the first added
// index on.
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

// afterSnapshot returns the entries that continue the snapshot.
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

// LogBytes returns the present size of the log file.
func (s *Store) LogBytes() int64 { return s.logBytes }

// Append makes the hard state (when not nil) and the entries durable.
func (s *Store) Append(hard *raft.HardState, entries []raft.Entry) error {
	if hard == nil && len(entries) == 0 {
		return nil
	}
	payload, err := cbor.Marshal(batch{
		HardState: hard,
		Entries:   entries,
	})
	if err != nil {
		return merry.Prepend(err, "encode a log record")
	}
	s.buffer = appendRecord(s.buffer[:0], payload)
	return s.write(s.buffer)
}

// write makes a record durable. After an error nobody knows what of it is on the
// disk: another record behind it would pass for damage, so there is none.
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

// SaveSnapshot makes the snapshot durable and replaces the log by the hard
// state and the entries that follow the snapshot.
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
	payload, err = cbor.Marshal(batch{
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

// LoadSnapshot reads the newest durable snapshot with its data.
func (s *Store) LoadSnapshot() (raft.Snapshot, error) {
	var snapshot raft.Snapshot
	err := s.readSnapshot(&snapshot)
	return snapshot, err
}

// Close releases the folder.
func (s *Store) Close() {
	if s.log != nil {
		s.log.Close()
	}
	if s.lock != nil {
		s.lock.Close()
	}
}
