// Package booking simulates a plain service whose requests must not run twice. New
// returns a Service, which records every run of a booking, so that tests detect one
// that ran more than once.
package booking

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

const maxBodyBytes = 1 << 20

// Booking is one run of a booking.
type Booking struct {
	Number int    `json:"number"`
	Body   string `json:"body"`
}

// Service is a simulated booking service. It is safe for concurrent use.
type Service struct {
	work time.Duration

	mu   sync.Mutex
	runs []Booking
}

// New returns a service in which each call for slots or a booking takes the time work.
func New(work time.Duration) *Service {
	return &Service{
		work: work,
	}
}

// Handler returns the routes: GET /slots, POST /bookings, and GET /runs, which lists the
// runs of all bookings in order.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /slots", s.slots)
	mux.HandleFunc("POST /bookings", s.book)
	mux.HandleFunc("GET /runs", s.listRuns)
	return mux
}

func (s *Service) slots(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.work)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"day":   r.URL.Query().Get("day"),
		"slots": []string{"09:00", "11:00", "14:30"},
	})
}

// book records the run before it spends the work time, so that a run whose caller
// disconnects early is counted too.
func (s *Service) book(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "no body", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	b := Booking{
		Number: len(s.runs) + 1,
		Body:   string(body),
	}
	s.runs = append(s.runs, b)
	s.mu.Unlock()
	time.Sleep(s.work)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(w).Encode(b)
}

func (s *Service) listRuns(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(s.runs)
}
