package operator

import (
	"errors"
	"net/http"
	"strconv"

	"baobabpaddle/controller/internal/replica"
	"baobabpaddle/fleet/problem"
	"baobabpaddle/fleet/raft"
	"baobabpaddle/fleet/settings"
)

// MemberBody is the body of POST /v1/members.
type MemberBody struct {
	ID      uint64 `json:"id"`
	Address string `json:"address"`
}

// addMember adds a replica as a learner; the leader promotes it to a voter when it has
// caught up.
func (a *API) addMember(w http.ResponseWriter, r *http.Request) {
	var body MemberBody
	if !readBody(w, r, &body) {
		return
	}
	if err := settings.Address("address", body.Address); err != nil || body.ID == 0 {
		problem.New(http.StatusBadRequest, problem.MalformedBody, "want an id that is not zero and an IP address with a port").Write(w)
		return
	}
	a.changeMembers(w, r, func(m raft.Members) (raft.Members, error) { return m.WithLearner(body.ID, body.Address) })
}

// removeMember removes a replica.
func (a *API) removeMember(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if err != nil {
		problem.New(http.StatusBadRequest, problem.MalformedBody, "id: want a replica's number").Write(w)
		return
	}
	a.changeMembers(w, r, func(m raft.Members) (raft.Members, error) { return m.Without(id) })
}

// changeMembers answers 202 when the change is in the leader's log, before it is
// committed. It is not forwarded: the operator's tool calls the leader, whose address it
// reads from the status.
func (a *API) changeMembers(w http.ResponseWriter, r *http.Request, change func(raft.Members) (raft.Members, error)) {
	err := a.replica.ChangeMembers(r.Context(), change)
	switch {
	case err == nil:
		w.WriteHeader(http.StatusAccepted)
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, replica.ErrNotLeader):
		problem.NewNotRun(http.StatusMisdirectedRequest, problem.MemberRefused, "ask the leader: "+a.replica.LeaderAddress()).Write(w)
	default:
		problem.NewNotRun(http.StatusConflict, problem.MemberRefused, err.Error()).Write(w)
	}
}
