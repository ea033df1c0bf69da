package serve

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/gateway/internal/upstream"
)

// forward forwards an answer with forwardBody and reports the outcome to the
// scheduler.
func (x *exchange) forward(id uint64, address string, answer *upstream.Answer, forwardBody func(uint64, *upstream.Answer) outcome) outcome {
	h := x.handler
	result := forwardBody(id, answer)
	switch {
	case result == answered:
		x.answerWhole = true
		if answer.Status < http.StatusMultipleChoices {
			x.reportOutcome(id, dispatch.Answered)
		} else {
			x.reportOutcome(id, dispatch.AnsweredError)
		}
		h.requestSeconds.UpdateSince(x.team, x.service, x.arrived)
	case result == callerLeft, x.r.Context().Err() != nil:
		x.reportOutcome(id, dispatch.CallerLeft)
		return callerLeft
	case result == pastDeadline, errors.Is(x.responseErr, upstream.ErrStalled):
		x.reportOutcome(id, dispatch.ResponseTimeout)
	default:
		x.reportBroken(id, address)
	}
	return result
}

// sendHead sends the head of an answer to the caller, once per request: a resumed stream
// goes on under the first head. A negative length sends no Content-Length header.
func (x *exchange) sendHead(answer *upstream.Answer, length int64) {
	if x.headSent {
		return
	}
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
	x.headSent = true
	x.w.WriteHeader(answer.Status)
	x.handler.firstByteSeconds.UpdateSince(x.team, x.service, x.arrived)
}

// connectionHeaders are the headers of an upstream's answer that are not forwarded, as
// they apply to its connection only. Content-Length is set anew by sendHead.
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

// forwardBuffered reads an answer to its end before it forwards it, so that an incomplete
// answer never looks complete. An answer that is longer than Limits.BufferedBytes is
// forwarded as it arrives.
func (x *exchange) forwardBuffered(id uint64, answer *upstream.Answer) outcome {
	before := x.held.bytes
	defer func() { x.release(x.held.bytes - before) }()
	body := make([]byte, 0, initialAnswerBytes)
	for len(body) < x.handler.limits.BufferedBytes {
		grown, ok := x.growAnswer(body)
		if !ok {
			break // it is forwarded as it arrives
		}
		body = grown
		n, err := answer.Read(body[len(body):min(cap(body), x.handler.limits.BufferedBytes)])
		body = body[:len(body)+n]
		if n > 0 {
			answer.MarkProgress(time.Now())
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

// growAnswer returns the part of an answer with room for more. It reports false if there is no
// memory for it.
func (x *exchange) growAnswer(body []byte) ([]byte, bool) {
	if len(body) < cap(body) {
		return body, true
	}
	more := cap(body)
	if cap(body)+more > freeAnswerBytes && !x.reserve(int64(more)) {
		return body, false
	}
	return slices.Grow(body, more), true
}

// sendBuffered sends an answer that was read to its end.
func (x *exchange) sendBuffered(id uint64, answer *upstream.Answer, body []byte) outcome {
	length := int64(len(body))
	if answer.Length > 0 && length != answer.Length && x.r.Method != http.MethodHead {
		x.responseErr = io.ErrUnexpectedEOF
		return failed
	}
	x.endFallbacks()
	x.handler.scheduler.ReportStarted(id, x.serviceTime(answer))
	if x.r.Method == http.MethodHead {
		length = answer.Length
	}
	x.sendHead(answer, length)
	if !x.write(body) {
		return callerLeft
	}
	return answered
}

// serviceTime returns the time since the request was sent to the upstream, for the
// scheduler's estimates. It is zero if the upstream failed, since errors may be faster than
// responses, and if the process lacks processor time, whose lag would be part of it.
func (x *exchange) serviceTime(answer *upstream.Answer) time.Duration {
	if answer.Status >= http.StatusMultipleChoices || x.handler.lag.Mean() > maxMeasuringLag {
		return 0
	}
	return max(time.Since(x.sentAt), 1)
}

// forwardLong forwards an answer as it arrives, beginning with the part that was read. If
// the answer breaks off, the answer to the caller breaks off as well.
func (x *exchange) forwardLong(id uint64, answer *upstream.Answer, body []byte) outcome {
	x.endFallbacks()
	x.handler.scheduler.ReportStarted(id, 0)
	x.sendHead(answer, answer.Length)
	if !x.write(body) {
		return callerLeft
	}
	x.endWrite()
	forwarded := int64(len(body))
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := answer.Read(buffer)
		forwarded += int64(n)
		if n > 0 {
			answer.MarkProgress(time.Now())
			if !x.write(buffer[:n]) {
				return callerLeft
			}
			x.endWrite()
		}
		switch {
		case errors.Is(err, io.EOF):
			if answer.Length > 0 && forwarded != answer.Length {
				return x.classifyBreak(io.ErrUnexpectedEOF)
			}
			return answered
		case err != nil:
			return x.classifyBreak(err)
		case forwarded > x.handler.limits.AnswerBytes:
			return x.classifyBreak(upstream.ErrTooLong)
		}
	}
}

// write writes to the caller and reports whether it succeeded. It fails if the caller
// does not accept a chunk within callerWriteTimeout.
func (x *exchange) write(data []byte) bool {
	for len(data) > 0 {
		part := data[:min(len(data), writeChunkBytes)]
		data = data[len(part):]
		x.limitWrite()
		if _, err := x.w.Write(part); err != nil {
			x.notWritten(err)
			return false
		}
	}
	return true
}

// notWritten records why a part of the answer could not be written to the caller, for the line about the attempt.
func (x *exchange) notWritten(err error) {
	x.responseErr = merry.Prepend(err, "write to the caller")
}

const (
	// maxMeasuringLag is the largest scheduling lag of the process with which response times
	// are reported. Plain services have objectives of over ten times of it.
	maxMeasuringLag = 10 * time.Millisecond
	// readBufferBytes is the size of the buffer for reading an answer.
	readBufferBytes = 8 << 10
	// fullReadBytes is the least number of bytes in a read of a stream after which it is read
	// on without a pause. It is half of what a connection to an upstream buffers, the rest of
	// which may be the framing of chunks.
	fullReadBytes = 2 << 10
	// initialAnswerBytes is the initial capacity of the buffer for a whole answer.
	initialAnswerBytes = 1 << 10
	// writeChunkBytes is the number of bytes written to a caller at once, and
	// callerWriteTimeout the time within which the caller must accept them. Even slow
	// links need far less.
	writeChunkBytes    = 16 << 10
	callerWriteTimeout = 10 * time.Second
)

// errNotContinued means that an upstream that was asked to resume a stream sent something
// else than its next event.
var errNotContinued = merry.Sentinel("the upstream's stream does not continue the one that broke off")

// forwardEvents forwards a stream as its events arrive, complete events only. The head is
// sent with the first event, so that a failure before it can still be answered with an
// error status. A resumed stream must go on with an event that follows the last one.
func (x *exchange) forwardEvents(id uint64, answer *upstream.Answer) outcome {
	buffer := make([]byte, readBufferBytes)
	control := http.NewResponseController(x.w)
	first := true
	eventBytes := int64(0) // reserved for a part of an event
	defer func() { x.release(eventBytes) }()
	resumed := x.headSent || x.call.LastEvent != "" && x.continues // until the first event
	var written time.Time
	waiting := false // more of the answer has probably arrived
	for {
		if !first && !waiting {
			x.space(written)
		}
		n, err := answer.Read(buffer)
		waiting = n >= fullReadBytes
		if n > 0 {
			x.followVersion()
			before := string(x.events.lastID)
			if before == "" && resumed {
				before = x.call.LastEvent
			}
			if whole := x.events.next(buffer[:n]); len(whole) > 0 {
				if resumed {
					next, found := firstID(whole)
					if found && !follows(next, before) {
						x.events.lastID = []byte(before)
						return x.breakStream(errNotContinued)
					}
					resumed = !found
				}
				if first {
					first = false
					if err := x.recordOrigin(); err != nil {
						x.events.lastID = []byte(before)
						return x.breakStream(err)
					}
					x.handler.scheduler.ReportStarted(id, 0)
					if x.headSent || x.continues {
						x.handler.counters.countResumption(!x.headSent)
					}
				}
				if string(x.events.lastID) != before {
					answer.MarkProgress(time.Now()) // comments alone are no progress
					x.endFallbacks()
				}
				x.sendHead(answer, -1)
				if !x.canContinueElsewhere() {
					x.endFallbacks()
				}
				written = time.Now()
				if !x.write(whole) {
					return callerLeft
				}
				if err := control.Flush(); err != nil {
					x.notWritten(err)
					return callerLeft
				}
				x.endWrite()
			}
		}
		if errors.Is(err, io.EOF) {
			if !x.continues {
				x.handler.pace.observe(x.tokensReceived(), time.Since(x.firstByteAt))
			}
			return x.finishStream(answer, !first)
		}
		if err == nil && (x.events.partialSize() > x.handler.limits.EventBytes || !x.holdEvent(&eventBytes)) {
			err = upstream.ErrTooLong
		}
		if err != nil {
			return x.breakStream(err)
		}
	}
}

// tokensReceived returns the approximate number of tokens in the stream so far. Event
// identifiers count from one; if the last one is not a number, the result is zero.
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

// finishStream returns the outcome of a stream that ended by its framing or with its
// connection. A stream that ended within an event broke off, and so did one that brought
// none, unless it resumed another and its framing shows that nothing was left.
func (x *exchange) finishStream(answer *upstream.Answer, hadEvents bool) outcome {
	bodyDue := x.r.Method != http.MethodHead && answer.Status != http.StatusNoContent
	resumedToEnd := (x.headSent || x.continues) && answer.Framed()
	if x.events.incomplete() || !hadEvents && bodyDue && !resumedToEnd {
		return x.breakStream(io.ErrUnexpectedEOF)
	}
	x.endFallbacks()
	x.sendHead(answer, -1)
	return answered
}

// breakStream returns the outcome of a stream that broke off. It drops the incomplete
// event, which the upstream that resumes the stream sends again.
func (x *exchange) breakStream(err error) outcome {
	x.events.dropPartial()
	return x.classifyBreak(err)
}

// classifyBreak returns the outcome of an answer that broke off with err.
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
