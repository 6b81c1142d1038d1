// Package objectstorestandin is an in-memory stand-in for the platform's
// object store, for tests and the demo. It can be down, slow, or lose the
// answer to a write that took effect.
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

// maxBodyBytes bounds an object.
const maxBodyBytes = 64 << 20

// Faults are the faults in force. The zero value has none.
type Faults struct {
	// Down refuses everything.
	Down bool
	// Delay is added to each request.
	Delay time.Duration
	// PerSecond bounds the rate of requests; zero sets no bound.
	PerSecond int
}

// Counts are the requests seen since the Store was made.
type Counts struct{ Reads, Writes int64 }

// Store holds the objects. It serves as the service itself, through Handler,
// and as an in-process client of its own. All methods may be called
// concurrently.
type Store struct {
	mu       sync.Mutex
	objects  map[string][]byte
	faults   Faults
	loseNext int
	bound    *rate.Limiter
	counts   Counts
}

// New returns an empty Store without faults.
func New() *Store { return &Store{objects: map[string][]byte{}} }

// SetFaults replaces the faults in force.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.bound = nil
	if f.PerSecond > 0 {
		s.bound = rate.NewLimiter(rate.Limit(f.PerSecond), max(1, f.PerSecond/10))
	}
}

// DropNextAnswers loses the answers of the next n writes.
func (s *Store) DropNextAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseNext = n
}

// Counts returns the requests seen so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// PutIfAbsent writes an object that must not exist.
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
	if s.loseNext > 0 {
		s.loseNext--
		return objectstore.UnavailableError{Name: name, Reason: answerLost}
	}
	return nil
}

// answerLost is the reason of a failure whose write took effect.
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

// admit counts a request and applies the faults to it.
func (s *Store) admit(ctx context.Context, name string, write bool) error {
	s.mu.Lock()
	faults, bound := s.faults, s.bound
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
	if bound != nil && !bound.Allow() {
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
		refuse(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	// A reader that has gone is of no interest.
	_, _ = w.Write(data)
}

func (s *Store) servePut(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	if err := s.PutIfAbsent(context.WithoutCancel(r.Context()), r.PathValue("name"), data); err != nil {
		refuse(w, err)
		return
	}
	w.WriteHeader(http.StatusCreated)
}

func (s *Store) serveDelete(w http.ResponseWriter, r *http.Request) {
	if err := s.Delete(r.Context(), r.PathValue("name")); err != nil {
		refuse(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// refuse answers with the status of a failure. A lost answer breaks the
// connection.
func refuse(w http.ResponseWriter, err error) {
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
