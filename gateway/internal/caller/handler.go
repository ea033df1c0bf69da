package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"baobabpaddle/fleet/controller"
	"baobabpaddle/fleet/problem"
	"baobabpaddle/fleet/resource"
	"baobabpaddle/fleet/state"
	"baobabpaddle/fleet/telemetry"
	"baobabpaddle/gateway/internal/sidecar"
)

// Limits, paths and headers of callers' requests.
const (
	DefaultMaxBodyBytes    = 1 << 20
	DefaultMaxWait         = 60 * time.Second
	maxIdempotencyKeyBytes = 200
	chatPath               = "/v1/chat/completions"
	requestIDHeader        = "Baobab-Request-Id"
	idempotencyHeader      = "Idempotency-Key"
	lookupTimeout          = 3 * time.Second
)

// Dispatcher runs jobs. It is implemented by sidecar.Dispatcher.
type Dispatcher interface {
	Do(ctx context.Context, job *sidecar.Job, sink sidecar.Sink) *problem.Problem
}

// Directory provides the configuration, teams by the SHA-256 hash of their key, and claims of
// non-idempotent requests. It is implemented by the controllers' client.
type Directory interface {
	View() *controller.View
	TeamByKey(ctx context.Context, hash string) (*controller.Team, error)
	Claim(ctx context.Context, key string) (state.Claim, bool, error)
}

// Handler is the http.Handler for callers.
type Handler struct {
	directory  Directory
	dispatcher Dispatcher
	draining   atomic.Bool
	duration   *telemetry.Histograms
	firstByte  *telemetry.Histograms
	metrics    *telemetry.Metrics
}

// New returns a handler that registers its histograms and counters in metrics.
func New(directory Directory, dispatcher Dispatcher, metrics *telemetry.Metrics) *Handler {
	return &Handler{
		directory:  directory,
		dispatcher: dispatcher,
		duration:   metrics.Histograms("gateway_request_seconds"),
		firstByte:  metrics.Histograms("gateway_first_byte_seconds"),
		metrics:    metrics,
	}
}

// Drain makes the handler refuse all further requests.
func (h *Handler) Drain() { h.draining.Store(true) }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.draining.Load() {
		w.Header().Set("Connection", "close")
		p := problem.NewNotRun(http.StatusServiceUnavailable, problem.Draining, "this gateway is leaving; ask another")
		p.RetryAfter = time.Second
		h.refuse(w, p)
		return
	}
	team, p := h.authenticate(r)
	if p != nil {
		h.refuse(w, p)
		return
	}
	if id, ok := strings.CutPrefix(r.URL.Path, "/v1/requests/"); ok {
		h.serveOutcome(w, r, team, id)
		return
	}
	job, p := h.prepare(w, r, team)
	if p != nil {
		h.refuse(w, p)
		return
	}
	h.run(w, r, job)
}

// refuse counts the problem and answers with it.
func (h *Handler) refuse(w http.ResponseWriter, p *problem.Problem) {
	h.metrics.Counter(`gateway_refused_total{code="` + string(p.Code) + `"}`).Inc()
	limitWrite(http.NewResponseController(w))
	p.Write(w)
}

// authenticate returns the team that owns the request's bearer key.
func (h *Handler) authenticate(r *http.Request) (*controller.Team, *problem.Problem) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return nil, problem.NewNotRun(http.StatusUnauthorized, problem.Unauthorized, "want a bearer key")
	}
	ctx, cancel := context.WithTimeout(r.Context(), lookupTimeout)
	defer cancel()
	hash := sha256.Sum256([]byte(key))
	team, err := h.directory.TeamByKey(ctx, hex.EncodeToString(hash[:]))
	if errors.Is(err, controller.ErrUnknownTeam) {
		return nil, problem.NewNotRun(http.StatusUnauthorized, problem.Unauthorized, "no team has this key")
	}
	if err != nil {
		p := problem.NewNotRun(http.StatusServiceUnavailable, problem.NotReady, "the key can't be checked now")
		p.RetryAfter = time.Second
		return nil, p
	}
	return team, nil
}

// prepare validates a request and returns the job for it.
func (h *Handler) prepare(w http.ResponseWriter, r *http.Request, team *controller.Team) (*sidecar.Job, *problem.Problem) {
	view := h.directory.View()
	service, path, p := plainService(view, r)
	if p != nil {
		return nil, p
	}
	limit := int64(DefaultMaxBodyBytes)
	if service != nil && service.MaxBodyBytes > 0 {
		limit = service.MaxBodyBytes
	}
	body, p := readBody(w, r, limit)
	if p != nil {
		return nil, p
	}
	job := &sidecar.Job{
		ID:     rand.Uint64(),
		Team:   team,
		Method: r.Method,
		Path:   path,
		Header: forwardedHeaders(r.Header),
		Body:   body,
	}
	if service == nil {
		service, p = chatService(view, job)
	} else {
		p = validatePlainBody(r, body)
	}
	if p != nil {
		return nil, p
	}
	return job, h.completeJob(job, service, r)
}

// completeJob checks that the team may call the service, and sets the job's fields that don't
// depend on the type of the service.
func (h *Handler) completeJob(job *sidecar.Job, service *controller.Service, r *http.Request) *problem.Problem {
	if !job.Team.MayCall(service.Name) {
		return problem.NewNotRun(http.StatusForbidden, problem.Forbidden, "the team may not call this service")
	}
	job.Service = service
	wait := DefaultMaxWait
	if service.MaxWaitSeconds > 0 {
		wait = time.Duration(service.MaxWaitSeconds) * time.Second
	}
	job.Deadline = time.Now().Add(wait)
	job.Idempotent = service.Type == resource.ServiceModel || isIdempotent(service, r.Method, job.Path)
	if job.Idempotent {
		return nil
	}
	key := r.Header.Get(idempotencyHeader)
	if len(key) > maxIdempotencyKeyBytes {
		return problem.NewNotRun(http.StatusBadRequest, problem.MalformedBody, "Idempotency-Key: too long")
	}
	if key == "" {
		key = "generated-" + hex.EncodeToString(newKeyBytes())
	}
	job.RequestID = service.Name + ":" + key
	job.Key = job.Team.Name + ":" + job.RequestID
	job.Digest = digest(job)
	return nil
}

// plainService returns the plain service that the path names, and the rest of the path with
// the query. For the path of chat completions it returns no service.
func plainService(view *controller.View, r *http.Request) (*controller.Service, string, *problem.Problem) {
	if r.URL.Path == chatPath {
		if r.Method != http.MethodPost {
			return nil, "", problem.NewNotRun(http.StatusMethodNotAllowed, problem.MethodNotAllowed, "want POST")
		}
		return nil, chatPath, nil
	}
	name, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/"), "/")
	service := view.Services[name]
	if service == nil || service.Type != resource.ServicePlain {
		return nil, "", problem.NewNotRun(http.StatusNotFound, problem.UnknownService, "no such service")
	}
	path := "/" + rest
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return service, path, nil
}

// isIdempotent reports whether a request may be run more than once: by its method
// (RFC 9110, section 9.2.2) or since it matches a route that the service lists.
func isIdempotent(service *controller.Service, method, path string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	}
	return slices.ContainsFunc(service.IdempotentRoutes, func(route resource.Route) bool {
		return route.Method == method && strings.HasPrefix(path, route.Path)
	})
}

// readBody reads the whole body, which may have at most limit bytes.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *problem.Problem) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, problem.NewNotRun(http.StatusRequestEntityTooLarge, problem.BodyTooLarge, "the body is too large")
	}
	if err != nil {
		return nil, problem.NewNotRun(http.StatusBadRequest, problem.BodyTruncated, "the body ended early")
	}
	return body, nil
}

// run runs the job and answers with its problem, if any.
func (h *Handler) run(w http.ResponseWriter, r *http.Request, job *sidecar.Job) {
	started := time.Now()
	if job.RequestID != "" {
		w.Header().Set(requestIDHeader, job.RequestID)
	}
	s := &sink{
		writer:  w,
		control: http.NewResponseController(w),
		onHead:  func() { h.firstByte.UpdateSince(job.Team.Name, job.Service.Name, started) },
	}
	p := h.dispatcher.Do(r.Context(), job, s)
	h.duration.UpdateSince(job.Team.Name, job.Service.Name, started)
	if p == nil {
		limitWrite(s.control) // of the last chunk, which the server writes
		return
	}
	if s.headSent {
		// Aborting the connection shows the caller that the answer is incomplete.
		h.metrics.Counter(`gateway_refused_total{code="` + string(p.Code) + `"}`).Inc()
		panic(http.ErrAbortHandler)
	}
	h.refuse(w, p)
}

// Outcome is the body of the answer to GET /v1/requests/{id}.
type Outcome struct {
	RequestID string           `json:"request_id"`
	Run       state.ClaimState `json:"run"`
	Status    int              `json:"status,omitempty"`
	Body      string           `json:"body,omitempty"`
}

// serveOutcome answers with the recorded outcome of one of the team's non-idempotent requests.
func (h *Handler) serveOutcome(w http.ResponseWriter, r *http.Request, team *controller.Team, id string) {
	if r.Method != http.MethodGet {
		h.refuse(w, problem.NewNotRun(http.StatusMethodNotAllowed, problem.MethodNotAllowed, "want GET"))
		return
	}
	claim, found, err := h.directory.Claim(r.Context(), team.Name+":"+id)
	if err != nil {
		p := problem.New(http.StatusServiceUnavailable, problem.NoQuorum, "the outcome can't be read now")
		p.RetryAfter = time.Second
		h.refuse(w, p)
		return
	}
	if !found {
		h.refuse(w, problem.New(http.StatusNotFound, problem.NotFound, "nothing is recorded under this id"))
		return
	}
	writeOutcome(w, id, claim)
}
