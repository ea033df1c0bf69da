// Package configuration is the whole configuration of a deployment: which
// requests go to which service, what the services are, which teams there are
// and what callers may send. Operators replace it as one, under a version of
// their own; the highest version is in force.
//
// A Table answers the questions that each request asks of a configuration.
package configuration
