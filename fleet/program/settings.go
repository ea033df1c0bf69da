package program

import (
	"context"
	"fmt"

	"baobabpaddle/fleet/settings"
)

// SettingsFlag is the flag of commands that read a settings file.
type SettingsFlag struct {
	Settings string `required:"" type:"path" help:"Settings file, JSON with comments."`
}

// checker is a pointer to settings of type T that implements settings.Checker.
type checker[T any] interface {
	*T
	settings.Checker
}

// LoadSettings reads and checks the settings file that the flag names.
func LoadSettings[T any, P checker[T]](f SettingsFlag) (T, error) {
	var s T
	_, err := settings.Load(f.Settings, P(&s))
	return s, err
}

// RunUntilSignal loads the settings file that the flag names and calls run, whose
// context ends at the first SIGTERM or interrupt.
func RunUntilSignal[T any, P checker[T]](f SettingsFlag, run func(context.Context, T) error) error {
	s, err := LoadSettings[T, P](f)
	if err != nil {
		return err
	}
	ctx, cancel := SignalContext()
	defer cancel()
	return run(ctx, s)
}

// CheckCommand is the command that checks a settings file and does nothing else.
type CheckCommand[T any, P checker[T]] struct {
	SettingsFlag
}

// Run checks the settings file and prints a line if it is valid.
func (c *CheckCommand[T, P]) Run() error {
	if _, err := LoadSettings[T, P](c.SettingsFlag); err != nil {
		return err
	}
	fmt.Println("settings: ok")
	return nil
}
