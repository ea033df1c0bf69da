// Package call describes a caller's request beyond its method, path and body,
// and what an upstream's answer says of itself, independently of the headers
// that carry it.
package call
