package operator

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"time"

	"baobabpaddle/controller/internal/replica"
	"baobabpaddle/fleet/configuration"
	"baobabpaddle/fleet/membership"
	"baobabpaddle/fleet/problem"
	"baobabpaddle/fleet/state"
)

// Limits and timings of the calls about whole configurations.
const (
	maxConfigurationBytes = 8 << 20
	// replaceTimeout ends before operators turn to another controller.
	replaceTimeout = 900 * time.Millisecond
	retryAfter     = 300 * time.Millisecond
)

// Replicas gives the own replica, or nil, and knows who leads.
type Replicas interface {
	Replica() *replica.Replica
	LeaderAddress() string
}

// Directory knows the other controllers.
type Directory interface {
	Group() membership.Group
	OperatorAddress(address string) string
	DiskControllers() int
}

// ConfigurationAPI serves whole configurations to operators.
type ConfigurationAPI struct {
	replicas       Replicas
	executor       Executor
	directory      Directory
	toleratedHosts int
	log            *slog.Logger
}

// NewConfigurationAPI returns the calls. Nothing is accepted before there are
// enough voters to lose the tolerated number of hosts.
func NewConfigurationAPI(replicas Replicas, execute Executor, directory Directory, tolerated int, log *slog.Logger) *ConfigurationAPI {
	return &ConfigurationAPI{
		replicas:       replicas,
		executor:       execute,
		directory:      directory,
		toleratedHosts: tolerated,
		log:            log,
	}
}

// Handler returns the routes.
func (c *ConfigurationAPI) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/configuration", c.logged("configuration change answered", c.put))
	mux.HandleFunc("GET /v1/configuration", c.logged("configuration read answered", c.get))
	return mux
}

func unavailable(w http.ResponseWriter, detail string) {
	p := problem.New(http.StatusServiceUnavailable, problem.NoQuorum, detail)
	p.RetryAfter = retryAfter
	p.Write(w)
}

// redirectToMember sends the operator to a controller that holds a replica.
func (c *ConfigurationAPI) redirectToMember(w http.ResponseWriter, r *http.Request) {
	group := c.directory.Group()
	targets := []string{group.Leader}
	for _, m := range group.Members.List {
		targets = append(targets, m.Address)
	}
	for _, target := range targets {
		if address := c.directory.OperatorAddress(target); address != "" {
			http.Redirect(w, r, "http://"+address+r.URL.Path, http.StatusTemporaryRedirect)
			return
		}
	}
	unavailable(w, "no controller with a replica is known")
}

func (c *ConfigurationAPI) put(w *loggedResponse, r *http.Request) {
	replica := c.replicas.Replica()
	if replica == nil {
		c.redirectToMember(w, r)
		return
	}
	document, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxConfigurationBytes))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			problem.New(http.StatusRequestEntityTooLarge, problem.BodyTooLarge, "the configuration is too large").Write(w)
			return
		}
		problem.New(http.StatusBadRequest, problem.BodyTruncated, "the body ended early").Write(w)
		return
	}
	parsed, err := configuration.Parse(document)
	if err != nil {
		problem.New(http.StatusBadRequest, problem.InvalidResource, err.Error()).Write(w)
		return
	}
	w.version = parsed.Version
	if !c.enoughVoters(replica) {
		unavailable(w, "the controllers are still gathering")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), replaceTimeout)
	defer cancel()
	result, err := c.executor.Execute(ctx, state.Command{
		Replace: &state.Configuration{
			Version:  parsed.Version,
			Document: document,
		},
	}, 0)
	if err != nil {
		writeExecuteError(w, err)
		return
	}
	if result.Code != state.CodeOK {
		writeResult(w, result)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// enoughVoters reports whether the first configuration would outlive the loss of
// the tolerated hosts. Later ones are accepted whenever there is a quorum.
func (c *ConfigurationAPI) enoughVoters(r *replica.Replica) bool {
	have := false
	r.View(func(s *state.State) { have = s.Configuration.Version > 0 })
	if have {
		return true
	}
	committed := r.Status().CommittedMembers
	return committed.Voters() >= min(2*c.toleratedHosts+1, c.directory.DiskControllers())
}

func (c *ConfigurationAPI) get(w *loggedResponse, r *http.Request) {
	replica := c.replicas.Replica()
	if replica == nil {
		c.redirectToMember(w, r)
		return
	}
	if err := replica.Barrier(r.Context()); err != nil {
		unavailable(w, err.Error())
		return
	}
	var newest state.Configuration
	replica.View(func(s *state.State) { newest = s.Configuration })
	if newest.Version == 0 {
		unavailable(w, "there is no configuration yet")
		return
	}
	w.version = newest.Version
	w.Header().Set("Content-Type", "application/json")
	// The operator may be gone; there is nobody left to tell.
	_, _ = w.Write(newest.Document)
}

// loggedResponse is an operator's loggedResponse with what its log line tells.
type loggedResponse struct {
	http.ResponseWriter
	status  int
	version uint64
	body    []byte // the beginning of an error's body
}

// maxErrorBytes is how much of an error's body is logged.
const maxErrorBytes = 400

// WriteHeader implements http.ResponseWriter.
func (a *loggedResponse) WriteHeader(status int) {
	a.status = status
	a.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (a *loggedResponse) Write(data []byte) (int, error) {
	if a.status >= http.StatusBadRequest {
		a.body = append(a.body, data[:min(len(data), maxErrorBytes-len(a.body))]...)
	}
	return a.ResponseWriter.Write(data)
}

// logged returns a handler that logs each answer.
func (c *ConfigurationAPI) logged(message string, handle func(*loggedResponse, *http.Request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		started := time.Now()
		a := &loggedResponse{
			ResponseWriter: w,
			status:         http.StatusOK,
		}
		handle(a, r)
		level := slog.LevelInfo
		if a.status >= http.StatusBadRequest {
			level = slog.LevelWarn
		}
		c.log.Log(r.Context(), level, message, "version", a.version, "status", a.status,
			"took_ms", time.Since(started).Milliseconds(), "from", r.RemoteAddr, "problem", string(a.body))
	}
}
