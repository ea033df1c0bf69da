// Package jsonlist reads lists in JSON whose elements come from several writers. An element
// that is malformed or nested too deeply does not make the others unreadable. Its entry point
// is Split.
package jsonlist
