package program

import (
	"context"
	"fmt"

	"baobabpaddle/fleet/settings"
)

// SettingsFlag is the flag of commands that read the program's settings.
type SettingsFlag struct {
	Settings string `required:"" type:"path" help:"Settings file, JSON with comments."`
}

// checker is a pointer to settings that check themselves.
type checker[T any] interface {
	*T
	settings.Checker
}

// Load reads and checks the settings that the flag names.
func Load[T any, P checker[T]](f SettingsFlag) (T, error) {
	var s T
	_, err := settings.Load(f.Settings, P(&s))
	return s, err
}

// RunUntilSignal runs a program under the settings that the flag names. The
// context ends at the first signal.
func RunUntilSignal[T any, P checker[T]](f SettingsFlag, run func(context.Context, T) error) error {
	s, err := Load[T, P](f)
	if err != nil {
		return err
	}
	ctx, cancel := SignalContext()
	defer cancel()
	return run(ctx, s)
}

// CheckCommand is the command that only checks a settings file.
type CheckCommand[T any, P checker[T]] struct {
	SettingsFlag
}

// Run checks the settings file.
func (c *CheckCommand[T, P]) Run() error {
	if _, err := Load[T, P](c.SettingsFlag); err != nil {
		return err
	}
	fmt.Println("settings: ok")
	return nil
}
