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
	"baobabpaddle/fleet/share"
	"baobabpaddle/fleet/telemetry"
	"baobabpaddle/fleet/wire"
	"baobabpaddle/sidecar/internal/upstream"
)

// Limits of the server.
const (
	maxBodyBytes    = 64 << 20
	maxFenceBytes   = 4096
	beatInterval    = time.Second
	fenceMargin     = time.Minute
	maxFences       = 100_000
	keepAnswerBytes = answer.DefaultRetainBytes
)

// Configuration tells what is in force.
type Configuration interface {
	View() *controller.View
}

// Server answers the gateways.
type Server struct {
	incarnation string
	control     *Scheduler
	config      Configuration
	upstreams   *upstream.Client
	recorder    Recorder
	log         *slog.Logger
	service     *telemetry.Histograms
	firstToken  *telemetry.Histograms
	group       sync.WaitGroup

	mu     sync.Mutex
	runs   map[runKey]*run
	fences map[runKey]time.Time // until when a late copy must be refused
	claims *claims
}

// NewServer returns a server over a control.
func NewServer(incarnation string, control *Scheduler, config Configuration, upstreams *upstream.Client, recorder Recorder,
	metrics *telemetry.Metrics, log *slog.Logger) *Server {
	return &Server{
		incarnation: incarnation,
		control:     control,
		config:      config,
		upstreams:   upstreams,
		recorder:    recorder,
		log:         log,
		service:     metrics.Histograms("sidecar_service_received"),
		firstToken:  metrics.Histograms("sidecar_first_token_seconds"),
		runs:        make(map[runKey]*run),
		fences:      make(map[runKey]time.Time),
		claims:      newClaims(),
	}
}

// Handler returns the routes for gateways.
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

// serveLink takes a gateway's demands until its link ends.
func (s *Server) serveLink(peer credential.Peer, c *link.Conn[wire.Work]) {
	s.control.addGateway(peer.Name, c)
	defer s.control.removeGateway(peer.Name, c)
	for {
		frame, err := c.Receive()
		if err != nil {
			return
		}
		s.control.take(peer.Name, frame)
	}
}

// Wait returns when all runs have ended and their outcomes are recorded.
func (s *Server) Wait() { s.group.Wait() }

func refuse(w http.ResponseWriter, code problem.Code, detail string) {
	problem.NewNotRun(http.StatusConflict, code, detail).Write(w)
}

// serveRun runs a request, or joins the run of the same attempt.
func (s *Server) serveRun(w http.ResponseWriter, r *http.Request, peer credential.Peer) {
	asked, err := wire.ReadRun(r.Body)
	if err != nil {
		problem.NewNotRun(http.StatusBadRequest, problem.MalformedBody, err.Error()).Write(w)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		problem.NewNotRun(http.StatusBadRequest, problem.BodyTruncated, "the body ended early").Write(w)
		return
	}
	run, code := s.take(asked, body, peer)
	if code != "" {
		refuse(w, code, "refused by the sidecar")
		return
	}
	s.stream(w, r, run, 0)
}

// take returns the run of the attempt, started if it is new, or why not.
func (s *Server) take(asked *wire.RunRequest, body []byte, peer credential.Peer) (*run, problem.Code) {
	key := runKey{
		request: asked.Request,
		attempt: asked.Attempt,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if present := s.runs[key]; present != nil {
		return present, ""
	}
	if code := s.check(key, asked); code != "" {
		return nil, code
	}
	place := s.control.admit(peer.Name, asked, len(body))
	if !place.ok {
		if asked.Grant != 0 {
			return nil, wire.CodeGrantGone
		}
		return nil, wire.CodeBusy
	}
	to, ok := s.target(place.upstream)
	if !ok {
		s.control.release(asked.Service, place.id)
		return nil, wire.CodeStaleRevision
	}
	ctx, cancel := context.WithCancel(context.Background())
	started := &run{
		key:    key,
		asked:  asked,
		body:   body,
		place:  place,
		target: to,
		buffer: answer.NewBuffer(asked.Request, asked.Attempt, keepAnswerBytes),
		ctx:    ctx,
		gate: &gate{
			cancel: cancel,
		},
	}
	s.runs[key] = started
	s.claims.add(started)
	s.group.Add(1)
	go s.execute(started)
	return started, ""
}

// check refuses what must not be run here; s.mu is held.
func (s *Server) check(key runKey, asked *wire.RunRequest) problem.Code {
	if until, ok := s.fences[key]; ok && time.Now().Before(until) {
		return wire.CodeFenced
	}
	if s.claims.isFenced(claimOf(asked)) {
		return wire.CodeFenced
	}
	if !asked.Idempotent && (asked.ClaimKey == "" || asked.Incarnation != s.incarnation) {
		return wire.CodeOtherIncarnation
	}
	if s.config.View().LastChangeRevisions[asked.ServiceName] > asked.Revision {
		return wire.CodeStaleRevision
	}
	if time.Now().After(asked.StartBy) {
		return wire.CodeGrantGone
	}
	return ""
}

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

// named returns the run that the path names, or answers why not.
func (s *Server) named(w http.ResponseWriter, r *http.Request) *run {
	request, err := strconv.ParseUint(r.PathValue("request"), 10, 64)
	attempt, err2 := strconv.ParseUint(r.PathValue("attempt"), 10, 32)
	if errors.Join(err, err2) != nil {
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

// serveResume streams the rest of an answer.
func (s *Server) serveResume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.ParseUint(r.URL.Query().Get("offset"), 10, 64)
	if err != nil {
		problem.New(http.StatusBadRequest, problem.MalformedBody, "offset: want a number").Write(w)
		return
	}
	if run := s.named(w, r); run != nil {
		s.stream(w, r, run, offset)
	}
}

// serveCancel ends a run whose answer nobody wants. What may not be repeated
// runs on to its end.
func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request) {
	run := s.named(w, r)
	if run == nil {
		return
	}
	if run.asked.Idempotent {
		run.cancel()
	}
	w.WriteHeader(http.StatusNoContent)
}

// stream sends the answer's frames from the offset until it has ended or the
// gateway has gone.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, run *run, offset uint64) {
	run.addReader()
	defer run.removeReader(func() { s.expire(run) })
	w.Header().Set("Content-Type", "application/octet-stream")
	flush := http.NewResponseController(w)
	cursor := run.buffer.Cursor(offset)
	beat := time.NewTicker(beatInterval)
	defer beat.Stop()
	scratch := answer.Append(nil, s.beat(run))
	for {
		if _, err := w.Write(scratch); err != nil {
			return
		}
		frame, wait, err := cursor.Next()
		if err != nil {
			panic(http.ErrAbortHandler) // the gateway sees a broken stream, not an end
		}
		if frame != nil {
			scratch = answer.Append(scratch[:0], *frame)
			continue
		}
		if flush.Flush() != nil || wait == nil {
			return
		}
		scratch = scratch[:0]
		select {
		case <-wait:
		case <-r.Context().Done():
			return
		case <-beat.C:
			scratch = answer.Append(scratch, s.beat(run))
		}
	}
}

func (s *Server) beat(run *run) answer.Frame {
	return answer.Frame{
		Type:    answer.FrameHeartbeat,
		Request: run.key.request,
		Attempt: run.key.attempt,
	}
}

// expire ends a run that nobody came back for. What may not be repeated runs on
// to its end, so that its outcome is known.
func (s *Server) expire(r *run) {
	r.mu.Lock()
	orphan := r.readers == 0
	r.mu.Unlock()
	if !orphan {
		return
	}
	if !r.buffer.Ended() && r.hasBegun() && !r.asked.Idempotent {
		r.removeAndWait(func() { s.expire(r) })
		return
	}
	r.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.runs, r.key)
	if !r.asked.Idempotent {
		s.addFence(r.key, r.asked.StartBy) // a late copy must not run it again
	}
}

// removeAndWait sets the orphan's deadline anew.
func (r *run) removeAndWait(expire func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.readers == 0 {
		r.orphan = time.AfterFunc(orphanTimeout, expire)
	}
}

// Runs returns how many attempts are known here.
func (s *Server) Runs() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.runs)
}
