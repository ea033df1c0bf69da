// Package trace is the schema of what processes log about requests: one line for
// each decision, with the request's identifier, what decided it, how old that was,
// and the outcome. docs/LOGS.md lists the lines and their fields.
//
// A gateway may answer thousands of requests each second, so a Log bounds what is
// written. Refused and failed requests keep all their lines. Of the others a few
// each second are written in full and the rest are counted.
package trace
