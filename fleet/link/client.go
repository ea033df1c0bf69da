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

const (
	upgradeToken    = "baobabpaddle-link"
	heartbeatHeader = "Baobab-Heartbeat" // in milliseconds
	minBackoff      = 100 * time.Millisecond
	maxBackoff      = 2 * time.Second
	dialTimeout     = 3 * time.Second
)

// Dialer opens links.
type Dialer struct {
	Credential *credential.Credential
	// Heartbeat is how often both ends send a heartbeat when they are quiet; the
	// end that dials decides. Zero means DefaultHeartbeatInterval.
	Heartbeat time.Duration
	// DialTimeout bounds the opening of a link. Zero means dialTimeout.
	DialTimeout time.Duration
	// MaxBackoff bounds the pause before a link is dialled anew. Zero means
	// maxBackoff.
	MaxBackoff time.Duration
	Stats      *Stats
}

// Dial opens a link to the path at an address. The link ends with the context.
func Dial[T any](ctx context.Context, d Dialer, address, path string) (*Conn[T], error) {
	setup, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(d.dialTimeout(), func() { cancel(ErrSilent) })
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
		return nil, merry.Errorf("dial a link: %s", response.Status)
	}
	if !timer.Stop() {
		stream.Close()
		return nil, ErrSilent
	}
	c := newConn[T](stream, bufio.NewReaderSize(stream, readBufferBytes), d.heartbeat(), d.Stats)
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

// Keep holds a link open until the context ends, dialling anew with growing
// pauses. Use is called with each new link and returns when it is done with it.
// Address is asked before each dial.
func Keep[T any](ctx context.Context, d Dialer, address func() string, path string, use func(*Conn[T])) {
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
