package node

import (
	"context"
	"net/http"

	"baobabpaddle/fleet/credential"
	"baobabpaddle/fleet/state"
)

// peerKey is the context key of the caller's credential.Peer.
type peerKey struct{}

// WithPeer returns a handler that puts the authenticated caller into the context of a
// request, where Unary checks the caller's role.
func WithPeer(c *credential.Credential, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		peer, _ := c.Peer(r)
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), peerKey{}, peer)))
	})
}

// mayExecute reports whether the caller's role may have the command executed.
// Controllers may forward any command, gateways claim and finish, and sidecars start
// and finish.
func mayExecute(ctx context.Context, command state.Command) bool {
	peer, _ := ctx.Value(peerKey{}).(credential.Peer)
	switch peer.Role {
	case credential.Controller:
		return true
	case credential.Gateway:
		return command.Claim != nil || command.Finish != nil
	case credential.Sidecar:
		return command.Finish != nil || command.Start != nil
	}
	return false
}
