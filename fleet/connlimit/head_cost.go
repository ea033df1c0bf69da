package connlimit

import "bytes"

const (
	// freeHeadBytes and freeFields are the size of a head and its number of fields up to which
	// it costs nothing: the buffers of every connection allow for it.
	freeHeadBytes = 4 << 10
	freeFields    = 64
	// fieldBytes is the memory that a field takes beside its text: an entry of a map of
	// strings to lists, which doubles while it grows.
	fieldBytes = 300
	// textCopies is how often the text of a head is held: as fields and as what is sent on.
	textCopies = 2
)

// HeadCost estimates the memory that a request's head takes, as its bytes arrive. The zero
// value is that of a head of which nothing has arrived. It is not safe for concurrent use.
type HeadCost struct {
	bytes, fields int
	ended         bool
}

// Add adds bytes that have arrived and returns the memory of the head so far in bytes, zero
// for a small one. Bytes after an empty line are not counted, as far as one call shows it.
func (h *HeadCost) Add(data []byte) int64 {
	if h.ended || len(data) == 0 {
		return h.total()
	}
	if end := bytes.Index(data, []byte("\r\n\r\n")); end >= 0 {
		data, h.ended = data[:end+2], true
	}
	h.bytes += len(data)
	h.fields += bytes.Count(data, []byte{'\n'})
	return h.total()
}

// total returns the memory of the head so far.
func (h *HeadCost) total() int64 {
	if h.bytes <= freeHeadBytes && h.fields <= freeFields {
		return 0
	}
	return int64(textCopies*h.bytes + fieldBytes*h.fields)
}
