package gateway

import (
	"errors"
	"net/http"
	"os"
	"slices"
	"time"

	"baobabpaddle/fleet/answer"
)

// Limits of what is written to a gateway.
const (
	// gatewayWriteTimeout is the time within which a gateway must take the next writeChunkBytes. A
	// gateway whose caller takes that much in 10 s, which is allowed, reads what the buffers of a
	// connection hold (answer.BoundConn) in less.
	gatewayWriteTimeout = 3 * time.Minute
	writeChunkBytes     = 16 << 10
)

// gatewayWriter writes to a gateway. Each step has a deadline of its own, also if the one before
// it was long ago; that of the last flush is for the end of the answer, too.
type gatewayWriter struct {
	writer  http.ResponseWriter
	control *http.ResponseController
}

// limit sets the deadline of the next step.
func (g gatewayWriter) limit() {
	// If the deadline can't be set, the write fails as well.
	_ = g.control.SetWriteDeadline(time.Now().Add(gatewayWriteTimeout))
}

// write writes data. The error is that of the connection, or os.ErrDeadlineExceeded.
func (g gatewayWriter) write(data []byte) error {
	for chunk := range slices.Chunk(data, writeChunkBytes) {
		g.limit()
		if _, err := g.writer.Write(chunk); err != nil {
			return err
		}
	}
	return nil
}

// flush sends what was written.
func (g gatewayWriter) flush() error {
	g.limit()
	return g.control.Flush()
}

// streamAnswer sends the frames of a run's answer from the offset on, with heartbeats
// between them, until the answer has ended, or the gateway has disconnected or takes nothing for
// gatewayWriteTimeout.
func (s *Server) streamAnswer(w http.ResponseWriter, r *http.Request, run *run, offset uint64) {
	run.addReader()
	defer run.removeReader(func() { s.expireOrphan(run) })
	w.Header().Set("Content-Type", "application/octet-stream")
	to := gatewayWriter{
		writer:  w,
		control: http.NewResponseController(w),
	}
	cursor := run.buffer.Cursor(offset)
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	scratch := answer.Append(nil, s.heartbeat(run))
	end := uint64(0) // offset of the last frame that was sent
	for {
		if err := to.write(scratch); err != nil {
			s.logUnread(run, err)
			return
		}
		frame, wait, err := cursor.Next()
		if err != nil {
			panic(http.ErrAbortHandler) // breaks the stream, so that the gateway does not take it as ended
		}
		if frame != nil {
			end = frame.Offset
			scratch = answer.Append(scratch[:0], *frame)
			continue
		}
		if err := to.flush(); err != nil {
			s.logUnread(run, err)
			return
		}
		if wait == nil {
			if offset <= end { // else the gateway only holds the run
				run.setDelivered()
			}
			return
		}
		scratch = scratch[:0]
		select {
		case <-wait:
		case <-r.Context().Done():
			return
		case <-ticker.C:
			scratch = answer.Append(scratch, s.heartbeat(run))
		}
	}
}

// logUnread logs that a stream was ended since its gateway took nothing, if that is the error.
func (s *Server) logUnread(run *run, err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		s.log.Warn("a gateway takes nothing of an answer; its stream is ended", "request", run.key.request, "attempt", run.key.attempt)
	}
}
