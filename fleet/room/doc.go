// Package room decides how gateways use the processor time that their hosts have.
//
// A Gate admits or refuses requests at one gateway. Its measure is the expected wait: the
// number of requests that the gateway has admitted and not yet passed on, divided by the
// rate at which it passes them on (Little's law). Requests that would wait for too much of
// their objective are refused at once. Teams share the places of those that wait by a
// dynamic threshold (Choudhury and Hahne, IEEE/ACM Transactions on Networking 6, 1998): a
// team may have at most twice as many waiting requests as there are places left, so that a
// team that floods a gateway leaves a third of the places to others.
//
// Spacing returns the least time between two writes to the caller of a stream. A busy
// gateway passes on events in groups, within the objective for pauses, since each write
// costs processor time that other requests need.
//
// All types are pure: the time is an argument. They start no goroutine, read no clock and
// are not safe for concurrent use.
package room
