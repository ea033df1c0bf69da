package membership_test

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"math/rand/v2"
	"os"
	"path/filepath"

	"github.com/fxamacker/cbor/v2"

	"baobabpaddle/fleet/disk"
	"baobabpaddle/fleet/raft"
)

// Files of a data folder, as disk.Store names them.
const (
	identityFile = "identity"
	snapshotFile = "snapshot"
	logFile      = "log"
)

// logRecord has the encoding of the log's records in disk.Store.
type logRecord struct {
	HardState *raft.HardState `cbor:"1,keyasint,omitempty"`
	Entries   []raft.Entry    `cbor:"2,keyasint,omitempty"`
}

// write is one write of a file with the sync that follows it. A nil content removes
// the file.
type write struct {
	file    string
	content []byte
	append  bool
}

// folder is the data folder of a host. What is in files survives a power loss; of the
// writes in flight, which are synced one after the other, any number may have reached
// the disk, and of an append any part.
type folder struct {
	files    map[string][]byte
	inFlight []write
}

// newFolder returns an empty data folder.
func newFolder() *folder {
	return &folder{
		files: make(map[string][]byte),
	}
}

// record returns the encoding of a payload as a record with checksums.
func record(payload any) []byte {
	data, err := cbor.Marshal(payload)
	if err != nil {
		panic(err)
	}
	const headerBytes = 12
	table := crc32.MakeTable(crc32.Castagnoli)
	header := make([]byte, headerBytes, headerBytes+len(data))
	binary.LittleEndian.PutUint32(header[0:], uint32(len(data)))
	binary.LittleEndian.PutUint32(header[4:], crc32.Checksum(data, table))
	binary.LittleEndian.PutUint32(header[8:], crc32.Checksum(header[:8], table))
	return append(header, data...)
}

// initWrites returns the writes of disk.Init.
func initWrites(identity disk.Identity) []write {
	return append(eraseWrites(), write{
		file:    identityFile,
		content: record(identity),
	})
}

// eraseWrites returns the writes of disk.Erase.
func eraseWrites() []write {
	return []write{
		{
			file: identityFile,
		},
		{
			file: snapshotFile,
		},
		{
			file: logFile,
		},
	}
}

// appendWrite returns the write of Store.Append.
func appendWrite(hard raft.HardState, entries []raft.Entry) write {
	return write{
		file: logFile,
		content: record(logRecord{
			HardState: &hard,
			Entries:   entries,
		}),
		append: true,
	}
}

// snapshotWrites returns the writes of Store.SaveSnapshot.
func snapshotWrites(s raft.Snapshot, hard raft.HardState, after []raft.Entry) []write {
	return []write{
		{
			file:    snapshotFile,
			content: record(s),
		},
		{
			file: logFile,
			content: record(logRecord{
				HardState: &hard,
				Entries:   after,
			}),
		},
	}
}

// apply makes a write durable.
func (f *folder) apply(w write) {
	switch {
	case w.content == nil:
		delete(f.files, w.file)
	case w.append:
		f.files[w.file] = append(f.files[w.file], w.content...)
	default:
		f.files[w.file] = append([]byte(nil), w.content...)
	}
}

// sync makes the writes in flight durable.
func (f *folder) sync() {
	for _, w := range f.inFlight {
		f.apply(w)
	}
	f.inFlight = nil
}

// losePower makes a random number of the writes in flight durable and drops the
// others, except for a part of the next one if that is an append.
func (f *folder) losePower(random *rand.Rand) {
	done := random.IntN(len(f.inFlight) + 1)
	rest := f.inFlight[done:]
	f.inFlight = f.inFlight[:done]
	f.sync()
	if len(rest) == 0 || !rest[0].append {
		return
	}
	torn := append([]byte(nil), rest[0].content[:random.IntN(len(rest[0].content))]...)
	if from := random.IntN(len(torn) + 1); random.IntN(2) == 0 {
		clear(torn[from:])
	}
	f.files[logFile] = append(f.files[logFile], torn...)
}

// open opens the folder with disk.Open, by way of real files in a scratch folder.
func (f *folder) open(scratch string) (disk.Identity, raft.Restored, error) {
	for _, name := range []string{identityFile, snapshotFile, logFile} {
		path := filepath.Join(scratch, name)
		if data, ok := f.files[name]; ok {
			if err := os.WriteFile(path, data, 0o600); err != nil {
				return disk.Identity{}, raft.Restored{}, err
			}
		} else if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
			return disk.Identity{}, raft.Restored{}, err
		}
	}
	store, restored, err := disk.Open(scratch)
	if err != nil {
		return disk.Identity{}, raft.Restored{}, err
	}
	defer store.Close()
	f.files[logFile], err = os.ReadFile(filepath.Join(scratch, logFile))
	return store.Identity(), restored, err
}
