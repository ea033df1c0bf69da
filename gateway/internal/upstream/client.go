package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// Timings and sizes of a Client.
const (
	// dialTimeout bounds the opening of a connection: an upstream that does not
	// answer for so long is taken to be unreachable.
	dialTimeout = 700 * time.Millisecond
	// maxIdle is how long a connection is kept for another request when the
	// upstream names no time of its own.
	maxIdle = 4 * time.Second
	// keepAlivePart is the part of the upstream's own idle time that is used.
	keepAlivePart = 0.6
	// keepAliveIdle and its interval and count find a peer whose host is gone
	// within some seconds.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	readBufferBytes   = 4 << 10
	// maxStrays is how many answers to earlier requests are skipped.
	maxStrays = 2
	// maxStrayBytes is how much of the body of such an answer is read.
	maxStrayBytes = 1 << 20
	// inlineBytes is up to which size a request is written before its answer is
	// read. Larger ones are written at the same time, since an upstream may
	// answer before it has read them.
	inlineBytes = 16 << 10
	// bodyGrace is how long a request may still be written after its answer.
	bodyGrace = time.Second
)

// Errors of a Client.
var (
	// ErrUnreachable tells that no connection could be made; nothing was sent.
	ErrUnreachable = merry.Sentinel("the upstream can't be reached")
	// ErrBroken tells that the connection broke after the request was sent, at
	// least in part.
	ErrBroken = merry.Sentinel("the connection to the upstream broke")
	// ErrStalled tells that the upstream has the request and sent nothing for so long
	// that the exchange was given up.
	ErrStalled = merry.Sentinel("the upstream sent nothing for too long")
	// ErrTooLong tells that what came instead of an answer has no end in sight.
	ErrTooLong = merry.Sentinel("the upstream sends bytes without an answer")
	// ErrWrongAttempt tells that answers to other requests came instead.
	ErrWrongAttempt = merry.Sentinel("answers to other requests came")
)

// Request is what is sent, complete.
type Request struct {
	Method string
	// Head is the request line and all header lines, without the empty line.
	Head []byte
	Body []byte
	// ID is the attempt that the answer must name; an answer that names another
	// one belongs to an earlier request and is skipped.
	ID string
	// Deadline bounds the exchange.
	Deadline time.Time
	Stall    StallPolicy
}

// Limits bound what an upstream may send before an answer.
type Limits struct {
	// HeadBytes bounds the head of an answer, interim answers before it included.
	HeadBytes int
	// Interim bounds the number of interim answers.
	Interim int
}

// StallPolicy tells when an exchange that brings nothing is given up before its
// deadline.
type StallPolicy struct {
	// FirstByteBy is until when the answer must begin; zero is the deadline.
	FirstByteBy time.Time
	// ProgressTimeout bounds the time without progress once there was some.
	ProgressTimeout time.Duration
	// OnStall is asked when nothing came in time; false waits on until the deadline.
	// Nil means that nothing is given up.
	OnStall func() bool
}

// Client keeps connections to upstreams.
type Client struct {
	// attempt returns which attempt an answer names, or "".
	attempt func(status int, h http.Header) string
	dialer  net.Dialer
	limits  Limits

	mu   sync.Mutex
	idle map[string][]*conn // by address, the last used one last
}

// New returns a client without connections. Attempt tells which attempt an
// answer names.
func New(limits Limits, attempt func(status int, h http.Header) string) *Client {
	return &Client{
		attempt: attempt,
		limits:  limits,
		dialer: net.Dialer{
			Timeout: dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable:   true,
				Idle:     keepAliveIdle,
				Interval: keepAliveInterval,
				Count:    keepAliveCount,
			},
		},
		idle: make(map[string][]*conn),
	}
}

// conn is one connection to an upstream.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	used    bool
	// headLeft is how many more bytes of a head may be read, while inHead.
	headLeft int
	inHead   bool
	// idleUntil is when the connection is no longer used again.
	idleUntil time.Time
}

// Read implements io.Reader. It bounds what may be read while a head is awaited.
func (k *conn) Read(p []byte) (int, error) {
	if k.inHead {
		if k.headLeft <= 0 {
			return 0, ErrTooLong
		}
		p = p[:min(len(p), k.headLeft)]
	}
	n, err := k.Conn.Read(p)
	k.headLeft -= n
	return n, err
}

// take returns an idle connection that is still good, or nil.
func (c *Client) take(address string) *conn {
	now := time.Now()
	for {
		c.mu.Lock()
		list := c.idle[address]
		if len(list) == 0 {
			c.mu.Unlock()
			return nil
		}
		k := list[len(list)-1]
		c.idle[address] = list[:len(list)-1]
		c.mu.Unlock()
		if now.Before(k.idleUntil) && k.quiet() {
			return k
		}
		k.Close()
	}
}

// put keeps a connection for another request.
func (c *Client) put(k *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[k.address] = append(c.idle[k.address], k)
}

// Prune closes connections that have been idle for too long.
func (c *Client) Prune(now time.Time) {
	var old []*conn
	c.mu.Lock()
	for address, list := range c.idle {
		kept := list[:0]
		for _, k := range list {
			if now.Before(k.idleUntil) {
				kept = append(kept, k)
			} else {
				old = append(old, k)
			}
		}
		if len(kept) == 0 {
			delete(c.idle, address)
		} else {
			c.idle[address] = kept
		}
	}
	c.mu.Unlock()
	for _, k := range old {
		k.Close()
	}
}

// Idle returns how many connections are kept.
func (c *Client) Idle() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, list := range c.idle {
		n += len(list)
	}
	return n
}

// dial opens a connection.
func (c *Client) dial(ctx context.Context, address string) (*conn, error) {
	stream, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, merry.Prependf(ErrUnreachable, "%v", err)
	}
	k := &conn{
		Conn:    stream,
		address: address,
	}
	k.reader = bufio.NewReaderSize(k, readBufferBytes)
	return k, nil
}
