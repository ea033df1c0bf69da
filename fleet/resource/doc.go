// Package resource defines the resources that operators declare: teams, services,
// the upstreams that serve them and the placements of models on upstreams.
//
// A Resource carries its specification as JSON. Decode returns the specification
// with every field checked and refuses unknown fields; Check refuses a resource
// before it enters the replicated log, so that the log holds only valid ones.
package resource
