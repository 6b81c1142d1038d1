// Package discovery holds the endpoints that announced themselves, and the
// rules for which of them may get new work. It is pure: a Set is immutable.
package discovery

import (
	"cmp"
	"slices"
	"time"
)

// Endpoint is a model engine or an instance of a plain service that announced
// itself.
type Endpoint struct {
	// ID names one incarnation, or all of one process's that keep the same name;
	// with Started it names one incarnation.
	ID            string
	Service       string
	Address       string
	FailureDomain string
	// Slots is how many requests it runs at once.
	Slots int
	// Draining is true once it said that it leaves.
	Draining bool
	// Started is when its process started, by its own clock.
	Started time.Time
	// WarmupRemaining is how much longer it stays slow after its start.
	WarmupRemaining time.Duration
}

// Set is the endpoints known at one moment, by service.
type Set struct {
	services map[string][]Endpoint
	byID     map[string]Endpoint
}

// NewSet returns a set of endpoints, ordered by id. Of two at one address only
// the one that started last is there: the other's entry outlives it.
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

// Service returns the endpoints of a service. The caller must not change them.
func (s *Set) Service(name string) []Endpoint { return s.services[name] }

// Find returns an endpoint by its id.
func (s *Set) Find(id string) (Endpoint, bool) {
	e, ok := s.byID[id]
	return e, ok
}

// All returns all endpoints by id. The caller must not change them.
func (s *Set) All() map[string]Endpoint { return s.byID }
