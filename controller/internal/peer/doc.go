// Package peer speaks to the other controllers of a fleet that finds its members
// by itself: it greets them, founds or joins the replicated group, and runs the
// own replica for as long as its disk works.
package peer
