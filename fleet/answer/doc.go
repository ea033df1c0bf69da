// Package answer carries an upstream's answer from a sidecar to a gateway as a
// resumable stream of frames. The sidecar writes to a Buffer and sends the frames of
// a Cursor; the gateway passes each received frame to Assembler.Accept.
//
// Each frame names the request, the attempt and the offset in the body. The receiver
// can therefore detect an answer to another request, drop frames of an older attempt,
// resume a broken stream at its offset, and tell a truncated answer from a complete
// one.
package answer
