// Package dispatch decides, for each request of the fleet, which upstream runs it
// now, or that it is refused and after what delay the caller should retry. Its entry
// point is Scheduler, which New returns; Scheduler.Place decides on one request.
//
// Model engines serve requests in order of arrival and know no priorities, so the
// order is decided here, before requests reach them. Two resources are scarce: the
// rate at which an engine prefills prompt tokens, and each team's share of what all
// engines do. A Scheduler tracks both for the fleet: per engine the backlog of prompt
// tokens that were sent and are not prefilled yet, and per team the tokens demanded
// and admitted within a sliding window. A team's share is the max-min fair level of
// the declared throughput (Bertsekas and Gallager, Data Networks, section 6.5.2).
// Engines may deliver less than is declared; while requests are refused, teams are
// served by start-time fair queueing over the tokens that they received (lead.go).
//
// A Scheduler does no I/O: time, messages and seeded randomness go in, decisions come
// out. The leading controller owns one for the whole fleet; each gateway owns one for
// the time in which it cannot reach the leader.
package dispatch
