package state

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/fleet/origin"
)

// TestOriginsSurviveSnapshots guards against streams whose software version is forgotten with a
// restart, and against a history that counts as complete although leaders that kept none came
// first.
func TestOriginsSurviveSnapshots(t *testing.T) {
	for _, tracked := range []bool{true, false} {
		is := is.New(t)
		s := New()
		now := time.Unix(1000, 0)
		v1 := origin.Version{
			Service: "llm",
			Name:    "v1",
		}
		s.Apply(1, Command{
			Time: now,
			Origins: &origin.Change{
				Add: []origin.Version{v1},
				Begun: []origin.Batch{{
					Service: "llm",
					Version: "v1",
					Streams: []origin.Stream{7, 1<<64 - 1},
				}},
			},
		})
		_, single := s.Origins.Single("llm")
		is.True(!single)
		s.Apply(2, Command{
			Time: now,
			Replace: &Configuration{
				Version:        1,
				Document:       []byte("{}"),
				TracksVersions: tracked,
			},
		})
		s.Apply(3, Command{
			Time: now,
			Replace: &Configuration{
				Version:        2,
				Document:       []byte("{}"),
				TracksVersions: true, // too late to be proof
			},
		})
		data, err := s.Snapshot()
		is.NoErr(err)
		s, err = Restore(data)
		is.NoErr(err)
		o, ok := s.Origins.Find(1<<64 - 1)
		is.True(ok)
		is.Equal(o.Version, "v1")
		_, single = s.Origins.Single("llm")
		is.Equal(single, tracked)
		s.Apply(4, Command{
			Time: now.Add(origin.Retention + 1),
			Origins: &origin.Change{
				Remove: []origin.Version{v1},
			},
		})
		is.Equal(s.Origins.Len(), 0)
		is.True(!s.Origins.Knows(v1))
	}
}
