// Package rpc holds the client and server code of the unary calls to controllers,
// generated from controller.proto.
package rpc

//go:generate protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative controller.proto
