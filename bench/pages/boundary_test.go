package pages

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// platformNames matches headers, calls and fields of the platform's interface, which only
// the folder platform/ may use.
var platformNames = regexp.MustCompile(`Baobabpaddle-|Config\.(Replace|Read)|X-Api-Key|BAOBABPADDLE_SETTINGS|` +
	`Last-Event-Id|/instances|PageToken|StableWindow|CatchUpS|ColdLeftMs|cold_left_ms|KvCapacity|DowngradeMs|` +
	`Expect-Instance|Server-Stamp|Not-Executed|TargetLatencyMs|virtual_ip`)

// TestPlatformNames checks that Go code outside platform/, tests excepted, contains no
// name of the platform's interface.
func TestPlatformNames(t *testing.T) {
	files := 0
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		if d.IsDir() && (relative == "platform" || relative == ".git" || relative == ".tools" || relative == "journal") {
			return filepath.SkipDir
		}
		if d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		files++
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if found := platformNames.Find(data); found != nil {
			t.Errorf("%s contains %q, a name of the platform's interface", relative, found)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if files < 100 {
		t.Errorf("read only %d files, expected at least 100", files)
	}
}
