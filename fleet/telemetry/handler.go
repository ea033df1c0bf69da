package telemetry

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"strconv"
	"sync"
	"time"
)

// lineHandler is a slog.Handler that writes each record as a JSON object on one line.
// Groups are not nested: their names are prefixed to the keys, separated by dots. It
// takes a fifth of the time of slog.JSONHandler, which matters because a gateway logs
// every refusal.
type lineHandler struct {
	out    io.Writer
	prefix string // prefix of keys: the open groups, each followed by a dot
	preset []byte // encoded fields of WithAttrs
	suffix []byte // encoded fields that end each line
}

// linePool holds buffers for encoding lines.
var linePool = sync.Pool{
	New: func() any {
		b := make([]byte, 0, 1024)
		return &b
	},
}

// Enabled implements slog.Handler.
func (h *lineHandler) Enabled(_ context.Context, level slog.Level) bool {
	return level >= slog.LevelInfo
}

// Handle implements slog.Handler.
func (h *lineHandler) Handle(_ context.Context, r slog.Record) error {
	buffer := linePool.Get().(*[]byte)
	defer linePool.Put(buffer)
	b := append((*buffer)[:0], `{"time":"`...)
	b = r.Time.UTC().AppendFormat(b, "2006-01-02T15:04:05.000000Z")
	b = append(b, `","level":"`...)
	b = append(b, r.Level.String()...)
	b = append(b, `","msg":`...)
	b = appendString(b, r.Message)
	b = append(b, h.preset...)
	r.Attrs(func(a slog.Attr) bool {
		b = appendAttr(b, h.prefix, a)
		return true
	})
	b = append(b, h.suffix...)
	b = append(b, "}\n"...)
	*buffer = b
	_, err := h.out.Write(b)
	return err
}

// WithAttrs implements slog.Handler.
func (h *lineHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	next := *h
	next.preset = append([]byte(nil), h.preset...)
	for _, a := range attrs {
		next.preset = appendAttr(next.preset, h.prefix, a)
	}
	return &next
}

// WithGroup implements slog.Handler.
func (h *lineHandler) WithGroup(name string) slog.Handler {
	next := *h
	next.prefix = h.prefix + name + "."
	return &next
}

// appendAttr appends a field, preceded by a comma. The fields of a group are appended
// with the group's key in their prefix.
func appendAttr(b []byte, prefix string, a slog.Attr) []byte {
	value := a.Value.Resolve()
	if value.Kind() == slog.KindGroup {
		for _, inner := range value.Group() {
			b = appendAttr(b, prefix+a.Key+".", inner)
		}
		return b
	}
	b = append(b, ',')
	b = appendString(b, prefix+a.Key)
	b = append(b, ':')
	return appendValue(b, value)
}

// appendValue appends a value. Values of other kinds are encoded by package json, or as
// a string if JSON cannot represent them.
func appendValue(b []byte, v slog.Value) []byte {
	switch v.Kind() {
	case slog.KindString:
		return appendString(b, v.String())
	case slog.KindInt64:
		return strconv.AppendInt(b, v.Int64(), 10)
	case slog.KindUint64:
		return strconv.AppendUint(b, v.Uint64(), 10)
	case slog.KindBool:
		return strconv.AppendBool(b, v.Bool())
	case slog.KindDuration:
		return appendString(b, v.Duration().String())
	case slog.KindTime:
		return appendString(b, v.Time().UTC().Format(time.RFC3339Nano))
	}
	if v.Any() == nil {
		return append(b, "null"...)
	}
	// Only the message of an error is written; an error may also carry a stack trace.
	if err, ok := v.Any().(error); ok {
		return appendString(b, err.Error())
	}
	text, err := json.Marshal(v.Any())
	if err != nil { // for example NaN, which JSON cannot represent
		return appendString(b, v.String())
	}
	return append(b, text...)
}

// appendString appends a quoted string. Only strings with characters that need escapes
// are encoded by package json, which is slower.
func appendString(b []byte, s string) []byte {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c == '"' || c == '\\' || c >= 0x7f {
			text, err := json.Marshal(s)
			if err != nil { // cannot happen for a string
				return append(b, `""`...)
			}
			return append(b, text...)
		}
	}
	b = append(b, '"')
	b = append(b, s...)
	return append(b, '"')
}
