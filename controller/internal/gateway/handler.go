package gateway

import (
	"context"
	"net/http"

	"baobabpaddle/fleet/credential"
	"baobabpaddle/fleet/link"
	"baobabpaddle/fleet/wire"
)

// Handler accepts the links of gateways. A controller that doesn't lead answers a
// gateway's hello with the leader's address and the addresses of all controllers.
func (h *Hub) Handler(ctx context.Context, dialer link.Dialer) http.Handler {
	return link.Handler(ctx, dialer, func(_ credential.Peer, l *link.Conn[wire.Serve]) {
		frame, err := l.Receive()
		if err != nil || frame.Hello == nil {
			return
		}
		term := h.confirmTerm(ctx)
		if !term.Leads() {
			_ = l.Send(wire.Serve{
				Welcome: &wire.Welcome{
					Leader:      h.replicas.LeaderAddress(),
					Controllers: h.directory.Addresses(),
				},
			})
			// The gateway closes the link when it has read the answer, which ends this read.
			_, _ = l.Receive()
			return
		}
		c := &conn{
			Conn:            l,
			term:            term,
			name:            frame.Hello.Name,
			zone:            frame.Hello.Zone,
			version:         frame.Hello.Version,
			upstreamsDigest: frame.Hello.UpstreamsDigest,
		}
		h.post(ctx, event{
			opened: c,
		})
		for {
			frame, err := l.Receive()
			if err != nil {
				break
			}
			h.post(ctx, event{
				from:  c,
				frame: frame,
			})
		}
		h.post(ctx, event{
			closed: c,
		})
	})
}
