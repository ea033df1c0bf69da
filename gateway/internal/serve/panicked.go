package serve

import (
	"net/http"

	"baobabpaddle/fleet/problem"
	"baobabpaddle/fleet/program"
	"baobabpaddle/gateway/internal/controller"
)

// noView is the view of an exchange before the scheduler has given one.
var noView controller.View

// recoverPanic reports a panic of the handling of the request, which is answered if mayAnswer is true
// and nothing was sent. It must be deferred. An answer that is not whole is broken off with
// http.ErrAbortHandler, and a panic with that goes on.
func (x *exchange) recoverPanic(mayAnswer bool) {
	value := recover()
	if value == nil {
		return
	}
	if program.Aborts(value) {
		panic(http.ErrAbortHandler)
	}
	x.handler.reporter.Panicked(value, x.r, x.identifier())
	switch {
	case x.answerWhole:
		x.limitWrite() // the server writes the end of the answer
		return
	case !mayAnswer:
		panic(http.ErrAbortHandler)
	case x.headSent:
		x.recordEnd(truncated)
		panic(http.ErrAbortHandler)
	}
	x.answerPanic()
}

// identifier returns the identifier of the request, or "" if it can't be read.
func (x *exchange) identifier() (id string) {
	if x.call.ID != "" {
		return x.call.ID
	}
	defer func() { _ = recover() }()                // the panic that is reported may be that of reading the headers
	c, _ := x.handler.protocol.ReadCall(x.r.Header) // returns the identifier even if others are malformed
	return c.ID
}

// answerPanic answers a request whose handling panicked before a part of an answer was sent.
func (x *exchange) answerPanic() {
	if x.endBody() {
		panic(http.ErrAbortHandler) // its caller was refused
	}
	clear(x.w.Header())
	x.w.Header().Set("Connection", "close")
	if !x.mayHaveRun && !x.sending {
		x.refuse(http.StatusServiceUnavailable, problem.InternalError, "an error of the gateway", rejectedRetryAfter)
		return
	}
	x.limitWrite()
	x.status = http.StatusBadGateway
	p := problem.New(x.status, problem.InternalError, "an error of the gateway")
	p.Run = problem.RunUnknown
	x.sendProblem(p)
	x.recordEnd(failed)
}

// sendProblem sends an answer of the gateway's own.
func (x *exchange) sendProblem(p *problem.Problem) {
	x.headSent = true
	p.Write(x.w)
	x.answerWhole = true
}
