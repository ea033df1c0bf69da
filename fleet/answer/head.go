package answer

import (
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
