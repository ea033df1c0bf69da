// Package controller connects a gateway to the leading controller. Its entry point is
// Link: it asks the leader where requests are placed, receives the configuration and the
// list of upstreams, and has the leader confirm that the configuration is the newest.
// Without a leader, or if the leader is late, the Link places requests with the gateway's
// own dispatch.Scheduler.
package controller
