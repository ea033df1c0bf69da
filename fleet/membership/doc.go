// Package membership discovers the other controllers of a fleet from a few seed
// addresses by gossip, and decides whether a controller bootstraps the replicated
// group, joins it, or takes no part in it. Its entry point is Core.
//
// Controllers exchange the peers that they know until every controller knows all
// others. At the first start of the whole fleet, the seed with the lowest address
// selects the founding members, seeds with a disk first, and another seed does if that one
// falls silent. Each founding member bootstraps the group with all of them as voters, so that
// the group forms without a minority of them. All others with a disk join the group. A controller without a disk never becomes
// a member. A controller whose disk was lost joins under a new identifier.
//
// Core performs no I/O: it takes the time and received gossip, and returns what to
// do next.
package membership
