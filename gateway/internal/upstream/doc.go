// Package upstream sends requests to upstreams over connections that it keeps,
// one request at a time on each. It never sends a request twice by itself, and
// tells after a failure whether anything was sent.
package upstream
