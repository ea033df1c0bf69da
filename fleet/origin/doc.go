// Package origin keeps which software version of a service began each stream, so that a
// stream is resumed at that version only.
//
// A Stream identifies a stream at all gateways. A Register holds the origins that one process
// knows. All of its inputs are arguments, time included.
package origin
