// Package service is a small stand-in for a plain service. It counts how often
// it truly ran each key, so that a test can find a second run.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

const headerKey = "Idempotency-Key"

// Answer is the service's answer to a call.
type Answer struct {
	Key string `json:"key"`
	// Run is how many times the service ran the key.
	Run int `json:"run"`
}

// Service is the state that all workers of the service share.
type Service struct {
	mu    sync.Mutex
	runs  map[string]int
	delay time.Duration
}

// New returns a service whose calls take delay.
func New(delay time.Duration) *Service {
	return &Service{runs: make(map[string]int), delay: delay}
}

// SetDelay changes how long calls take.
func (s *Service) SetDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = delay
}

// Runs returns how often the service ran key.
func (s *Service) Runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

// Handler returns the HTTP interface of one worker.
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
	key := r.Header.Get(headerKey)
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
