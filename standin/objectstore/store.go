// Package objectstorestandin is an in-memory stand-in for the platform's object
// store, used by tests and the demo. It can simulate outages, latency, rate
// limits and lost answers to writes that took effect.
package objectstorestandin

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/cyclamenpoint/cyclamenpoint/objectstore"
)

// maxBodyBytes is the largest object that the store accepts.
const maxBodyBytes = 64 << 20

// Faults are the failures that the store simulates. The zero value has none.
type Faults struct {
	// Down fails every request.
	Down bool
	// Delay is added to each request.
	Delay time.Duration
	// RequestsPerSecond limits the rate of requests, with bursts of up to a tenth
	// of that number but at least one; zero means no limit.
	RequestsPerSecond int
}

// Counts are the numbers of requests since the Store was created.
type Counts struct{ Reads, Writes int64 }

// Store holds the objects. It can be used over HTTP, through Handler, or
// directly in place of a client. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	objects map[string][]byte
	faults  Faults
	// answersToDrop is the number of creations whose answers are still to be lost.
	answersToDrop int
	limiter       *rate.Limiter
	counts        Counts
}

// New returns an empty Store without faults.
func New() *Store { return &Store{objects: map[string][]byte{}} }

// SetFaults replaces the simulated faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.limiter = nil
	if f.RequestsPerSecond > 0 {
		s.limiter = rate.NewLimiter(rate.Limit(f.RequestsPerSecond), max(1, f.RequestsPerSecond/10))
	}
}

// DropNextAnswers loses the answers of the next n calls of PutIfAbsent that
// create an object.
func (s *Store) DropNextAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answersToDrop = n
}

// Counts returns the numbers of requests so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// PutIfAbsent creates an object. It returns an objectstore.ExistsError if the
// object exists.
func (s *Store) PutIfAbsent(ctx context.Context, name string, data []byte) error {
	if err := s.admit(ctx, name, true); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, exists := s.objects[name]; exists {
		return objectstore.ExistsError{Name: name}
	}
	s.objects[name] = slices.Clone(data)
	if s.answersToDrop > 0 {
		s.answersToDrop--
		return objectstore.UnavailableError{Name: name, Reason: answerLost}
	}
	return nil
}

// answerLost is the reason of an error that is returned although the write took
// effect.
const answerLost = "answer lost"

// Get reads an object.
func (s *Store) Get(ctx context.Context, name string) ([]byte, error) {
	if err := s.admit(ctx, name, false); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.objects[name]
	if !ok {
		return nil, objectstore.NotFoundError{Name: name}
	}
	return data, nil
}

// Delete removes an object.
func (s *Store) Delete(ctx context.Context, name string) error {
	if err := s.admit(ctx, name, true); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.objects, name)
	return nil
}

// admit counts a request and applies the simulated faults.
func (s *Store) admit(ctx context.Context, name string, write bool) error {
	s.mu.Lock()
	faults, limiter := s.faults, s.limiter
	if write {
		s.counts.Writes++
	} else {
		s.counts.Reads++
	}
	s.mu.Unlock()
	if faults.Delay > 0 {
		timer := time.NewTimer(faults.Delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return objectstore.UnavailableError{Name: name, Reason: ctx.Err().Error()}
		}
	}
	if faults.Down {
		return objectstore.UnavailableError{Name: name, Reason: "down"}
	}
	if limiter != nil && !limiter.Allow() {
		return objectstore.UnavailableError{Name: name, Reason: "rate limited"}
	}
	return nil
}

// Handler serves the store over HTTP.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{name}", s.serveGet)
	mux.HandleFunc("PUT /objects/{name}", s.servePut)
	mux.HandleFunc("DELETE /objects/{name}", s.serveDelete)
	return mux
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	data, err := s.Get(r.Context(), r.PathValue("name"))
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	// A write error means that the caller has disconnected.
	_, _ = w.Write(data)
}

func (s *Store) servePut(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	// The write takes effect even if the caller disconnects during Faults.Delay.
	if err := s.PutIfAbsent(context.WithoutCancel(r.Context()), r.PathValue("name"), data); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusCreated)
}

func (s *Store) serveDelete(w http.ResponseWriter, r *http.Request) {
	if err := s.Delete(r.Context(), r.PathValue("name")); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// writeError answers with the status code of an error. If the answer is to be
// lost, it closes the connection instead.
func writeError(w http.ResponseWriter, err error) {
	var unavailable objectstore.UnavailableError
	switch {
	case errors.As(err, new(objectstore.ExistsError)):
		w.WriteHeader(http.StatusPreconditionFailed)
	case errors.As(err, new(objectstore.NotFoundError)):
		w.WriteHeader(http.StatusNotFound)
	case errors.As(err, &unavailable) && unavailable.Reason == answerLost:
		panic(http.ErrAbortHandler)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
