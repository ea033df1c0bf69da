package sidecar

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"time"

	"baobabpaddle/fleet/answer"
	"baobabpaddle/fleet/problem"
	"baobabpaddle/fleet/state"
	"baobabpaddle/fleet/wire"
)

// Timings and sizes of claims.
const (
	// nonceBytes is the size of the random number that identifies a request for a claim.
	nonceBytes = 8
	// joinFenceAfter is how long a claim may stay open before a repeat of its request
	// tries to fence it at the sidecar, and the interval between further tries.
	joinFenceAfter = 2 * time.Second
)

// claimOutcome reports how the dispatcher proceeds after it asked for a claim.
type claimOutcome uint8

const (
	claimGranted claimOutcome = iota + 1 // this attempt holds the claim and runs once
	claimRetry                           // the job must be placed again
	claimFinal                           // the job has its answer or its problem
)

// claim records at the controllers that the attempt is about to run on the sidecar. The
// request must not be sent before the record is durable on a quorum, so that it runs at
// most once.
func (d *Dispatcher) claim(ctx context.Context, job *Job, run *wire.RunRequest, placed Placement, sink Sink) (claimOutcome, *problem.Problem) {
	var nonce [nonceBytes]byte
	if _, err := rand.Read(nonce[:]); err != nil {
		return claimFinal, problem.NewNotRun(http.StatusInternalServerError, problem.NotReady, "no randomness")
	}
	claimCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	command := state.Command{
		Claim: &state.ClaimRequest{
			Key:         job.Key,
			Team:        job.Team.Name,
			Service:     job.Service.Name,
			Digest:      job.Digest,
			Sidecar:     placed.Start.Sidecar,
			Incarnation: placed.Incarnation,
			Nonce:       hex.EncodeToString(nonce[:]),
		},
	}
	result, err := d.claims.Execute(claimCtx, command)
	if err != nil {
		d.abandonClaim(command)
		p := problem.NewNotRun(http.StatusServiceUnavailable, problem.NoQuorum, "the request could not be recorded, so it was not run")
		p.RetryAfter = time.Second
		return claimFinal, p
	}
	switch result.Code {
	case state.CodeOK:
		run.ClaimKey = job.Key
		run.ClaimAttempt = result.Claim.Attempt
		return claimGranted, nil
	case state.CodeKeyReused:
		return claimFinal, problem.NewNotRun(http.StatusUnprocessableEntity, problem.KeyReused,
			"the Idempotency-Key was used for another request")
	case state.CodeClaimSettled:
		return d.join(ctx, job, *result.Claim, sink)
	}
	return claimRetry, nil // the sidecar has restarted since the placement
}

// abandonClaim settles as not run a claim that may or may not have been recorded; nothing
// was sent under it. It repeats the claim in the background until the controllers answer.
// The nonce makes the repeats idempotent.
func (d *Dispatcher) abandonClaim(command state.Command) {
	d.group.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		for ctx.Err() == nil {
			result, err := d.claims.Execute(ctx, command)
			if err == nil {
				if result.Code == state.CodeOK {
					d.settle(&wire.RunRequest{
						ClaimKey:     command.Claim.Key,
						ClaimAttempt: result.Claim.Attempt,
					}, state.ClaimNotRun)
				}
				return
			}
			select {
			case <-ctx.Done():
			case <-time.After(settleRetryDelay):
			}
		}
	})
}

// join answers a repeat of a request with the recorded outcome of the first, and polls
// for that outcome while the first runs. A claim that stays open may belong to a gateway
// that died before it sent the request. The sidecar is therefore asked to fence the
// attempt; if it had not started, it is settled as not run and may be claimed again.
func (d *Dispatcher) join(ctx context.Context, job *Job, claim state.Claim, sink Sink) (claimOutcome, *problem.Problem) {
	fenceAt := time.Now().Add(joinFenceAfter)
	for {
		switch claim.State {
		case state.ClaimDone:
			if isFailure(claim.Answer) {
				return claimFinal, unknownOutcome(job)
			}
			return claimFinal, Replay(claim.Answer, sink)
		case state.ClaimUnknown:
			return claimFinal, unknownOutcome(job)
		case state.ClaimNotRun:
			return claimRetry, nil
		}
		if time.Now().After(fenceAt) {
			fenceAt = time.Now().Add(joinFenceAfter)
			if d.runner.FenceClaim(ctx, job.Key, claim) {
				d.settle(&wire.RunRequest{
					ClaimKey:     job.Key,
					ClaimAttempt: claim.Attempt,
				}, state.ClaimNotRun)
			}
		}
		if !time.Now().Before(job.Deadline) {
			p := problem.New(http.StatusConflict, problem.StillRunning, "the first request with this key still runs")
			p.Run = problem.RunUnknown
			p.RequestID = job.RequestID
			p.RetryAfter = time.Second
			return claimFinal, p
		}
		select {
		case <-ctx.Done():
			return claimFinal, unknownOutcome(job)
		case <-time.After(joinPollInterval):
		}
		next, found, err := d.claims.Claim(ctx, job.Key)
		if err != nil {
			continue
		}
		if !found {
			return claimRetry, nil
		}
		claim = next
	}
}

// isFailure reports whether a recorded answer has a status that isn't one of HTTP, as older
// sidecars recorded it: the upstream failed, and what it did isn't known.
func isFailure(recorded *state.Answer) bool {
	return recorded != nil && !answer.IsFinalStatus(recorded.Status)
}

// Replay writes a recorded answer to the sink, marked by the header Idempotent-Replay. It
// returns a problem if the answer was not kept.
func Replay(recorded *state.Answer, sink Sink) *problem.Problem {
	if recorded == nil || recorded.Dropped {
		p := problem.New(http.StatusConflict, problem.AnswerNotKept, "the request ran; its answer is not kept")
		p.Run = problem.Done
		return p
	}
	header := make(map[string][]string)
	if recorded.ContentType != "" {
		header["Content-Type"] = []string{recorded.ContentType}
	}
	header["Idempotent-Replay"] = []string{"true"}
	if sink.Head(answer.Head{
		Status: recorded.Status,
		Header: header,
	}) == nil && sink.Data(recorded.Body) == nil {
		_ = sink.End(answer.End{})
	}
	return nil
}
