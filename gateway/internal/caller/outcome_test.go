package caller

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"baobabpaddle/fleet/state"
)

// TestInvalidStatusIsNoOutcome guards against a booking that is reported as done since a sidecar
// of an older version recorded a failure of its upstream, a status that isn't one of HTTP.
func TestInvalidStatusIsNoOutcome(t *testing.T) {
	for status, want := range map[int]Outcome{
		0: {
			RequestID: "b:k",
			Run:       state.ClaimUnknown,
		},
		99: {
			RequestID: "b:k",
			Run:       state.ClaimUnknown,
		},
		999: {
			RequestID: "b:k",
			Run:       state.ClaimUnknown,
		},
		http.StatusCreated: {
			RequestID: "b:k",
			Run:       state.ClaimDone,
			Status:    http.StatusCreated,
			Body:      "yes",
		},
	} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			is := is.New(t)
			w := httptest.NewRecorder()
			writeOutcome(w, "b:k", state.Claim{
				State: state.ClaimDone,
				Answer: &state.Answer{
					Status: status,
					Body:   []byte("yes"),
				},
			})
			var got Outcome
			is.NoErr(json.Unmarshal(w.Body.Bytes(), &got))
			is.Equal(got, want)
		})
	}
}
