// Package soak runs real controllers and gateways as processes on loopback, breaks
// them and what they speak to from outside, and checks what callers and upstreams
// see.
//
// A seed decides the faults and the callers' requests. Processes are killed, paused,
// stopped and started by signals; relays before controllers and upstreams delay, reset
// and silence connections or cut one direction; upstreams crash, hang, reject, lose
// and spoil answers; data folders are wiped or end in a torn record; settings are
// rewritten. Faults come in series and overlap. It ends only what it started.
package soak
