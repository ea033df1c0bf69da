package answer

import "net/http"

// maxStatus is the greatest status of HTTP (RFC 9110, section 15).
const maxStatus = 599

// IsFinalStatus reports whether a status is that of a final answer of HTTP, from 200 to 599.
func IsFinalStatus(status int) bool { return status >= http.StatusOK && status <= maxStatus }
