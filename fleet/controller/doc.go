// Package controller is the client side of the controllers for gateways and
// sidecars. A Client keeps a link to one of the controllers, applies the changes
// received over it to a View of the replicated resources whose revision never
// decreases, and makes the unary calls.
package controller
