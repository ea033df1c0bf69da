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

// reloadInterval is the interval at which the settings file is read, since it may
// change without a signal.
const reloadInterval = 2 * time.Second

// hangups receives the SIGHUP signals that arrive after CatchHangups.
var hangups = make(chan os.Signal, 1)

// CatchHangups starts to collect SIGHUP signals for RunWithReload. It must be the
// first call of a program that uses it, since SIGHUP ends the process by default,
// also one that arrives while the settings are first read.
func CatchHangups() { signal.Notify(hangups, syscall.SIGHUP) }

// DeploymentSettingsFlag is the flag of commands whose settings file the platform
// may name.
type DeploymentSettingsFlag struct {
	Settings string `type:"path" help:"Settings file, JSON with comments. Without it the platform names the file."`
}

// Path returns the file that the flag names, or the result of platform without one.
func (f DeploymentSettingsFlag) Path(platform func() string) string {
	if f.Settings != "" {
		return f.Settings
	}
	return platform()
}

// RunWithReload loads the settings file at path and calls run, whose context ends
// at the first SIGTERM or interrupt. The file is read again on SIGHUP and every
// reloadInterval; if its content has changed, the new settings are sent to run on
// the channel changes. A file that can't be read or is invalid leaves the settings
// in force.
func RunWithReload[T any, P checker[T]](path string, run func(ctx context.Context, s T, changes <-chan T) error) error {
	var s T
	data, err := settings.Load(path, P(&s))
	if err != nil {
		return err
	}
	ctx, cancel := SignalContext()
	defer cancel()
	changes := make(chan T, 1)
	go reload[T, P](ctx, path, data, hangups, changes)
	return run(ctx, s, changes)
}

// reload sends the settings of the file on changes whenever its content differs from
// last, the content that was read before. It returns when the context ends.
func reload[T any, P checker[T]](ctx context.Context, path string, last []byte, hangup <-chan os.Signal, changes chan<- T) {
	ticker := time.NewTicker(reloadInterval)
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
			continue // partly written or invalid; the settings in force stay
		}
		last = data
		select {
		case changes <- s:
		case <-ctx.Done():
			return
		}
	}
}
