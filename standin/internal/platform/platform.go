// Package platform simulates the platform's list of hosts over HTTP. New returns the
// list; tests replace it with PUT /hosts, and controllers read it with GET /hosts.
package platform

import (
	"encoding/json"
	"net/http"
	"sync"
)

// host is an entry of the list.
type host struct {
	Name  string `json:"name"`
	State string `json:"state"`
}

// HostList is a list of hosts. It is safe for concurrent use.
type HostList struct {
	mu    sync.Mutex
	hosts []host
}

// New returns an empty list of hosts.
func New() *HostList { return &HostList{} }

// Handler returns the routes: GET and PUT /hosts.
func (l *HostList) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /hosts", func(w http.ResponseWriter, _ *http.Request) {
		l.mu.Lock()
		defer l.mu.Unlock()
		_ = json.NewEncoder(w).Encode(l.hosts)
	})
	mux.HandleFunc("PUT /hosts", func(w http.ResponseWriter, r *http.Request) {
		var hosts []host
		if err := json.NewDecoder(r.Body).Decode(&hosts); err != nil {
			http.Error(w, "no list", http.StatusBadRequest)
			return
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.hosts = hosts
	})
	return mux
}
