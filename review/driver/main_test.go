package driver

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// runLimit ends a case that takes too long.
const runLimit = 110 * time.Second

// caseFunc runs a case and reports whether the rule was broken. Without trouble it leaves out
// the disruption.
type caseFunc func(f *fleet, trouble bool) (broken bool, err error)

// definition is a case with the fleet that it needs.
type definition struct {
	controllers int
	gateways    int
	run         caseFunc
}

var cases = map[string]definition{
	"cut-answer": {
		controllers: 3,
		gateways:    2,
		run:         runCutAnswer,
	},
	"deadly-move": {
		controllers: 3,
		gateways:    2,
		run:         runDeadlyMove,
	},
	"deadly-stream": {
		controllers: 3,
		gateways:    2,
		run:         runDeadlyStream,
	},
	"one-voter": {
		controllers: 3,
		gateways:    2,
		run:         runOneVoter,
	},
	"lost-founder": {
		controllers: 3,
		gateways:    2,
		run:         runLostFounder,
	},
}

// TestMain runs one case, or one of its upstreams, instead of the tests of this package: the
// arguments are not those of go test. review/build.sh builds the program.
func TestMain(*testing.M) {
	if len(os.Args) > 2 && os.Args[1] == "engine" {
		runEngine(os.Args[2:])
		return
	}
	os.Exit(runCase())
}

// runCase runs the case that the arguments name: its name, the repository and its folder.
func runCase() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: driver CASE REPOSITORY FOLDER")
		return exitNotRun
	}
	d, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		return exitNotRun
	}
	rec, err := newRecord(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	f, err := newFleet(os.Args[2], d.controllers, d.gateways, rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGPIPE)
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, disruption %v", os.Args[1], trouble)
	type outcome struct {
		broken bool
		err    error
	}
	ended := make(chan outcome, 1)
	go func() {
		broken, err := d.run(f, trouble)
		ended <- outcome{
			broken: broken,
			err:    err,
		}
	}()
	select {
	case o := <-ended:
		switch {
		case o.err != nil:
			rec.add("the case could not run: %v", o.err)
			fmt.Fprintln(os.Stderr, "the case could not run:", o.err)
			return exitNotRun
		case o.broken:
			rec.add("the rule was broken")
			fmt.Println("the rule was broken")
			return exitBroken
		}
		rec.add("the rule held")
		fmt.Println("the rule held")
		return exitHeld
	case s := <-signals:
		rec.add("the case was ended by signal %v", s)
		return exitNotRun
	case <-time.After(runLimit):
		rec.add("the case took too long")
		fmt.Fprintln(os.Stderr, "the case took too long")
		return exitNotRun
	}
}
