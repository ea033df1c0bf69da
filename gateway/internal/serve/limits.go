package serve

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"baobabpaddle/fleet/problem"
)

// Limits bound the memory and length of the requests and answers of a Handler, in bytes.
type Limits struct {
	// BufferedBytes is the length up to which an answer is read to its end before it is
	// forwarded.
	BufferedBytes int
	// AnswerBytes bounds an answer that is forwarded as it arrives and is no stream.
	AnswerBytes int64
	// EventBytes bounds one event of a stream.
	EventBytes int
	// TotalBodyBytes bounds the memory that is held for all callers together: the bodies of
	// requests, heads that are long or of many fields, and answers that are read to their end.
	TotalBodyBytes int64
}

// initialBodyBytes bounds the memory reserved for a body before any of it has arrived.
const initialBodyBytes = 16 << 10

// byteBudget bounds the bytes reserved for callers. It is safe for concurrent use.
type byteBudget struct {
	limit int64
	used  atomic.Int64
}

// reserve reserves n bytes and reports whether the budget had room for them.
func (b *byteBudget) reserve(n int64) bool {
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

// reservedFraction is the part of the limit in addition to it that connections may use for
// which larger ones are given up.
const reservedFraction = 8

// reserveBeyond is like reserve, but has room for a part beyond the limit.
func (b *byteBudget) reserveBeyond(n int64) bool {
	if b.used.Add(n) > b.limit+b.limit/reservedFraction {
		b.used.Add(-n)
		return false
	}
	return true
}

// release returns n reserved bytes to the budget.
func (b *byteBudget) release(n int64) { b.used.Add(-n) }

// headTooLarge reports whether the head of the request is longer than the configuration
// allows.
func (x *exchange) headTooLarge() bool {
	limit := x.view.Table.Configuration.Limits.MaxHeaderBytes
	if limit <= 0 {
		return false
	}
	const separators = len(": \r\n")
	size := len(x.r.Method) + len(x.r.RequestURI) + len(x.r.Proto) + len(x.r.Host)
	for name, values := range x.r.Header {
		for _, v := range values {
			size += len(name) + len(v) + separators
		}
	}
	return size > limit
}

// errBodyMemory is returned when a body does not fit into Limits.TotalBodyBytes.
var errBodyMemory = errors.New("request body exceeds the memory left for bodies of all requests")

// readBody reads the whole body of the request. If it can't, it sends the refusal and
// returns false. It panics with http.ErrAbortHandler if the request was given up and refused
// meanwhile.
func (x *exchange) readBody() bool {
	if x.r.Body == nil || x.r.Body == http.NoBody || x.r.ContentLength == 0 {
		return true
	}
	limit := x.view.Table.Configuration.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if x.r.ContentLength > limit {
		x.refuse(http.StatusRequestEntityTooLarge, problem.BodyTooLarge, "the body is too large", 0)
		return false
	}
	control := http.NewResponseController(x.w)
	// If the deadline can't be set, the read fails as well.
	_ = control.SetReadDeadline(x.deadline)
	x.beginBody()
	err := x.receive(http.MaxBytesReader(x.w, x.r.Body, limit))
	x.held.bodyRead = true
	if x.endBody() {
		x.held.conn.reportDropped()
		panic(http.ErrAbortHandler) // its caller was refused
	}
	if err == nil {
		// The connection may be reused, and the server detects with a read without a
		// deadline that the caller closes it.
		_ = control.SetReadDeadline(time.Time{})
	} else {
		// A deadline in the past keeps the server from reading the rest before it answers.
		_ = control.SetReadDeadline(x.arrived)
		x.w.Header().Set("Connection", "close")
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return true
	case errors.As(err, &tooLarge):
		x.refuse(http.StatusRequestEntityTooLarge, problem.BodyTooLarge, "the body is too large", 0)
	case errors.Is(err, errBodyMemory):
		x.refuse(http.StatusServiceUnavailable, problem.TooManyWaiting, "this gateway has no memory for another body", shedRetryAfter)
		x.reportLocalRefusal()
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.refuse(http.StatusRequestTimeout, problem.BodyTruncated, "the body did not come in time", 0)
	default:
		x.refuse(http.StatusBadRequest, problem.BodyTruncated, "the body ended early", 0)
	}
	return false
}

// receive reads the body. It reserves memory as bytes arrive and not for the announced
// length, so that callers can't exhaust the memory with bodies that they never send.
func (x *exchange) receive(body io.Reader) error {
	first := int64(initialBodyBytes)
	if x.r.ContentLength > 0 {
		first = min(first, x.r.ContentLength)
	}
	if !x.growBody(int(first)) {
		return errBodyMemory
	}
	for {
		if len(x.body) == cap(x.body) {
			if int64(len(x.body)) == x.r.ContentLength {
				return nil
			}
			if !x.growBody(len(x.body)) {
				return errBodyMemory
			}
		}
		n, err := body.Read(x.body[len(x.body):cap(x.body)])
		x.body = x.body[:len(x.body)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// growBody grows the capacity of the body by more bytes, but not beyond the announced
// length. It reports whether the budget had room for them.
func (x *exchange) growBody(more int) bool {
	if x.r.ContentLength > 0 {
		more = min(more, int(x.r.ContentLength)-len(x.body))
	}
	if !x.reserve(int64(more)) {
		return false
	}
	grown := make([]byte, len(x.body), cap(x.body)+more) // no more than what is reserved
	copy(grown, x.body)
	x.body = grown
	return true
}
