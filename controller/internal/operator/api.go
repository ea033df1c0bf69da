package operator

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"baobabpaddle/controller/internal/forward"
	"baobabpaddle/controller/internal/replica"
	"baobabpaddle/fleet/problem"
	"baobabpaddle/fleet/resource"
	"baobabpaddle/fleet/state"
)

// Limits and timings of the API.
const (
	maxBodyBytes = 1 << 20
	// changeTimeout bounds the execution of one change.
	changeTimeout = 10 * time.Second
	// requestIDHeader names a change, so that a repeated one is executed once.
	requestIDHeader = "Request-Id"
	// maxRequestID is the largest length of a request's identifier in bytes.
	maxRequestID = 128
)

// Executor has a command executed by the leading controller. Hops counts how often the
// command was forwarded.
type Executor interface {
	Execute(ctx context.Context, command state.Command, hops uint32) (state.Result, error)
}

// StatusSource returns the present status of the controller.
type StatusSource func() Status

// Status is the answer to GET /v1/status.
type Status struct {
	replica.Status
	// LeaderAddress is the leader's address; empty means that none is known.
	LeaderAddress string `json:"leader_address"`
	// Current reports whether a majority confirmed recently that the controller's copy of
	// the replicated state is current.
	Current bool `json:"current"`
	// Nodes is the number of gateways and sidecars connected to this controller.
	Nodes int `json:"nodes"`
	// BackloggedTeams is the number of backlogged teams, summed over all services.
	BackloggedTeams int `json:"backlogged_teams"`
	Claims          int `json:"claims"`
	// Disks is the number of replicas that are bound to their disks.
	Disks int `json:"disks"`
	Teams int `json:"teams"`
}

// API serves operators of a fleet whose resources are changed one by one.
type API struct {
	replica  *replica.Replica
	executor Executor
	status   StatusSource
}

// New returns the API over a replica; executor executes its changes.
func New(r *replica.Replica, executor Executor, status StatusSource) *API {
	return &API{
		replica:  r,
		executor: executor,
		status:   status,
	}
}

// Handler returns the API's routes.
func (a *API) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/resources/{kind}", a.list)
	mux.HandleFunc("GET /v1/resources/{kind}/{name}", a.get)
	mux.HandleFunc("PUT /v1/resources/{kind}/{name}", a.put)
	mux.HandleFunc("DELETE /v1/resources/{kind}/{name}", a.delete)
	mux.HandleFunc("GET /v1/watch", a.watch)
	mux.HandleFunc("GET /v1/status", a.getStatus)
	mux.HandleFunc("GET /v1/claims/{key}", a.claim)
	mux.HandleFunc("GET /v1/backup", a.backup)
	mux.HandleFunc("POST /v1/members", a.addMember)
	mux.HandleFunc("DELETE /v1/members/{id}", a.removeMember)
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the operator has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

// resourceID returns the resource's identifier from a request's path.
func resourceID(r *http.Request) resource.ID {
	return resource.ID{
		Kind: resource.Kind(r.PathValue("kind")),
		Name: r.PathValue("name"),
	}
}

// barrier makes the following read linearizable. It writes the answer and returns false
// if no majority confirms the read.
func (a *API) barrier(w http.ResponseWriter, r *http.Request) bool {
	if err := a.replica.Barrier(r.Context()); err != nil {
		p := problem.New(http.StatusServiceUnavailable, problem.NoQuorum, err.Error())
		p.RetryAfter = time.Second
		p.Write(w)
		return false
	}
	return true
}

// checkKind reports whether a kind of resource exists, and writes the answer if it
// doesn't.
func checkKind(w http.ResponseWriter, kind resource.Kind) bool {
	for _, k := range resource.Kinds {
		if k == kind {
			return true
		}
	}
	problem.New(http.StatusNotFound, problem.NotFound, "no such kind of resource").Write(w)
	return false
}

// ResourceList is the answer to GET /v1/resources/{kind}.
type ResourceList struct {
	Revision uint64              `json:"revision"`
	Items    []resource.Resource `json:"items"`
}

func (a *API) list(w http.ResponseWriter, r *http.Request) {
	kind := resource.Kind(r.PathValue("kind"))
	if !checkKind(w, kind) || !a.barrier(w, r) {
		return
	}
	var out ResourceList
	a.replica.View(func(s *state.State) {
		out.Revision = s.Revision
		out.Items = s.List(kind)
	})
	writeJSON(w, out)
}

func (a *API) get(w http.ResponseWriter, r *http.Request) {
	id := resourceID(r)
	if !checkKind(w, id.Kind) || !a.barrier(w, r) {
		return
	}
	var found resource.Resource
	ok := false
	a.replica.View(func(s *state.State) { found, ok = s.Get(id) })
	if !ok {
		problem.New(http.StatusNotFound, problem.NotFound, "no such resource").Write(w)
		return
	}
	writeJSON(w, found)
}

// PutBody is the body of a PUT.
type PutBody struct {
	// Version is the version of the resource that the operator read; zero creates the
	// resource.
	Version uint64          `json:"version"`
	Spec    json.RawMessage `json:"spec"`
}

func (a *API) put(w http.ResponseWriter, r *http.Request) {
	id := resourceID(r)
	if !checkKind(w, id.Kind) {
		return
	}
	var body PutBody
	if !readBody(w, r, &body) {
		return
	}
	wanted := resource.Resource{
		Kind:    id.Kind,
		Name:    id.Name,
		Version: body.Version,
		Spec:    body.Spec,
	}
	if err := wanted.Check(); err != nil {
		problem.New(http.StatusUnprocessableEntity, problem.InvalidResource, err.Error()).Write(w)
		return
	}
	a.change(w, r, state.Command{
		Put: &state.Put{
			Resource: wanted,
		},
	})
}

// readBody decodes a JSON body; an unknown field is an error. It writes the answer and
// returns false if that fails.
func readBody(w http.ResponseWriter, r *http.Request, into any) bool {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		problem.New(http.StatusRequestEntityTooLarge, problem.BodyTooLarge, "the body is too large").Write(w)
		return false
	}
	if err != nil {
		problem.New(http.StatusBadRequest, problem.BodyTruncated, "the body ended early").Write(w)
		return false
	}
	decoder := json.NewDecoder(strings.NewReader(string(data)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		problem.New(http.StatusBadRequest, problem.MalformedBody, err.Error()).Write(w)
		return false
	}
	return true
}

func (a *API) delete(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		problem.New(http.StatusBadRequest, problem.MalformedBody, "version: want the version that was read").Write(w)
		return
	}
	if !checkKind(w, resource.Kind(r.PathValue("kind"))) {
		return
	}
	a.change(w, r, state.Command{
		Delete: &state.Delete{
			ID:      resourceID(r),
			Version: version,
		},
	})
}

// change has a command executed and answers with its result.
func (a *API) change(w http.ResponseWriter, r *http.Request, command state.Command) {
	command.RequestID = r.Header.Get(requestIDHeader)
	if len(command.RequestID) > maxRequestID {
		problem.New(http.StatusBadRequest, problem.MalformedBody, requestIDHeader+": too long").Write(w)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	result, err := a.executor.Execute(ctx, command, 0)
	if err != nil {
		writeExecuteError(w, err)
		return
	}
	writeResult(w, result)
}

// writeExecuteError answers a failed execution. The answer says not_run only if the
// change certainly had no effect.
func writeExecuteError(w http.ResponseWriter, err error) {
	p := problem.New(http.StatusServiceUnavailable, problem.NoQuorum, err.Error())
	p.Run = problem.RunUnknown
	if errors.Is(err, forward.ErrNoLeader) {
		p.Run = problem.NotRun
	}
	p.RetryAfter = time.Second
	p.Write(w)
}

// writeResult answers with the result of an executed command.
func writeResult(w http.ResponseWriter, result state.Result) {
	switch result.Code {
	case state.CodeOK:
		writeJSON(w, result.Resource)
	case state.CodeVersionConflict:
		p := problem.New(http.StatusConflict, problem.VersionConflict, result.Detail)
		if result.Resource != nil {
			p.Present = result.Resource
		}
		p.Write(w)
	case state.CodeRequestIDReused:
		problem.New(http.StatusConflict, problem.RequestIDReused, result.Detail).Write(w)
	case state.CodeNotFound:
		problem.New(http.StatusNotFound, problem.NotFound, result.Detail).Write(w)
	default:
		problem.New(http.StatusUnprocessableEntity, problem.InvalidResource, result.Detail).Write(w)
	}
}

func (a *API) getStatus(w http.ResponseWriter, _ *http.Request) { writeJSON(w, a.status()) }

func (a *API) claim(w http.ResponseWriter, r *http.Request) {
	if !a.barrier(w, r) {
		return
	}
	var found state.Claim
	ok := false
	a.replica.View(func(s *state.State) { found, ok = s.Claims[r.PathValue("key")] })
	if !ok {
		problem.New(http.StatusNotFound, problem.NotFound, "no such claim").Write(w)
		return
	}
	writeJSON(w, found)
}

// backup answers with a snapshot of the state machine, which `controller restore` reads.
func (a *API) backup(w http.ResponseWriter, r *http.Request) {
	if !a.barrier(w, r) {
		return
	}
	var data []byte
	var err error
	a.replica.View(func(s *state.State) { data, err = s.Snapshot() })
	if err != nil {
		problem.New(http.StatusInternalServerError, problem.NotReady, err.Error()).Write(w)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}
