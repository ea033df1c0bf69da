package upstream

import (
	"context"
	"errors"
	"os"
	"time"
)

const (
	// lateReadTime bounds the time in which an exchange reads what has arrived by its deadline. It
	// begins with the first read after the deadline, since the process may have had no processor time.
	lateReadTime = time.Second
	// maxLateBytes is the maximum number of bytes that an exchange reads after its deadline.
	maxLateBytes = 1 << 20
)

// lateReader reads what has arrived on the connection of an exchange by its deadline. It is for the
// goroutine that reads.
type lateReader struct {
	ctx       context.Context // of the exchange
	conn      *conn
	deadline  time.Time // of the exchange
	until     time.Time // zero before the first read after the deadline
	err       error     // of the read that the deadline ended
	bytesLeft int
}

// newLateReader returns the late reader of an exchange.
func newLateReader(ctx context.Context, k *conn, deadline time.Time) *lateReader {
	return &lateReader{
		ctx:       ctx,
		conn:      k,
		deadline:  deadline,
		bytesLeft: maxLateBytes,
	}
}

// begun reports whether a read was late.
func (l *lateReader) begun() bool { return l != nil && !l.until.IsZero() }

// begin reports whether a read ended with err since the deadline of the exchange had passed. Read reads from
// then on.
func (l *lateReader) begin(err error) bool {
	now := time.Now()
	if l == nil || !errors.Is(err, os.ErrDeadlineExceeded) || now.Before(l.deadline) {
		return false
	}
	l.until, l.err = now.Add(lateReadTime), err
	return true
}

// read reads what has arrived, without waiting. If nothing has arrived, at a bound and after the end of the
// context, it returns the error with which the deadline ended the exchange.
func (l *lateReader) read(p []byte) (int, error) {
	p = p[:min(len(p), l.bytesLeft)]
	if len(p) == 0 || l.ctx.Err() != nil || time.Now().After(l.until) {
		return 0, l.err
	}
	n, err := l.conn.ReadArrived(p)
	l.bytesLeft -= n
	if errors.Is(err, os.ErrDeadlineExceeded) {
		l.bytesLeft = 0
		return 0, l.err
	}
	return n, err
}
