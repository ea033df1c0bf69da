package gateway

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"time"

	"baobabpaddle/fleet/answer"
	"baobabpaddle/fleet/controller"
	"baobabpaddle/fleet/credential"
	"baobabpaddle/fleet/link"
	"baobabpaddle/fleet/problem"
	"baobabpaddle/fleet/program"
	"baobabpaddle/fleet/share"
	"baobabpaddle/fleet/telemetry"
	"baobabpaddle/fleet/wire"
	"baobabpaddle/sidecar/internal/upstream"
)

// Timings and limits of the server.
const (
	maxBodyBytes      = 64 << 20
	maxFenceBytes     = 4096
	heartbeatInterval = time.Second
	// fenceMargin is how long after an attempt's StartBy its fence is held.
	fenceMargin = time.Minute
	// maxFences is the number of fences at which expired ones are removed.
	maxFences         = 100_000
	retainAnswerBytes = answer.DefaultRetainBytes
)

// Configuration provides the configuration in force.
type Configuration interface {
	View() *controller.View
}

// Server serves the requests of gateways to run, resume, cancel and fence attempts.
type Server struct {
	incarnation       string
	scheduler         *Scheduler
	config            Configuration
	upstreams         *upstream.Client
	recorder          Recorder
	log               *slog.Logger
	reporter          *program.Reporter
	serviceReceived   *telemetry.Histograms
	firstTokenSeconds *telemetry.Histograms
	group             sync.WaitGroup

	mu     sync.Mutex // protects the fields below
	runs   map[runKey]*run
	fences map[runKey]attemptFence // attempts that must not run
	claims *claims
}

// NewServer returns a server that admits requests by the scheduler. Outcomes of claimed
// requests are recorded with the recorder.
func NewServer(incarnation string, scheduler *Scheduler, config Configuration, upstreams *upstream.Client, recorder Recorder,
	metrics *telemetry.Metrics, log *slog.Logger) *Server {
	return &Server{
		incarnation:       incarnation,
		scheduler:         scheduler,
		config:            config,
		upstreams:         upstreams,
		recorder:          recorder,
		log:               log,
		reporter:          program.NewReporter("fleet", metrics, log),
		serviceReceived:   metrics.Histograms("sidecar_service_received"),
		firstTokenSeconds: metrics.Histograms("sidecar_first_token_seconds"),
		runs:              make(map[runKey]*run),
		fences:            make(map[runKey]attemptFence),
		claims:            newClaims(),
	}
}

// Handler returns the routes for gateways. Links end with the context.
func (s *Server) Handler(ctx context.Context, dialer link.Dialer) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+wire.PathWork, link.Handler(ctx, dialer, s.serveLink))
	mux.HandleFunc("POST "+wire.PathRun, func(w http.ResponseWriter, r *http.Request) {
		peer, _ := dialer.Credential.Peer(r)
		s.serveRun(w, r, peer)
	})
	mux.HandleFunc("GET "+wire.PathRun+"/{request}/{attempt}", s.serveResume)
	mux.HandleFunc("DELETE "+wire.PathRun+"/{request}/{attempt}", s.serveCancel)
	mux.HandleFunc("POST "+wire.PathFence, s.serveFence)
	return mux
}

// serveLink receives a gateway's frames until its link ends.
func (s *Server) serveLink(peer credential.Peer, c *link.Conn[wire.Work]) {
	s.scheduler.addGateway(peer.Name, c)
	defer s.scheduler.removeGateway(peer.Name, c)
	for {
		frame, err := c.Receive()
		if err != nil {
			return
		}
		s.scheduler.handleFrame(peer.Name, c, frame)
	}
}

// Wait waits until all runs have ended and their outcomes are recorded, or could not be
// within recordTimeout.
func (s *Server) Wait() { s.group.Wait() }

// writeRefusal answers that an attempt was not run here, with the code as the reason.
func writeRefusal(w http.ResponseWriter, code problem.Code, detail string) {
	problem.NewNotRun(http.StatusConflict, code, detail).Write(w)
}

// serveRun runs an attempt and streams its answer. If the attempt has arrived before, it
// streams the answer of the existing run.
func (s *Server) serveRun(w http.ResponseWriter, r *http.Request, peer credential.Peer) {
	request, err := wire.ReadRun(r.Body)
	if err != nil {
		problem.NewNotRun(http.StatusBadRequest, problem.MalformedBody, err.Error()).Write(w)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		problem.NewNotRun(http.StatusBadRequest, problem.BodyTruncated, "the body ended early").Write(w)
		return
	}
	run, code := s.runFor(request, body, peer)
	if code != "" {
		writeRefusal(w, code, "refused by the sidecar")
		return
	}
	s.streamAnswer(w, r, run, 0)
}

// runFor returns the run of the attempt, which it starts if there is none. If the attempt
// must not run, it returns the code of the reason.
func (s *Server) runFor(request *wire.RunRequest, body []byte, peer credential.Peer) (*run, problem.Code) {
	key := runKey{
		request: request.Request,
		attempt: request.Attempt,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if present := s.runs[key]; present != nil {
		return present, ""
	}
	if code := s.checkMayRun(key, request); code != "" {
		return nil, code
	}
	admitted := s.scheduler.admit(peer.Name, request, len(body))
	if !admitted.ok {
		if request.Grant != 0 {
			return nil, wire.CodeGrantGone
		}
		return nil, wire.CodeBusy
	}
	to, ok := s.target(admitted.upstream)
	if !ok {
		s.scheduler.release(request.Service, admitted.id)
		return nil, wire.CodeStaleRevision
	}
	ctx, cancel := context.WithCancel(context.Background())
	started := &run{
		key:       key,
		request:   request,
		body:      body,
		admission: admitted,
		target:    to,
		buffer:    answer.NewBuffer(request.Request, request.Attempt, retainAnswerBytes),
		ctx:       ctx,
		startState: &startState{
			cancel: cancel,
		},
	}
	s.runs[key] = started
	s.claims.add(started)
	s.group.Add(1)
	go s.execute(started)
	return started, ""
}

// checkMayRun returns why the attempt must not run here, or "" if it may. A request that
// is not idempotent needs a claim for this incarnation, so that it does not run after a
// restart that lost the record of an earlier run. A gateway that has not seen the last
// change of the service must place the request again. s.mu must be held.
func (s *Server) checkMayRun(key runKey, request *wire.RunRequest) problem.Code {
	if time.Now().Before(s.fences[key].until) {
		return wire.CodeFenced
	}
	if s.claims.isFenced(claimKeyOf(request)) {
		return wire.CodeFenced
	}
	if !request.Idempotent && (request.ClaimKey == "" || request.Incarnation != s.incarnation) {
		return wire.CodeOtherIncarnation
	}
	if s.config.View().LastChangeRevisions[request.ServiceName] > request.Revision {
		return wire.CodeStaleRevision
	}
	if time.Now().After(request.StartBy) {
		return wire.CodeGrantGone
	}
	return ""
}

// target returns where requests for the upstream are sent, and false if the configuration
// does not contain it.
func (s *Server) target(id share.UpstreamID) (target, bool) {
	view := s.config.View()
	u := view.UpstreamByID(id)
	if u == nil || view.Services[u.Service] == nil {
		return target{}, false
	}
	return target{
		url:  u.URL,
		kind: view.Services[u.Service].Type,
	}, true
}

// lookupRun returns the run that the path identifies. If there is none, it answers with a
// problem and returns nil.
func (s *Server) lookupRun(w http.ResponseWriter, r *http.Request) *run {
	request, errRequest := strconv.ParseUint(r.PathValue("request"), 10, 64)
	attempt, errAttempt := strconv.ParseUint(r.PathValue("attempt"), 10, 32)
	if errors.Join(errRequest, errAttempt) != nil {
		problem.New(http.StatusBadRequest, problem.MalformedBody, "want numbers").Write(w)
		return nil
	}
	s.mu.Lock()
	run := s.runs[runKey{
		request: request,
		attempt: uint32(attempt),
	}]
	s.mu.Unlock()
	if run == nil {
		problem.New(http.StatusNotFound, problem.NotFound, "no such run").Write(w)
	}
	return run
}

// serveResume streams the answer of a run from an offset of its body on.
func (s *Server) serveResume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.ParseUint(r.URL.Query().Get("offset"), 10, 64)
	if err != nil {
		problem.New(http.StatusBadRequest, problem.MalformedBody, "offset: want a number").Write(w)
		return
	}
	if run := s.lookupRun(w, r); run != nil {
		s.streamAnswer(w, r, run, offset)
	}
}

// serveCancel cancels a run whose answer is no longer needed. A run that is not idempotent
// continues to its end, so that its outcome is known.
func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request) {
	run := s.lookupRun(w, r)
	if run == nil {
		return
	}
	run.setDelivered()
	if run.request.Idempotent {
		run.cancel()
	}
	w.WriteHeader(http.StatusNoContent)
}

// heartbeat returns a heartbeat frame, which shows the gateway that the run still exists.
func (s *Server) heartbeat(run *run) answer.Frame {
	return answer.Frame{
		Type:    answer.FrameHeartbeat,
		Request: run.key.request,
		Attempt: run.key.attempt,
	}
}

// expireOrphan removes a run that no gateway has read for orphanTimeout, and cancels it. A
// run that is not idempotent and has been sent to the upstream is kept until its end, so
// that its outcome is known. Once removed, such an attempt is fenced.
func (s *Server) expireOrphan(r *run) {
	r.mu.Lock()
	isOrphan := r.readers == 0
	r.mu.Unlock()
	if !isOrphan {
		return
	}
	if !r.buffer.Ended() && r.hasBegun() && !r.request.Idempotent {
		r.buffer.Abandon() // else an answer that is larger than the buffer has no end
		r.restartOrphanTimer(func() { s.expireOrphan(r) })
		return
	}
	r.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.runs, r.key)
	if !r.request.Idempotent {
		s.addFence(r.key, r.request.StartBy, r.hasBegun()) // a copy that arrives late must not run
	}
}

// restartOrphanTimer calls expire after another orphanTimeout, unless a gateway reads the
// run by then.
func (r *run) restartOrphanTimer(expire func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.readers == 0 {
		r.orphanTimer = time.AfterFunc(orphanTimeout, expire)
	}
}

// Runs returns the number of runs that are held: those in flight, and those that ended
// recently.
func (s *Server) Runs() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.runs)
}
