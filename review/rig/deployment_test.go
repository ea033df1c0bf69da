package rig

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// model is the description of model engines in a configuration.
var model = map[string]any{
	"slots": 64, "kv_tokens": 555887, "kv_token_bytes": 163840, "link_mbps": 260000.0,
	"kv_moves": true, "kv_backups": true, "tokens_per_event": 5, "most": 12, "max_pin_ms": 4000.0,
	"max_hold_ms": 2000.0, "handle_seconds": 5.0, "models": []any{map[string]any{"name": "m"}},
}

func modelService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/healthz", "max_connections": 370, "protocol": "h1", "tls": false, "engine": model}
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false}
}

// route returns a route with the fields that all cases share.
func route(name, prefix, kind string, fields map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": "app.example", "path_prefix": prefix, "kind": kind, "priority": 1, "without_key": false,
	}
	for field, value := range fields {
		r[field] = value
	}
	return r
}

func configuration(version int, routes, services []any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
			"tokens_per_second": 280000,
		},
		"teams": []any{
			map[string]any{"name": "north", "keys": []string{"key-of-north"}},
			map[string]any{"name": "south", "keys": []string{"key-of-south"}},
		},
	}
}

// chat is the route of streams that may be resumed, with the figures of chat-reply.
func chat(fields map[string]any) map[string]any {
	all := map[string]any{
		"timeout_ms": 15000, "latency_objective_ms": 400, "max_upstreams": 2, "model_requests": true, "resumable": true, "pause_objective_ms": 300,
	}
	for field, value := range fields {
		all[field] = value
	}
	return route("chat", "/chat/", "stream", all)
}

// callers starts streams at an even rate until the context ends.
type callers struct {
	cancel  context.CancelFunc
	ended   chan struct{}
	mu      sync.Mutex
	streams []*stream
	wait    sync.WaitGroup
}

func (c *callers) run(ctx context.Context, r *record, every time.Duration, pick func(caller, attempt int) *host) {
	for n := 0; sleep(ctx, every); n++ {
		c.wait.Go(func() {
			s := callStream(context.Background(), r, strconv.Itoa(n), []string{"key-of-north", "key-of-south"}[n%2], "/chat/a", func(attempt int) *host { return pick(n, attempt) })
			c.mu.Lock()
			defer c.mu.Unlock()
			c.streams = append(c.streams, s)
		})
	}
	c.wait.Wait()
}

// start starts a fleet with the engines and the configuration. It is stopped at the end of the run.
func (c *run) start(engines []*engine, configuration map[string]any) (*fleet, error) {
	f := newFleet(c.root, c.work, c.record)
	c.setFleet(f)
	return f, f.start(engines, configuration)
}

// startDesk starts a fleet with a plain service of three engines, with the figures of slot-book and
// slot-lookup.
func (c *run) startDesk(handle func(*engine, http.ResponseWriter, *http.Request)) (*fleet, error) {
	var engines []*engine
	for i := range 3 {
		engines = append(engines, newEngine(i, fmt.Sprintf("i-%d", i+1), "desk", "v1", 6, handle))
	}
	book := route("book", "/book/", "unsafe", map[string]any{"service": "desk", "timeout_ms": 800, "latency_objective_ms": 100, "max_upstreams": 1})
	look := route("look", "/look/", "safe", map[string]any{"service": "desk", "timeout_ms": 800, "latency_objective_ms": 100, "max_upstreams": 2})
	return c.start(engines, configuration(1, []any{book, look}, []any{plainService("desk")}))
}
