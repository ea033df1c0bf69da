// Package fence decides on orders to model engines, such as loading a model, by
// leases with fencing tokens: Planner, in the leading controller, decides which
// orders to give and when; Guard, in a sidecar, decides which orders to pass on.
// Neither performs I/O or reads a clock.
//
// Each order carries the fencing token of a lease from the replicated log (Gray
// and Cheriton, "Leases", SOSP 1989). Engines that check tokens refuse old ones
// themselves. For other engines, a lease is granted to a new holder only after
// the old lease has expired, and the sidecar refuses orders that arrive after
// their lease's deadline.
package fence
