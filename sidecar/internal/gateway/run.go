package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"baobabpaddle/fleet/answer"
	"baobabpaddle/fleet/resource"
	"baobabpaddle/fleet/state"
	"baobabpaddle/fleet/wire"
	"baobabpaddle/sidecar/internal/upstream"
)

// Timings and limits of runs.
const (
	// orphanTimeout is how long a run, or the answer of one that has ended, is held
	// after the last gateway that read it has disconnected, so that it can resume.
	orphanTimeout   = 10 * time.Second
	readBufferBytes = 16 << 10
	// recordTimeout is how long the sidecar retries to record an outcome.
	recordTimeout       = 30 * time.Second
	recordRetryInterval = 200 * time.Millisecond
)

// errPanicked means that the goroutine of a run has panicked.
var errPanicked = merry.Sentinel("an error of the sidecar ended the run")

// runKey identifies one attempt of a request.
type runKey struct {
	request uint64
	attempt uint32
}

// target is the upstream to which a run is sent.
type target struct {
	url  string
	kind resource.ServiceType
}

// run is an attempt that was admitted here, from its admission until its answer is no
// longer held.
type run struct {
	key       runKey
	request   *wire.RunRequest
	body      []byte
	admission admission
	target    target
	buffer    *answer.Buffer
	ctx       context.Context
	*startState

	mu          sync.Mutex
	readers     int  // streams to gateways
	delivered   bool // a gateway was sent the end of the answer, or needs none
	orphanTimer *time.Timer
}

// setDelivered records that no gateway needs the answer any more.
func (r *run) setDelivered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delivered = true
}

// isAwaited reports whether a gateway may still need the answer.
func (r *run) isAwaited() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.delivered
}

// addReader adds a stream to a gateway, and stops the timer that would remove the run.
func (r *run) addReader() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers++
	if r.orphanTimer != nil {
		r.orphanTimer.Stop()
		r.orphanTimer = nil
	}
}

// removeReader removes a stream to a gateway. After the last one, expire is called when
// orphanTimeout has passed.
func (r *run) removeReader(expire func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers--
	if r.readers == 0 {
		r.orphanTimer = time.AfterFunc(orphanTimeout, expire)
	}
}

// Recorder records the outcomes of claimed requests in the replicated state.
type Recorder interface {
	Execute(ctx context.Context, command state.Command) (state.Result, error)
}

// execute waits until the request may start, but not past its deadline, sends it to the upstream,
// copies the answer to the run's buffer and records the outcome.
func (s *Server) execute(r *run) {
	defer s.group.Done()
	defer r.cancel()
	deadline := time.NewTimer(time.Until(r.request.StartBy))
	defer deadline.Stop()
	select {
	case <-r.admission.start:
	case <-r.ctx.Done():
		s.refuse(r, "the gateway has gone or gave up")
		return
	case <-deadline.C:
		s.refuse(r, "the deadline to start has passed")
		return
	}
	if time.Now().After(r.request.StartBy) {
		s.refuse(r, "the deadline to start has passed")
		return
	}
	if !r.begin() {
		s.refuse(r, "fenced")
		return
	}
	s.send(r)
}

// refuse ends a run that was not sent to the upstream. The detail travels to the gateway.
func (s *Server) refuse(r *run, detail string) {
	s.scheduler.release(r.request.Service, r.admission.id)
	s.record(r, state.ClaimNotRun, nil)
	r.fail(answer.Failure{
		NotRun: true,
		Detail: detail,
	})
}

// fail ends the answer with a failure.
func (r *run) fail(f answer.Failure) {
	payload, err := answer.EncodePayload(f)
	if err != nil {
		payload = nil
	}
	r.buffer.Fail(payload)
}

// send sends the request to the upstream and copies its answer to the run's buffer.
func (s *Server) send(r *run) {
	started := time.Now()
	meter := upstream.NewMeter(r.target.kind, started)
	defer s.recoverRun(r, meter)
	response, err := s.upstreams.Do(r.ctx, r.target.url, r.request, r.body)
	if err != nil {
		s.endFailed(r, meter, err)
		return
	}
	defer response.Body.Close()
	events := strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
	meter.SetEventStream(events)
	head, err := answer.EncodePayload(answer.Head{
		Status:          response.StatusCode,
		Header:          endToEndHeaders(response.Header),
		FirstByteMillis: time.Since(started).Milliseconds(),
	})
	if err != nil {
		s.endFailed(r, meter, err)
		return
	}
	r.buffer.SetHead(head)
	if err := s.copyBody(r, response.Body, meter, started, events); err != nil {
		s.endFailed(r, meter, err)
		return
	}
	s.endComplete(r, response, meter)
}

// recoverRun ends a run whose goroutine has panicked; its request may have reached the upstream. It must be
// deferred.
func (s *Server) recoverRun(r *run, meter *upstream.Meter) {
	if value := recover(); value != nil {
		s.reporter.TaskPanicked(value, "run", fmt.Sprintf("%d/%d", r.key.request, r.key.attempt))
		s.endFailed(r, meter, errPanicked)
	}
}

// copyBody copies the body to the run's buffer, and charges the team for the service as it
// is received. It blocks while the buffer is full. For event streams it records the time
// to the first token.
func (s *Server) copyBody(r *run, body io.Reader, meter *upstream.Meter, started time.Time, events bool) error {
	chunk := make([]byte, readBufferBytes)
	charged := int64(0)
	for first := true; ; first = false {
		n, err := body.Read(chunk)
		if n > 0 {
			if first && events {
				s.scheduler.recordFirstToken(r.request.Service, r.admission.upstream, time.Since(started))
				s.firstTokenSeconds.UpdateSince(r.request.TeamName, r.request.ServiceName, started)
			}
			meter.Write(chunk[:n])
			if served := meter.Served(time.Now()); served-charged >= chargeStep {
				charged = served
				s.scheduler.recordService(r.request.Service, r.admission.id, served)
			}
			if err := r.buffer.Write(r.ctx, chunk[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// chargeStep is the number of units of cost after which a run is charged again.
const chargeStep = 16

// endComplete ends a run whose answer is complete, charges its final cost and records its
// outcome. The recorded answer has no body if that exceeds state.MaxAnswerBytes or is no
// longer held in full.
func (s *Server) endComplete(r *run, response *http.Response, meter *upstream.Meter) {
	cost := meter.Cost(time.Now())
	s.scheduler.finish(r.request.Service, r.admission.id, cost)
	s.serviceReceived.Update(r.request.TeamName, r.request.ServiceName, float64(cost))
	payload, err := answer.EncodePayload(answer.End{
		Cost: cost,
	})
	if err != nil {
		payload = nil
	}
	recorded := &state.Answer{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
	}
	r.buffer.Finish(payload)
	if _, body, ok := r.buffer.Complete(); ok && len(body) <= state.MaxAnswerBytes {
		recorded.Body = body
	} else {
		recorded.Dropped = true
	}
	s.record(r, state.ClaimDone, recorded)
}

// endFailed ends a run whose upstream failed or whose answer could not be copied. The
// request is known not to have run only if no byte of it was sent; otherwise its outcome
// is unknown.
func (s *Server) endFailed(r *run, meter *upstream.Meter, err error) {
	notSent := isNotSent(err)
	if notSent {
		s.scheduler.release(r.request.Service, r.admission.id)
		s.record(r, state.ClaimNotRun, nil)
	} else {
		s.scheduler.finish(r.request.Service, r.admission.id, meter.Cost(time.Now()))
		s.record(r, state.ClaimUnknown, nil)
	}
	s.log.Info("request to the upstream failed; its run ended", "service", r.request.ServiceName, "url", r.target.url, "not_sent", notSent, "cause", err)
	r.fail(answer.Failure{
		NotRun: notSent,
		Detail: "the upstream failed",
	})
}

// record records with the controllers how a claimed request ended. It retries in the
// background for recordTimeout; if that fails, the claim stays open and its outcome is
// unknown to callers.
func (s *Server) record(r *run, outcome state.ClaimState, recorded *state.Answer) {
	if r.request.ClaimKey == "" {
		return
	}
	command := state.Command{
		Finish: &state.Finish{
			Key:     r.request.ClaimKey,
			Attempt: r.request.ClaimAttempt,
			State:   outcome,
			Answer:  recorded,
		},
	}
	s.group.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		for ctx.Err() == nil {
			if _, err := s.recorder.Execute(ctx, command); err == nil {
				return
			}
			select {
			case <-ctx.Done():
			case <-time.After(recordRetryInterval):
			}
		}
		s.log.Warn("recording the outcome of a claimed request failed; its claim stays open", "outcome", string(outcome))
	})
}
