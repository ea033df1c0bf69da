package dispatch

// RateLimit is what an answer of an upstream says about the rate of requests that it
// accepts from the whole fleet. The zero value means that the answer states no limit.
type RateLimit struct {
	// Stated reports whether the upstream limits the rate, to PerSecond requests a second.
	Stated    bool    `cbor:"1,keyasint,omitempty"`
	PerSecond float64 `cbor:"2,keyasint,omitempty"`
	// Malformed reports that the answer has a limit which can't be read, so that it is
	// unknown whether and how the upstream limits the rate. Stated is false then.
	Malformed bool `cbor:"3,keyasint,omitempty"`
}
