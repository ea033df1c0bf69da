package serve

import (
	"bytes"
	"strconv"
)

// eventScanner splits a stream of server-sent events into complete events.
type eventScanner struct {
	// partial is the beginning of an event whose end has not arrived.
	partial []byte
	// lastID is the identifier of the last complete event that has one; empty if none has.
	lastID []byte
}

// next takes data that has arrived and returns the complete events received so far that
// were not returned yet. The result is valid until the next call.
func (s *eventScanner) next(data []byte) []byte {
	if len(s.partial) > 0 {
		s.partial = append(s.partial, data...)
		data = s.partial
	}
	end := bytes.LastIndex(data, []byte("\n\n"))
	if end < 0 {
		if len(s.partial) == 0 { // otherwise data is partial already
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
	// The returned events may share memory with partial, so the rest is copied.
	s.partial = append([]byte(nil), rest...)
	return whole
}

// recordLastID records the last identifier among complete events.
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

// partialSize returns the number of bytes received of an incomplete event.
func (s *eventScanner) partialSize() int { return len(s.partial) }

// incomplete reports whether a part of an event has arrived without its end.
func (s *eventScanner) incomplete() bool { return len(s.partial) > 0 }

// dropPartial drops an incomplete event before another upstream resumes the stream.
func (s *eventScanner) dropPartial() { s.partial = nil }

// firstID returns the identifier of the first of some complete events, which is empty if it
// has none. Without any event, such as in comments, found is false.
func firstID(whole []byte) (id string, found bool) {
	for event := range bytes.SplitSeq(whole, []byte("\n\n")) {
		for line := range bytes.SplitSeq(event, []byte("\n")) {
			if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
				return string(bytes.TrimSpace(value)), true
			}
			found = found || len(line) > 0 && line[0] != ':'
		}
		if found {
			return "", true
		}
	}
	return "", false
}

// follows reports whether an event with the identifier id may come after the one with the
// identifier last. Identifiers that are numbers increase.
func follows(id, last string) bool {
	number, errID := strconv.ParseUint(id, 10, 64)
	lastNumber, errLast := strconv.ParseUint(last, 10, 64)
	if errID == nil && errLast == nil {
		return number > lastNumber
	}
	return id != "" && id != last
}
