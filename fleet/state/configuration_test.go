package state

import (
	"testing"

	"github.com/matryer/is"
)

func replaceConfiguration(s *State, version uint64, document string) Code {
	return s.Apply(1, Command{
		Replace: &Configuration{
			Version:  version,
			Document: []byte(document),
		},
	}).Code
}

// TestConfigurationKeepsHighestVersion applies versions out of order, repeated, and
// with another document.
func TestConfigurationKeepsHighestVersion(t *testing.T) {
	is := is.New(t)
	s := New()
	is.Equal(replaceConfiguration(s, 7, "seven"), CodeOK)
	is.Equal(replaceConfiguration(s, 7, "seven"), CodeOK)
	is.Equal(replaceConfiguration(s, 3, "three"), CodeOK)
	is.Equal(replaceConfiguration(s, 7, "other"), CodeVersionConflict)
	is.Equal(string(s.Configuration.Document), "seven")
	is.Equal(replaceConfiguration(s, 12, "twelve"), CodeOK)
	is.Equal(s.Configuration.Version, uint64(12))
	is.Equal(replaceConfiguration(s, 0, "none"), CodeInvalid)
	is.Equal(replaceConfiguration(s, 13, ""), CodeInvalid)
}

// TestConfigurationSurvivesSnapshot checks that a restored state has the
// configuration in force.
func TestConfigurationSurvivesSnapshot(t *testing.T) {
	is := is.New(t)
	s := New()
	replaceConfiguration(s, 7, "seven")
	data, err := s.Snapshot()
	is.NoErr(err)
	restored, err := Restore(data)
	is.NoErr(err)
	is.Equal(restored.Configuration, s.Configuration)
}
