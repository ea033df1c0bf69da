package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

// operator changes the configuration and reads it back.
type operator struct {
	soak   *Soak
	client *http.Client

	mu      sync.Mutex
	version uint64
	acked   uint64 // the newest acknowledged version
	keys    []string
	retired []string
	next    int
}

// Keys of the teams, beside those that come and go.
var steadyKeys = []string{"key-north", "key-south"}

func newOperator(s *Soak) *operator {
	return &operator{
		soak: s,
		client: &http.Client{
			Timeout: 3 * time.Second,
		},
	}
}

// key draws a caller's key, at times one that was taken away.
func (o *operator) key(random *rand.Rand) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if n := len(o.retired); n > 0 && random.IntN(20) == 0 {
		return o.retired[n-1-random.IntN(min(n, 3))]
	}
	all := append(slices.Clone(steadyKeys), o.keys...)
	return all[random.IntN(len(all))]
}

// document returns a configuration with the present keys.
func (o *operator) document() []byte {
	routes := []map[string]any{}
	for _, kind := range []Kind{Book, Look, Chat, Draft} {
		route := map[string]any{
			"name":                 string(kind),
			"host":                 "soak.example",
			"path_prefix":          "/" + string(kind) + "/",
			"kind":                 "unsafe",
			"timeout_ms":           callerWait.Milliseconds(),
			"latency_objective_ms": 300,
			"service":              "desk",
			"max_upstreams":        1,
		}
		if kind == Look {
			route["kind"] = "safe"
		}
		if kind.stream() {
			route["kind"] = "stream"
			route["service"] = "llm"
			route["pause_objective_ms"] = 200
			route["model_requests"] = true
			route["resumable"] = kind == Chat
		}
		if kind.repeatable() {
			route["max_upstreams"] = 2
		}
		routes = append(routes, route)
	}
	data, err := json.Marshal(map[string]any{
		"version": o.version,
		"routes":  routes,
		"services": []map[string]any{
			{"name": "desk"},
			{"name": "llm", "engine": map[string]any{"slots": upstreamSlots, "kv_tokens": 100_000, "tokens_per_event": 1}},
		},
		"limits": map[string]any{"max_body_bytes": 1 << 20, "tokens_per_second": 1_000_000},
		"teams": []map[string]any{
			{"name": "north", "keys": []string{steadyKeys[0]}},
			{"name": "south", "keys": append([]string{steadyKeys[1]}, o.keys...)},
		},
	})
	if err != nil {
		panic(err) // the values above can all be encoded
	}
	return data
}

// change makes another version and sends it until it is acknowledged. Some versions
// take a key away.
func (o *operator) change(ctx context.Context, random *rand.Rand) {
	o.mu.Lock()
	o.version += 1 + uint64(random.IntN(3))
	o.next++
	o.keys = append(o.keys, fmt.Sprintf("key-%d", o.next))
	gone := ""
	if len(o.keys) > 2 {
		gone = o.keys[0]
		o.keys = o.keys[1:]
	}
	version, document := o.version, o.document()
	o.mu.Unlock()
	for ctx.Err() == nil {
		target := o.soak.fleet.controllers[random.IntN(len(o.soak.fleet.controllers))]
		status, body := o.call(ctx, http.MethodPut, target, document)
		if status == http.StatusOK {
			break
		}
		if status >= 400 && status < 500 {
			o.soak.ledger.RecordViolation("configuration", "version %d was refused with %d: %s", version, status, body)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	if ctx.Err() != nil {
		return
	}
	o.mu.Lock()
	o.acked = version
	if gone != "" {
		o.retired = append(o.retired, gone)
		o.soak.ledger.RecordRevocation(gone, time.Now().Add(revokeTime))
	}
	o.mu.Unlock()
}

// read asks one controller for the configuration: it must not be older than what was
// acknowledged before.
func (o *operator) read(ctx context.Context, target *process) {
	o.mu.Lock()
	acked := o.acked
	o.mu.Unlock()
	status, body := o.call(ctx, http.MethodGet, target, nil)
	if status != http.StatusOK {
		return // it need not know
	}
	var got struct {
		Version uint64 `json:"version"`
	}
	if err := json.Unmarshal(body, &got); err != nil || got.Version < acked {
		o.soak.ledger.RecordViolation("configuration", "%s has version %d after %d was acknowledged (%v)", target.name, got.Version, acked, err)
	}
}

func (o *operator) call(ctx context.Context, method string, target *process, body []byte) (int, []byte) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+target.listen+"/v1/configuration", bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	response, err := o.client.Do(request)
	if err != nil {
		return 0, nil // the controller may be down
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

// run changes and reads the configuration until the context ends.
func (o *operator) run(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		if random.IntN(3) == 0 {
			o.change(ctx, random)
		}
		o.read(ctx, o.soak.fleet.controllers[random.IntN(len(o.soak.fleet.controllers))])
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(100+random.IntN(500)) * time.Millisecond):
		}
	}
}
