// Package evacuation holds the failure domains that operators have evacuated: endpoints
// in them get no requests. It does no input or output, and a Set is immutable.
package evacuation

import (
	"slices"

	"github.com/cyclamenpoint/cyclamenpoint/discovery"
)

// Set is a set of failure domains. The zero value is empty.
type Set struct{ domains map[string]struct{} }

// NewSet returns a set of failure domains.
func NewSet(domains []string) Set {
	s := Set{domains: make(map[string]struct{}, len(domains))}
	for _, d := range domains {
		s.domains[d] = struct{}{}
	}
	return s
}

// Contains reports whether a failure domain is evacuated.
func (s Set) Contains(domain string) bool {
	_, ok := s.domains[domain]
	return ok
}

// Len returns the number of evacuated failure domains.
func (s Set) Len() int { return len(s.domains) }

// Domains returns the evacuated failure domains in alphabetical order.
func (s Set) Domains() []string {
	list := make([]string, 0, len(s.domains))
	for d := range s.domains {
		list = append(list, d)
	}
	slices.Sort(list)
	return list
}

// Difference holds the failure domains whose state differs between two sets, each list in
// alphabetical order.
type Difference struct {
	Began, Ended []string
}

// Difference returns what changes from s to next.
func (s Set) Difference(next Set) Difference {
	return Difference{Began: next.without(s), Ended: s.without(next)}
}

// without returns the failure domains of s that are not in other.
func (s Set) without(other Set) []string {
	return slices.DeleteFunc(s.Domains(), other.Contains)
}

// Remaining returns the endpoints that are in no evacuated failure domain, in the same
// order. It does not modify the list, and returns it if nothing is evacuated.
func (s Set) Remaining(endpoints []discovery.Endpoint) []discovery.Endpoint {
	if len(s.domains) == 0 {
		return endpoints
	}
	left := make([]discovery.Endpoint, 0, len(endpoints))
	for i := range endpoints {
		if !s.Contains(endpoints[i].FailureDomain) {
			left = append(left, endpoints[i])
		}
	}
	return left
}
