// Package golden compares the output of a test with a file under testdata. With the
// environment variable BAOBABPADDLE_GOLDEN=write, Check writes the file instead.
package golden

import (
	"os"
	"path/filepath"
	"testing"
)

// Check fails the test if got differs from the content of testdata/name.golden.
func Check(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name+".golden")
	if os.Getenv("BAOBABPADDLE_GOLDEN") == "write" {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s differs\ngot:\n%s\nwant:\n%s", path, got, want)
	}
}
