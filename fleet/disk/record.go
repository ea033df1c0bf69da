package disk

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/ansel1/merry/v2"
)

// headerBytes is the size of a record's header, three little-endian 32-bit words:
// the payload's length, the payload's CRC-32C and the CRC-32C of those two words.
const headerBytes = 12

// MaxRecordBytes is the largest payload of one record that is read back.
const MaxRecordBytes = 256 << 20

// Errors of reading records.
var (
	// ErrDamaged is returned when data that was synced does not match its checksum
	// or does not decode.
	ErrDamaged = merry.Sentinel("the file is damaged")
	// errTorn is returned for a last record that was not written completely.
	errTorn = merry.Sentinel("torn record")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendRecord appends one record with the payload to dst and returns the extended
// slice.
func appendRecord(dst, payload []byte) []byte {
	var header [headerBytes]byte
	binary.LittleEndian.PutUint32(header[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(header[4:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(header[8:], crc32.Checksum(header[:8], castagnoli))
	dst = append(dst, header[:]...)
	return append(dst, payload...)
}

// nextRecord returns the payload of the record at the start of data and the size
// of that record in bytes. It returns errTorn when the record may be an incomplete
// last write: it runs past the end of data, its checksum fails and it ends exactly
// at the end, or its header is damaged and data is all zeros, as in a file that was
// extended before its content was written. Any other mismatch is ErrDamaged.
func nextRecord(data []byte) ([]byte, int, error) {
	if len(data) < headerBytes {
		return nil, 0, errTorn
	}
	if !validHeader(data) {
		if allZero(data) {
			return nil, 0, errTorn
		}
		return nil, 0, ErrDamaged
	}
	size := int(binary.LittleEndian.Uint32(data[0:]))
	if size > MaxRecordBytes {
		return nil, 0, ErrDamaged
	}
	end := headerBytes + size
	if end > len(data) {
		return nil, 0, errTorn
	}
	payload := data[headerBytes:end]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(data[4:]) {
		if end == len(data) {
			return nil, 0, errTorn
		}
		return nil, 0, ErrDamaged
	}
	return payload, end, nil
}

// containsRecord reports whether a valid record begins at any offset of data.
func containsRecord(data []byte) bool {
	for ; len(data) >= headerBytes; data = data[1:] {
		if !validHeader(data) {
			continue
		}
		if _, _, err := nextRecord(data); err == nil {
			return true
		}
	}
	return false
}

// validHeader reports whether the header at the start of data matches its checksum.
func validHeader(data []byte) bool {
	return crc32.Checksum(data[:8], castagnoli) == binary.LittleEndian.Uint32(data[8:])
}

func allZero(data []byte) bool {
	for _, b := range data {
		if b != 0 {
			return false
		}
	}
	return true
}
