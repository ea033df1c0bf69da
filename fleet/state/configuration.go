package state

import "bytes"

// Configuration is the whole configuration of the fleet. As a command it
// replaces the configuration in force.
type Configuration struct {
	// Version is set by the operator; the highest one is in force.
	Version uint64 `json:"version"`
	// Document is the configuration as the operator sent it. It is validated
	// before it is proposed.
	Document []byte `json:"document"`
	// TracksVersions reports that the leader which proposed it records the software versions
	// of upstreams before gateways learn of them.
	TracksVersions bool `json:"tracks_versions,omitempty"`
}

// replaceConfiguration puts a configuration in force if its version is the
// highest so far. An older version is acknowledged and changes nothing, since a
// newer one has superseded it. Another document under the version in force is a
// conflict.
func (s *State) replaceConfiguration(r Configuration) Result {
	if r.Version == 0 || len(r.Document) == 0 {
		return Result{
			Code:   CodeInvalid,
			Detail: "the configuration has no version or no document",
		}
	}
	present := s.Configuration
	if r.Version == present.Version && !bytes.Equal(r.Document, present.Document) {
		return Result{
			Code:   CodeVersionConflict,
			Detail: "another configuration has this version",
		}
	}
	if present.Version == 0 && r.TracksVersions {
		// No stream can have begun before the first configuration.
		s.Origins.Complete = true
	}
	if r.Version > present.Version {
		s.Configuration = r
	}
	return Result{
		Code: CodeOK,
	}
}
