package serve

import (
	"net/http"
	"strings"
)

// requestTarget returns path and query as the caller sent them.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI() // the caller sent the absolute form
}
