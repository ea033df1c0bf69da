// Package trace writes log lines about the decisions on each request and reads them
// back to explain what became of it. A process logs the steps of a request with
// Log.Request; Explain reconstructs the request's course from the logs of all
// processes. Each line has the request's identifier, the decision, its inputs, how current
// they were, and the outcome. docs/LOGS.md lists the lines and their fields.
//
// A gateway may answer thousands of requests per second, so a Log limits what it
// writes. For refused and failed requests it writes all lines. Of the others it writes
// a few per second completely and counts the rest.
//
// Messages and keys are part of the format: Explain must read the logs of older
// builds.
package trace
