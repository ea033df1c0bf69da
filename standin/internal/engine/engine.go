// Package engine is a small stand-in for a model engine: chat completions with
// event streams, a batch of bounded size with a queue inside, a prefix cache in
// limited memory, load reports with a lag, and orders with fencing numbers.
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

const (
	cachedPrefixes   = 64
	bytesPerToken    = 4
	defaultMaxTokens = 32
	maxBody          = 8 << 20
	maxOrders        = 1000
)

// Settings configures an Engine.
type Settings struct {
	MaxRunning      int
	TokensPerSecond float64
	PrefillTokensPerSecond   float64
	LoadLag         time.Duration
	ChecksFencing   bool
}

// Order is an order as the engine took it.
type Order struct {
	Fencing      uint64   `json:"fencing"`
	Model        string   `json:"model"`
	ModelVersion string   `json:"model_version"`
	Adapters     []string `json:"adapters,omitempty"`
	Role         string   `json:"role,omitempty"`
}

// load is one load report.
type load struct {
	Sequence uint64    `json:"sequence"`
	At       time.Time `json:"at"`
	Running  int       `json:"running"`
	Waiting  int       `json:"waiting"`
	KVUsed   float64   `json:"kv_used"`
}

// Engine is one stand-in engine.
type Engine struct {
	settings Settings
	batch    chan struct{}

	mu       sync.Mutex
	running  int
	waiting  int
	served   int
	reports  []load
	sequence uint64
	recent   *list.List
	cached   map[string]*list.Element
	orders   []Order
	newest   uint64
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

// Handler returns the engine's routes.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("POST /orders", e.takeOrder)
	mux.HandleFunc("GET /orders", e.listOrders)
	mux.HandleFunc("GET /served", func(w http.ResponseWriter, _ *http.Request) {
		e.mu.Lock()
		defer e.mu.Unlock()
		fmt.Fprintln(w, e.served)
	})
	return mux
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type request struct {
	Model     string    `json:"model"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
	Messages  []message `json:"messages"`
}

// enter waits for a place in the batch.
func (e *Engine) enter(ctx context.Context) bool {
	e.count(0, 1)
	defer e.count(0, -1)
	select {
	case e.batch <- struct{}{}:
		e.count(1, 0)
		return true
	case <-ctx.Done():
		return false
	}
}

func (e *Engine) leave() {
	e.count(-1, 0)
	<-e.batch
}

func (e *Engine) count(running, waiting int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running += running
	e.waiting += waiting
	if running > 0 {
		e.served++
	}
	e.sequence++
	now := time.Now()
	e.reports = append(e.reports, load{
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

// hit reports whether the prefix is cached, and caches it.
func (e *Engine) hit(prefix string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if element, ok := e.cached[prefix]; ok {
		e.recent.MoveToFront(element)
		return true
	}
	e.cached[prefix] = e.recent.PushFront(prefix)
	if e.recent.Len() > cachedPrefixes {
		oldest := e.recent.Back()
		delete(e.cached, oldest.Value.(string))
		e.recent.Remove(oldest)
	}
	return false
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var asked request
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&asked); err != nil || len(asked.Messages) == 0 {
		http.Error(w, "no chat completion", http.StatusBadRequest)
		return
	}
	if asked.MaxTokens == 0 {
		asked.MaxTokens = defaultMaxTokens
	}
	if !e.enter(r.Context()) {
		return
	}
	defer e.leave()
	prompt := 0
	for _, m := range asked.Messages {
		prompt += len(m.Content) / bytesPerToken
	}
	fresh := prompt
	if e.hit(asked.Messages[0].Content) {
		fresh -= len(asked.Messages[0].Content) / bytesPerToken
	}
	if !pause(r.Context(), float64(fresh)/e.settings.PrefillTokensPerSecond) {
		return
	}
	last := asked.Messages[len(asked.Messages)-1].Content
	if asked.Stream {
		e.stream(w, r, asked, last, prompt)
		return
	}
	e.whole(w, r, asked, last, prompt)
}

// pause waits for seconds and returns false when the context ended first.
func pause(ctx context.Context, seconds float64) bool {
	select {
	case <-time.After(time.Duration(seconds * float64(time.Second))):
		return true
	case <-ctx.Done():
		return false
	}
}

func usage(prompt, completion int) map[string]int {
	return map[string]int{
		"prompt_tokens":     prompt,
		"completion_tokens": completion,
		"total_tokens":      prompt + completion,
	}
}

// stream sends one event for each token; each echoes the last message, so that
// a crossed answer is seen.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, asked request, last string, prompt int) {
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for i := range asked.MaxTokens {
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
		if !pause(r.Context(), 1/e.settings.TokensPerSecond) {
			return
		}
	}
	end, _ := json.Marshal(map[string]any{
		"object":  "chat.completion.chunk",
		"choices": []any{},
		"usage":   usage(prompt, asked.MaxTokens),
	})
	fmt.Fprintf(w, "data: %s\n\ndata: [DONE]\n\n", end)
}

func (e *Engine) whole(w http.ResponseWriter, r *http.Request, asked request, last string, prompt int) {
	if !pause(r.Context(), float64(asked.MaxTokens)/e.settings.TokensPerSecond) {
		return
	}
	text := ""
	for i := range asked.MaxTokens {
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
		"usage": usage(prompt, asked.MaxTokens),
	})
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	report := load{
		Sequence: 1,
		At:       time.Now(),
	}
	if len(e.reports) > 0 {
		report = e.reports[0]
	}
	_ = json.NewEncoder(w).Encode(report)
}

func (e *Engine) takeOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&order); err != nil {
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
