package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/ansel1/merry/v2"
)

// maxLineBytes is the longest line that is read.
const maxLineBytes = 1 << 20

// Line is one line of a process's log.
type Line struct {
	Time    time.Time
	Process string
	Message string
	// Request is empty for lines that are about no request.
	Request string
	// Fields are all others, by key.
	Fields map[string]any
}

// Text returns a field's text; empty when there is none.
func (l Line) Text(key string) string {
	s, _ := l.Fields[key].(string)
	return s
}

// Number returns a field's number; zero when there is none.
func (l Line) Number(key string) float64 {
	n, _ := l.Fields[key].(float64)
	return n
}

// Read returns the lines of a log in their order. Whatever stands before a line's
// object is skipped, since collectors add prefixes of their own; lines that hold no
// object of ours are left out.
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

func parseLine(text []byte) (Line, bool) {
	var fields map[string]any
	if json.Unmarshal(text, &fields) != nil {
		return Line{}, false // cut off, or of another program
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
