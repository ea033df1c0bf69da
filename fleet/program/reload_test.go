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

type testSettings struct {
	Name string `json:"name"`
}

// Check implements settings.Checker.
func (*testSettings) Check() error { return nil }

// TestHangupBeforeSettings sends SIGHUP before the settings are read, which must not
// end the process, and again after they have changed, which must reload them.
func TestHangupBeforeSettings(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.json")
	is.NoErr(os.WriteFile(path, []byte(`{"name":"old"}`), 0o600))
	CatchHangups()
	hangup := func() { is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP)) }
	hangup()
	err := RunWithReload(path, func(_ context.Context, s testSettings, changes <-chan testSettings) error {
		is.Equal(s.Name, "old")
		is.NoErr(os.WriteFile(path, []byte(`{"name":"new"}`), 0o600))
		hangup()
		select {
		case changed := <-changes:
			is.Equal(changed.Name, "new")
		case <-time.After(10 * time.Second):
			is.Fail() // the settings were not reloaded
		}
		return nil
	})
	is.NoErr(err)
}
