// Package gateway speaks to the gateways that place requests with the leading
// controller: it tells them the configuration, the upstreams and that both are
// current, and decides where each request goes.
package gateway
