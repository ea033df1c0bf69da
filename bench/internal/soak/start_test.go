package soak

import (
	"context"
	"os"
	"path/filepath"
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
	t.Cleanup(s.stopFleet)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	is.NoErr(s.start(ctx))
	return s, ctx
}
