package rig

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// entry is an upstream in the platform's list, in the names of deploy/wire.toml.
type entry struct {
	ID       string  `json:"id"`
	Service  string  `json:"service"`
	Address  string  `json:"address"`
	Zone     string  `json:"zone"`
	Version  string  `json:"version"`
	Slots    any     `json:"slots"`
	State    string  `json:"state"`
	ColdLeft float64 `json:"cold_left_ms"`
}

// platformList is the platform's list of upstreams. It shows what was true listLag ago.
type platformList struct {
	address string
	server  *http.Server
	engines []*engine

	mu        sync.Mutex
	snapshots []snapshot
	// malformed are the upstreams whose entry is that of another writer.
	malformed map[string]bool
	done      chan struct{}
}

// snapshot is the list at a time.
type snapshot struct {
	at      time.Time
	entries []entry
}

func newPlatformList(engines []*engine) *platformList {
	return &platformList{
		engines:   engines,
		malformed: make(map[string]bool),
		done:      make(chan struct{}),
	}
}

func (l *platformList) start(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	l.address = address
	l.server = &http.Server{
		Handler: http.HandlerFunc(l.serve),
	}
	go l.server.Serve(listener)
	l.take()
	go func() {
		for {
			select {
			case <-l.done:
				return
			case <-time.After(20 * time.Millisecond):
				l.take()
			}
		}
	}()
	return nil
}

func (l *platformList) stop() {
	close(l.done)
	l.server.Close()
}

// take records the present state of the engines.
func (l *platformList) take() {
	s := snapshot{
		at: time.Now(),
	}
	for _, e := range l.engines {
		if listed, ok := e.entry(); ok {
			s.entries = append(s.entries, listed)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.snapshots = append(l.snapshots, s)
	for len(l.snapshots) > 1 && time.Since(l.snapshots[1].at) > listLag {
		l.snapshots = l.snapshots[1:]
	}
}

// setMalformed has the entry of an upstream lack a field, as one of another writer may.
func (l *platformList) setMalformed(id string, malformed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.malformed[id] = malformed
}

func (l *platformList) serve(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	shown := []any{}
	for _, e := range l.snapshots[0].entries {
		if l.malformed[e.ID] {
			e.Slots = "many"
		}
		shown = append(shown, e)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"upstreams": shown,
		"next":      nil,
	})
}
