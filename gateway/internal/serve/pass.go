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

// pass has an answer passed on and reports how it ended.
func (x *exchange) pass(id uint64, answer *upstream.Answer, how func(uint64, *upstream.Answer) outcome) outcome {
	h := x.handler
	result := how(id, answer)
	switch {
	case result == answered:
		h.fleet.RecordEnd(id, dispatch.Answered)
		h.requests.UpdateSince(x.team, x.service, x.arrived)
	case result == left, x.r.Context().Err() != nil:
		h.fleet.RecordEnd(id, dispatch.CallerLeft)
		return left
	case result == late, errors.Is(x.broke, upstream.ErrStalled):
		h.fleet.RecordEnd(id, dispatch.ResponseTimeout)
	default:
		h.fleet.RecordEnd(id, dispatch.Broken)
	}
	return result
}

// begin passes the head of an answer on.
func (x *exchange) begin(answer *upstream.Answer, length int64) {
	if x.begun {
		return
	}
	x.begun = true
	header := x.w.Header()
	for name, values := range answer.Header {
		if perConnection[name] {
			continue
		}
		header[name] = slices.Clone(values)
	}
	if length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	x.status = answer.Status
	x.first = time.Now()
	x.w.WriteHeader(answer.Status)
	x.handler.first.UpdateSince(x.team, x.service, x.arrived)
}

// perConnection are headers of an upstream's answer that concern its connection
// only. The length is set anew.
var perConnection = map[string]bool{
	"Connection":        true,
	"Keep-Alive":        true,
	"Proxy-Connection":  true,
	"Te":                true,
	"Trailer":           true,
	"Transfer-Encoding": true,
	"Upgrade":           true,
	"Content-Length":    true,
}

// passWhole reads an answer to its end before it passes it on, so that one that
// breaks off never looks whole. A long one is passed on as it comes.
func (x *exchange) passWhole(id uint64, answer *upstream.Answer) outcome {
	body := make([]byte, 0, firstAnswerBytes)
	for len(body) < x.handler.limits.HeldBytes {
		body = slices.Grow(body, 1)
		n, err := answer.Read(body[len(body):min(cap(body), x.handler.limits.HeldBytes)])
		body = body[:len(body)+n]
		if n > 0 {
			answer.MarkProgress(time.Now())
		}
		if errors.Is(err, io.EOF) {
			return x.passHeld(id, answer, body)
		}
		if err != nil {
			x.broke = err
			if !time.Now().Before(x.deadline) {
				return late
			}
			return failed
		}
	}
	return x.passLong(id, answer, body)
}

// passHeld passes on an answer that was read to its end.
func (x *exchange) passHeld(id uint64, answer *upstream.Answer, body []byte) outcome {
	length := int64(len(body))
	if answer.Length > 0 && length != answer.Length && x.r.Method != http.MethodHead {
		x.broke = io.ErrUnexpectedEOF
		return failed
	}
	x.handler.fleet.RecordStart(id)
	if x.r.Method == http.MethodHead {
		length = answer.Length
	}
	x.begin(answer, length)
	if !x.write(body) {
		return left
	}
	return answered
}

// passLong passes on an answer of which a part was read. If it breaks off, so does
// what the caller gets.
func (x *exchange) passLong(id uint64, answer *upstream.Answer, body []byte) outcome {
	x.handler.fleet.RecordStart(id)
	x.begin(answer, answer.Length)
	if !x.write(body) {
		return left
	}
	passed := int64(len(body))
	buffer := make([]byte, readBytes)
	for {
		n, err := answer.Read(buffer)
		passed += int64(n)
		if n > 0 {
			answer.MarkProgress(time.Now())
			if !x.write(buffer[:n]) {
				return left
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			if answer.Length > 0 && passed != answer.Length {
				return x.brokeOff(io.ErrUnexpectedEOF)
			}
			return answered
		case err != nil:
			return x.brokeOff(err)
		case passed > x.handler.limits.AnswerBytes:
			return x.brokeOff(upstream.ErrTooLong)
		}
	}
}

// write writes to the caller, who must take each part in time.
func (x *exchange) write(data []byte) bool {
	control := http.NewResponseController(x.w)
	for len(data) > 0 {
		part := data[:min(len(data), writeBytes)]
		data = data[len(part):]
		// A failure to set the deadline shows in the write.
		_ = control.SetWriteDeadline(time.Now().Add(callerStall))
		if _, err := x.w.Write(part); err != nil {
			return false
		}
	}
	return true
}

const (
	// readBytes is how much of a stream is read at once.
	readBytes = 8 << 10
	// firstAnswerBytes is the first size of the memory for a whole answer.
	firstAnswerBytes = 1 << 10
	// writeBytes is how much is written to a caller at once, and callerStall how long
	// the caller may take for it: far less than any link is slow.
	writeBytes  = 16 << 10
	callerStall = 10 * time.Second
)

// passEvents passes a stream on as its events arrive, whole events only. The
// head follows the first event, so that a failure before it can be told.
func (x *exchange) passEvents(id uint64, answer *upstream.Answer) outcome {
	buffer := make([]byte, readBytes)
	control := http.NewResponseController(x.w)
	first := true
	var began time.Time
	for {
		n, err := answer.Read(buffer)
		if n > 0 {
			before := string(x.events.last)
			if whole := x.events.next(buffer[:n]); len(whole) > 0 {
				if first {
					first = false
					began = time.Now()
					x.handler.fleet.RecordStart(id)
				}
				if string(x.events.last) != before {
					answer.MarkProgress(time.Now()) // comments alone are none
				}
				x.begin(answer, -1)
				if !x.write(whole) {
					return left
				}
				if err := control.Flush(); err != nil {
					return left
				}
			}
		}
		if errors.Is(err, io.EOF) {
			x.handler.pace.saw(x.tokens(), time.Since(began))
			return x.streamEnded(answer)
		}
		if err == nil && x.events.size() > x.handler.limits.EventBytes {
			err = upstream.ErrTooLong
		}
		if err != nil {
			return x.streamBroke(err)
		}
	}
}

// tokens returns about how many tokens the stream has brought: identifiers of
// events count from one.
func (x *exchange) tokens() int {
	events, err := strconv.Atoi(string(x.events.last))
	if err != nil {
		return 0
	}
	perEvent := 1
	if s := x.view.Table.Service(x.service); s != nil && s.Engine != nil {
		perEvent = max(s.Engine.TokensPerEvent, 1)
	}
	return events * perEvent
}

// streamEnded judges a stream whose connection or framing says that it is over.
func (x *exchange) streamEnded(answer *upstream.Answer) outcome {
	if x.events.torn() {
		return x.streamBroke(io.ErrUnexpectedEOF)
	}
	x.begin(answer, -1)
	return answered
}

func (x *exchange) streamBroke(err error) outcome {
	x.events.forget()
	return x.brokeOff(err)
}

// brokeOff judges an answer that has no more to come.
func (x *exchange) brokeOff(err error) outcome {
	x.broke = err
	switch {
	case x.r.Context().Err() != nil:
		return left
	case !time.Now().Before(x.deadline):
		return late
	case x.begun:
		return cut
	}
	return failed
}
