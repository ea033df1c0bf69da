// Package pages tests that the documentation in docs/ matches the code: the settings,
// flags, error codes, metrics and log messages listed there exist in the code, and those
// in the code are listed. It also checks where the names of the platform's interface are
// used and that KNOWN-RED.txt lists only existing tests. It holds only tests.
package pages
