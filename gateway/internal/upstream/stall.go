package upstream

import (
	"context"
	"errors"
	"os"
	"sync"
	"time"
)

// StallPolicy determines when an exchange without progress is reported before its deadline.
type StallPolicy struct {
	// FirstByteBy is the time by which data must arrive until the first call of
	// Answer.MarkProgress.
	FirstByteBy time.Time
	// ProgressTimeout is the maximum time without progress after a call of
	// Answer.MarkProgress.
	ProgressTimeout time.Duration
	// OnStall is called when one of these times has passed and nothing more has arrived, and
	// after each call of wake, by the goroutine that reads. If abandon is true, the exchange
	// ends with ErrStalled. Otherwise it goes on until its deadline, and OnStall is called
	// again at the time next, unless that is zero. Wake may be called by any goroutine, also
	// after the end of the exchange. With a nil OnStall nothing is abandoned.
	OnStall func(wake func()) (abandon bool, next time.Time)
}

// stallTimer applies a StallPolicy to the reads of one exchange. Its methods except wake are for
// the goroutine that reads.
type stallTimer struct {
	policy   StallPolicy
	ctx      context.Context
	deadline time.Time // of the exchange
	next     time.Time // of the next call of OnStall; zero means none

	mu    sync.Mutex
	conn  *conn // nil after the end of the exchange
	woken bool  // OnStall is due
}

// newStallTimer returns the timer of an exchange, or nil if nothing abandons it.
func newStallTimer(ctx context.Context, k *conn, p StallPolicy, deadline time.Time) *stallTimer {
	if p.OnStall == nil {
		return nil
	}
	return &stallTimer{
		policy:   p,
		ctx:      ctx,
		deadline: deadline,
		next:     p.FirstByteBy,
		conn:     k,
	}
}

// markProgress records that the answer has advanced.
func (s *stallTimer) markProgress(now time.Time) {
	if s != nil {
		s.next = now.Add(s.policy.ProgressTimeout)
	}
}

// end ends the use of the connection.
func (s *stallTimer) end() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn = nil
}

// wake causes a call of OnStall as soon as no data is there to be read.
func (s *stallTimer) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn == nil {
		return
	}
	s.woken = true
	_ = s.conn.SetReadDeadline(pastDeadline) // if this fails, so does the read
}

// setReadDeadline sets the read deadline of the connection to t, or to a past time if OnStall is
// due. It returns the error of the context if that has ended: it is checked last, since the end
// of the context sets a deadline, too, which this call may replace.
func (s *stallTimer) setReadDeadline(t time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.woken {
		t = pastDeadline
	}
	if err := s.conn.SetReadDeadline(t); err != nil {
		return err
	}
	return s.ctx.Err()
}

// read reads from the connection and calls OnStall when it is due.
func (s *stallTimer) read(p []byte) (int, error) {
	k := s.conn
	for {
		until := s.deadline
		if !s.next.IsZero() && s.next.Before(until) {
			until = s.next
		}
		if err := s.setReadDeadline(until); err != nil {
			return 0, err
		}
		n, err := k.Conn.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if s.ctx.Err() != nil || !time.Now().Before(s.deadline) {
			return n, err
		}
		// The process may have had no processor time as data arrived.
		if n, err := k.ReadArrived(p); !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		s.mu.Lock()
		s.woken = false
		s.mu.Unlock()
		abandon, next := s.policy.OnStall(s.wake)
		if abandon {
			return 0, ErrStalled
		}
		s.next = next
	}
}
