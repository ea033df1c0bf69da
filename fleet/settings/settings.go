// Package settings reads settings files: JSON with comments and trailing commas.
// Load decodes a file and checks every field; errors name the field and, where it
// can be found, its line. Unknown fields are refused.
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

// MaxFileBytes is the largest size of a settings file in bytes.
const MaxFileBytes = 16 << 20

// ErrInvalid is wrapped by every error about the content of a settings file.
var ErrInvalid = merry.Sentinel("invalid settings")

// Checker is implemented by settings that check their own fields.
type Checker interface {
	// Check returns an error for the first invalid field. Its text should begin with
	// the field's name and a colon, from which Parse finds the line.
	Check() error
}

// Load decodes the file at path into v, checks v and returns the file's content.
// Errors about the content wrap ErrInvalid.
func Load(path string, v Checker) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, merry.Prepend(err, "settings")
	}
	if info.Size() > MaxFileBytes {
		return nil, merry.Prependf(ErrInvalid, "%s: want at most %d bytes", path, MaxFileBytes)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, merry.Prepend(err, "settings")
	}
	return data, merry.Prepend(Parse(data, v), path)
}

// Parse decodes JSON with comments into v and checks v. Errors wrap ErrInvalid and
// name the line of the field if it can be found.
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

// Decode decodes JSON with comments into v without checking v. Unknown fields and
// data after the value are refused with ErrInvalid.
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

// unknownField matches the error of encoding/json about an unknown field, which has
// no type of its own.
var unknownField = regexp.MustCompile(`unknown field "(.*)"`)

// locate returns an error of the JSON decoder with the line that it concerns, where
// that is known, wrapping ErrInvalid.
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

// lineOfField returns the first line on which the last part of a dotted field name
// occurs as a key, or zero if there is none.
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
		return merry.Errorf("%s: want at least one IP address and port", field)
	}
	for _, v := range values {
		if err := Address(field, v); err != nil {
			return err
		}
	}
	return nil
}

// NotEmpty checks that the field is not empty.
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

// FirstError returns the first error that is not nil, or nil.
func FirstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
