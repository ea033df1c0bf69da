// Package engine simulates a model engine over HTTP; New returns an Engine. It serves
// chat completions, whole or as event streams, in a batch of limited size behind a
// first-come, first-served queue, with an LRU prefix cache. It reports its load with a
// lag and accepts orders with fencing tokens.
package engine

import (
	"container/list"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Limits of an engine. A prompt is counted as one token per bytesPerToken bytes.
const (
	maxCachedPrefixes = 64
	bytesPerToken     = 4
	defaultMaxTokens  = 32
	maxBodyBytes      = 8 << 20
	maxOrders         = 1000
)

// Settings configures an Engine.
type Settings struct {
	// MaxRunning is the size of the batch, at least 1.
	MaxRunning int
	// TokensPerSecond is the rate at which each running request generates tokens.
	TokensPerSecond float64
	// PrefillTokensPerSecond is the rate at which each running request's prompt is read.
	PrefillTokensPerSecond float64
	// LoadLag is the age of the load reports.
	LoadLag time.Duration
	// ChecksFencing is whether orders with an old fencing token are refused.
	ChecksFencing bool
}

// Order is an order to an engine, such as to load a model.
type Order struct {
	Fencing      uint64   `json:"fencing"`
	Model        string   `json:"model"`
	ModelVersion string   `json:"model_version"`
	Adapters     []string `json:"adapters,omitempty"`
	Role         string   `json:"role,omitempty"`
}

// loadReport is the body of the answer to GET /load.
type loadReport struct {
	Sequence uint64    `json:"sequence"`
	At       time.Time `json:"at"`
	Running  int       `json:"running"`
	Waiting  int       `json:"waiting"`
	KVUsed   float64   `json:"kv_used"`
}

// Engine is a simulated model engine. It is safe for concurrent use.
type Engine struct {
	settings Settings
	batch    chan struct{}

	mu       sync.Mutex
	running  int
	waiting  int
	started  int          // requests that have entered the batch
	reports  []loadReport // oldest first; GET /load returns the first
	sequence uint64
	recent   *list.List // cached prefixes, the most recently used first
	cached   map[string]*list.Element
	orders   []Order
	newest   uint64 // highest fencing token accepted
}

// New returns an idle engine.
func New(s Settings) *Engine {
	return &Engine{
		settings: s,
		batch:    make(chan struct{}, s.MaxRunning),
		recent:   list.New(),
		cached:   make(map[string]*list.Element),
	}
}

// Handler returns the engine's routes. GET /orders and GET /served, the number of
// requests that have started, are for tests.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("POST /orders", e.acceptOrder)
	mux.HandleFunc("GET /orders", e.listOrders)
	mux.HandleFunc("GET /served", func(w http.ResponseWriter, _ *http.Request) {
		e.mu.Lock()
		defer e.mu.Unlock()
		fmt.Fprintln(w, e.started)
	})
	return mux
}

// message is a message of a chat.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// request is a chat completion request.
type request struct {
	Model     string    `json:"model"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
	Messages  []message `json:"messages"`
}

// acquireSlot waits for a slot in the batch. It returns false if the context ended first.
func (e *Engine) acquireSlot(ctx context.Context) bool {
	e.addCounts(0, 1)
	defer e.addCounts(0, -1)
	select {
	case e.batch <- struct{}{}:
		e.addCounts(1, 0)
		return true
	case <-ctx.Done():
		return false
	}
}

// releaseSlot frees a slot that acquireSlot has taken.
func (e *Engine) releaseSlot() {
	e.addCounts(-1, 0)
	<-e.batch
}

// addCounts adds to the numbers of running and waiting requests and records a load report.
// Of the reports that are older than the lag only the newest is kept, which is the one
// that GET /load returns.
func (e *Engine) addCounts(running, waiting int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running += running
	e.waiting += waiting
	if running > 0 {
		e.started++
	}
	e.sequence++
	now := time.Now()
	e.reports = append(e.reports, loadReport{
		Sequence: e.sequence,
		At:       now,
		Running:  e.running,
		Waiting:  e.waiting,
		KVUsed:   float64(e.running) / float64(2*e.settings.MaxRunning),
	})
	for len(e.reports) > 1 && now.Sub(e.reports[1].At) > e.settings.LoadLag {
		e.reports = e.reports[1:]
	}
}

// lookupPrefix reports whether the prefix was cached. It caches the prefix, or marks it
// as most recently used, and evicts the least recently used one if the cache is full.
func (e *Engine) lookupPrefix(prefix string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if element, ok := e.cached[prefix]; ok {
		e.recent.MoveToFront(element)
		return true
	}
	e.cached[prefix] = e.recent.PushFront(prefix)
	if e.recent.Len() > maxCachedPrefixes {
		oldest := e.recent.Back()
		delete(e.cached, oldest.Value.(string))
		e.recent.Remove(oldest)
	}
	return false
}

// complete serves a chat completion. Prefill takes time for the tokens of the prompt that
// are not cached; the first message is the prefix that is cached.
func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var params request
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&params); err != nil || len(params.Messages) == 0 {
		http.Error(w, "no chat completion", http.StatusBadRequest)
		return
	}
	if params.MaxTokens == 0 {
		params.MaxTokens = defaultMaxTokens
	}
	if !e.acquireSlot(r.Context()) {
		return
	}
	defer e.releaseSlot()
	prompt := 0
	for _, m := range params.Messages {
		prompt += len(m.Content) / bytesPerToken
	}
	uncached := prompt
	if e.lookupPrefix(params.Messages[0].Content) {
		uncached -= len(params.Messages[0].Content) / bytesPerToken
	}
	if !sleep(r.Context(), float64(uncached)/e.settings.PrefillTokensPerSecond) {
		return
	}
	last := params.Messages[len(params.Messages)-1].Content
	if params.Stream {
		e.sendStream(w, r, params, last, prompt)
		return
	}
	e.sendWhole(w, r, params, last, prompt)
}

// sleep waits for a number of seconds. It returns false if the context ended first.
func sleep(ctx context.Context, seconds float64) bool {
	select {
	case <-time.After(time.Duration(seconds * float64(time.Second))):
		return true
	case <-ctx.Done():
		return false
	}
}

// usage returns the token counts of a completion.
func usage(prompt, completion int) map[string]int {
	return map[string]int{
		"prompt_tokens":     prompt,
		"completion_tokens": completion,
		"total_tokens":      prompt + completion,
	}
}

// sendStream sends one event for each token. Each event repeats the last message, so that a
// caller detects an answer to another request.
func (e *Engine) sendStream(w http.ResponseWriter, r *http.Request, params request, last string, prompt int) {
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for i := range params.MaxTokens {
		event, _ := json.Marshal(map[string]any{
			"object": "chat.completion.chunk",
			"choices": []any{
				map[string]any{
					"index": 0,
					"delta": map[string]string{
						"content": fmt.Sprintf("%s-%d ", last, i),
					},
				},
			},
		})
		if _, err := fmt.Fprintf(w, "data: %s\n\n", event); err != nil || flush.Flush() != nil {
			return
		}
		if !sleep(r.Context(), 1/e.settings.TokensPerSecond) {
			return
		}
	}
	end, _ := json.Marshal(map[string]any{
		"object":  "chat.completion.chunk",
		"choices": []any{},
		"usage":   usage(prompt, params.MaxTokens),
	})
	fmt.Fprintf(w, "data: %s\n\ndata: [DONE]\n\n", end)
}

// sendWhole sends the completion in one answer after all of its tokens are generated.
func (e *Engine) sendWhole(w http.ResponseWriter, r *http.Request, params request, last string, prompt int) {
	if !sleep(r.Context(), float64(params.MaxTokens)/e.settings.TokensPerSecond) {
		return
	}
	text := ""
	for i := range params.MaxTokens {
		text += fmt.Sprintf("%s-%d ", last, i)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"object": "chat.completion",
		"choices": []any{
			map[string]any{
				"index": 0,
				"message": message{
					Role:    "assistant",
					Content: text,
				},
			},
		},
		"usage": usage(prompt, params.MaxTokens),
	})
}

// serveLoad sends the load as it was about LoadLag ago.
func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	report := loadReport{
		Sequence: 1,
		At:       time.Now(),
	}
	if len(e.reports) > 0 {
		report = e.reports[0]
	}
	_ = json.NewEncoder(w).Encode(report)
}

// acceptOrder records an order. With ChecksFencing it refuses one whose fencing token is
// lower than the highest so far; the newest maxOrders orders are kept.
func (e *Engine) acceptOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&order); err != nil {
		http.Error(w, "no order", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.settings.ChecksFencing && order.Fencing < e.newest {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	e.newest = max(e.newest, order.Fencing)
	e.orders = append(e.orders, order)
	if len(e.orders) > maxOrders {
		e.orders = e.orders[1:]
	}
}

func (e *Engine) listOrders(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(e.orders)
}
