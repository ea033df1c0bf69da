package link

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"baobabpaddle/fleet/credential"
)

// Names in the upgrade request of a link, and the defaults of a Dialer. minBackoff is
// the first pause before a reconnect.
const (
	upgradeToken    = "baobabpaddle-link"
	heartbeatHeader = "Baobab-Heartbeat" // in milliseconds
	minBackoff      = 100 * time.Millisecond
	maxBackoff      = 2 * time.Second
	dialTimeout     = 3 * time.Second
)

// Dialer holds the settings with which links are opened and accepted.
type Dialer struct {
	// Credential authenticates both ends.
	Credential *credential.Credential
	// Heartbeat is the interval after which an end without traffic sends a heartbeat.
	// The dialing end sets it for both. Zero means DefaultHeartbeatInterval.
	Heartbeat time.Duration
	// DialTimeout limits the time to open a link. Zero means dialTimeout.
	DialTimeout time.Duration
	// MaxBackoff limits the pause before a reconnect. Zero means maxBackoff.
	MaxBackoff time.Duration
	// Stats counts the traffic of all links; it must not be nil.
	Stats *Stats
	// Panicked is called, by the deferred function that has recovered the value, after a panic in a goroutine of
	// a link or in the decoding of a frame; the link is then closed. Nil means that they aren't recovered.
	Panicked func(value any)
}

// Dial opens a link to a path at an address, given as host:port. The link is closed
// when the context ends. The error is ErrHeartbeatTimeout if the peer accepted the link
// only after the dial timeout.
func Dial[T any](ctx context.Context, d Dialer, address, path string) (*Conn[T], error) {
	setup, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(d.dialTimeout(), func() { cancel(ErrHeartbeatTimeout) })
	request, err := http.NewRequestWithContext(setup, http.MethodGet, d.Credential.Scheme()+"://"+address+path, nil)
	if err != nil {
		return nil, merry.Prepend(err, "dial a link")
	}
	request.Header.Set("Connection", "Upgrade")
	request.Header.Set("Upgrade", upgradeToken)
	request.Header.Set(heartbeatHeader, strconv.FormatInt(d.heartbeat().Milliseconds(), 10))
	d.Credential.SetAuthHeaders(request)
	transport := d.Credential.Transport(true)
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, merry.Prepend(err, "dial a link")
	}
	stream, ok := response.Body.(io.ReadWriteCloser)
	if response.StatusCode != http.StatusSwitchingProtocols || !ok {
		response.Body.Close()
		return nil, merry.Errorf("dial a link: the peer answered %s instead of an upgrade", response.Status)
	}
	if !timer.Stop() {
		stream.Close()
		return nil, ErrHeartbeatTimeout
	}
	c := newConn[T](stream, bufio.NewReaderSize(stream, readBufferBytes), d.heartbeat(), d.Stats, d.Panicked)
	go func() {
		c.closeOn(ctx)
		cancel(nil)
	}()
	return c, nil
}

func (d Dialer) dialTimeout() time.Duration {
	if d.DialTimeout == 0 {
		return dialTimeout
	}
	return d.DialTimeout
}

func (d Dialer) maxBackoff() time.Duration {
	if d.MaxBackoff == 0 {
		return maxBackoff
	}
	return d.MaxBackoff
}

func (d Dialer) heartbeat() time.Duration {
	if d.Heartbeat == 0 {
		return DefaultHeartbeatInterval
	}
	return d.Heartbeat
}

// Maintain keeps a link open until the context ends. It calls use with each link that
// it opens; when use returns, the link is closed and opened again after an exponential
// backoff, which is reset after a link that lasted longer than the maximum backoff.
// address is called before each attempt, as the peer may change; an empty address skips
// the attempt.
func Maintain[T any](ctx context.Context, d Dialer, address func() string, path string, use func(*Conn[T])) {
	backoff := minBackoff
	for ctx.Err() == nil {
		if target := address(); target != "" {
			if c, err := Dial[T](ctx, d, target, path); err == nil {
				opened := time.Now()
				use(c)
				c.Close()
				if time.Since(opened) > d.maxBackoff() {
					backoff = minBackoff
				}
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, d.maxBackoff())
	}
}
