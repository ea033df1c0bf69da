// Package local starts a whole fleet as processes on loopback, for the demo, the
// benchmarks and the end-to-end tests; Start is its entry point. It signals only
// processes that it started.
package local
