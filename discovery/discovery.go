// Package discovery holds the set of endpoints that have registered themselves.
// It does no input or output, and a Set is immutable.
package discovery

import (
	"cmp"
	"slices"
	"time"
)

// Endpoint is a registered model engine or instance of another service.
type Endpoint struct {
	// ID identifies the endpoint. It may stay the same over restarts; ID and
	// Started together identify one incarnation.
	ID            string
	Service       string
	Address       string
	FailureDomain string
	// Slots is the number of requests that the endpoint runs at once.
	Slots int
	// Draining is true once the endpoint has announced that it accepts no new work.
	Draining bool
	// Started is the start time of the endpoint's process, by its own clock.
	Started time.Time
	// WarmupRemaining is the time until the endpoint reaches its full speed after
	// a start, as of the writing of the entry. WarmupStated is false if the entry does
	// not state it.
	WarmupRemaining time.Duration
	WarmupStated    bool
	// Revision differs between two contents of the entry.
	Revision uint64
}

// Incarnation identifies one start of an endpoint's process.
type Incarnation struct {
	ID string `cbor:"id"`
	// Started is the start time in Unix milliseconds.
	Started int64 `cbor:"started"`
}

// Incarnation returns the endpoint's incarnation.
func (e Endpoint) Incarnation() Incarnation {
	return Incarnation{ID: e.ID, Started: e.Started.UnixMilli()}
}

// Set is an immutable set of endpoints, indexed by service and by ID.
type Set struct {
	services map[string][]Endpoint
	byID     map[string]Endpoint
}

// NewSet returns a set of endpoints. If several have the same address, it
// contains only the one that started last: the others have ended, but their
// entries have not expired yet.
func NewSet(endpoints []Endpoint) *Set {
	s := &Set{services: make(map[string][]Endpoint), byID: make(map[string]Endpoint, len(endpoints))}
	newest := make(map[string]time.Time, len(endpoints))
	for _, e := range endpoints {
		if e.Started.After(newest[e.Address]) {
			newest[e.Address] = e.Started
		}
	}
	for _, e := range endpoints {
		if e.Started.Before(newest[e.Address]) {
			continue
		}
		s.byID[e.ID] = e
		s.services[e.Service] = append(s.services[e.Service], e)
	}
	for _, list := range s.services {
		slices.SortFunc(list, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	}
	return s
}

// Service returns the endpoints of a service in the order of their IDs. The
// caller must not modify the slice.
func (s *Set) Service(name string) []Endpoint { return s.services[name] }

// Find returns the endpoint with the given ID.
func (s *Set) Find(id string) (Endpoint, bool) {
	e, ok := s.byID[id]
	return e, ok
}

// All returns all endpoints by ID. The caller must not modify the map.
func (s *Set) All() map[string]Endpoint { return s.byID }
