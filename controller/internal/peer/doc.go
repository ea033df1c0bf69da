// Package peer connects a controller with the other controllers of a fleet that
// discovers its members by itself. Its entry points are Peers, which exchanges
// gossip, and Member, which bootstraps or joins the replicated group and runs this
// controller's replica. Unary serves the calls of other controllers.
package peer
