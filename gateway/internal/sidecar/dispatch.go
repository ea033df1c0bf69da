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

// Timings and limits of a Dispatcher.
const (
	// claimTimeout is how long the recording of a claim may take before the request is
	// answered as not run.
	claimTimeout = 4 * time.Second
	// settleTimeout is how long the recording of a claim's outcome is retried.
	settleTimeout    = 30 * time.Second
	settleRetryDelay = 200 * time.Millisecond
	// joinPollInterval is how often a repeat of a request reads the claim of the first.
	joinPollInterval = 250 * time.Millisecond
	// refusedRetryDelay is the delay before a job is placed again after an attempt.
	refusedRetryDelay = 20 * time.Millisecond
	// maxRetryBudgets is the maximum number of teams whose retry budgets are kept.
	maxRetryBudgets = 100_000
)

// Job is one caller's request, validated and ready to be placed.
type Job struct {
	ID      uint64
	Team    *controller.Team
	Service *controller.Service
	// Prefix is a hash of the start of the prompt; zero means none.
	Prefix uint64
	// Deadline is the time by which the request must start at an upstream.
	Deadline   time.Time
	Idempotent bool
	// Key identifies a non-idempotent request, and Digest its content.
	Key    string
	Digest string
	// RequestID identifies a non-idempotent request to its caller.
	RequestID string
	Method    string
	Path      string
	Header    map[string][]string
	Body      []byte
}

// Claims records claims of non-idempotent requests at the controllers.
type Claims interface {
	Execute(ctx context.Context, command state.Command) (state.Result, error)
	Claim(ctx context.Context, key string) (state.Claim, bool, error)
}

// Dispatcher places jobs, runs them and retries them within their teams' retry budgets.
type Dispatcher struct {
	coordinator *Coordinator
	runner      *Runner
	config      Configuration
	claims      Claims
	log         *slog.Logger
	group       sync.WaitGroup

	mu      sync.Mutex
	budgets map[string]*share.RetryBudget // by team name
}

// NewDispatcher returns a dispatcher that places jobs with the coordinator, runs them with
// the runner and records the non-idempotent ones in claims.
func NewDispatcher(coordinator *Coordinator, runner *Runner, config Configuration, claims Claims, log *slog.Logger) *Dispatcher {
	return &Dispatcher{
		coordinator: coordinator,
		runner:      runner,
		config:      config,
		claims:      claims,
		log:         log,
		budgets:     make(map[string]*share.RetryBudget),
	}
}

// Wait waits for all background work: settling of claims and cancellation of runs.
func (d *Dispatcher) Wait() { d.group.Wait() }

// attemptSink passes an answer on, and tracks whether the answer has started and whether an
// earlier attempt of the same request may have run.
type attemptSink struct {
	Sink
	answerStarted bool
	mayHaveRun    bool
}

// correctRun changes a problem's NotRun to RunUnknown if an earlier attempt of the request
// may have run.
func (s *attemptSink) correctRun(p *problem.Problem) *problem.Problem {
	if p != nil && s.mayHaveRun && p.Run == problem.NotRun {
		p.Run = problem.RunUnknown
	}
	return p
}

// Head implements Sink.
func (s *attemptSink) Head(head answer.Head) error {
	s.answerStarted = true
	return s.Sink.Head(head)
}

// Do runs the job. It returns nil when the sink has the complete answer, and otherwise the
// problem to answer with. If the sink's Head was called before, the problem means that the
// answer can't be completed.
func (d *Dispatcher) Do(ctx context.Context, job *Job, sink Sink) *problem.Problem {
	tracked := &attemptSink{
		Sink: sink,
	}
	d.recordRequest(job.Team.Name)
	refused := ""
	for attempt := uint32(1); ; attempt++ {
		placed, err := d.coordinator.Place(ctx, job.Service, d.shareRequest(job), refused)
		if err != nil {
			return tracked.correctRun(problem.NewNotRun(http.StatusServiceUnavailable, problem.Draining,
				"the caller has gone or the gateway stops"))
		}
		if placed.Reject != nil {
			return tracked.correctRun(rejectProblem(placed.Reject))
		}
		again, p := d.attempt(ctx, job, attempt, placed, tracked)
		if !again {
			return tracked.correctRun(p)
		}
		refused = placed.Start.Sidecar
		select {
		case <-ctx.Done():
		case <-time.After(refusedRetryDelay):
		}
	}
}

// shareRequest returns the request for which a placement of the job is asked.
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

// rejectProblem returns the problem that answers a rejected request.
func rejectProblem(r *share.Reject) *problem.Problem {
	var p *problem.Problem
	switch r.Reason {
	case share.RejectQueueFull:
		p = problem.NewNotRun(http.StatusTooManyRequests, problem.TooManyWaiting, "too many requests of this team wait")
	case share.RejectNoUpstream:
		p = problem.NewNotRun(http.StatusServiceUnavailable, problem.NoUpstream, "no upstream is reachable")
	default:
		p = problem.NewNotRun(http.StatusServiceUnavailable, problem.DeadlinePassed, "the request could not be started in time")
	}
	p.RetryAfter = r.RetryAfter
	return p
}

// attempt runs the job once. The result again is true if the job should be placed again:
// it was not run, or may be run more than once.
func (d *Dispatcher) attempt(ctx context.Context, job *Job, number uint32, placed Placement, sink *attemptSink) (again bool, p *problem.Problem) {
	run := d.runRequest(job, number, placed)
	if !job.Idempotent {
		next, p := d.claim(ctx, job, run, placed, sink)
		if next != claimGranted {
			d.coordinator.DeclineGrant(job.Service.ID, *placed.Start)
			return next == claimRetry, p
		}
	}
	result, code, noDuplicate := d.runner.Run(ctx, placed.Start.Sidecar, run, job.Body, sink)
	switch result {
	case ResultDone:
		return false, nil
	case ResultRefused, ResultNotRun:
		if !noDuplicate {
			sink.mayHaveRun = true // the other copy may have run under an earlier incarnation
		}
		return d.handleNotRun(ctx, job, run, placed, result, code, noDuplicate)
	case ResultSinkGone:
		if job.Idempotent {
			d.group.Go(func() { d.runner.Cancel(placed.Start.Sidecar, run) })
		}
		return false, problem.New(http.StatusServiceUnavailable, problem.AnswerLost, "the caller has gone")
	}
	return d.handleFailed(ctx, job, run, placed, sink)
}

// runRequest returns the message that asks the sidecar to run an attempt of the job.
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

// handleNotRun handles an attempt that was not run according to the sidecar, and reports
// whether the job should be placed again.
func (d *Dispatcher) handleNotRun(ctx context.Context, job *Job, run *wire.RunRequest, placed Placement,
	result Result, code problem.Code, noDuplicate bool) (bool, *problem.Problem) {
	if !job.Idempotent {
		if !noDuplicate && !d.runner.Fence(ctx, placed.Start.Sidecar, placed.Incarnation, run) {
			return false, d.settleUnknown(job, run)
		}
		d.settle(run, state.ClaimNotRun)
	}
	if code == problem.MalformedBody {
		return false, problem.NewNotRun(http.StatusBadRequest, code, "the request's headers are too large")
	}
	if result == ResultNotRun && !d.takeRetry(job.Team.Name) {
		p := problem.NewNotRun(http.StatusBadGateway, problem.UpstreamFailed, "the upstream could not be reached")
		p.RetryAfter = time.Second
		return false, p
	}
	return true, nil
}

// handleFailed handles an attempt that may have run, and reports whether the job should be
// placed again.
func (d *Dispatcher) handleFailed(ctx context.Context, job *Job, run *wire.RunRequest, placed Placement, sink *attemptSink) (bool, *problem.Problem) {
	if !job.Idempotent {
		if !sink.answerStarted && d.runner.Fence(ctx, placed.Start.Sidecar, placed.Incarnation, run) {
			d.settle(run, state.ClaimNotRun)
			return true, nil
		}
		return false, d.settleUnknown(job, run)
	}
	if !sink.answerStarted && d.takeRetry(job.Team.Name) {
		sink.mayHaveRun = true
		return true, nil
	}
	p := problem.New(http.StatusBadGateway, problem.UpstreamFailed, "the upstream failed while it ran the request")
	p.Run = problem.RunUnknown
	return false, p
}

// settleUnknown records that the outcome of a non-idempotent request is unknown, and returns
// the problem that reports this.
func (d *Dispatcher) settleUnknown(job *Job, run *wire.RunRequest) *problem.Problem {
	d.settle(run, state.ClaimUnknown)
	return unknownOutcome(job)
}

// unknownOutcome returns the problem for a non-idempotent request that may have run.
func unknownOutcome(job *Job) *problem.Problem {
	p := problem.New(http.StatusGatewayTimeout, problem.OutcomeUnknown,
		"the request was sent and its answer was lost; it is never sent again")
	p.Run = problem.RunUnknown
	p.RequestID = job.RequestID
	return p
}

// settle records a claim's outcome in the background. It retries until the controllers
// confirm it or settleTimeout has passed.
func (d *Dispatcher) settle(run *wire.RunRequest, outcome state.ClaimState) {
	command := state.Command{
		Finish: &state.Finish{
			Key:     run.ClaimKey,
			Attempt: run.ClaimAttempt,
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
			case <-time.After(settleRetryDelay):
			}
		}
		d.log.Warn("outcome of a claim not recorded in time, the claim may stay open", "outcome", string(outcome))
	})
}

// recordRequest adds a request to its team's retry budget.
func (d *Dispatcher) recordRequest(team string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget(team).Request()
}

// takeRetry takes a retry from the team's budget, and reports whether there was one left.
func (d *Dispatcher) takeRetry(team string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget(team).Take()
}

// budget returns a team's retry budget and creates it if needed. At maxRetryBudgets it
// drops all budgets to bound memory. The caller holds d.mu.
func (d *Dispatcher) budget(team string) *share.RetryBudget {
	b := d.budgets[team]
	if b == nil {
		if len(d.budgets) >= maxRetryBudgets {
			clear(d.budgets)
		}
		b = &share.RetryBudget{}
		d.budgets[team] = b
	}
	return b
}
