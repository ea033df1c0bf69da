package sidecar

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/fleet/answer"
	"baobabpaddle/fleet/problem"
	"baobabpaddle/fleet/state"
)

// invalidStatuses are not those of final answers of HTTP. An older sidecar passes them on and
// records them.
var invalidStatuses = []int{0, 20, 99, 101, 199, 600, 999}

// TestInvalidStatusOfSidecarIsFailure guards against the head of an answer with a status that
// isn't one of HTTP, which a sidecar sends and a caller's connection can't carry: the caller gets
// no answer.
func TestInvalidStatusOfSidecarIsFailure(t *testing.T) {
	for _, status := range invalidStatuses {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			is := is.New(t)
			head, err := answer.EncodePayload(answer.Head{
				Status: status,
			})
			is.NoErr(err)
			end, err := answer.EncodePayload(answer.End{})
			is.NoErr(err)
			sent := answer.Append(nil, answer.Frame{
				Type:    answer.FrameHead,
				Request: 7,
				Attempt: 1,
				Payload: head,
			})
			sent = answer.Append(sent, answer.Frame{
				Type:    answer.FrameEnd,
				Request: 7,
				Attempt: 1,
				Payload: end,
			})
			result, sink := runAt(t, sent, false)
			is.Equal(result, ResultFailed) // it may have run
			is.Equal(sink.status, 0)
			is.True(!sink.ended)
		})
	}
}

// TestInvalidStatusIsNotReplayed guards against a repeat of a booking that gets no answer since
// the recorded one has a status that isn't one of HTTP: its outcome isn't known.
func TestInvalidStatusIsNotReplayed(t *testing.T) {
	for _, status := range invalidStatuses {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			is := is.New(t)
			d := NewDispatcher(nil, nil, nil, nil, nil)
			sink := &recordingSink{}
			next, p := d.join(context.Background(), &Job{
				RequestID: "booking:k",
				Deadline:  time.Now().Add(time.Second),
			}, state.Claim{
				State: state.ClaimDone,
				Answer: &state.Answer{
					Status: status,
					Body:   []byte("yes"),
				},
			}, sink)
			is.Equal(next, claimFinal)
			is.True(p != nil)
			is.Equal(p.Code, problem.OutcomeUnknown)
			is.Equal(p.Run, problem.RunUnknown)
			is.Equal(sink.body, "")
			is.True(!sink.ended)
		})
	}
}

// TestValidStatusIsReplayed checks that each status of HTTP is replayed.
func TestValidStatusIsReplayed(t *testing.T) {
	is := is.New(t)
	for _, status := range []int{http.StatusOK, 299, http.StatusNotFound, 599} {
		sink := &recordingSink{}
		is.Equal(Replay(&state.Answer{
			Status: status,
			Body:   []byte("yes"),
		}, sink), nil)
		is.Equal(sink.status, status)
		is.True(sink.ended)
	}
}
