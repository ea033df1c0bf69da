package rig

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// plainCounts counts how requests of plain services were answered.
type plainCounts struct {
	mu    sync.Mutex
	codes map[string]int
}

func (p *plainCounts) text() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return fmt.Sprint(p.codes)
}

func (p *plainCounts) add(code string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.codes == nil {
		p.codes = make(map[string]int)
	}
	p.codes[code]++
}

// run sends bookings and look-ups to the gateways in turn until the context ends.
func (p *plainCounts) run(ctx context.Context, f *fleet, every time.Duration) {
	for n := 0; sleep(ctx, every); n++ {
		h := f.hosts[n%len(f.hosts)]
		go p.call(f.record, h, n)
	}
}

func (p *plainCounts) call(r *record, h *host, n int) {
	method, path, body := http.MethodPost, "/book/a", "{}"
	if n%7/5 == 1 {
		method, path, body = http.MethodGet, "/look/a", ""
	}
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", h.ip, callerPort, path), strings.NewReader(body))
	if err != nil {
		return
	}
	id := fmt.Sprintf("%08x%08x", n, time.Now().UnixNano()&0xffffffff)
	request.Host = "app.example"
	request.Header.Set("Baobabpaddle-Attempt-Id", id)
	request.Header.Set("Baobabpaddle-Deadline-Ms", "1500")
	request.Header.Set("X-Api-Key", "key-of-north")
	request.Header.Set("X-Machine", h.name)
	response, err := clientTransport.RoundTrip(request)
	if err != nil {
		p.add("no answer")
		r.line("client: %s %s at %s: no answer", method, id, h.name)
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	response.Body.Close()
	p.add(fmt.Sprint(response.StatusCode))
	r.line("client: %s %s at %s: %d", method, id, h.name, response.StatusCode)
}

// callCrasher sends the request that crashes engines, the same each time but for its attempt.
func callCrasher(r *record, h *host, n int) {
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/book/crash", h.ip, callerPort), strings.NewReader(`{"crash":true}`))
	if err != nil {
		return
	}
	request.Host = "app.example"
	request.Header.Set("Baobabpaddle-Attempt-Id", fmt.Sprintf("c%07x%08x", n, time.Now().UnixNano()&0xffffffff))
	request.Header.Set("Baobabpaddle-Deadline-Ms", "1500")
	request.Header.Set("X-Api-Key", "key-of-south")
	request.Header.Set("X-Crasher", "1")
	request.Header.Set("X-Sent", fmt.Sprint(time.Now().UnixNano()))
	r.line("client: the request that crashes, time %d, at %s", n+1, h.name)
	response, err := clientTransport.RoundTrip(request)
	if err != nil {
		r.line("client: the request that crashes, time %d: no answer", n+1)
		return
	}
	response.Body.Close()
	r.line("client: the request that crashes, time %d: %d", n+1, response.StatusCode)
}
