package link

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"baobabpaddle/fleet/credential"
	"baobabpaddle/fleet/problem"
)

// Range of the heartbeat interval that the dialing end may request. Values outside it
// are clamped.
const (
	minHeartbeat = 100 * time.Millisecond
	maxHeartbeat = 30 * time.Second
)

// requestedHeartbeat returns the interval that the dialing end requested, clamped to
// the valid range, or DefaultHeartbeatInterval if the header is missing or malformed.
func requestedHeartbeat(r *http.Request) time.Duration {
	millis, err := strconv.ParseInt(r.Header.Get(heartbeatHeader), 10, 32)
	if err != nil {
		return DefaultHeartbeatInterval
	}
	return min(max(time.Duration(millis)*time.Millisecond, minHeartbeat), maxHeartbeat)
}

// Handler returns a handler that accepts links and calls use with the authenticated
// peer and each link. A link is closed when use returns or when the context ends.
func Handler[T any](ctx context.Context, d Dialer, use func(credential.Peer, *Conn[T])) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		peer, ok := d.Credential.Peer(r)
		if !ok {
			problem.New(http.StatusUnauthorized, problem.Unauthorized, "no valid credential").Write(w)
			return
		}
		if r.Header.Get("Upgrade") != upgradeToken {
			problem.New(http.StatusUpgradeRequired, problem.MalformedBody, "want an upgrade to "+upgradeToken).Write(w)
			return
		}
		stream, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			problem.New(http.StatusInternalServerError, problem.NotReady, "cannot take over the connection").Write(w)
			return
		}
		head := "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + upgradeToken + "\r\n\r\n"
		_ = stream.SetDeadline(time.Time{})
		if _, err := stream.Write([]byte(head)); err != nil {
			stream.Close()
			return
		}
		c := newConn[T](stream, buffered.Reader, requestedHeartbeat(r), d.Stats, d.Panicked)
		defer c.Close() // use may panic
		go c.closeOn(ctx)
		use(peer, c)
	})
}
