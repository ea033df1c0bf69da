package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

// Answer is an upstream's answer. Its body is read with Read. Close must be called.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes; -1 means unknown.
	Length int64

	client  *Client
	conn    *conn
	ctx     context.Context
	request Request
	body    io.ReadCloser
	// ahead and aheadErr are what ReadAhead has read and Read has not returned yet.
	ahead      []byte
	aheadErr   error
	framed     bool       // the end of the body is marked by a length or by chunks
	written    chan error // receives the result of a concurrent write of the request; nil otherwise
	stopCancel func() bool
	closing    bool // the upstream closes the connection after the answer
	complete   bool
}

// pastDeadline is a time in the past; as a deadline it fails all reads and writes.
var pastDeadline = time.Unix(1, 0)

// Send sends a request to an address and returns the answer once its head has arrived. The
// end of the context aborts the exchange, including the reading of the body. The error wraps
// ErrUnreachable or ErrAbandoned if nothing was sent; after ErrStalled or ErrBroken the
// upstream may have received the request.
func (c *Client) Send(ctx context.Context, address string, r Request) (*Answer, error) {
	if r.abandoned() {
		return nil, ErrAbandoned
	}
	var k *conn
	if r.ID != "" { // otherwise only a connection of its own shows which answer is the request's
		k = c.takeIdle(address)
	}
	if k == nil {
		var err error
		if k, err = c.dial(ctx, address); err != nil {
			return nil, err
		}
		if r.abandoned() {
			k.close()
			return nil, ErrAbandoned
		}
	}
	answered := false
	defer func() {
		if !answered { // a function of the request may have panicked
			k.close()
		}
	}()
	if err := k.SetDeadline(r.Deadline); err != nil {
		return nil, merry.Prependf(ErrUnreachable, "%v", err)
	}
	k.stall = newStallTimer(ctx, k, r.Stall, r.Deadline)
	k.late = newLateReader(ctx, k, r.Deadline)
	a := &Answer{
		client:  c,
		conn:    k,
		ctx:     ctx,
		request: r,
	}
	stopCancel, stopWatch := context.AfterFunc(ctx, k.abort), r.watch(k.abort)
	a.stopCancel = func() bool {
		stopWatch()
		return stopCancel()
	}
	if err := a.exchange(r); err != nil {
		a.discard()
		if errors.Is(err, ErrStalled) {
			return nil, err
		}
		return nil, merry.Prependf(ErrBroken, "%v", err)
	}
	answered = true
	return a, nil
}

// exchange writes the request and reads the head of its answer.
func (a *Answer) exchange(r Request) error {
	head := append(r.Head, "\r\n"...)
	if len(head)+len(r.Body) <= maxInlineBytes {
		if err := writeAll(a.conn, head, r.Body); err != nil {
			return err
		}
	} else {
		a.written = make(chan error, 1)
		k := a.conn // a.conn may be set to nil before the writing begins
		go func() { a.written <- writeAll(k, head, r.Body) }()
	}
	for range maxForeignAnswers + 1 {
		response, err := a.readHead(r.Method)
		if err != nil {
			return err
		}
		switch id := a.client.attemptOf(response.StatusCode, response.Header); {
		case id == "" && a.conn.used:
			return ErrUnnamedAttempt
		case id == "" || id == r.ID:
			a.accept(response)
			return nil
		}
		if err := discardBody(response); err != nil {
			return err
		}
		a.conn.used = true
	}
	return ErrWrongAttempt
}

// writeAll writes head and body, in one system call if possible.
func writeAll(w net.Conn, head, body []byte) error {
	buffers := net.Buffers{head, body}
	_, err := buffers.WriteTo(w)
	return err
}

// discardBody reads the body of an answer to another attempt, and returns why the connection
// can't be used further. The error wraps ErrStalled if the exchange was abandoned meanwhile.
func discardBody(response *http.Response) error {
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return ErrWrongAttempt // the body ends with the connection
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxForeignBytes))
	if err != nil {
		return merry.Prepend(err, "an answer to another attempt")
	}
	if n >= maxForeignBytes {
		return ErrWrongAttempt
	}
	return nil
}

// accept fills the answer from the response.
func (a *Answer) accept(response *http.Response) {
	a.Status = response.StatusCode
	a.Header = response.Header
	a.Length = response.ContentLength
	a.body = response.Body
	a.framed = response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	a.closing = response.Close
}

// Framed reports whether the body has a length or is chunked, so that its end can be told
// from a broken connection.
func (a *Answer) Framed() bool { return a.framed }

// Closing reports whether the upstream closes the connection after this answer.
func (a *Answer) Closing() bool { return a.closing }

// Buffered returns the number of bytes that have arrived and are not read yet.
func (a *Answer) Buffered() int { return a.conn.reader.Buffered() }

// MarkProgress records that the data read so far advances the answer. An answer that delivers
// bytes without progress is abandoned like one that delivers nothing.
func (a *Answer) MarkProgress(now time.Time) { a.conn.stall.markProgress(now) }

// SetStallPolicy replaces the policy of the request. It must not be called while the answer is read.
func (a *Answer) SetStallPolicy(p StallPolicy) {
	a.conn.stall.end()
	a.conn.stall = newStallTimer(a.ctx, a.conn, p, a.request.Deadline)
}

// Read reads the body. An error other than io.EOF means that the body is incomplete.
func (a *Answer) Read(p []byte) (int, error) {
	if len(a.ahead) > 0 {
		n := copy(p, a.ahead)
		a.ahead = a.ahead[n:]
		return n, nil
	}
	if a.aheadErr != nil {
		return 0, a.aheadErr
	}
	return a.readBody(p)
}

// readBody reads the body from the connection.
func (a *Answer) readBody(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if err == io.EOF {
		a.complete = true
	}
	return n, err
}

// ReadAhead reads the body until enough returns true or an error for all that has been read, or
// the body ends, and returns the error of enough or of the body. At the end of the body ended is
// true. Read then returns the same bytes again. It must be called before Read.
func (a *Answer) ReadAhead(enough func(read []byte) (bool, error)) (ended bool, err error) {
	for {
		a.ahead = slices.Grow(a.ahead, readBufferBytes)
		n, err := a.readBody(a.ahead[len(a.ahead):cap(a.ahead)])
		a.ahead = a.ahead[:len(a.ahead)+n]
		a.aheadErr = err
		if n > 0 {
			if done, err := enough(a.ahead); done || err != nil {
				return errors.Is(a.aheadErr, io.EOF), err
			}
		}
		if errors.Is(err, io.EOF) {
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
}

// RequestErr returns the error with which the writing of the request ended, or nil if it
// succeeded or goes on. An upstream may answer before it has read the whole request.
func (a *Answer) RequestErr() error {
	if a.written == nil {
		return nil
	}
	select {
	case err := <-a.written:
		a.written <- err // for the next call
		return err
	default:
		return nil
	}
}

// Close ends the exchange. The connection returns to the pool if the request was written and
// the answer read completely, and nothing followed it. Otherwise it is closed, which signals
// the upstream to stop.
func (a *Answer) Close() {
	if a.conn == nil {
		return
	}
	if !a.complete || !a.framed || a.closing || a.conn.reader.Buffered() > 0 || !a.stopCancel() || !a.bodySent() {
		a.discard()
		return
	}
	k := a.conn
	a.conn = nil
	k.stall.end()
	k.stall, k.late = nil, nil
	if k.SetDeadline(time.Time{}) != nil {
		k.close()
		return
	}
	k.used = true
	k.idleUntil = time.Now().Add(idleTime(a.Header))
	a.client.putIdle(k)
}

// bodySent reports whether the whole request was written. It waits for up to
// bodyWriteTimeout.
func (a *Answer) bodySent() bool {
	if a.written == nil {
		return true
	}
	select {
	case err := <-a.written:
		return err == nil
	case <-time.After(bodyWriteTimeout):
		return false
	}
}

// discard closes the connection.
func (a *Answer) discard() {
	a.stopCancel()
	a.conn.stall.end()
	a.conn.close()
	a.conn = nil
}

// idleTime returns how long a connection may be idle before it is closed, according to the
// header Keep-Alive of an answer.
func idleTime(h http.Header) time.Duration {
	for _, v := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(v), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return min(maxIdleTime, time.Duration(idleTimeFraction*float64(seconds)*float64(time.Second)))
		}
	}
	return maxIdleTime
}
