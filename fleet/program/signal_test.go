package program

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// drainingProgram is set in the environment of the test's child process.
const drainingProgram = "BAOBABPADDLE_TEST_DRAINING_PROGRAM"

// drainTime is how long the child process drains.
const drainTime = 300 * time.Millisecond

// TestRepeatedSIGTERMKeepsDraining guards against requests that are cut since a program that
// drains ends at the second SIGTERM. A second interrupt ends it.
func TestRepeatedSIGTERMKeepsDraining(t *testing.T) {
	if os.Getenv(drainingProgram) != "" {
		drainAtSignal()
		return
	}
	for _, c := range []struct {
		name    string
		signals []syscall.Signal
		status  int
	}{
		{"SIGTERM three times", []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGTERM}, 0},
		{"interrupt, SIGTERM", []syscall.Signal{syscall.SIGINT, syscall.SIGTERM}, 0},
		{"interrupt twice", []syscall.Signal{syscall.SIGINT, syscall.SIGINT}, 1},
		{"SIGTERM, interrupt", []syscall.Signal{syscall.SIGTERM, syscall.SIGINT}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			child := exec.Command(os.Args[0], "-test.run=^TestRepeatedSIGTERMKeepsDraining$")
			child.Env = append(os.Environ(), drainingProgram+"=1")
			out, err := child.StdoutPipe()
			is.NoErr(err)
			is.NoErr(child.Start())
			lines := bufio.NewScanner(out)
			is.True(lines.Scan()) // it handles signals
			is.NoErr(child.Process.Signal(c.signals[0]))
			is.True(lines.Scan()) // it drains
			for _, s := range c.signals[1:] {
				is.NoErr(child.Process.Signal(s))
				time.Sleep(drainTime / 10)
			}
			_ = child.Wait() // the status is checked
			is.Equal(child.ProcessState.ExitCode(), c.status)
		})
	}
}

// drainAtSignal prints a line, one more at the first signal, and returns drainTime later.
func drainAtSignal() {
	ctx, cancel := SignalContext()
	defer cancel()
	fmt.Println("started")
	<-ctx.Done()
	fmt.Println("drains")
	time.Sleep(drainTime)
}
