package serve

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/gateway/internal/upstream"
)

// forward has an answer passed on and reports how it ended.
func (x *exchange) forward(id uint64, answer *upstream.Answer, how func(uint64, *upstream.Answer) outcome) outcome {
	h := x.handler
	result := how(id, answer)
	switch {
	case result == answered:
		h.scheduler.ReportOutcome(id, dispatch.Answered)
		h.requestSeconds.UpdateSince(x.team, x.service, x.arrived)
	case result == callerLeft, x.r.Context().Err() != nil:
		h.scheduler.ReportOutcome(id, dispatch.CallerLeft)
		return callerLeft
	case result == pastDeadline, errors.Is(x.responseErr, upstream.ErrSilent):
		h.scheduler.ReportOutcome(id, dispatch.ResponseTimeout)
	default:
		h.scheduler.ReportOutcome(id, dispatch.Broken)
	}
	return result
}

// sendHead passes the head of an answer on.
func (x *exchange) sendHead(answer *upstream.Answer, length int64) {
	if x.headSent {
		return
	}
	x.headSent = true
	header := x.w.Header()
	for name, values := range answer.Header {
		if connectionHeaders[name] {
			continue
		}
		header[name] = slices.Clone(values)
	}
	if length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	x.status = answer.Status
	x.firstByteAt = time.Now()
	x.w.WriteHeader(answer.Status)
	x.handler.firstByteSeconds.UpdateSince(x.team, x.service, x.arrived)
}

// connectionHeaders are headers of an upstream's answer that concern its connection
// only. The length is set anew.
var connectionHeaders = map[string]bool{
	"Connection":        true,
	"Keep-Alive":        true,
	"Proxy-Connection":  true,
	"Te":                true,
	"Trailer":           true,
	"Transfer-Encoding": true,
	"Upgrade":           true,
	"Content-Length":    true,
}

// forwardBuffered reads an answer to its end before it passes it on, so that one that
// breaks off never looks whole. A long one is passed on as it comes.
func (x *exchange) forwardBuffered(id uint64, answer *upstream.Answer) outcome {
	body := make([]byte, 0, initialAnswerBytes)
	for len(body) < x.handler.limits.BufferedBytes {
		body = slices.Grow(body, 1)
		n, err := answer.Read(body[len(body):min(cap(body), x.handler.limits.BufferedBytes)])
		body = body[:len(body)+n]
		if n > 0 {
			answer.Progress(time.Now())
		}
		if errors.Is(err, io.EOF) {
			return x.sendBuffered(id, answer, body)
		}
		if err != nil {
			x.responseErr = err
			if !time.Now().Before(x.deadline) {
				return pastDeadline
			}
			return failed
		}
	}
	return x.forwardLong(id, answer, body)
}

// sendBuffered passes on an answer that was read to its end.
func (x *exchange) sendBuffered(id uint64, answer *upstream.Answer, body []byte) outcome {
	length := int64(len(body))
	if answer.Length > 0 && length != answer.Length && x.r.Method != http.MethodHead {
		x.responseErr = io.ErrUnexpectedEOF
		return failed
	}
	x.handler.scheduler.ReportStarted(id)
	if x.r.Method == http.MethodHead {
		length = answer.Length
	}
	x.sendHead(answer, length)
	if !x.write(body) {
		return callerLeft
	}
	return answered
}

// forwardLong passes on an answer of which a part was read. If it breaks off, so does
// what the caller gets.
func (x *exchange) forwardLong(id uint64, answer *upstream.Answer, body []byte) outcome {
	x.handler.scheduler.ReportStarted(id)
	x.sendHead(answer, answer.Length)
	if !x.write(body) {
		return callerLeft
	}
	passed := int64(len(body))
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := answer.Read(buffer)
		passed += int64(n)
		if n > 0 {
			answer.Progress(time.Now())
			if !x.write(buffer[:n]) {
				return callerLeft
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			if answer.Length > 0 && passed != answer.Length {
				return x.classifyBreak(io.ErrUnexpectedEOF)
			}
			return answered
		case err != nil:
			return x.classifyBreak(err)
		case passed > x.handler.limits.AnswerBytes:
			return x.classifyBreak(upstream.ErrEndless)
		}
	}
}

// write writes to the caller, who must take each part in time.
func (x *exchange) write(data []byte) bool {
	control := http.NewResponseController(x.w)
	for len(data) > 0 {
		part := data[:min(len(data), writeChunkBytes)]
		data = data[len(part):]
		// A failure to set the deadline shows in the write.
		_ = control.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
		if _, err := x.w.Write(part); err != nil {
			return false
		}
	}
	return true
}

const (
	// readBufferBytes is how much of a stream is read at once.
	readBufferBytes = 8 << 10
	// initialAnswerBytes is the first size of the memory for a whole answer.
	initialAnswerBytes = 1 << 10
	// writeChunkBytes is how much is written to a caller at once, and callerStall how long
	// the caller may take for it: far less than any link is slow.
	writeChunkBytes    = 16 << 10
	callerWriteTimeout = 10 * time.Second
)

// forwardEvents passes a stream on as its events arrive, whole events only. The
// head follows the first event, so that a failure before it can be told.
func (x *exchange) forwardEvents(id uint64, answer *upstream.Answer) outcome {
	buffer := make([]byte, readBufferBytes)
	control := http.NewResponseController(x.w)
	first := true
	var began time.Time
	for {
		n, err := answer.Read(buffer)
		if n > 0 {
			before := string(x.events.lastID)
			if whole := x.events.next(buffer[:n]); len(whole) > 0 {
				if first {
					first = false
					began = time.Now()
					x.handler.scheduler.ReportStarted(id)
				}
				if string(x.events.lastID) != before {
					answer.Progress(time.Now()) // comments alone are none
				}
				x.sendHead(answer, -1)
				if !x.write(whole) {
					return callerLeft
				}
				if err := control.Flush(); err != nil {
					return callerLeft
				}
			}
		}
		if errors.Is(err, io.EOF) {
			x.handler.pace.observe(x.tokensReceived(), time.Since(began))
			return x.finishStream(answer)
		}
		if err == nil && x.events.partialSize() > x.handler.limits.EventBytes {
			err = upstream.ErrEndless
		}
		if err != nil {
			return x.breakStream(err)
		}
	}
}

// tokensReceived returns about how many tokens the stream has brought: identifiers of
// events count from one.
func (x *exchange) tokensReceived() int {
	events, err := strconv.Atoi(string(x.events.lastID))
	if err != nil {
		return 0
	}
	perEvent := 1
	if s := x.view.Table.Service(x.service); s != nil && s.Engine != nil {
		perEvent = max(s.Engine.TokensPerEvent, 1)
	}
	return events * perEvent
}

// finishStream judges a stream whose connection or framing says that it is over.
func (x *exchange) finishStream(answer *upstream.Answer) outcome {
	if x.events.incomplete() {
		return x.breakStream(io.ErrUnexpectedEOF)
	}
	x.sendHead(answer, -1)
	return answered
}

func (x *exchange) breakStream(err error) outcome {
	x.events.dropPartial()
	return x.classifyBreak(err)
}

// classifyBreak judges an answer that has no more to come.
func (x *exchange) classifyBreak(err error) outcome {
	x.responseErr = err
	switch {
	case x.r.Context().Err() != nil:
		return callerLeft
	case !time.Now().Before(x.deadline):
		return pastDeadline
	case x.headSent:
		return truncated
	}
	return failed
}
