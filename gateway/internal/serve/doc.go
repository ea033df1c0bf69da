// Package serve implements the HTTP handler of a gateway that sends callers' requests
// to upstreams itself; its entry point is New.
//
// For each request, Handler finds the route and the team, enforces limits on heads,
// bodies, connections and processor load, asks a Scheduler for an upstream, sends the
// request there and forwards the answer, event by event for streams. It retries on
// other upstreams where the route, the deadline and the retry budget allow that, and
// resumes streams that broke off.
//
// A refusal with status 429 or 503 guarantees that the request was not run and will not
// be. A response to a request that may have run carries no such guarantee.
package serve
