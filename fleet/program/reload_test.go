package program

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

type someSettings struct {
	Name string `json:"name"`
}

// Check implements settings.Checker.
func (*someSettings) Check() error { return nil }

// TestHangupBeforeSettings sends the signal before the settings are read, and changes
// them later: the process lives on, and reads them again at the next signal.
func TestHangupBeforeSettings(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.json")
	is.NoErr(os.WriteFile(path, []byte(`{"name":"old"}`), 0o600))
	CatchHangups()
	hangup := func() { is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP)) }
	hangup()
	err := RunWithReload(path, func(_ context.Context, s someSettings, changes <-chan someSettings) error {
		is.Equal(s.Name, "old")
		is.NoErr(os.WriteFile(path, []byte(`{"name":"new"}`), 0o600))
		hangup()
		select {
		case changed := <-changes:
			is.Equal(changed.Name, "new")
		case <-time.After(10 * time.Second):
			is.Fail() // not read again
		}
		return nil
	})
	is.NoErr(err)
}
