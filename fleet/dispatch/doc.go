// Package dispatch decides, for each request of the whole fleet, which upstream
// runs it now, or that it is refused and when the caller should come back.
//
// Model engines admit requests in order of arrival and know no priorities, so
// that the order is decided here, before them. Two things are scarce: the prompt
// tokens that an engine reads in a unit of time, and each team's share of what
// all engines do. A Core holds both for the fleet: per engine the prompt tokens
// that were sent and are not read yet, and per team the tokens asked for and
// admitted within a sliding window, with the max-min level of the declared
// throughput (Bertsekas and Gallager, Data Networks, section 6.5.2). Engines may do less
// than is declared; while requests are refused, teams go in the order of what they
// received (lead.go).
//
// A Core is pure: time, messages and seeded randomness in, decisions out. The
// leading controller owns one for the fleet; each gateway owns one for the time
// in which it cannot reach the leader.
package dispatch
