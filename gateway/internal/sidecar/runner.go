package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"baobabpaddle/fleet/answer"
	"baobabpaddle/fleet/credential"
	"baobabpaddle/fleet/problem"
	"baobabpaddle/fleet/state"
	"baobabpaddle/fleet/wire"
)

// Timings and limits of a Runner.
const (
	// silenceTimeout is how long no byte may pass before the connection to the sidecar is
	// closed.
	silenceTimeout = 3 * time.Second
	// resumeTimeout is how long the runner tries to resume an answer after each interruption.
	resumeTimeout    = 10 * time.Second
	resumeRetryDelay = 100 * time.Millisecond
	fenceTimeout     = 2 * time.Second
	maxProblemBytes  = 64 << 10
)

// Result is how an attempt ended.
type Result uint8

// The results of an attempt.
const (
	// ResultDone means that the sink has the complete answer.
	ResultDone Result = iota + 1
	// ResultRefused means that the sidecar refused the attempt, which was not run.
	ResultRefused
	// ResultNotRun means that the upstream could not be reached; the attempt was not run.
	ResultNotRun
	// ResultFailed means that the upstream failed while it ran the attempt.
	ResultFailed
	// ResultUnknown means that it is not known whether the attempt ran.
	ResultUnknown
	// ResultSinkGone means that the caller left before the end of the answer.
	ResultSinkGone
)

// Sink receives an answer in parts: one call of Head, any number of Data, one of End.
type Sink interface {
	Head(head answer.Head) error
	Data(data []byte) error
	End(end answer.End) error
}

var (
	errSinkFailed = merry.Sentinel("the caller no longer accepts the answer")
	errRunFailed  = merry.Sentinel("the sidecar reported that the run failed")
)

// Runner sends attempts to sidecars over HTTP.
type Runner struct {
	credential *credential.Credential
	pooled     *http.Client // reuses connections
	fresh      *http.Client // opens a connection for each request
}

// NewRunner returns a runner that authenticates with the credential. A pooled connection
// may be dead without any sign of it, so every further try opens a new one. Sidecars run
// each attempt at most once, however often it arrives.
func NewRunner(c *credential.Credential) *Runner {
	return &Runner{
		credential: c,
		pooled: &http.Client{
			Transport: boundedTransport(c, true),
		},
		fresh: &http.Client{
			Transport: boundedTransport(c, false),
		},
	}
}

// boundedTransport returns a transport whose connections hold little that was sent and not read, so
// that a sidecar still has it when an answer is resumed.
func boundedTransport(c *credential.Credential, reuse bool) *http.Transport {
	t := c.Transport(reuse)
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if err := answer.BoundConn(conn); err != nil {
			conn.Close()
			return nil, err
		}
		return conn, nil
	}
	return t
}

// attempt is the state of one call of Runner.Run.
type attempt struct {
	runner  *Runner
	sidecar string
	run     *wire.RunRequest
	sink    Sink
	frames  answer.Assembler
	posts   int // how often the attempt was sent
	failure answer.Failure
	refusal problem.Code
	// isAlive is true once the current exchange has brought a part of the answer or a second
	// heartbeat. The first comes even if the rest can't be sent.
	isAlive bool
}

// Run sends one attempt to the sidecar and passes the answer to the sink. The code is the
// sidecar's if it refused the attempt, and empty otherwise. The result noDuplicate is false
// if the attempt was sent more than once: a copy may then still arrive at the sidecar.
func (r *Runner) Run(ctx context.Context, sidecar string, run *wire.RunRequest, body []byte, sink Sink) (result Result, code problem.Code, noDuplicate bool) {
	a := &attempt{
		runner:  r,
		sidecar: sidecar,
		run:     run,
		sink:    sink,
		frames: answer.Assembler{
			Request: run.Request,
			Attempt: run.Attempt,
		},
	}
	header, err := wire.EncodeRun(run)
	if err != nil {
		return ResultRefused, problem.MalformedBody, true
	}
	payload := append(header, body...)
	err = a.post(ctx, r.pooled, payload)
	if err != nil && !a.decided(err) {
		err = a.resume(ctx, payload)
	}
	return a.result(ctx, err), a.refusal, a.posts == 1
}

// decided reports whether the error settles the attempt, so that it isn't tried again.
func (a *attempt) decided(err error) bool {
	return a.refusal != "" || errors.Is(err, errRunFailed) || errors.Is(err, errSinkFailed)
}

// result maps the error that ended the attempt to a Result.
func (a *attempt) result(ctx context.Context, err error) Result {
	switch {
	case err == nil:
		return ResultDone
	case a.refusal != "":
		return ResultRefused
	case errors.Is(err, errRunFailed) && a.failure.NotRun:
		return ResultNotRun
	case errors.Is(err, errRunFailed):
		return ResultFailed
	case errors.Is(err, errSinkFailed) || ctx.Err() != nil:
		return ResultSinkGone
	}
	return ResultUnknown
}

// url returns the URL of a path at the sidecar.
func (a *attempt) url(path string) string {
	return a.runner.credential.Scheme() + "://" + a.sidecar + path
}

// post sends the run request with its body.
func (a *attempt) post(ctx context.Context, client *http.Client, payload []byte) error {
	a.posts++
	return a.exchange(ctx, client, http.MethodPost, a.url(wire.PathRun), payload)
}

// resume requests the rest of the answer, starting at the offset reached, until it is
// complete, the sidecar doesn't know the run or resumeTimeout has passed since the last
// interruption.
func (a *attempt) resume(ctx context.Context, payload []byte) error {
	deadline := time.Now().Add(resumeTimeout)
	err := answer.ErrTruncated
	for time.Now().Before(deadline) && ctx.Err() == nil {
		cause := a.requestRest(ctx, payload)
		if cause == nil || a.decided(cause) {
			return cause
		}
		if a.isAlive { // this is another interruption
			deadline = time.Now().Add(resumeTimeout)
		}
		err = merry.Prependf(err, "%v", cause)
		if errors.Is(cause, errUnknownRun) {
			return err
		}
		select {
		case <-ctx.Done():
		case <-time.After(resumeRetryDelay):
		}
	}
	return err
}

// requestRest requests the rest of the answer. Before the head it sends the attempt again, since the
// sidecar may not have read it yet; it runs each attempt at most once.
func (a *attempt) requestRest(ctx context.Context, payload []byte) error {
	if !a.frames.HasHead() {
		return a.post(ctx, a.runner.fresh, payload)
	}
	url := a.url(fmt.Sprintf("%s/%d/%d?offset=%d", wire.PathRun, a.run.Request, a.run.Attempt, a.frames.Offset()))
	return a.exchange(ctx, a.runner.fresh, http.MethodGet, url, nil)
}

var errUnknownRun = merry.Sentinel("the sidecar does not know the run")

// exchange sends a request and passes the frames of the answer to the sink. It closes the
// connection when no byte passes for silenceTimeout, unless the sink is what it waits for.
func (a *attempt) exchange(ctx context.Context, client *http.Client, method, url string, payload []byte) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := newSilenceTimer(cancel)
	defer silence.stop()
	a.isAlive = false
	request, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return merry.Prepend(err, "creating the request to the sidecar")
	}
	silence.setBody(request, payload)
	a.runner.credential.SetAuthHeaders(request)
	response, err := client.Do(request)
	if err != nil {
		return merry.Prepend(err, "sending the run to the sidecar")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return a.readRefusal(response)
	}
	body := silence.reader(response.Body)
	heartbeats := 0
	offset := a.frames.Offset()
	for {
		frame, err := answer.Read(body)
		if err != nil {
			return merry.Prepend(err, "reading the answer from the sidecar")
		}
		if frame.Type == answer.FrameHeartbeat {
			heartbeats++
		}
		silence.stop()
		err = a.passOn(ctx, frame)
		silence.restart()
		a.isAlive = heartbeats > 1 || a.frames.Offset() > offset
		if err == nil && a.frames.Ended() {
			// Reading the end of the stream returns the connection to the pool;
			// otherwise it would be closed.
			_, _ = io.Copy(io.Discard, response.Body)
		}
		if err != nil || a.frames.Ended() {
			return err
		}
	}
}

// readRefusal returns the error for a response that is not OK. It records the code if the
// sidecar refused the attempt and did not run it, which it can't once the answer has begun.
func (a *attempt) readRefusal(response *http.Response) error {
	var p problem.Problem
	if err := json.NewDecoder(io.LimitReader(response.Body, maxProblemBytes)).Decode(&p); err != nil {
		return merry.Errorf("the sidecar answered the run with %s and without a problem document", response.Status)
	}
	if response.StatusCode == http.StatusNotFound {
		return errUnknownRun
	}
	if p.Run == problem.NotRun && !a.frames.HasHead() {
		a.refusal = p.Code
	}
	return &p
}

// handleFrame passes a frame's content to the sink, unless the frame was received before.
func (a *attempt) handleFrame(f answer.Frame) error {
	frame, fresh, err := a.frames.Accept(f)
	if err != nil || !fresh {
		return err
	}
	switch frame.Type {
	case answer.FrameHead:
		var head answer.Head
		if err := answer.DecodePayload(frame.Payload, &head); err != nil {
			return err
		}
		if !answer.IsFinalStatus(head.Status) {
			return errRunFailed // an older sidecar passes it on
		}
		err = a.sink.Head(head)
	case answer.FrameData:
		err = a.sink.Data(frame.Payload)
	case answer.FrameEnd:
		var end answer.End
		if err := answer.DecodePayload(frame.Payload, &end); err != nil {
			return err
		}
		err = a.sink.End(end)
	case answer.FrameFail:
		if err := answer.DecodePayload(frame.Payload, &a.failure); err != nil {
			a.failure = answer.Failure{} // the attempt may have run
		}
		return errRunFailed
	}
	if err != nil {
		return errSinkFailed
	}
	return nil
}

// Fence asks the sidecar never to run the attempt. It returns true if the attempt has not
// run and never will, and false if it was started or its state is unknown.
func (r *Runner) Fence(ctx context.Context, sidecar, incarnation string, run *wire.RunRequest) bool {
	return r.fence(ctx, sidecar, incarnation, wire.Fence{
		Request:      run.Request,
		Attempt:      run.Attempt,
		StartBy:      run.StartBy,
		ClaimKey:     run.ClaimKey, // known to the sidecar for longer than the run
		ClaimAttempt: run.ClaimAttempt,
	})
}

// FenceClaim is like Fence, for an attempt of which only the claim is known.
func (r *Runner) FenceClaim(ctx context.Context, key string, claim state.Claim) bool {
	return r.fence(ctx, claim.Sidecar, claim.Incarnation, wire.Fence{
		ClaimKey:     key,
		ClaimAttempt: claim.Attempt,
	})
}

// fence sends a fence. It returns true only for a reply of the given incarnation, since
// another one doesn't know what an earlier one ran.
func (r *Runner) fence(ctx context.Context, sidecar, incarnation string, fence wire.Fence) bool {
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	data, err := json.Marshal(fence)
	if err != nil {
		return false
	}
	url := r.credential.Scheme() + "://" + sidecar + wire.PathFence
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return false
	}
	r.credential.SetAuthHeaders(request)
	response, err := r.fresh.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	var fenced wire.Fenced
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&fenced) != nil {
		return false
	}
	return fenced.NotRun && fenced.Incarnation == incarnation
}

// Cancel tells the sidecar to stop the attempt, since its caller has left.
func (r *Runner) Cancel(sidecar string, run *wire.RunRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), fenceTimeout)
	defer cancel()
	url := fmt.Sprintf("%s://%s%s/%d/%d", r.credential.Scheme(), sidecar, wire.PathRun, run.Request, run.Attempt)
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, url, nil)
	if err != nil {
		return
	}
	r.credential.SetAuthHeaders(request)
	if response, err := r.fresh.Do(request); err == nil {
		response.Body.Close()
	}
}
