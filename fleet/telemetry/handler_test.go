package telemetry

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLinesAreJSONObjects logs values of every kind, including strings with control
// characters and invalid UTF-8, and decodes the line.
func TestLinesAreJSONObjects(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log := NewLogger(&out, "gateway a")
	hostile := "quote \" slash \\ line\nend \x00 \xff \u2028 é"
	log.Info(hostile, "text", hostile, hostile, 1, "int", -5, "uint", uint64(1<<63), "bool", true,
		"float", 1.5, "nan", math.NaN(), "duration", time.Second, "time", time.Unix(0, 5),
		"error", errors.New("broken"), "nil", nil, "list", []string{"a", "b"},
		slog.Group("inner", "x", 1))
	is.Equal(bytes.Count(out.Bytes(), []byte("\n")), 1)
	var fields map[string]any
	is.NoErr(json.Unmarshal(out.Bytes(), &fields))
	is.Equal(fields["process"], "gateway a")
	is.Equal(fields["level"], "INFO")
	is.Equal(fields["int"], -5.0)
	is.Equal(fields["float"], 1.5)
	is.Equal(fields["nan"], "NaN")
	is.Equal(fields["duration"], "1s")
	is.Equal(fields["error"], "broken")
	is.Equal(fields["nil"], nil)
	is.Equal(fields["inner.x"], 1.0)
	_, err := time.Parse(time.RFC3339Nano, fields["time"].(string))
	is.NoErr(err)
	is.True(fields["text"] != nil)
}

// TestWithAddsFieldsToCopy checks that fields and groups added to a logger do not change
// the original logger.
func TestWithAddsFieldsToCopy(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log := NewLogger(&out, "p")
	log.With("a", 1).WithGroup("g").With("b", 2).Info("m", "c", 3)
	var fields map[string]any
	is.NoErr(json.Unmarshal(out.Bytes(), &fields))
	is.Equal(fields["a"], 1.0)
	is.Equal(fields["g.b"], 2.0)
	is.Equal(fields["g.c"], 3.0)
	out.Reset()
	log.Debug("not written")
	is.Equal(out.Len(), 0)
	log.Info("m")
	is.True(!bytes.Contains(out.Bytes(), []byte(`"a":`)))
}

// TestProcessEndsLine guards against a process name that takes the place of what decides in
// a line that is cut off.
func TestProcessEndsLine(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log := NewLogger(&out, "gateway a")
	log.With("a", 1).WithGroup("g").Warn("m", "c", 3)
	is.True(strings.HasSuffix(out.String(), `"msg":"m","a":1,"g.c":3,"process":"gateway a"}`+"\n"))
}

// BenchmarkLine measures logging a line with five fields.
func BenchmarkLine(b *testing.B) {
	log := NewLogger(io.Discard, "gateway a")
	b.ReportAllocs()
	for range b.N {
		log.Info("request refused", "request", "9c41d07be2a35f68", "status", 429, "reason", "over_share",
			"team", "north", "retry_after_ms", 300)
	}
}
