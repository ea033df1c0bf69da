// Package operator serves the HTTP API of operators. Its entry points are API, with
// single resources under versions, watches, members, status and backup, and
// ConfigurationAPI, with whole configurations. docs/API.md describes both.
package operator
