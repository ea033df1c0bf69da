package state

import (
	"testing"

	"github.com/matryer/is"
)

func replaceBy(s *State, version uint64, document string) Code {
	return s.Apply(1, Command{
		Replace: &Configuration{
			Version:  version,
			Document: []byte(document),
		},
	}).Code
}

// TestReplaceKeepsHighestVersion sends versions out of order, again, and with
// another content.
func TestReplaceKeepsHighestVersion(t *testing.T) {
	is := is.New(t)
	s := New()
	is.Equal(replaceBy(s, 7, "seven"), CodeOK)
	is.Equal(replaceBy(s, 7, "seven"), CodeOK)
	is.Equal(replaceBy(s, 3, "three"), CodeOK)
	is.Equal(replaceBy(s, 7, "other"), CodeVersionConflict)
	is.Equal(string(s.Configuration.Document), "seven")
	is.Equal(replaceBy(s, 12, "twelve"), CodeOK)
	is.Equal(s.Configuration.Version, uint64(12))
	is.Equal(replaceBy(s, 0, "none"), CodeInvalid)
	is.Equal(replaceBy(s, 13, ""), CodeInvalid)
}

// TestReplaceOutlivesSnapshot restores a state from its snapshot.
func TestReplaceOutlivesSnapshot(t *testing.T) {
	is := is.New(t)
	s := New()
	replaceBy(s, 7, "seven")
	data, err := s.Snapshot()
	is.NoErr(err)
	restored, err := Restore(data)
	is.NoErr(err)
	is.Equal(restored.Configuration, s.Configuration)
}
