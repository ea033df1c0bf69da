// Package settings reads settings files: JSON with comments, every field
// checked, unknown fields refused with their line.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/netip"
	"os"
	"regexp"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/tailscale/hujson"
)

// MaxFileBytes is the largest settings file.
const MaxFileBytes = 16 << 20

// ErrInvalid is wrapped by every error about a file's content.
var ErrInvalid = merry.Sentinel("invalid settings")

// Checker is implemented by settings that check their own fields. An error
// should begin with the name of the field and a colon.
type Checker interface {
	Check() error
}

// Load reads the file at path into v and returns its content.
func Load(path string, v Checker) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, merry.Prepend(err, "settings")
	}
	if info.Size() > MaxFileBytes {
		return nil, merry.Prependf(ErrInvalid, "%s: over %d bytes", path, MaxFileBytes)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, merry.Prepend(err, "settings")
	}
	return data, merry.Prepend(Parse(data, v), path)
}

// Parse reads JSON with comments into v and checks it.
func Parse(data []byte, v Checker) error {
	if err := Decode(data, v); err != nil {
		return err
	}
	if err := v.Check(); err != nil {
		field, _, _ := strings.Cut(err.Error(), ":")
		if line := lineOfField(data, field); line > 0 {
			return merry.Prependf(ErrInvalid, "line %d: %v", line, err)
		}
		return merry.Prependf(ErrInvalid, "%v", err)
	}
	return nil
}

// Decode reads JSON with comments into v without checking its fields. Unknown
// fields and anything after the value are refused.
func Decode(data []byte, v any) error {
	standard, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return merry.Prependf(ErrInvalid, "%v", err)
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return locate(data, err)
	}
	return nil
}

var unknownField = regexp.MustCompile(`unknown field "(.*)"`)

// locate adds the line to an error of the JSON decoder.
func locate(data []byte, err error) error {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		line := 1 + bytes.Count(data[:min(int(typeError.Offset), len(data))], []byte("\n"))
		return merry.Prependf(ErrInvalid, "line %d: %s: want %s, not %s", line, typeError.Field, typeError.Type, typeError.Value)
	}
	if m := unknownField.FindStringSubmatch(err.Error()); m != nil {
		return merry.Prependf(ErrInvalid, "line %d: unknown field %q", lineOfField(data, m[1]), m[1])
	}
	return merry.Prependf(ErrInvalid, "%v", err)
}

// lineOfField returns the line where the last part of a dotted field name
// stands as a key, or zero.
func lineOfField(data []byte, field string) int {
	name := field[strings.LastIndex(field, ".")+1:]
	at := regexp.MustCompile(`"` + regexp.QuoteMeta(name) + `"\s*:`).FindIndex(data)
	if at == nil || name == "" {
		return 0
	}
	return 1 + bytes.Count(data[:at[0]], []byte("\n"))
}

// Address checks that the field holds an IP address with a port.
func Address(field, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return merry.Errorf("%s: %q is no IP address and port", field, value)
	}
	return nil
}

// OptionalAddress checks that the field is empty or holds an IP address with a
// port.
func OptionalAddress(field, value string) error {
	if value == "" {
		return nil
	}
	return Address(field, value)
}

// OptionalLoopback checks that the field is empty or holds a loopback address
// with a port.
func OptionalLoopback(field, value string) error {
	if value == "" {
		return nil
	}
	if a, err := netip.ParseAddrPort(value); err != nil || !a.Addr().IsLoopback() {
		return merry.Errorf("%s: %q is no loopback address and port", field, value)
	}
	return nil
}

// Addresses checks that the field holds at least one IP address with a port.
func Addresses(field string, values []string) error {
	if len(values) == 0 {
		return merry.Errorf("%s: want at least one", field)
	}
	for _, v := range values {
		if err := Address(field, v); err != nil {
			return err
		}
	}
	return nil
}

// NotEmpty checks that the field holds text.
func NotEmpty(field, value string) error {
	if value == "" {
		return merry.Errorf("%s: must not be empty", field)
	}
	return nil
}

// Between checks that the field holds a number from low to high.
func Between(field string, value, low, high int) error {
	if value < low || value > high {
		return merry.Errorf("%s: want %d to %d, not %d", field, low, high, value)
	}
	return nil
}

// FirstError returns the first error that is not nil.
func FirstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
