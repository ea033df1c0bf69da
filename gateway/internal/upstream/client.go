package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"baobabpaddle/fleet/tcp"
)

// Timings and sizes of a Client.
const (
	// dialTimeout is how long opening a connection may take before the upstream counts as
	// unreachable.
	dialTimeout = 700 * time.Millisecond
	// maxIdleTime is the maximum time that an idle connection is kept, and the time used if
	// the upstream's Keep-Alive header names none.
	maxIdleTime = 4 * time.Second
	// idleTimeFraction is the fraction of the upstream's idle timeout for which an idle
	// connection is kept, so that the client closes it before the upstream does.
	idleTimeFraction = 0.6
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure TCP keep-alive to
	// detect a dead host within some seconds.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	readBufferBytes   = 4 << 10
	// maxForeignAnswers is the maximum number of answers to earlier requests that are
	// discarded before the answer.
	maxForeignAnswers = 2
	// maxForeignBytes bounds the body of a discarded answer.
	maxForeignBytes = 1 << 20
	// maxInlineBytes is the maximum size of a request that is written before its answer is
	// read. Larger ones are written concurrently, since an upstream may answer before it
	// has read the whole request.
	maxInlineBytes = 16 << 10
	// bodyWriteTimeout is how long the writing of a request may go on after its answer.
	bodyWriteTimeout = time.Second
)

// Errors of a Client.
var (
	// ErrAbandoned means that Request.Abandoned returned true; nothing was sent.
	ErrAbandoned = merry.Sentinel("the request was abandoned before it was sent")
	// ErrUnreachable means that no connection could be made; nothing was sent.
	ErrUnreachable = merry.Sentinel("the upstream can't be reached")
	// ErrNoConns means that Limits.Conns connections are open and in use; nothing was sent.
	ErrNoConns = merry.Sentinel("as many connections to upstreams are open as the process may have")
	// ErrBroken means that the exchange failed after the request was sent, at least in
	// part.
	ErrBroken = merry.Sentinel("the exchange with the upstream failed")
	// ErrStalled means that the exchange was abandoned by its StallPolicy after the request
	// was sent.
	ErrStalled = merry.Sentinel("the upstream's answer made no progress within the stall timeout")
	// ErrTooLong means that the upstream exceeded a limit on the size of an answer or on the
	// number of interim answers.
	ErrTooLong = merry.Sentinel("the upstream exceeded a limit on the size of an answer or on interim answers")
	// ErrWrongAttempt means that the connection delivered answers to other attempts.
	ErrWrongAttempt = merry.Sentinel("the upstream answered other attempts than the one sent")
	// ErrUnnamedAttempt means that the answer names no attempt, on a connection on which it
	// may belong to an earlier request.
	ErrUnnamedAttempt = merry.Sentinel("the upstream's answer on a kept connection names no attempt")
)

// Request is a complete request.
type Request struct {
	Method string
	// Head is the request line and all header lines, without the final empty line.
	Head []byte
	Body []byte
	// ID identifies the attempt. An answer that names another one belongs to an earlier
	// request and is discarded. One that names none belongs to the request only if it is
	// the first on its connection; otherwise the exchange fails.
	ID string
	// Deadline is when the exchange ends, including the reading of the body. What has arrived by then is
	// read also later, within lateReadTime and maxLateBytes.
	Deadline time.Time
	Stall    StallPolicy
	// Abandoned reports whether nobody waits for the answer any longer. It is called before
	// the request is written; if it returns true, the request is not sent. Nil means that the
	// request is never abandoned.
	Abandoned func() bool
	// Watch is called once a connection is chosen, with a function that aborts the exchange without
	// another goroutine. The context of Send must have ended before a call of abort. Stop is called
	// when the exchange has ended, maybe more than once; abort must not be called after it. Nil means
	// that only the context ends the exchange.
	Watch func(abort func()) (stop func())
}

// watch calls Watch if there is one.
func (r Request) watch(abort func()) (stop func()) {
	if r.Watch == nil {
		return func() {}
	}
	return r.Watch(abort)
}

// abandoned reports whether nobody waits for the answer any longer.
func (r Request) abandoned() bool { return r.Abandoned != nil && r.Abandoned() }

// Limits bounds what an upstream may send up to the end of an answer's head.
type Limits struct {
	// HeadBytes is the maximum size of an answer's head, including interim answers.
	HeadBytes int
	// Interim is the maximum number of interim answers (status 1xx).
	Interim int
	// Conns is the maximum number of open connections; zero means no limit.
	Conns int
}

// Client sends requests and pools connections to upstreams. Its methods are safe for
// concurrent use.
type Client struct {
	// attemptOf returns the ID of the attempt that an answer names, or "".
	attemptOf func(status int, h http.Header) string
	dialer    net.Dialer
	limits    Limits

	mu   sync.Mutex
	idle map[string][]*conn // by address, most recently used last
	open int                // connections, and those being opened
	// refusalChecks are the last checks of Refuses by address.
	refusalChecks map[string]*refusalCheck
}

// New returns a client without connections. The function attempt returns the ID of the
// attempt that an answer names, or "" if it names none.
func New(limits Limits, attempt func(status int, h http.Header) string) *Client {
	return &Client{
		attemptOf: attempt,
		limits:    limits,
		dialer: net.Dialer{
			Timeout: dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable:   true,
				Idle:     keepAliveIdle,
				Interval: keepAliveInterval,
				Count:    keepAliveCount,
			},
		},
		idle:          make(map[string][]*conn),
		refusalChecks: make(map[string]*refusalCheck),
	}
}

// conn is one connection to an upstream.
type conn struct {
	*tcp.Conn
	client  *Client
	closed  sync.Once
	address string
	reader  *bufio.Reader
	// used is true after the first answer on the connection. The upstream may send that one
	// again in place of a later one.
	used bool
	// headBytesLeft is how many more bytes may be read while readingHead is true.
	headBytesLeft int
	readingHead   bool
	// stall is nil unless the exchange in progress has a StallPolicy.
	stall *stallTimer
	// late is nil unless an exchange is in progress.
	late *lateReader
	// idleUntil is the time after which the idle connection is not reused.
	idleUntil time.Time
}

// close closes the connection, which may be closed already, and frees its place.
func (k *conn) close() {
	k.closed.Do(k.client.leavePlace)
	k.Close()
}

// abort ends the sending side at once, so that the upstream need not wait for the goroutine that closes
// the connection, and fails all reads and writes. The connection can't be used further.
func (k *conn) abort() {
	// The connection may have ended already.
	_ = k.CloseWrite()
	_ = k.SetDeadline(pastDeadline)
}

// Read implements io.Reader. While a head is read it returns ErrTooLong after the limit.
func (k *conn) Read(p []byte) (int, error) {
	if k.readingHead {
		if k.headBytesLeft <= 0 {
			return 0, ErrTooLong
		}
		p = p[:min(len(p), k.headBytesLeft)]
	}
	n, err := k.readInTime(p)
	k.headBytesLeft -= n
	return n, err
}

// readInTime reads until the deadline of the exchange, and then what has arrived by it.
func (k *conn) readInTime(p []byte) (n int, err error) {
	if k.late.begun() {
		return k.late.read(p)
	}
	if k.stall == nil {
		n, err = k.Conn.Read(p)
	} else {
		n, err = k.stall.read(p)
	}
	if n == 0 && k.late.begin(err) {
		return k.late.read(p)
	}
	return n, err
}

// takeIdle removes a reusable connection from the pool and returns it, or nil if there is
// none. It closes those that can't be reused.
func (c *Client) takeIdle(address string) *conn {
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
		if now.Before(k.idleUntil) && k.reusable() {
			return k
		}
		k.close()
	}
}

// putIdle adds a connection to the pool.
func (c *Client) putIdle(k *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[k.address] = append(c.idle[k.address], k)
}

// Prune closes the connections whose idle time is over.
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
	for address, check := range c.refusalChecks {
		if check.expired(now) {
			delete(c.refusalChecks, address)
		}
	}
	c.mu.Unlock()
	for _, k := range old {
		k.close()
	}
}

// Idle returns the number of pooled connections.
func (c *Client) Idle() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, list := range c.idle {
		n += len(list)
	}
	return n
}

// takePlace counts a connection that is to be opened. At the limit it closes an idle one, and
// reports false if there is none.
func (c *Client) takePlace() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limits.Conns <= 0 || c.open < c.limits.Conns {
		c.open++
		return true
	}
	for address, list := range c.idle {
		if len(list) == 0 {
			continue
		}
		oldest := list[0]
		c.idle[address] = list[1:]
		go oldest.close() // frees a place
		c.open++
		return true
	}
	return false
}

// leavePlace counts a connection that was closed or not opened.
func (c *Client) leavePlace() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
}

// dial opens a connection. Its error wraps ErrUnreachable or is ErrNoConns.
func (c *Client) dial(ctx context.Context, address string) (*conn, error) {
	if !c.takePlace() {
		return nil, ErrNoConns
	}
	k, err := c.connect(ctx, address)
	if err != nil {
		return nil, merry.Wrap(ErrUnreachable, merry.PrependMessagef("%v", err), merry.WithCause(err))
	}
	return k, nil
}

// connect opens a connection that is counted already.
func (c *Client) connect(ctx context.Context, address string) (*conn, error) {
	stream, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		c.leavePlace()
		return nil, err
	}
	k := &conn{
		Conn:    tcp.New(stream),
		address: address,
		client:  c,
	}
	k.reader = bufio.NewReaderSize(k, readBufferBytes)
	return k, nil
}
