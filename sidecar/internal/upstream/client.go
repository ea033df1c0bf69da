package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"baobabpaddle/fleet/share"
	"baobabpaddle/fleet/wire"
)

// Timings of calls to upstreams.
const (
	dialTimeout    = 2 * time.Second
	controlTimeout = 5 * time.Second
	maxLoadBytes   = 64 << 10
	maxIdle        = 64
	idleTimeout    = 10 * time.Second
)

// ErrNotSent tells that no byte of the request reached the upstream.
var ErrNotSent = merry.Sentinel("the upstream could not be reached")

// Client sends requests to upstreams. A request that may not be repeated has a
// connection of its own, so that the transport has no reason to send it twice
// by itself: that is what it does when a connection that was used before breaks.
type Client struct {
	once  *http.Client
	reuse *http.Client
}

// NewClient returns a client.
func NewClient() *Client {
	return &Client{
		once:  newHTTP(false),
		reuse: newHTTP(true),
	}
}

func newHTTP(reuse bool) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext: (&net.Dialer{
				Timeout: dialTimeout,
			}).DialContext,
			DisableKeepAlives:   !reuse,
			MaxIdleConnsPerHost: maxIdle,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Do sends the request and returns the answer, whose body the caller closes.
// ErrNotSent tells that the upstream certainly has not seen the request.
func (c *Client) Do(ctx context.Context, url string, r *wire.RunRequest, body []byte) (*http.Response, error) {
	// The transport may send a repeatable request on a second connection by
	// itself. Only when it never had one is it certain that nothing was sent.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, r.Method, url+r.Path, bytes.NewReader(body))
	if err != nil {
		return nil, merry.Prependf(ErrNotSent, "%v", err)
	}
	request.GetBody = nil
	for name, values := range r.Header {
		request.Header[name] = values
	}
	client := c.once
	if r.Idempotent {
		client = c.reuse
	}
	response, err := client.Do(request)
	if err == nil {
		return response, nil
	}
	if !connected.Load() {
		return nil, merry.Prependf(ErrNotSent, "%v", err)
	}
	return nil, merry.Prepend(err, "upstream")
}

// load is the body of an engine's GET /load.
type load struct {
	Sequence uint64    `json:"sequence"`
	At       time.Time `json:"at"`
	Running  int       `json:"running"`
	Waiting  int       `json:"waiting"`
	KVUsed   float64   `json:"kv_used"`
}

// Load reads what an engine reports of itself.
func (c *Client) Load(ctx context.Context, url string) (share.Load, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/load", nil)
	if err != nil {
		return share.Load{}, merry.Prepend(err, "load")
	}
	response, err := c.reuse.Do(request)
	if err != nil {
		return share.Load{}, merry.Prepend(err, "load")
	}
	defer response.Body.Close()
	var l load
	if response.StatusCode != http.StatusOK {
		return share.Load{}, merry.Errorf("load: %s", response.Status)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxLoadBytes)).Decode(&l); err != nil {
		return share.Load{}, merry.Prepend(err, "load")
	}
	return share.Load{
		Sequence: l.Sequence,
		At:       l.At,
		Running:  l.Running,
		Waiting:  l.Waiting,
		KVUsed:   l.KVUsed,
	}, nil
}

// engineOrder is the body of an engine's POST /orders.
type engineOrder struct {
	Fencing      uint64   `json:"fencing"`
	Model        string   `json:"model"`
	ModelVersion string   `json:"model_version"`
	Adapters     []string `json:"adapters,omitempty"`
	Role         string   `json:"role,omitempty"`
}

// Order gives an engine an order under its fencing number.
func (c *Client) Order(ctx context.Context, url string, o wire.Order) error {
	data, err := json.Marshal(engineOrder{
		Fencing:      o.FencingToken,
		Model:        o.Want.Model,
		ModelVersion: o.Want.ModelVersion,
		Adapters:     o.Want.Adapters,
		Role:         o.Want.Role,
	})
	if err != nil {
		return merry.Prepend(err, "encode an order")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/orders", bytes.NewReader(data))
	if err != nil {
		return merry.Prepend(err, "order")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.once.Do(request)
	if err != nil {
		return merry.Prepend(err, "order")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return merry.Errorf("order: %s", response.Status)
	}
	return nil
}
