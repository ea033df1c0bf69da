// Package caller serves the HTTP interface for callers. Its entry point is Handler: it
// authenticates the caller's team, validates the request before anything is sent to an
// upstream, and streams the answer. docs/API.md specifies the interface.
package caller
