// Package engine polls the load of the model engines behind a sidecar and forwards the
// controllers' orders to them; Engines does both. Orders are fenced: one with an older
// fencing token than the last, or after its lease's deadline, is refused.
package engine

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"baobabpaddle/fleet/controller"
	"baobabpaddle/fleet/fence"
	"baobabpaddle/fleet/problem"
	"baobabpaddle/fleet/resource"
	"baobabpaddle/fleet/share"
	"baobabpaddle/fleet/wire"
	"baobabpaddle/sidecar/internal/upstream"
)

const (
	loadInterval  = time.Second
	maxOrderBytes = 64 << 10
)

// LoadSink receives the load reports of engines.
type LoadSink interface {
	SetLoad(service share.ServiceID, upstream share.UpstreamID, load share.Load)
}

// Engines polls and orders the model engines behind one sidecar.
type Engines struct {
	address string
	client  *controller.Client
	http    *upstream.Client
	loads   LoadSink
	log     *slog.Logger

	mu    sync.Mutex // protects guard, and serialises orders
	guard *fence.Guard
}

// New returns the Engines of the sidecar at the address. Load reports go to loads.
func New(address string, client *controller.Client, http *upstream.Client, loads LoadSink, log *slog.Logger) *Engines {
	return &Engines{
		address: address,
		client:  client,
		http:    http,
		loads:   loads,
		log:     log,
		guard:   fence.NewGuard(),
	}
}

// Run polls the load of the engines, one after the other, once per loadInterval until the
// context ends. It skips engines that fail to answer.
func (e *Engines) Run(ctx context.Context) {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for {
		view := e.client.View()
		for _, u := range view.UpstreamsOfSidecar(e.address) {
			service := view.Services[u.Service]
			if service == nil || service.Type != resource.ServiceModel {
				continue
			}
			if load, err := e.http.Load(ctx, u.URL); err == nil {
				e.loads.SetLoad(service.ID, u.ID, load)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// ServeOrder forwards an order of the leading controller to the engine, and answers
// status 200 when the engine has accepted it. It answers 404 if the upstream is not
// behind this sidecar, 409 if the order's fencing token is too old or its deadline has
// passed, and 502 if the engine failed or refused it.
func (e *Engines) ServeOrder(w http.ResponseWriter, r *http.Request) {
	var order wire.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOrderBytes)).Decode(&order); err != nil {
		problem.New(http.StatusBadRequest, problem.MalformedBody, err.Error()).Write(w)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	u := e.client.View().Upstreams[order.Upstream]
	if u == nil || u.Sidecar != e.address {
		problem.New(http.StatusNotFound, problem.NotFound, "no such upstream here").Write(w)
		return
	}
	if err := e.guard.Admit(time.Now(), order.Upstream, order.FencingToken, order.Deadline); err != nil {
		problem.New(http.StatusConflict, problem.VersionConflict, err.Error()).Write(w)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), order.Deadline)
	defer cancel()
	if err := e.http.Order(ctx, u.URL, order); err != nil {
		e.log.Warn("order to the engine failed; reported to the controller", "cause", err, "number", order.FencingToken, "upstream", order.Upstream)
		problem.New(http.StatusBadGateway, problem.UpstreamFailed, err.Error()).Write(w)
		return
	}
	w.WriteHeader(http.StatusOK)
}
