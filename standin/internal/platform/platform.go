// Package platform is a small stand-in for the platform's list of hosts.
package platform

import (
	"encoding/json"
	"net/http"
	"sync"
)

type host struct {
	Name  string `json:"name"`
	State string `json:"state"`
}

// HostList is the list of hosts.
type HostList struct {
	mu    sync.Mutex
	hosts []host
}

// New returns an empty list.
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
