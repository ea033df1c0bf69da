package answer

import (
	"bytes"
	"net/http"
	"strings"
)

// maxStatus is the greatest status of HTTP (RFC 9110, section 15).
const maxStatus = 599

// IsFinalStatus reports whether a status is that of a final answer of HTTP, from 200 to 599.
func IsFinalStatus(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// HasSpaceInName reports whether the name of a header contains a space, which net/http accepts in
// the answers that it reads. RFC 9112, section 5.1, forbids it: whether the header frames the
// answer depends on the reader.
func HasSpaceInName(header http.Header) bool {
	for name := range header {
		if strings.Contains(name, " ") {
			return true
		}
	}
	return false
}

// transferEncoding is the name of the header that says that a body is in chunks.
var transferEncoding = []byte("transfer-encoding")

// VersionBytes is the size of the version with which the head of an answer begins.
const VersionBytes = len("HTTP/1.1")

// IsOldVersion reports whether the head of an answer begins with a version before HTTP/1.1, of
// which net/http ignores the header Transfer-Encoding. It needs VersionBytes of the head.
func IsOldVersion(head []byte) bool {
	return bytes.HasPrefix(head, []byte("HTTP/1.0")) || bytes.HasPrefix(head, []byte("HTTP/0."))
}

// HasTransferEncoding reports whether the head of an answer, or the beginning of it, has the header
// Transfer-Encoding. In a version before HTTP/1.1 its framing is faulty then (RFC 9112, section
// 6.1). What follows the head is ignored; whole is true if all of the head is there.
func HasTransferEncoding(head []byte) (has, whole bool) {
	for {
		line, rest, ended := bytes.Cut(head, []byte("\n"))
		if !ended {
			return false, false
		}
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) == 0 {
			return false, true
		}
		if name, _, _ := bytes.Cut(line, []byte(":")); bytes.EqualFold(bytes.TrimSpace(name), transferEncoding) {
			return true, false
		}
		head = rest
	}
}
