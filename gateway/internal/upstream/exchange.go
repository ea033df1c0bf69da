package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

// Answer is an upstream's answer. It must be closed.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of the body; -1 is unknown.
	Length int64

	client  *Client
	conn    *conn
	ctx     context.Context
	request Request
	// progress is when the caller of Read last said that the answer goes on; zero is
	// never.
	progress time.Time
	body     io.ReadCloser
	framed   bool       // the body's end shows without the connection's end
	written  chan error // of a request that is still being written, or nil
	stop     func() bool
	close    bool // the upstream closes the connection
	ended    bool
}

// longAgo is a deadline that ends all reads and writes.
var longAgo = time.Unix(1, 0)

// Send sends a request to an address and returns the answer once its head is
// there. The context's end breaks the exchange off. After ErrUnreachable nothing
// was sent; after any other error the upstream may have the request.
func (c *Client) Send(ctx context.Context, address string, r Request) (*Answer, error) {
	k := c.take(address)
	if k == nil {
		var err error
		if k, err = c.dial(ctx, address); err != nil {
			return nil, err
		}
	}
	if err := k.SetDeadline(r.Deadline); err != nil {
		k.Close()
		return nil, merry.Prependf(ErrUnreachable, "%v", err)
	}
	a := &Answer{
		client:  c,
		conn:    k,
		ctx:     ctx,
		request: r,
		stop:    context.AfterFunc(ctx, func() { _ = k.SetDeadline(longAgo) }),
	}
	if err := a.exchange(r); err != nil {
		a.abandon()
		if errors.Is(err, ErrStalled) {
			return nil, err
		}
		return nil, merry.Prependf(ErrBroken, "%v", err)
	}
	return a, nil
}

// exchange writes the request and reads the head of its answer.
func (a *Answer) exchange(r Request) error {
	head := append(r.Head, "\r\n"...)
	if len(head)+len(r.Body) <= inlineBytes {
		if err := writeAll(a.conn, head, r.Body); err != nil {
			return err
		}
	} else {
		a.written = make(chan error, 1)
		k := a.conn // the answer may be abandoned before the writing begins
		go func() { a.written <- writeAll(k, head, r.Body) }()
	}
	for range maxStrays + 1 {
		if err := a.wait(r.Stall.FirstByteBy); err != nil {
			return err
		}
		response, err := a.readHead(r.Method)
		if err != nil {
			return err
		}
		if id := a.client.attempt(response.StatusCode, response.Header); id == "" || id == r.ID {
			a.accept(response)
			return nil
		}
		if !skip(response) {
			return ErrWrongAttempt
		}
	}
	return ErrWrongAttempt
}

// wait waits until something has arrived. It gives the exchange up if that takes
// until a time that lies before the deadline, and something else can be done about
// the request.
func (a *Answer) wait(until time.Time) error {
	p := a.request.Stall
	if p.OnStall == nil || !until.Before(a.request.Deadline) || a.conn.reader.Buffered() > 0 {
		return nil
	}
	if err := a.waitUntil(until); err != nil {
		return err
	}
	_, err := a.conn.reader.Peek(1)
	if err == nil || errors.Is(err, io.EOF) {
		return nil
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) || a.ctx.Err() != nil {
		return err // after a reset, another read would find an end like any other
	}
	if p.OnStall() {
		return ErrStalled
	}
	a.request.Stall.OnStall = nil
	return a.waitUntil(a.request.Deadline)
}

// waitUntil bounds the following reads, unless the context has ended them.
func (a *Answer) waitUntil(t time.Time) error {
	if err := a.conn.SetReadDeadline(t); err != nil {
		return err
	}
	return a.ctx.Err()
}

func writeAll(w net.Conn, head, body []byte) error {
	buffers := net.Buffers{head, body}
	_, err := buffers.WriteTo(w)
	return err
}

// readHead reads the next final response.
func (a *Answer) readHead(method string) (*http.Response, error) {
	asked := &http.Request{
		Method: method,
	}
	k := a.conn
	k.inHead, k.headLeft = true, a.client.limits.HeadBytes
	defer func() { k.inHead = false }()
	for range a.client.limits.Interim + 1 {
		response, err := http.ReadResponse(a.conn.reader, asked)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
		// Interim responses say nothing about the answer.
	}
	return nil, ErrTooLong
}

// skip reads over an answer that belongs to another request.
func skip(response *http.Response) bool {
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return false // it ends with the connection
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStrayBytes))
	return err == nil && n < maxStrayBytes
}

func (a *Answer) accept(response *http.Response) {
	a.Status = response.StatusCode
	a.Header = response.Header
	a.Length = response.ContentLength
	a.body = response.Body
	a.framed = response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	a.close = response.Close
}

// Framed reports whether the body's end can be told from a broken connection.
func (a *Answer) Framed() bool { return a.framed }

// Closing reports whether the upstream closes the connection after the answer.
func (a *Answer) Closing() bool { return a.close }

// Buffered returns how many bytes have arrived and wait to be read.
func (a *Answer) Buffered() int { return a.conn.reader.Buffered() }

// MarkProgress notes that what was read takes the answer further. An answer that brings
// bytes but no progress is given up like a silent one.
func (a *Answer) MarkProgress(now time.Time) { a.progress = now }

// Read reads the body. An error other than io.EOF tells that it is not complete.
func (a *Answer) Read(p []byte) (int, error) {
	until := a.request.Stall.FirstByteBy
	if !a.progress.IsZero() {
		until = a.progress.Add(a.request.Stall.ProgressTimeout)
	}
	if err := a.wait(until); err != nil {
		return 0, err
	}
	n, err := a.body.Read(p)
	if err == io.EOF {
		a.ended = true
	}
	return n, err
}

// Close ends the exchange. The connection is kept if the answer was read to its
// end and nothing followed it; otherwise it is closed, which tells the upstream
// to stop.
func (a *Answer) Close() {
	if a.conn == nil {
		return
	}
	if !a.ended || !a.framed || a.close || a.conn.reader.Buffered() > 0 || !a.stop() || !a.bodySent() {
		a.abandon()
		return
	}
	k := a.conn
	a.conn = nil
	if k.SetDeadline(time.Time{}) != nil {
		k.Close()
		return
	}
	k.used = true
	k.idleUntil = time.Now().Add(idleTime(a.Header))
	a.client.put(k)
}

// bodySent reports whether the request's body is written to its end, waiting a
// little for it.
func (a *Answer) bodySent() bool {
	if a.written == nil {
		return true
	}
	select {
	case err := <-a.written:
		return err == nil
	case <-time.After(bodyGrace):
		return false
	}
}

func (a *Answer) abandon() {
	a.stop()
	a.conn.Close()
	a.conn = nil
}

// idleTime returns how long a connection may wait for another request.
func idleTime(h http.Header) time.Duration {
	for _, v := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(v), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return min(maxIdle, time.Duration(keepAlivePart*float64(seconds)*float64(time.Second)))
		}
	}
	return maxIdle
}
