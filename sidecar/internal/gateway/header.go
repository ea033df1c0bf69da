package gateway

import (
	"errors"
	"net/http"
	"slices"

	"baobabpaddle/sidecar/internal/upstream"
)

// hopByHop are the headers that concern one connection only (RFC 9110, section 7.6.1), and
// Content-Length, which does not apply to a stream of frames.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// endToEndHeaders returns the headers of an upstream's answer that are forwarded to the
// caller.
func endToEndHeaders(header http.Header) map[string][]string {
	out := make(map[string][]string, len(header))
	for name, values := range header {
		if !slices.Contains(hopByHop, name) {
			out[name] = values
		}
	}
	return out
}

// isNotSent reports whether an error of the upstream's client proves that no byte of the
// request was sent.
func isNotSent(err error) bool { return errors.Is(err, upstream.ErrNotSent) }
