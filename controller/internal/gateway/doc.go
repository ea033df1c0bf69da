// Package gateway places the requests of all gateways while this controller leads.
// Its entry point is Hub, which New returns and Run drives.
//
// A Hub holds a link to each gateway. It sends the configuration, changes of the
// platform's list of upstreams and proofs that both are current, and answers each
// request for placement with the decision of a dispatch.Scheduler.
package gateway
