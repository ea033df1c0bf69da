// Package upstream is an HTTP/1.1 client for upstreams. Its entry point is Client.Send. It
// pools connections and has one request at a time on each. Unlike net/http's transport it
// never retries a request, and its errors tell whether the upstream may have received any
// of it. An answer to another attempt than the one sent is never returned.
package upstream
