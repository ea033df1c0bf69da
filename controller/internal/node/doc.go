// Package node serves gateways and sidecars, the nodes of a fleet whose controllers are
// added and removed by operators. Hub keeps the resources of nodes current over links,
// Accounts adds up the service that sidecars report, and Unary serves single calls.
package node
