package operator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"baobabpaddle/fleet/problem"
	"baobabpaddle/fleet/resource"
	"baobabpaddle/fleet/state"
)

// watchHeartbeat is the pause between two heartbeats while nothing changes.
const watchHeartbeat = 5 * time.Second

// WatchEvent is one line of a watch: a changed resource, the end of the watch if Code is
// set, or else a heartbeat with the present revision.
type WatchEvent struct {
	Revision uint64             `json:"revision"`
	Resource *resource.Resource `json:"resource,omitempty"`
	// Code is revision_gone if changes after the watch's revision are no longer kept; the
	// operator must list the resources again.
	Code problem.Code `json:"code,omitempty"`
}

// watch streams the changes after a revision, one JSON object per line.
func (a *API) watch(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		problem.New(http.StatusBadRequest, problem.MalformedBody, "from: want a revision").Write(w)
		return
	}
	if !a.barrier(w, r) {
		return
	}
	kind := resource.Kind(r.URL.Query().Get("kind"))
	if _, kept, _ := a.changesSince(from); !kept {
		problem.New(http.StatusGone, problem.RevisionGone, "the changes after this revision are no longer kept; list again").Write(w)
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	encoder := json.NewEncoder(w)
	flush := http.NewResponseController(w)
	for {
		changed := a.replica.Changed()
		changes, kept, revision := a.changesSince(from)
		if !kept {
			_ = encoder.Encode(WatchEvent{
				Revision: revision,
				Code:     problem.RevisionGone,
			})
			return
		}
		for i := range changes {
			from = changes[i].Version
			if kind != "" && changes[i].Kind != kind {
				continue
			}
			if encoder.Encode(WatchEvent{
				Revision: from,
				Resource: &changes[i],
			}) != nil {
				return
			}
		}
		if flush.Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-time.After(watchHeartbeat):
			if encoder.Encode(WatchEvent{
				Revision: from,
			}) != nil {
				return
			}
		}
	}
}

// changesSince returns the changes after a revision, whether all of them are still
// kept, and the present revision.
func (a *API) changesSince(from uint64) (changes []resource.Resource, kept bool, revision uint64) {
	a.replica.View(func(s *state.State) {
		changes, kept = s.ChangesSince(from)
		revision = s.Revision
	})
	return changes, kept, revision
}
