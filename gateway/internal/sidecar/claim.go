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

const (
	nonceBytes = 8
	// joinFenceAfter is how long a claim may stay open before its sidecar is
	// asked whether it has begun.
	joinFenceAfter = 2 * time.Second
)

// claimed tells what follows from asking for a claim.
type claimed uint8

const (
	claimedRun   claimed = iota + 1 // the attempt is ours to run, once
	claimedAgain                    // place the job anew
	claimedEnd                      // the job has its answer or problem
)

// claim records that the attempt is about to run on the sidecar. Nothing is
// sent before the record is durable on a quorum.
func (d *Dispatcher) claim(ctx context.Context, job *Job, asked *wire.RunRequest, placed Placement, sink Sink) (claimed, *problem.Problem) {
	var nonce [nonceBytes]byte
	if _, err := rand.Read(nonce[:]); err != nil {
		return claimedEnd, problem.NewNotRun(http.StatusInternalServerError, problem.NotReady, "no randomness")
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
		return claimedEnd, p
	}
	switch result.Code {
	case state.CodeOK:
		asked.ClaimKey = job.Key
		asked.ClaimAttempt = result.Claim.Attempt
		return claimedRun, nil
	case state.CodeKeyReused:
		return claimedEnd, problem.NewNotRun(http.StatusUnprocessableEntity, problem.KeyReused,
			"the Idempotency-Key was used for another request")
	case state.CodeClaimSettled:
		return d.join(ctx, job, *result.Claim, sink)
	}
	return claimedAgain, nil // the sidecar was restarted meanwhile
}

// abandonClaim settles a claim of which it is not known whether it was
// recorded. Nothing was sent under it, so it was not run. The same claim is
// asked for until there is an answer, which its nonce makes harmless.
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
			case <-time.After(settlePause):
			}
		}
	})
}

// join answers a repeat of a request with what is recorded of the first, and
// waits for it while it runs. A claim that stays open may be one whose gateway
// died before it sent the request; if the sidecar has not begun it, it is fenced
// there and may be claimed anew.
func (d *Dispatcher) join(ctx context.Context, job *Job, claim state.Claim, sink Sink) (claimed, *problem.Problem) {
	fenceAt := time.Now().Add(joinFenceAfter)
	for {
		switch claim.State {
		case state.ClaimDone:
			return claimedEnd, Replay(claim.Answer, sink)
		case state.ClaimUnknown:
			return claimedEnd, unknownOutcome(job)
		case state.ClaimNotRun:
			return claimedAgain, nil
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
			return claimedEnd, p
		}
		select {
		case <-ctx.Done():
			return claimedEnd, unknownOutcome(job)
		case <-time.After(joinPause):
		}
		next, found, err := d.claims.Claim(ctx, job.Key)
		if err != nil {
			continue
		}
		if !found {
			return claimedAgain, nil
		}
		claim = next
	}
}

// Replay gives a recorded answer to the sink.
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
