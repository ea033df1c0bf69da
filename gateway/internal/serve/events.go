package serve

import "bytes"

// eventScanner cuts a stream of server-sent events into whole events.
type eventScanner struct {
	partial []byte
	// lastID is the identifier of the last whole event; empty when there is none.
	lastID []byte
}

// next takes bytes that have arrived and returns the whole events among what is
// known. The result is valid until the next call.
func (s *eventScanner) next(data []byte) []byte {
	if len(s.partial) > 0 {
		s.partial = append(s.partial, data...)
		data = s.partial
	}
	end := bytes.LastIndex(data, []byte("\n\n"))
	if end < 0 {
		if len(s.partial) == 0 {
			s.partial = append(s.partial[:0], data...)
		}
		return nil
	}
	end += 2
	whole, rest := data[:end], data[end:]
	s.recordLastID(whole)
	if len(rest) == 0 {
		s.partial = s.partial[:0]
		return whole
	}
	// The whole events may share memory with what is kept, so that is copied.
	s.partial = append([]byte(nil), rest...)
	return whole
}

// recordLastID remembers the identifier of the last event.
func (s *eventScanner) recordLastID(whole []byte) {
	at := bytes.LastIndex(whole, []byte("id:"))
	for at > 0 && whole[at-1] != '\n' {
		at = bytes.LastIndex(whole[:at], []byte("id:"))
	}
	if at < 0 {
		return
	}
	line := whole[at+len("id:"):]
	if i := bytes.IndexByte(line, '\n'); i >= 0 {
		line = line[:i]
	}
	s.lastID = append(s.lastID[:0], bytes.TrimSpace(line)...)
}

// partialSize returns how many bytes of an event have arrived without its end.
func (s *eventScanner) partialSize() int { return len(s.partial) }

// incomplete reports whether part of an event has arrived without its end.
func (s *eventScanner) incomplete() bool { return len(s.partial) > 0 }

// dropPartial drops a torn event, before the stream goes on elsewhere.
func (s *eventScanner) dropPartial() { s.partial = nil }
