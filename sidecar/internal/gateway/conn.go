package gateway

import (
	"context"
	"net"

	"baobabpaddle/fleet/answer"
)

// BoundConn is for http.Server.ConnContext of a server for gateways. It bounds what the system holds
// for a connection, which a gateway may not have received when it resumes an answer.
func BoundConn(ctx context.Context, c net.Conn) context.Context {
	_ = answer.BoundConn(c) // fails only if the connection has ended
	return ctx
}
