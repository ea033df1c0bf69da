package disk

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/ansel1/merry/v2"
)

// headerBytes is the size of a record's header: the payload's length, the
// payload's checksum and the checksum of those two, four bytes each.
const headerBytes = 12

// MaxRecordBytes is the largest payload of one record.
const MaxRecordBytes = 256 << 20

// Errors of reading records.
var (
	// ErrDamaged tells that bytes which were once synced do not match their checksum.
	ErrDamaged = merry.Sentinel("the file is damaged")
	errTorn    = merry.Sentinel("torn record")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendRecord appends one record with the payload to dst and returns it.
func appendRecord(dst, payload []byte) []byte {
	var header [headerBytes]byte
	binary.LittleEndian.PutUint32(header[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(header[4:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(header[8:], crc32.Checksum(header[:8], castagnoli))
	dst = append(dst, header[:]...)
	return append(dst, payload...)
}

// nextRecord returns the first payload in data and the bytes it took. errTorn
// is returned for a record that was cut off by the end of data, ErrDamaged for
// any other mismatch.
func nextRecord(data []byte) ([]byte, int, error) {
	if len(data) < headerBytes {
		return nil, 0, errTorn
	}
	if !wholeHeader(data) {
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

// holdsRecord reports whether a whole record begins anywhere in data.
func holdsRecord(data []byte) bool {
	for ; len(data) >= headerBytes; data = data[1:] {
		if !wholeHeader(data) {
			continue
		}
		if _, _, err := nextRecord(data); err == nil {
			return true
		}
	}
	return false
}

// wholeHeader reports whether the header at the start of data is undamaged.
func wholeHeader(data []byte) bool {
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
