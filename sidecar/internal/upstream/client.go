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
	"baobabpaddle/fleet/tcp"
	"baobabpaddle/fleet/wire"
)

// Timeouts and limits of calls to upstreams. loadTimeout is for one load report.
const (
	dialTimeout  = 2 * time.Second
	loadTimeout  = 5 * time.Second
	maxLoadBytes = 64 << 10
	// maxHeadBytes is the maximum size of an answer's head, including interim answers.
	maxHeadBytes    = 64 << 10
	maxIdlePerHost  = 64
	idleConnTimeout = 10 * time.Second
)

// ErrNotSent is wrapped by errors after which no byte of the request can have reached the
// upstream.
var ErrNotSent = merry.Sentinel("request not sent: no connection to the upstream")

// Client sends requests to upstreams. It opens a new connection for each request, because
// nothing but its connection tells which request an answer belongs to, and because Go's
// transport resends a request if a connection that it reuses breaks. Only load reports share
// connections. It is safe for concurrent use.
type Client struct {
	singleUse *http.Client
	keepAlive *http.Client // for load reports
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{
		singleUse: newHTTPClient(false),
		keepAlive: newHTTPClient(true),
	}
}

// newHTTPClient returns an HTTP client that follows no redirects and leaves compressed
// bodies as they are. Without keepAlive each request has a connection of its own.
func newHTTPClient(keepAlive bool) *http.Client {
	dialer := net.Dialer{
		Timeout: dialTimeout,
	}
	return &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := dialer.DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return &headConn{
					Conn: tcp.New(c),
				}, nil
			},
			DisableKeepAlives:      !keepAlive,
			MaxIdleConnsPerHost:    maxIdlePerHost,
			IdleConnTimeout:        idleConnTimeout,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeadBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Do sends the request to the upstream at the URL and returns the response, whose body the
// caller must close. Its status is that of a final answer. The error wraps ErrNotSent if the
// request was certainly not sent.
func (c *Client) Do(ctx context.Context, url string, r *wire.RunRequest, body []byte) (*http.Response, error) {
	// Nothing was sent for certain only if the transport never obtained a connection.
	var connected atomic.Pointer[httptrace.GotConnInfo]
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { connected.Store(&info) },
	})
	request, err := http.NewRequestWithContext(ctx, r.Method, url+r.Path, bytes.NewReader(body))
	if err != nil {
		return nil, merry.Prependf(ErrNotSent, "%v", err)
	}
	request.GetBody = nil
	for name, values := range r.Header {
		request.Header[name] = values
	}
	response, err := c.singleUse.Do(request)
	if err != nil && connected.Load() == nil {
		return nil, merry.Prependf(ErrNotSent, "%v", err)
	}
	if err != nil {
		return nil, merry.Prepend(err, "upstream")
	}
	if err := checkHead(response, connected.Load().Conn); err != nil {
		response.Body.Close()
		return nil, err
	}
	return response, nil
}

// load is the body of the response to an engine's GET /load.
type load struct {
	Sequence uint64    `json:"sequence"`
	At       time.Time `json:"at"`
	Running  int       `json:"running"`
	Waiting  int       `json:"waiting"`
	KVUsed   float64   `json:"kv_used"`
}

// Load reads the load report of the engine at the URL.
func (c *Client) Load(ctx context.Context, url string) (share.Load, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/load", nil)
	if err != nil {
		return share.Load{}, merry.Prepend(err, "load")
	}
	response, err := c.keepAlive.Do(request)
	if err != nil {
		return share.Load{}, merry.Prepend(err, "load")
	}
	defer response.Body.Close()
	var l load
	if response.StatusCode != http.StatusOK {
		return share.Load{}, merry.Errorf("load: status %s, want 200", response.Status)
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

// engineOrder is the body of a POST /orders to an engine.
type engineOrder struct {
	Fencing      uint64   `json:"fencing"`
	Model        string   `json:"model"`
	ModelVersion string   `json:"model_version"`
	Adapters     []string `json:"adapters,omitempty"`
	Role         string   `json:"role,omitempty"`
}

// Order sends an order with its fencing token to the engine at the URL. Any status except
// 200 is an error. Only the context limits how long it waits.
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
	response, err := c.singleUse.Do(request)
	if err != nil {
		return merry.Prepend(err, "order")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return merry.Errorf("order: %s", response.Status)
	}
	return nil
}
