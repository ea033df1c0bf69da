package operator

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"baobabpaddle/fleet/problem"
	"baobabpaddle/fleet/state"
)

// QuarantinedSubject describes a prompt segment whose requests are refused, or a request that
// is.
type QuarantinedSubject struct {
	// Kind is "segment" or "request".
	Kind string `json:"kind"`
	// ID is the segment's identifier or the request's digest, in hexadecimal.
	ID string `json:"segment"`
	// Of is the digest of the request if it is refused at one service only.
	Of      string    `json:"of,omitempty"`
	Rounds  int       `json:"rounds"`
	Crashes int       `json:"crashes"`
	Since   time.Time `json:"since"`
}

// QuarantineList is the answer to GET /v1/quarantine.
type QuarantineList struct {
	Items []QuarantinedSubject `json:"items"`
}

// listQuarantine answers with the recorded subjects, the earliest first.
func (c *ConfigurationAPI) listQuarantine(w *loggedResponse, r *http.Request) {
	current := c.currentReplica(w, r)
	if current == nil {
		return
	}
	out := QuarantineList{
		Items: []QuarantinedSubject{},
	}
	current.View(func(s *state.State) {
		for _, q := range s.QuarantineList() {
			item := QuarantinedSubject{
				Kind:    q.Kind.String(),
				ID:      strconv.FormatUint(q.ID, 16),
				Rounds:  q.Rounds,
				Crashes: q.Crashes,
				Since:   q.Since,
			}
			if q.Of != 0 {
				item.Of = strconv.FormatUint(q.Of, 16)
			}
			out.Items = append(out.Items, item)
		}
	})
	writeJSON(w, out)
}

// releaseSubject releases a segment or a request. It answers 204 when the release is committed.
func (c *ConfigurationAPI) releaseSubject(w *loggedResponse, r *http.Request) {
	id, err := strconv.ParseUint(r.PathValue("segment"), 16, 64)
	if err != nil {
		problem.New(http.StatusBadRequest, problem.MalformedBody, "segment: want a hexadecimal number of at most 16 digits").Write(w)
		return
	}
	if c.replicas.Replica() == nil {
		c.redirectToMember(w, r)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), replaceTimeout)
	defer cancel()
	result, err := c.executor.Execute(ctx, state.Command{
		Time: time.Now(),
		Quarantine: &state.QuarantineChange{
			Release: []uint64{id},
		},
	}, 0)
	switch {
	case err != nil:
		unavailable(w, err.Error())
	case result.Code == state.CodeNotFound:
		problem.New(http.StatusNotFound, problem.NotFound, result.Detail).Write(w)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}
