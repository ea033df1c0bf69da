// Package membership finds the other controllers of a fleet from a few seed
// addresses, and decides when a controller founds the replicated group, joins
// it, or only stands beside it.
//
// Controllers tell each other whom they know until all know all. At the first
// start of the whole fleet one of the seeds, the one with the lowest address,
// names the founder; everybody else joins the founder's group. A controller
// without a disk never becomes a member. One whose disk was lost joins under a
// new identifier.
//
// A Core is pure: time and messages in, what to do next out.
package membership
