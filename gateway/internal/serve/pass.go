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
		h.fleet.Ended(id, dispatch.Answered)
		h.requests.UpdateSince(x.team, x.service, x.arrived)
	case result == left, x.r.Context().Err() != nil:
		h.fleet.Ended(id, dispatch.CallerLeft)
		return left
	case result == late, errors.Is(x.broke, upstream.ErrSilent):
		h.fleet.Ended(id, dispatch.Silent)
	default:
		h.fleet.Ended(id, dispatch.Broken)
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
// breaks off never looks whole.
func (x *exchange) passWhole(id uint64, answer *upstream.Answer) outcome {
	body, err := io.ReadAll(answer)
	if err == nil && answer.Length > 0 && int64(len(body)) != answer.Length && x.r.Method != http.MethodHead {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		x.broke = err
		if !time.Now().Before(x.deadline) {
			return late
		}
		return failed
	}
	x.handler.fleet.Begun(id)
	length := int64(len(body))
	if x.r.Method == http.MethodHead {
		length = answer.Length
	}
	x.begin(answer, length)
	if _, err := x.w.Write(body); err != nil {
		return left
	}
	return answered
}

// readBytes is how much of a stream is read at once.
const readBytes = 8 << 10

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
			if whole := x.events.next(buffer[:n]); len(whole) > 0 {
				if first {
					first = false
					began = time.Now()
					x.handler.fleet.Begun(id)
				}
				x.begin(answer, -1)
				if _, err := x.w.Write(whole); err != nil {
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
	x.broke = err
	x.events.forget()
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
