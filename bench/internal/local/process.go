package local

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
)

// killAfter is how long a process may take to end after SIGTERM.
const killAfter = 20 * time.Second

// Process is one running program.
type Process struct {
	Name    string
	command *exec.Cmd
	done    chan struct{}
	err     error
}

// startProgram starts a program with its output appended to a log file.
func startProgram(bin, logs, name, program string, args ...string) (*Process, error) {
	file, err := os.OpenFile(filepath.Join(logs, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, merry.Prepend(err, "log file")
	}
	defer file.Close()
	command := exec.Command(filepath.Join(bin, program), args...)
	command.Stdout = file
	command.Stderr = file
	if err := command.Start(); err != nil {
		return nil, merry.Prepend(err, name)
	}
	p := &Process{
		Name:    name,
		command: command,
		done:    make(chan struct{}),
	}
	go func() {
		p.err = command.Wait()
		close(p.done)
	}()
	return p, nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error { return p.command.Process.Signal(s) }

// Kill ends the process with SIGKILL, which leaves it no time to clean up, and waits for
// its end.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL)
	<-p.done
}

// PID returns the process identifier.
func (p *Process) PID() int { return p.command.Process.Pid }

// Stop sends SIGTERM and waits for the end of the process. It returns an error if the
// process ended with one or had to be killed.
func (p *Process) Stop() error {
	_ = p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.err
	case <-time.After(killAfter):
		p.Kill()
		return merry.Errorf("%s was killed: it did not end within %s of SIGTERM", p.Name, killAfter)
	}
}

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Exited reports whether the process has ended, and the error with which it did.
func (p *Process) Exited() (bool, error) {
	select {
	case <-p.done:
		return true, p.err
	default:
		return false, nil
	}
}

// Signals that Fleet.Stop sends.
const (
	terminateSignal = syscall.SIGTERM
	continueSignal  = syscall.SIGCONT
)
