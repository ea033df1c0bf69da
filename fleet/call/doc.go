// Package call defines the metadata of requests and answers independently of the
// headers that carry it: what a caller states about its request, what the fleet adds
// for the upstream, and what an upstream states in its answer. Protocol is implemented
// for the headers of a platform.
package call
