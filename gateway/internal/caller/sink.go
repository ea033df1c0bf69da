package caller

import (
	"net/http"
	"slices"
	"time"

	"baobabpaddle/fleet/answer"
)

// Limits of what is written to a caller.
const (
	// callerWriteTimeout is the time within which a caller must accept the head of an answer, or
	// the next writeChunkBytes of its body.
	callerWriteTimeout = 10 * time.Second
	writeChunkBytes    = 16 << 10
)

// sink implements sidecar.Sink for a caller's connection.
type sink struct {
	writer   http.ResponseWriter
	control  *http.ResponseController
	onHead   func()
	headSent bool
}

// Head writes the status and the headers.
func (s *sink) Head(head answer.Head) error {
	header := s.writer.Header()
	for name, values := range head.Header {
		header[name] = values
	}
	limitWrite(s.control)
	s.writer.WriteHeader(head.Status)
	s.headSent = true
	s.onHead()
	return s.control.Flush()
}

// Data writes and flushes a part of the body.
func (s *sink) Data(data []byte) error {
	for chunk := range slices.Chunk(data, writeChunkBytes) {
		if err := s.write(chunk); err != nil {
			return err
		}
	}
	return nil
}

// write writes and flushes at most writeChunkBytes.
func (s *sink) write(chunk []byte) error {
	limitWrite(s.control)
	if _, err := s.writer.Write(chunk); err != nil {
		return err
	}
	return s.control.Flush()
}

// End does nothing: the server ends the body when the handler returns.
func (s *sink) End(answer.End) error { return nil }

// limitWrite bounds the time in which the caller must accept what is written next.
func limitWrite(control *http.ResponseController) {
	// If the deadline can't be set, the write fails as well.
	_ = control.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
}
