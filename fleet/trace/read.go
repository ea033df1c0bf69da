package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/ansel1/merry/v2"
)

// maxLineBytes is the maximum length of a line that Read accepts.
const maxLineBytes = 1 << 20

// Line is one line of a process's log.
type Line struct {
	Time    time.Time
	Process string
	Message string
	// Request is the identifier of the request; empty if the line is not about one.
	Request string
	// Fields holds all other fields by key, as package json decodes them.
	Fields map[string]any
}

// Text returns the value of a string field; empty if there is none.
func (l Line) Text(key string) string {
	s, _ := l.Fields[key].(string)
	return s
}

// Number returns the value of a numeric field; zero if there is none.
func (l Line) Number(key string) float64 {
	n, _ := l.Fields[key].(float64)
	return n
}

// Read returns the lines of a log in order. It skips whatever precedes the JSON object
// of a line, because log collectors add prefixes, and ignores lines without an object in
// the fleet's format. It returns an error for a line longer than 1 MiB.
func Read(r io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	var out []Line
	for scanner.Scan() {
		text := scanner.Bytes()
		at := bytes.Index(text, []byte(`{"time":"`))
		if at < 0 {
			continue
		}
		if line, ok := parseLine(text[at:]); ok {
			out = append(out, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, merry.Prepend(err, "read the log")
	}
	return out, nil
}

// parseLine decodes a line's object. It returns false if the object is incomplete, or
// has no valid time or no message.
func parseLine(text []byte) (Line, bool) {
	var fields map[string]any
	if json.Unmarshal(text, &fields) != nil {
		return Line{}, false // truncated, or written by another program
	}
	line := Line{
		Fields: fields,
	}
	line.Process = line.Text("process")
	line.Message = line.Text("msg")
	line.Request = line.Text(KeyRequest)
	var err error
	if line.Time, err = time.Parse(time.RFC3339Nano, line.Text("time")); err != nil {
		return Line{}, false
	}
	for _, key := range []string{"time", "level", "process", "msg", KeyRequest} {
		delete(fields, key)
	}
	return line, line.Message != ""
}
