package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"baobabpaddle/fleet/answer"
	"baobabpaddle/fleet/credential"
	"baobabpaddle/fleet/problem"
	"baobabpaddle/fleet/state"
	"baobabpaddle/fleet/wire"
)

// Timings of a run.
const (
	silenceTimeout = 3 * time.Second
	resumeTimeout  = 10 * time.Second
	resumePause    = 100 * time.Millisecond
	fenceTimeout   = 2 * time.Second
	maxProblem     = 64 << 10
)

// Result tells how an attempt ended.
type Result uint8

// The results of an attempt.
const (
	// ResultDone means that the sink has the whole answer.
	ResultDone Result = iota + 1
	// ResultRefused means that the sidecar refused the attempt; it was not run.
	ResultRefused
	// ResultNotRun means that the upstream could not be reached; it was not run.
	ResultNotRun
	// ResultFailed means that the upstream failed while running it.
	ResultFailed
	// ResultLost means that nothing is known.
	ResultLost
	// ResultSinkGone means that the caller went away.
	ResultSinkGone
)

// Sink takes an answer as it comes.
type Sink interface {
	Head(head answer.Head) error
	Data(data []byte) error
	End(end answer.End) error
}

var (
	errSinkGone = merry.Sentinel("the caller has gone")
	errFailed   = merry.Sentinel("the run failed")
)

// Runner carries attempts to sidecars.
type Runner struct {
	credential *credential.Credential
	reuse      *http.Client
	fresh      *http.Client
}

// NewRunner returns a runner. A connection that was used before may have gone
// silent, so a second try always has a new one. A sidecar runs each attempt
// once, however often it arrives.
func NewRunner(c *credential.Credential) *Runner {
	return &Runner{
		credential: c,
		reuse: &http.Client{
			Transport: c.Transport(true),
		},
		fresh: &http.Client{
			Transport: c.Transport(false),
		},
	}
}

// attempt is one attempt under way.
type attempt struct {
	runner  *Runner
	sidecar string
	asked   *wire.RunRequest
	sink    Sink
	frames  answer.Assembler
	failure answer.Failure
	refusal problem.Code
}

// Run carries one attempt to the sidecar and its answer to the sink. Code is
// the sidecar's when it refused. Clean is false when a copy of the attempt may
// still arrive at the sidecar.
func (r *Runner) Run(ctx context.Context, sidecar string, asked *wire.RunRequest, body []byte, sink Sink) (result Result, code problem.Code, clean bool) {
	a := &attempt{
		runner:  r,
		sidecar: sidecar,
		asked:   asked,
		sink:    sink,
		frames: answer.Assembler{
			Request: asked.Request,
			Attempt: asked.Attempt,
		},
	}
	header, err := wire.EncodeRun(asked)
	if err != nil {
		return ResultRefused, problem.MalformedBody, true
	}
	payload := append(header, body...)
	err = a.post(ctx, r.reuse, payload)
	if err != nil && !a.decided(err) && !a.frames.HasHead() && ctx.Err() == nil {
		err = a.post(ctx, r.fresh, payload)
		clean = false
	} else {
		clean = true
	}
	if err != nil && !a.decided(err) {
		err = a.resume(ctx)
	}
	return a.result(ctx, err), a.refusal, clean
}

// decided reports whether the attempt needs no further try.
func (a *attempt) decided(err error) bool {
	return a.refusal != "" || errors.Is(err, errFailed) || errors.Is(err, errSinkGone)
}

func (a *attempt) result(ctx context.Context, err error) Result {
	switch {
	case err == nil:
		return ResultDone
	case a.refusal != "":
		return ResultRefused
	case errors.Is(err, errFailed) && a.failure.NotRun:
		return ResultNotRun
	case errors.Is(err, errFailed):
		return ResultFailed
	case errors.Is(err, errSinkGone) || ctx.Err() != nil:
		return ResultSinkGone
	}
	return ResultLost
}

func (a *attempt) url(path string) string {
	return a.runner.credential.Scheme() + "://" + a.sidecar + path
}

func (a *attempt) post(ctx context.Context, client *http.Client, payload []byte) error {
	return a.exchange(ctx, client, http.MethodPost, a.url(wire.PathRun), payload)
}

// resume asks for the rest of the answer until the deadline.
func (a *attempt) resume(ctx context.Context) error {
	deadline := time.Now().Add(resumeTimeout)
	err := answer.ErrTruncated
	for time.Now().Before(deadline) && ctx.Err() == nil {
		url := a.url(fmt.Sprintf("%s/%d/%d?offset=%d", wire.PathRun, a.asked.Request, a.asked.Attempt, a.frames.Offset()))
		cause := a.exchange(ctx, a.runner.fresh, http.MethodGet, url, nil)
		if cause == nil || a.decided(cause) {
			return cause
		}
		err = merry.Prependf(err, "%v", cause)
		if errors.Is(cause, errNoRun) {
			return err
		}
		select {
		case <-ctx.Done():
		case <-time.After(resumePause):
		}
	}
	return err
}

var errNoRun = merry.Sentinel("the sidecar knows no such run")

// exchange sends a request and takes the frames of its answer. The connection
// is given up when nothing arrives for the silence timeout.
func (a *attempt) exchange(ctx context.Context, client *http.Client, method, url string, payload []byte) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(silenceTimeout, cancel)
	defer silence.Stop()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(payload))
	if err != nil {
		return merry.Prepend(err, "run")
	}
	a.runner.credential.SetAuthHeaders(request)
	response, err := client.Do(request)
	if err != nil {
		return merry.Prepend(err, "run")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return a.refused(response)
	}
	for {
		frame, err := answer.Read(response.Body)
		if err != nil {
			return merry.Prepend(err, "answer")
		}
		silence.Reset(silenceTimeout)
		err = a.take(frame)
		if err == nil && a.frames.Ended() {
			// The end of the stream follows; read, it leaves the connection
			// for the next request. Without it the connection is given up.
			_, _ = io.Copy(io.Discard, response.Body)
		}
		if err != nil || a.frames.Ended() {
			return err
		}
	}
}

func (a *attempt) refused(response *http.Response) error {
	var p problem.Problem
	if err := json.NewDecoder(io.LimitReader(response.Body, maxProblem)).Decode(&p); err != nil {
		return merry.Errorf("run: %s", response.Status)
	}
	if response.StatusCode == http.StatusNotFound {
		return errNoRun
	}
	if p.Run == problem.NotRun {
		a.refusal = p.Code
	}
	return &p
}

// take passes one frame to the sink.
func (a *attempt) take(f answer.Frame) error {
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
			return err
		}
		return errFailed
	}
	if err != nil {
		return errSinkGone
	}
	return nil
}

// Fence rules out that the attempt ever runs. It returns true when it has not
// run and never will, false when it was started or nothing is known.
func (r *Runner) Fence(ctx context.Context, sidecar, incarnation string, asked *wire.RunRequest) bool {
	return r.fence(ctx, sidecar, incarnation, wire.Fence{
		Request: asked.Request,
		Attempt: asked.Attempt,
		StartBy: asked.StartBy,
	})
}

// FenceClaim is Fence for an attempt of which only the claim is known.
func (r *Runner) FenceClaim(ctx context.Context, key string, claim state.Claim) bool {
	return r.fence(ctx, claim.Sidecar, claim.Incarnation, wire.Fence{
		ClaimKey:     key,
		ClaimAttempt: claim.Attempt,
	})
}

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

// Cancel tells a sidecar that nobody wants the attempt's answer any more.
func (r *Runner) Cancel(sidecar string, asked *wire.RunRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), fenceTimeout)
	defer cancel()
	url := fmt.Sprintf("%s://%s%s/%d/%d", r.credential.Scheme(), sidecar, wire.PathRun, asked.Request, asked.Attempt)
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, url, nil)
	if err != nil {
		return
	}
	r.credential.SetAuthHeaders(request)
	if response, err := r.fresh.Do(request); err == nil {
		response.Body.Close()
	}
}
