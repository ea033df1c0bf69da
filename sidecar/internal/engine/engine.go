// Package engine watches the load of the model engines behind a sidecar and
// passes the controllers' orders on to them, newest fencing number only.
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

// Loads takes load reports.
type Loads interface {
	SetLoad(service share.ServiceID, upstream share.UpstreamID, load share.Load)
}

// Engines are the model engines behind one sidecar.
type Engines struct {
	address string
	client  *controller.Client
	http    *upstream.Client
	loads   Loads
	log     *slog.Logger

	mu    sync.Mutex // guards guard, and keeps orders one after the other
	guard *fence.Guard
}

// New returns the engines behind the sidecar with the address.
func New(address string, client *controller.Client, http *upstream.Client, loads Loads, log *slog.Logger) *Engines {
	return &Engines{
		address: address,
		client:  client,
		http:    http,
		loads:   loads,
		log:     log,
		guard:   fence.NewGuard(),
	}
}

// Run reads each engine's load once a second until the context ends.
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

// ServeOrder takes an order from the leading controller.
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
		e.log.Warn("order failed", "upstream", order.Upstream, "number", order.FencingToken, "cause", err)
		problem.New(http.StatusBadGateway, problem.UpstreamFailed, err.Error()).Write(w)
		return
	}
	w.WriteHeader(http.StatusOK)
}
