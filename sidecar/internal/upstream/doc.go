// Package upstream is the sidecar's client of the upstreams behind it. Client sends
// requests, reads the load of model engines and sends orders to them; Meter measures the
// service that a request receives while its answer is streamed.
package upstream
