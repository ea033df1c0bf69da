package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"baobabpaddle/fleet/answer"
	"baobabpaddle/fleet/resource"
	"baobabpaddle/fleet/state"
	"baobabpaddle/fleet/wire"
	"baobabpaddle/sidecar/internal/upstream"
)

// Timings and limits of runs.
const (
	// orphanTimeout is how long a run waits for its gateway to come back, and
	// how long an ended answer is kept for it.
	orphanTimeout = 10 * time.Second
	readBytes     = 16 << 10
	// recordTimeout is how long a sidecar tries to record an outcome.
	recordTimeout = 30 * time.Second
	recordPause   = 200 * time.Millisecond
)

// runKey names one attempt of a request.
type runKey struct {
	request uint64
	attempt uint32
}

// target is where a run goes.
type target struct {
	url  string
	kind resource.ServiceType
}

// run is one attempt on this sidecar.
type run struct {
	key    runKey
	asked  *wire.RunRequest
	body   []byte
	place  admission
	target target
	buffer *answer.Buffer
	ctx    context.Context
	*gate

	mu      sync.Mutex
	readers int
	orphan  *time.Timer
}

// addReader keeps the run from being an orphan.
func (r *run) addReader() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers++
	if r.orphan != nil {
		r.orphan.Stop()
		r.orphan = nil
	}
}

// removeReader starts the orphan's deadline when nobody reads any more.
func (r *run) removeReader(expire func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers--
	if r.readers == 0 {
		r.orphan = time.AfterFunc(orphanTimeout, expire)
	}
}

// Recorder records outcomes of claimed requests.
type Recorder interface {
	Execute(ctx context.Context, command state.Command) (state.Result, error)
}

// execute waits for a place, runs the request and records its outcome.
func (s *Server) execute(r *run) {
	defer s.group.Done()
	defer r.cancel()
	select {
	case <-r.place.start:
	case <-r.ctx.Done():
		s.refuse(r, "the gateway has gone or gave up")
		return
	}
	if time.Now().After(r.asked.StartBy) {
		s.refuse(r, "the deadline to start has passed")
		return
	}
	if !r.begin() {
		s.refuse(r, "fenced")
		return
	}
	s.send(r)
}

// refuse ends a run that was certainly not sent.
func (s *Server) refuse(r *run, why string) {
	s.control.release(r.asked.Service, r.place.id)
	s.record(r, state.ClaimNotRun, nil)
	r.fail(answer.Failure{
		NotRun: true,
		Detail: why,
	})
}

func (r *run) fail(f answer.Failure) {
	payload, err := answer.EncodePayload(f)
	if err != nil {
		payload = nil
	}
	r.buffer.Fail(payload)
}

// send runs the request on the upstream and passes the answer on.
func (s *Server) send(r *run) {
	started := time.Now()
	meter := upstream.NewMeter(r.target.kind, started)
	response, err := s.upstreams.Do(r.ctx, r.target.url, r.asked, r.body)
	if err != nil {
		s.sendFailed(r, meter, err)
		return
	}
	defer response.Body.Close()
	events := strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
	meter.SetEventStream(events)
	head, err := answer.EncodePayload(answer.Head{
		Status:          response.StatusCode,
		Header:          passOn(response.Header),
		FirstByteMillis: time.Since(started).Milliseconds(),
	})
	if err != nil {
		s.sendFailed(r, meter, err)
		return
	}
	r.buffer.SetHead(head)
	if err := s.copyBody(r, response.Body, meter, started, events); err != nil {
		s.sendFailed(r, meter, err)
		return
	}
	s.complete(r, response, meter)
}

// copyBody passes the body on and charges the service as it is received.
func (s *Server) copyBody(r *run, body io.Reader, meter *upstream.Meter, started time.Time, events bool) error {
	piece := make([]byte, readBytes)
	charged := int64(0)
	for first := true; ; first = false {
		n, err := body.Read(piece)
		if n > 0 {
			if first && events {
				s.control.firstToken(r.asked.Service, r.place.upstream, time.Since(started))
				s.firstToken.UpdateSince(r.asked.TeamName, r.asked.ServiceName, started)
			}
			meter.Write(piece[:n])
			if served := meter.Served(time.Now()); served-charged >= chargeStep {
				charged = served
				s.control.served(r.asked.Service, r.place.id, served)
			}
			if err := r.buffer.Write(r.ctx, piece[:n]); err != nil {
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

// chargeStep is after how many units of cost the queue hears of a run.
const chargeStep = 16

// complete ends a run whose answer is whole.
func (s *Server) complete(r *run, response *http.Response, meter *upstream.Meter) {
	cost := meter.Cost(time.Now())
	s.control.finish(r.asked.Service, r.place.id, cost)
	s.service.Update(r.asked.TeamName, r.asked.ServiceName, float64(cost))
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

// sendFailed ends a run whose upstream failed. Only when nothing was sent is it
// known not to have run.
func (s *Server) sendFailed(r *run, meter *upstream.Meter, err error) {
	notSent := isNotSent(err)
	if notSent {
		s.control.release(r.asked.Service, r.place.id)
		s.record(r, state.ClaimNotRun, nil)
	} else {
		s.control.finish(r.asked.Service, r.place.id, meter.Cost(time.Now()))
		s.record(r, state.ClaimUnknown, nil)
	}
	s.log.Info("run failed", "service", r.asked.ServiceName, "url", r.target.url, "not_sent", notSent, "cause", err)
	r.fail(answer.Failure{
		NotRun: notSent,
		Detail: "the upstream failed",
	})
}

// record tells the controllers how a claimed request ended, until they know or
// too long has passed; then the claim stays open and is unknown to callers.
func (s *Server) record(r *run, outcome state.ClaimState, recorded *state.Answer) {
	if r.asked.ClaimKey == "" {
		return
	}
	command := state.Command{
		Finish: &state.Finish{
			Key:     r.asked.ClaimKey,
			Attempt: r.asked.ClaimAttempt,
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
			case <-time.After(recordPause):
			}
		}
		s.log.Warn("outcome not recorded", "outcome", string(outcome))
	})
}
