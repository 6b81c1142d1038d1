// Package service is a stand-in for a plain HTTP service, used by tests and the
// demo. It counts the executions of each idempotency key, so that a test can
// detect duplicate executions.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

const headerIdempotencyKey = "Idempotency-Key"

// Answer is the JSON answer to a reservation.
type Answer struct {
	Key string `json:"key"`
	// Run is the number of times that the service has executed the key,
	// including this one.
	Run int `json:"run"`
}

// Service is the state that all workers of the service share. It is safe for
// concurrent use.
type Service struct {
	mu    sync.Mutex
	runs  map[string]int
	delay time.Duration
}

// New returns a service whose reservations take delay.
func New(delay time.Duration) *Service {
	return &Service{runs: make(map[string]int), delay: delay}
}

// SetDelay changes the time that a reservation takes.
func (s *Service) SetDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = delay
}

// Runs returns how many times the service has executed key.
func (s *Service) Runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

// Handler returns the HTTP handler of one worker.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("POST /reservations", s.reserve)
	mux.HandleFunc("GET /stock", s.stock)
	return mux
}

func (s *Service) reserve(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	key := r.Header.Get(headerIdempotencyKey)
	s.mu.Lock()
	s.runs[key]++
	run := s.runs[key]
	delay := s.delay
	s.mu.Unlock()
	time.Sleep(delay)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	_ = json.NewEncoder(w).Encode(Answer{Key: key, Run: run})
}

func (s *Service) stock(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]int{"reserved": len(s.runs)})
}
