// Package link maintains a long-lived bidirectional connection between two processes
// of the fleet and carries typed frames over it. Maintain keeps a link open from the
// dialing end; Handler accepts links.
//
// A link is an upgraded HTTP/1.1 request. Each frame is a four-byte big-endian length
// and a CBOR value; queued frames are written together. A frame of length zero is a
// heartbeat. Each end sends one when it has sent nothing for the heartbeat interval,
// and closes the connection when nothing has arrived for MaxMissedHeartbeats intervals.
// This detects a connection whose state was lost by a middlebox or by the peer's host,
// which would otherwise appear open, and the dialing end then reconnects.
package link
