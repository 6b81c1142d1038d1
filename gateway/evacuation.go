package gateway

import (
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/discovery"
	"github.com/cyclamenpoint/cyclamenpoint/evacuation"
	"github.com/cyclamenpoint/cyclamenpoint/follow"
	"github.com/cyclamenpoint/cyclamenpoint/forward"
)

// evacuations holds the failure domains whose endpoints get no requests. Requests in flight
// continue. A name without listed endpoints counts as unknown until one is listed. It is
// safe for concurrent use.
type evacuations struct {
	log *slog.Logger
	// state is replaced as a whole, so that a domain counts as just evacuated from the
	// moment at which its endpoints get requests again.
	state atomic.Pointer[evacuationState]

	// mu serializes the changes and guards the fields below.
	mu sync.Mutex
	// listed holds the failure domains with listed endpoints, nil before the first list.
	listed map[string]bool
	asOf   follow.Position
	// unknown holds the names that are logged as unknown.
	unknown map[string]bool
	// invalid holds the invalid entries that are logged.
	invalid map[string]bool
}

// evacuationState is immutable.
type evacuationState struct {
	// requested holds all valid names, inForce those of known domains.
	requested, inForce evacuation.Set
	// endedAt holds the time at which this node applied the end of the last evacuation of
	// a domain.
	endedAt map[string]time.Time
}

func newEvacuations(log *slog.Logger) *evacuations {
	e := &evacuations{log: log}
	e.state.Store(&evacuationState{})
	return e
}

// set applies the evacuations in a copy of their table. errs holds an error for each invalid
// entry.
func (e *evacuations) set(requested evacuation.Set, errs []error, asOf follow.Position) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.asOf = asOf
	invalid := make(map[string]bool, len(errs))
	for _, err := range errs {
		text := err.Error()
		if !e.invalid[text] {
			e.log.Error("invalid evacuation, ignored", "error", text, "as_of", asOf)
		}
		invalid[text] = true
	}
	e.invalid = invalid
	e.update(requested)
}

// setListed applies a new list of endpoints, which shows the names that are failure domains.
func (e *evacuations) setListed(endpoints *discovery.Set) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listed = make(map[string]bool)
	for _, endpoint := range endpoints.All() {
		e.listed[endpoint.FailureDomain] = true
	}
	e.update(e.state.Load().requested)
}

// update replaces the state and logs the changes. The caller must hold mu.
func (e *evacuations) update(requested evacuation.Set) {
	old := e.state.Load()
	var inForce []string
	unknown := make(map[string]bool)
	for _, domain := range requested.Domains() {
		switch {
		case e.listed[domain] || old.inForce.Contains(domain):
			inForce = append(inForce, domain)
		case e.listed != nil:
			unknown[domain] = true
			if !e.unknown[domain] {
				e.log.Warn("evacuation of a failure domain without endpoints, no effect", "domain", domain, "as_of", e.asOf)
			}
		}
	}
	e.unknown = unknown
	next := &evacuationState{requested: requested, inForce: evacuation.NewSet(inForce), endedAt: make(map[string]time.Time)}
	for domain, at := range old.endedAt {
		// An endpoint that is listed later is a new one.
		if e.listed[domain] {
			next.endedAt[domain] = at
		}
	}
	changes, now := old.inForce.Difference(next.inForce), time.Now()
	for _, domain := range changes.Ended {
		next.endedAt[domain] = now
	}
	e.state.Store(next)
	for _, domain := range changes.Began {
		e.log.Info("evacuation in force", "domain", domain, "as_of", e.asOf)
	}
	for _, domain := range changes.Ended {
		e.log.Info("evacuation ended", "domain", domain, "as_of", e.asOf)
	}
}

// remaining returns the endpoints of a service that may get requests. The error is a
// *forward.NoEndpointError if there are endpoints, but all of them are in evacuated domains.
func (e *evacuations) remaining(endpoints []discovery.Endpoint) ([]discovery.Endpoint, error) {
	left := e.state.Load().requested.Remaining(endpoints)
	if len(left) == 0 && len(endpoints) > 0 {
		return nil, &forward.NoEndpointError{
			Reason:     fmt.Sprintf("all endpoints are in evacuated failure domains: listed %d", len(endpoints)),
			RetryAfter: retryAfter(false), Evacuated: true,
		}
	}
	return left, nil
}

// endedAt returns when this node applied the end of the last evacuation of a failure domain;
// zero if there was none since its endpoints are listed.
func (e *evacuations) endedAt(domain string) time.Time { return e.state.Load().endedAt[domain] }

// inForce returns the number of failure domains that are evacuated.
func (e *evacuations) inForce() int { return e.state.Load().inForce.Len() }
