package program

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"baobabpaddle/fleet/settings"
)

// rereadInterval is how often a settings file is looked at, since it may change
// without a signal.
const rereadInterval = 2 * time.Second

// hangups receives hangup signals from CatchHangups on.
var hangups = make(chan os.Signal, 1)

// CatchHangups must be the first call of programs that are deployed: a hangup signal
// that comes before it ends the process, also while its settings are read.
func CatchHangups() { signal.Notify(hangups, syscall.SIGHUP) }

// DeploymentSettingsFlag is the flag of commands whose settings file may be
// named by the platform.
type DeploymentSettingsFlag struct {
	Settings string `type:"path" help:"Settings file, JSON with comments. Without it the platform names the file."`
}

// Path returns the file that the flag names, or else the platform's.
func (f DeploymentSettingsFlag) Path(platform func() string) string {
	if f.Settings != "" {
		return f.Settings
	}
	return platform()
}

// RunWithReload runs a program under the settings file at path until a signal. A hangup
// signal, or a look at the file from time to time, has changed settings read
// again and handed to run; a file that can't be read or is invalid changes
// nothing.
func RunWithReload[T any, P checker[T]](path string, run func(ctx context.Context, s T, changes <-chan T) error) error {
	var s T
	data, err := settings.Load(path, P(&s))
	if err != nil {
		return err
	}
	ctx, cancel := SignalContext()
	defer cancel()
	changes := make(chan T, 1)
	go reread[T, P](ctx, path, data, hangups, changes)
	return run(ctx, s, changes)
}

// reread watches the file, whose content was last when it was read.
func reread[T any, P checker[T]](ctx context.Context, path string, last []byte, hangup <-chan os.Signal, changes chan<- T) {
	ticker := time.NewTicker(rereadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		case <-ticker.C:
		}
		data, err := os.ReadFile(path)
		if err != nil || bytes.Equal(data, last) {
			continue
		}
		var s T
		if settings.Parse(data, P(&s)) != nil {
			continue // half written, or wrong: the settings in force stay
		}
		last = data
		select {
		case changes <- s:
		case <-ctx.Done():
			return
		}
	}
}
