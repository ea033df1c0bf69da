package upstream

import (
	"net"
	"net/http"
	"sync"

	"github.com/ansel1/merry/v2"

	"baobabpaddle/fleet/answer"
)

// errInvalidStatus means that net/http's transport returned an answer whose status is not that of
// a final one: one that is not of HTTP, or 101, which no request asks for.
var errInvalidStatus = merry.Sentinel("the upstream's answer has no valid status")

// errInvalidHeader means that the name of a header contains a space.
var errInvalidHeader = merry.Sentinel("a header of the upstream's answer has a space in its name")

// errOldChunks means that an answer of a version before HTTP/1.1 has the header
// Transfer-Encoding.
var errOldChunks = merry.Sentinel("the upstream's answer has chunks and a version before HTTP/1.1")

// headConn is a connection that keeps the beginning of what is read from it, up to maxHeadBytes,
// if that is an answer of a version before HTTP/1.1.
type headConn struct {
	net.Conn

	mu      sync.Mutex
	head    []byte
	skipped bool // nothing more is kept
}

// Read implements net.Conn.
func (c *headConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.skipped {
		return n, err
	}
	c.head = append(c.head, p[:n]...)
	switch {
	case len(c.head) >= answer.VersionBytes && !answer.IsOldVersion(c.head):
		c.head, c.skipped = nil, true
	case len(c.head) > maxHeadBytes:
		c.skipped = true
	}
	return n, err
}

// hasOldChunks reports whether the answer is of a version before HTTP/1.1 and has the header
// Transfer-Encoding. Nothing more is kept after it.
func (c *headConn) hasOldChunks() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	has, _ := answer.HasTransferEncoding(c.head)
	c.head, c.skipped = nil, true
	return has
}

// checkHead returns an error for the head of an answer that net/http accepts and that is invalid.
func checkHead(response *http.Response, c net.Conn) error {
	if !answer.IsFinalStatus(response.StatusCode) {
		return merry.Prependf(errInvalidStatus, "status %03d", response.StatusCode)
	}
	if answer.HasSpaceInName(response.Header) {
		return errInvalidHeader
	}
	if plain, ok := c.(*headConn); ok && plain.hasOldChunks() { // a TLS connection isn't one
		return errOldChunks
	}
	return nil
}
