package operator

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"baobabpaddle/controller/internal/replica"
	"baobabpaddle/fleet/configuration"
	"baobabpaddle/fleet/connlimit"
	"baobabpaddle/fleet/membership"
	"baobabpaddle/fleet/problem"
	"baobabpaddle/fleet/state"
	"baobabpaddle/fleet/telemetry"
)

// Limits and timings of the calls about whole configurations.
const (
	maxConfigurationBytes = 8 << 20
	// replaceTimeout bounds a change. It ends before operators turn to another
	// controller.
	replaceTimeout = 900 * time.Millisecond
	// retryAfter is the pause that an unavailable controller asks operators for.
	retryAfter = 300 * time.Millisecond
)

// Replicas provides this controller's replica, or nil, and the leader's address.
type Replicas interface {
	Replica() *replica.Replica
	LeaderAddress() string
}

// Directory provides what is known of the other controllers.
type Directory interface {
	Group() membership.Group
	OperatorAddress(address string) string
	// DiskControllers returns the number of controllers that may have a disk.
	DiskControllers() int
}

// ConfigurationAPI serves operators of a fleet whose configuration is replaced as a
// whole. A controller without a replica in the group redirects operators to one with one.
type ConfigurationAPI struct {
	replicas       Replicas
	executor       Executor
	directory      Directory
	toleratedHosts int
	metrics        *telemetry.Metrics
	log            *slog.Logger
	failedReads    failedReads
	// zones are the availability zones of the deployment; nil or empty if they are not known.
	zones   atomic.Pointer[[]string]
	parsing sync.Mutex
}

// NewConfigurationAPI returns the API. The first configuration is not accepted before
// there are enough voters for the loss of toleratedHosts hosts. The answers to orders are
// counted at metrics.
func NewConfigurationAPI(replicas Replicas, executor Executor, directory Directory, toleratedHosts int, metrics *telemetry.Metrics, log *slog.Logger) *ConfigurationAPI {
	return &ConfigurationAPI{
		replicas:       replicas,
		executor:       executor,
		directory:      directory,
		toleratedHosts: toleratedHosts,
		metrics:        metrics,
		log:            log,
	}
}

// Handler returns the API's routes.
func (c *ConfigurationAPI) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/configuration", c.logged("configuration change answered", c.put))
	mux.HandleFunc("GET /v1/configuration", c.logged("configuration read answered", c.get))
	mux.HandleFunc("GET /v1/quarantine", c.logged("quarantine read answered", c.listQuarantine))
	mux.HandleFunc("DELETE /v1/quarantine/{segment}", c.logged("release from quarantine answered", c.releaseSubject))
	mux.HandleFunc("GET /v1/evacuations", c.logged("evacuations read answered", c.listEvacuations))
	mux.HandleFunc("PUT /v1/evacuations/{zone}", c.logged("begin of evacuation answered", c.beginEvacuation))
	mux.HandleFunc("DELETE /v1/evacuations/{zone}", c.logged("end of evacuation answered", c.endEvacuation))
	return mux
}

// unavailable answers that the call can be retried shortly.
func unavailable(w http.ResponseWriter, detail string) {
	p := problem.New(http.StatusServiceUnavailable, problem.NoQuorum, detail)
	p.RetryAfter = retryAfter
	p.Write(w)
}

// redirectToMember redirects the operator to the leader, or else to a member whose
// address for operators is known.
func (c *ConfigurationAPI) redirectToMember(w http.ResponseWriter, r *http.Request) {
	group := c.directory.Group()
	targets := []string{group.Leader}
	for _, m := range group.Members.List {
		targets = append(targets, m.Address)
	}
	for _, target := range targets {
		if address := c.directory.OperatorAddress(target); address != "" {
			http.Redirect(w, r, "http://"+address+r.URL.EscapedPath(), http.StatusTemporaryRedirect)
			return
		}
	}
	unavailable(w, "no controller with a replica is known")
}

// memberReplica returns this controller's replica, or nil if it has none or one that is
// not yet a member of the group: that one knows neither the leader nor the configuration.
func (c *ConfigurationAPI) memberReplica() *replica.Replica {
	r := c.replicas.Replica()
	if r == nil || len(r.Status().Members.List) == 0 {
		return nil
	}
	return r
}

// put proposes the configuration in the body. It answers 200 when the configuration is
// committed.
func (c *ConfigurationAPI) put(w *loggedResponse, r *http.Request) {
	replica := c.memberReplica()
	if replica == nil {
		c.redirectToMember(w, r)
		return
	}
	document, err := connlimit.ReadAll(r.Context(), http.MaxBytesReader(w, r.Body, maxConfigurationBytes))
	if errors.Is(err, connlimit.ErrNoMemory) {
		w.Header().Set("Connection", "close") // the rest of the body is not read
		unavailable(w, err.Error())
		return
	}
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			problem.New(http.StatusRequestEntityTooLarge, problem.BodyTooLarge, "the configuration is too large").Write(w)
			return
		}
		problem.New(http.StatusBadRequest, problem.BodyTruncated, "the body ended early").Write(w)
		return
	}
	parsed, err := c.parse(document)
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

// parse parses one configuration at a time, since that takes a multiple of its size.
func (c *ConfigurationAPI) parse(document []byte) (*configuration.Configuration, error) {
	c.parsing.Lock()
	defer c.parsing.Unlock()
	return configuration.Parse(document)
}

// enoughVoters reports whether a configuration would survive the loss of the tolerated
// number of hosts, which takes 2n+1 voters for n hosts, or the largest odd number of
// controllers that may have a disk if there are fewer: an even number of voters tolerates no
// more losses, so the leader keeps it odd. Only the first configuration waits for that; later ones are
// accepted whenever there is a quorum.
func (c *ConfigurationAPI) enoughVoters(r *replica.Replica) bool {
	configured := false
	r.View(func(s *state.State) { configured = s.Configuration.Version > 0 })
	if configured {
		return true
	}
	committed := r.Status().CommittedMembers
	disks := c.directory.DiskControllers()
	if disks > 0 && disks%2 == 0 {
		disks--
	}
	return committed.Voters() >= min(2*c.toleratedHosts+1, disks)
}

// get answers with the newest committed configuration.
func (c *ConfigurationAPI) get(w *loggedResponse, r *http.Request) {
	current := c.currentReplica(w, r)
	if current == nil {
		return
	}
	var newest state.Configuration
	current.View(func(s *state.State) { newest = s.Configuration })
	if newest.Version == 0 {
		unavailable(w, "there is no configuration yet")
		return
	}
	w.version = newest.Version
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the operator has disconnected.
	_, _ = w.Write(newest.Document)
}

// currentReplica returns this controller's replica once a majority has confirmed that it is
// current. Otherwise it answers the call and returns nil.
func (c *ConfigurationAPI) currentReplica(w http.ResponseWriter, r *http.Request) *replica.Replica {
	own := c.memberReplica()
	if own == nil {
		c.redirectToMember(w, r)
		return nil
	}
	if err := own.Barrier(r.Context()); err != nil {
		unavailable(w, err.Error())
		return nil
	}
	return own
}
