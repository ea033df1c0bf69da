// Package configuration defines the configuration of a deployment: the routes that
// bring requests to services, the services, the teams and the limits on what
// callers may send. Parse reads and checks one, NewTable indexes it for the
// look-ups of each request, and NewSnapshot prepares it for incremental updates.
//
// Operators replace the configuration as a whole under a version that they choose.
// The highest version is in force.
package configuration
