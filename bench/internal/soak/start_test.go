package soak

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startProcesses starts the processes of a run without faults, for a test that injects its
// own. They are stopped when the test ends; the context ends after a minute.
func startProcesses(t *testing.T, o Options) (*Soak, context.Context) {
	t.Helper()
	o.Bin = os.Getenv("BAOBABPADDLE_BIN")
	if o.Bin == "" {
		t.Skip("BAOBABPADDLE_BIN names no folder with the programs; make test sets it")
	}
	o.WorkFolder = filepath.Join(t.TempDir(), "soak")
	is := is.New(t)
	s, err := prepare(o)
	is.NoErr(err)
	t.Cleanup(func() { s.faultLog.Close() })
	t.Cleanup(func() { s.logControllers(t) })
	t.Cleanup(s.stopFleet)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	is.NoErr(s.start(ctx))
	return s, ctx
}

// maxLoggedLines bounds the lines of each controller that a failed test shows, maxLoggedLine the
// length of each in bytes.
const (
	maxLoggedLines = 40
	maxLoggedLine  = 400
)

// logControllers shows the last warnings, changes of roles and quarantined subjects in the logs of
// the controllers of a test that has failed. Their folders are removed with it.
func (s *Soak) logControllers(t *testing.T) {
	t.Helper()
	if !t.Failed() {
		return
	}
	for _, c := range s.fleet.controllers {
		data, err := os.ReadFile(filepath.Join(s.options.WorkFolder, c.name+".log"))
		if err != nil {
			t.Log(err)
			continue
		}
		lines := slices.DeleteFunc(strings.Split(string(data), "\n"), func(line string) bool {
			return !strings.Contains(line, `"level":"WARN"`) && !strings.Contains(line, `"level":"ERROR"`) &&
				!strings.Contains(line, "role changed") && !strings.Contains(line, "from quarantine") && !strings.Contains(line, "controller started")
		})
		for _, line := range lines[max(0, len(lines)-maxLoggedLines):] {
			t.Log(line[:min(len(line), maxLoggedLine)])
		}
	}
}
