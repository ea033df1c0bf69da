package settings

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"baobabpaddle/fleet/internal/golden"
)

// sample is a settings type with a nested field.
type sample struct {
	Name  string `json:"name"`
	Count int    `json:"count"`
	Inner struct {
		Listen string `json:"listen"`
	} `json:"inner"`
}

// Check implements Checker.
func (s *sample) Check() error {
	if err := NotEmpty("name", s.Name); err != nil {
		return err
	}
	if err := Between("count", s.Count, 0, 10); err != nil {
		return err
	}
	if s.Inner.Listen != "" {
		return Address("inner.listen", s.Inner.Listen)
	}
	return nil
}

// TestErrors compares the errors for valid and invalid files with a golden file.
func TestErrors(t *testing.T) {
	var out strings.Builder
	for _, text := range []string{
		"{\n  // a comment\n  \"name\": \"a\", // trailing\n}",
		"",
		"{\n  \"name\": \"a\",\n  \"colour\": 1\n}",
		"{\n  \"name\": 5\n}",
		"{\n  \"count\": 3\n}",
		"{\n  \"name\": \"a\",\n  \"count\": 11\n}",
		"{\n  \"name\": \"a\",\n  \"inner\": {\n    \"listen\": \"localhost:1\"\n  }\n}",
		"{\n  \"name\": \"a\"\n} {}",
		"{\n  \"name\": \"a\n}",
	} {
		var s sample
		fmt.Fprintf(&out, "%q\n  %v\n", text, Parse([]byte(text), &s))
	}
	golden.Check(t, "errors", out.String())
}

// FuzzParse checks that accepted settings pass their own check and that every error
// wraps ErrInvalid.
func FuzzParse(f *testing.F) {
	f.Add([]byte("{\"name\": \"a\", // x\n\"count\": 1}"))
	f.Add([]byte("{\"inner\": {\"listen\": \"127.0.0.1:1\"}}"))
	f.Add([]byte("[1e999]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var s sample
		if err := Parse(data, &s); err == nil && s.Check() != nil {
			t.Fatal("Parse accepted settings that fail their check")
		} else if err != nil && !errors.Is(err, ErrInvalid) {
			t.Fatalf("the error does not wrap ErrInvalid: %v", err)
		}
	})
}
