// Package gateway serves the gateways that are linked to a sidecar. Its entry points are
// Scheduler, which receives the gateways' demands and grants slots of the upstreams in
// the order of share.Queue, and Server, which accepts requests under these grants, runs
// each attempt at most once and streams its answer, so that a gateway can resume it.
package gateway
