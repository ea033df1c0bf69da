// Package rig starts the project's programs on loopback addresses beside stand-ins of clients,
// upstreams and the platform, and plays one case. It is built as a program by go test -c, which exits
// with 1 if the rule of the case was broken, with 0 if it held and with 2 if the case couldn't run.
package rig

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// maxTime is the longest time of a run.
const maxTime = 115 * time.Second

// cases are the cases by name. Each reports whether the rule held.
var cases = map[string]func(c *run) (held bool, err error){
	"order":   orderCase,
	"weights": weightsCase,
	"crashes": crashesCase,
	"cut":     cutCase,
	"crasher": crasherCase,
	"backoff": backoffCase,
}

// run is one run of a case.
type run struct {
	root    string
	work    string
	record  *record
	trouble bool

	mu    sync.Mutex
	fleet *fleet
}

// TestMain plays the case that the arguments name.
func TestMain(*testing.M) {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE REPOSITORY FOLDER")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

// play runs a case and returns the exit status.
func play(playCase func(*run) (bool, error), root, folder string) int {
	work, err := os.MkdirTemp("", "rig")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(work)
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	c := &run{
		root:    root,
		work:    work,
		record:  r,
		trouble: os.Getenv("TROUBLE") != "0",
	}
	defer c.stopFleet()
	type result struct {
		held bool
		err  error
	}
	ended := make(chan result, 1)
	go func() {
		held, err := playCase(c)
		ended <- result{
			held: held,
			err:  err,
		}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	select {
	case <-signals:
		return 2
	case <-time.After(maxTime):
		r.result("the case couldn't run: it took too long")
		return 2
	case e := <-ended:
		switch {
		case e.err != nil:
			r.result("the case couldn't run: %v", e.err)
			return 2
		case !e.held:
			r.result("the rule was broken")
			return 1
		}
		r.result("the rule held")
		return 0
	}
}

// setFleet records the fleet, which may have been started in part.
func (c *run) setFleet(f *fleet) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fleet = f
}

// stopFleet ends all processes that the run started.
func (c *run) stopFleet() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fleet != nil {
		c.fleet.stop()
	}
}
