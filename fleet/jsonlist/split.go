package jsonlist

import (
	"bytes"
	"encoding/json"

	"github.com/ansel1/merry/v2"
)

// ErrNoList is returned by Split for data without a readable list.
var ErrNoList = merry.Sentinel("the data has no readable list")

// searchFactor bounds the bytes that are read to go on behind malformed elements, as a multiple
// of the length of the data.
const searchFactor = 16

// Split returns the elements of the list under a key of a JSON object, and the object with an
// empty list in its place. An empty key stands for a list that is the whole data. Elements that
// are no objects are left out; the others may be malformed. Behind an element whose end can't be
// found, the list goes on with the next object or ends. Split returns ErrNoList if the list or its
// end can't be found.
func Split(data []byte, key string) (elements [][]byte, rest []byte, err error) {
	start := listStart(data, key)
	if start < 0 {
		return nil, nil, ErrNoList
	}
	s := splitter{
		data:   data,
		start:  start,
		budget: searchFactor * len(data),
	}
	at := start
	for {
		at = skipSpace(data, at)
		if at < len(data) && data[at] == ',' {
			at++
			continue
		}
		if rest, ok := s.withoutList(at); ok {
			return elements, rest, nil
		}
		if end, ok := s.objectEnd(at); ok {
			elements = append(elements, data[at:end])
			at = end
			continue
		}
		if at = s.resume(at); at < 0 {
			return nil, nil, ErrNoList
		}
	}
}

// listStart returns the index behind the opening bracket of the list, or -1.
func listStart(data []byte, key string) int {
	at := 0
	if key != "" {
		quoted := []byte(`"` + key + `"`)
		if at = bytes.Index(data, quoted); at < 0 {
			return -1
		}
		at = skipSpace(data, at+len(quoted))
		if at >= len(data) || data[at] != ':' {
			return -1
		}
		at++
	}
	at = skipSpace(data, at)
	if at >= len(data) || data[at] != '[' {
		return -1
	}
	return at + 1
}

// skipSpace returns the index of the first byte from at on that is no white space.
func skipSpace(data []byte, at int) int {
	for at < len(data) && (data[at] == ' ' || data[at] == '\t' || data[at] == '\n' || data[at] == '\r') {
		at++
	}
	return at
}

// splitter reads the list that starts at an index.
type splitter struct {
	data  []byte
	start int
	// budget is the number of bytes that may still be read to go on behind malformed elements.
	budget int
	open   []byte // the open brackets of objectEnd
}

// withoutList returns the data without what is between the start of the list and an index, if
// the list can end there.
func (s *splitter) withoutList(end int) ([]byte, bool) {
	if end >= len(s.data) || s.data[end] != ']' {
		return nil, false
	}
	next := skipSpace(s.data, end+1)
	if next < len(s.data) && s.data[next] != ',' && s.data[next] != '}' {
		return nil, false
	}
	s.budget -= s.start + len(s.data) - end
	rest := append(append(make([]byte, 0, s.start+len(s.data)-end), s.data[:s.start]...), s.data[end:]...)
	return rest, json.Valid(rest)
}

// objectEnd returns the index behind the object at an index, and whether its brackets and strings
// are closed there and a comma or the end of a list follows. The object need not be valid.
// Control characters don't occur in strings, so a string that contains one is not closed.
func (s *splitter) objectEnd(at int) (int, bool) {
	if at >= len(s.data) || s.data[at] != '{' {
		return 0, false
	}
	s.open = s.open[:0]
	inString := false
	for i := at; i < len(s.data); i++ {
		c := s.data[i]
		switch {
		case inString && c == '\\':
			i++
		case inString && c < ' ':
			return i, false
		case c == '"':
			inString = !inString
		case inString:
		case c == '{':
			s.open = append(s.open, '}')
		case c == '[':
			s.open = append(s.open, ']')
		case c == '}' || c == ']':
			if s.open[len(s.open)-1] != c {
				return i, false
			}
			if s.open = s.open[:len(s.open)-1]; len(s.open) == 0 {
				next := skipSpace(s.data, i+1)
				return i + 1, next < len(s.data) && (s.data[next] == ',' || s.data[next] == ']')
			}
		}
	}
	return len(s.data), false
}

// resume returns the index, behind at, of the next valid object behind a comma, or of the end of
// the list. It returns -1 if there is neither.
func (s *splitter) resume(at int) int {
	afterComma := false
	for i := at + 1; i < len(s.data) && s.budget > 0; i++ {
		switch c := s.data[i]; {
		case c == '{' && afterComma:
			end, ok := s.objectEnd(i)
			s.budget -= end - i
			if ok && json.Valid(s.data[i:end]) {
				return i
			}
		case c == ']':
			if _, ok := s.withoutList(i); ok {
				return i
			}
		}
		if c := s.data[i]; c == ',' || skipSpace(s.data, i) == i {
			afterComma = c == ','
		}
	}
	return -1
}
