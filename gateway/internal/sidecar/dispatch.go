package sidecar

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"baobabpaddle/fleet/answer"
	"baobabpaddle/fleet/controller"
	"baobabpaddle/fleet/problem"
	"baobabpaddle/fleet/share"
	"baobabpaddle/fleet/state"
	"baobabpaddle/fleet/wire"
)

// Timings and limits of dispatching.
const (
	claimTimeout  = 4 * time.Second
	settleTimeout = 30 * time.Second
	settlePause   = 200 * time.Millisecond
	joinPause     = 250 * time.Millisecond
	refusedPause  = 20 * time.Millisecond
	maxBudgets    = 100_000
)

// Job is one caller's request, checked and ready to run.
type Job struct {
	ID         uint64
	Team       *controller.Team
	Service    *controller.Service
	Prefix     uint64
	Deadline   time.Time // to be started
	Idempotent bool
	// Key and Digest name a non-idempotent request and its content.
	Key       string
	Digest    string
	RequestID string
	Method    string
	Path      string
	Header    map[string][]string
	Body      []byte
}

// Claims records non-idempotent requests.
type Claims interface {
	Execute(ctx context.Context, command state.Command) (state.Result, error)
	Claim(ctx context.Context, key string) (state.Claim, bool, error)
}

// Dispatcher takes a job from its arrival to its answer.
type Dispatcher struct {
	control *Control
	runner  *Runner
	config  Configuration
	claims  Claims
	log     *slog.Logger
	group   sync.WaitGroup

	mu      sync.Mutex
	budgets map[string]*share.RetryBudget
}

// NewDispatcher returns a dispatcher.
func NewDispatcher(control *Control, runner *Runner, config Configuration, claims Claims, log *slog.Logger) *Dispatcher {
	return &Dispatcher{
		control: control,
		runner:  runner,
		config:  config,
		claims:  claims,
		log:     log,
		budgets: make(map[string]*share.RetryBudget),
	}
}

// Wait returns when everything left to record is recorded.
func (d *Dispatcher) Wait() { d.group.Wait() }

// countingSink knows whether the answer has begun, and whether an earlier
// attempt of the same request may have run.
type countingSink struct {
	Sink
	begun bool
	tried bool
}

// honest keeps a problem from saying that the request was not run when only the
// last attempt was not.
func (s *countingSink) honest(p *problem.Problem) *problem.Problem {
	if p != nil && s.tried && p.Run == problem.NotRun {
		p.Run = problem.RunUnknown
	}
	return p
}

// Head passes the head on.
func (s *countingSink) Head(head answer.Head) error {
	s.begun = true
	return s.Sink.Head(head)
}

// Do runs the job and returns nil when the sink has the whole answer, or the
// problem to answer with. Once the answer has begun a problem means that it
// can't be completed.
func (d *Dispatcher) Do(ctx context.Context, job *Job, sink Sink) *problem.Problem {
	counted := &countingSink{
		Sink: sink,
	}
	d.request(job.Team.Name)
	refused := ""
	for attempt := uint32(1); ; attempt++ {
		placed, err := d.control.Place(ctx, job.Service, d.shareRequest(job), refused)
		if err != nil {
			return counted.honest(problem.NewNotRun(http.StatusServiceUnavailable, problem.Draining,
				"the caller has gone or the gateway stops"))
		}
		if placed.GiveUp != nil {
			return counted.honest(givenUp(placed.GiveUp))
		}
		again, p := d.attempt(ctx, job, attempt, placed, counted)
		if !again {
			return counted.honest(p)
		}
		refused = placed.Start.Sidecar
		select {
		case <-ctx.Done():
		case <-time.After(refusedPause):
		}
	}
}

func (d *Dispatcher) shareRequest(job *Job) share.Request {
	return share.Request{
		ID:         job.ID,
		Team:       job.Team.ID,
		Deadline:   job.Deadline,
		Prefix:     job.Prefix,
		Idempotent: job.Idempotent,
		MaxWaiting: job.Team.MaxWaiting,
	}
}

func givenUp(g *share.Reject) *problem.Problem {
	var p *problem.Problem
	switch g.Reason {
	case share.RejectQueueFull:
		p = problem.NewNotRun(http.StatusTooManyRequests, problem.TooManyWaiting, "too many requests of this team wait")
	case share.RejectNoUpstream:
		p = problem.NewNotRun(http.StatusServiceUnavailable, problem.NoUpstream, "no upstream is reachable")
	default:
		p = problem.NewNotRun(http.StatusServiceUnavailable, problem.DeadlinePassed, "the request could not be started in time")
	}
	p.RetryAfter = g.RetryAfter
	return p
}

// attempt runs the job once. Again is true when it was not run, or may be run
// again, and should be placed anew.
func (d *Dispatcher) attempt(ctx context.Context, job *Job, number uint32, placed Placement, sink *countingSink) (again bool, p *problem.Problem) {
	asked := d.runRequest(job, number, placed)
	if !job.Idempotent {
		next, p := d.claim(ctx, job, asked, placed, sink)
		if next != claimedRun {
			d.control.GiveBack(job.Service.ID, *placed.Start)
			return next == claimedAgain, p
		}
	}
	result, code, clean := d.runner.Run(ctx, placed.Start.Sidecar, asked, job.Body, sink)
	switch result {
	case ResultDone:
		return false, nil
	case ResultRefused, ResultNotRun:
		if !clean {
			sink.tried = true // a copy may have run under an earlier incarnation
		}
		return d.notRun(ctx, job, asked, placed, result, code, clean)
	case ResultSinkGone:
		if job.Idempotent {
			d.group.Go(func() { d.runner.Cancel(placed.Start.Sidecar, asked) })
		}
		return false, problem.New(http.StatusServiceUnavailable, problem.AnswerLost, "the caller has gone")
	}
	return d.failed(ctx, job, asked, placed, sink)
}

func (d *Dispatcher) runRequest(job *Job, number uint32, placed Placement) *wire.RunRequest {
	return &wire.RunRequest{
		Request:     job.ID,
		Attempt:     number,
		Service:     job.Service.ID,
		ServiceName: job.Service.Name,
		Team:        job.Team.ID,
		TeamName:    job.Team.Name,
		Weight:      job.Team.ShareWeight(),
		TeamVersion: job.Team.Version,
		Grant:       placed.Start.GrantID,
		Revision:    d.config.View().Revision,
		StartBy:     job.Deadline,
		Idempotent:  job.Idempotent,
		Incarnation: placed.Incarnation,
		Method:      job.Method,
		Path:        job.Path,
		Header:      job.Header,
	}
}

// notRun handles an attempt that the sidecar says was not run.
func (d *Dispatcher) notRun(ctx context.Context, job *Job, asked *wire.RunRequest, placed Placement,
	result Result, code problem.Code, clean bool) (bool, *problem.Problem) {
	if !job.Idempotent {
		if !clean && !d.runner.Fence(ctx, placed.Start.Sidecar, placed.Incarnation, asked) {
			return false, d.unknown(job, asked)
		}
		d.settle(asked, state.ClaimNotRun)
	}
	if code == problem.MalformedBody {
		return false, problem.NewNotRun(http.StatusBadRequest, code, "the request's headers are too large")
	}
	if result == ResultNotRun && !d.retry(job.Team.Name) {
		p := problem.NewNotRun(http.StatusBadGateway, problem.UpstreamFailed, "the upstream could not be reached")
		p.RetryAfter = time.Second
		return false, p
	}
	return true, nil
}

// failed handles an attempt that may have run.
func (d *Dispatcher) failed(ctx context.Context, job *Job, asked *wire.RunRequest, placed Placement, sink *countingSink) (bool, *problem.Problem) {
	if !job.Idempotent {
		if !sink.begun && d.runner.Fence(ctx, placed.Start.Sidecar, placed.Incarnation, asked) {
			d.settle(asked, state.ClaimNotRun)
			return true, nil
		}
		return false, d.unknown(job, asked)
	}
	if !sink.begun && d.retry(job.Team.Name) {
		sink.tried = true
		return true, nil
	}
	p := problem.New(http.StatusBadGateway, problem.UpstreamFailed, "the upstream failed while it ran the request")
	p.Run = problem.RunUnknown
	return false, p
}

// unknown records and tells that nothing is known of a non-idempotent request.
func (d *Dispatcher) unknown(job *Job, asked *wire.RunRequest) *problem.Problem {
	d.settle(asked, state.ClaimUnknown)
	return unknownOutcome(job)
}

func unknownOutcome(job *Job) *problem.Problem {
	p := problem.New(http.StatusGatewayTimeout, problem.OutcomeUnknown,
		"the request was sent and its answer was lost; it is never sent again")
	p.Run = problem.RunUnknown
	p.RequestID = job.RequestID
	return p
}

// settle records a claim's outcome in the background until the controllers know.
func (d *Dispatcher) settle(asked *wire.RunRequest, outcome state.ClaimState) {
	command := state.Command{
		Finish: &state.Finish{
			Key:     asked.ClaimKey,
			Attempt: asked.ClaimAttempt,
			State:   outcome,
		},
	}
	d.group.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		for ctx.Err() == nil {
			if _, err := d.claims.Execute(ctx, command); err == nil {
				return
			}
			select {
			case <-ctx.Done():
			case <-time.After(settlePause):
			}
		}
		d.log.Warn("outcome not recorded", "outcome", string(outcome))
	})
}

// request adds to a team's retry budget; retry takes from it.
func (d *Dispatcher) request(team string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget(team).Request()
}

func (d *Dispatcher) retry(team string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget(team).Take()
}

// budget returns a team's budget; d.mu is held.
func (d *Dispatcher) budget(team string) *share.RetryBudget {
	b := d.budgets[team]
	if b == nil {
		if len(d.budgets) >= maxBudgets {
			clear(d.budgets)
		}
		b = &share.RetryBudget{}
		d.budgets[team] = b
	}
	return b
}
