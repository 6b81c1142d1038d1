// Package quarantine finds the requests that crash endpoints and keeps them
// from running again. All nodes hold the same grow-only facts: which requests
// were in flight when an endpoint crashed, and which of them were cleared by a
// whole answer or by an operator. What follows from the facts is a pure
// function of them, so the order in which news arrives does not matter.
//
// The rules:
//
//   - A request that was in flight at a crash is a suspect, until it is cleared
//     or the crash is explained.
//   - A request is quarantined if it was in flight at two or more crashes and no
//     other request was in flight at all of them, or if it was in flight at
//     three.
//   - A crash is explained if a quarantined request was in flight. Its other
//     requests are no suspects for it.
//
// Suspects run one at a time, at one endpoint that all nodes agree on, so that
// the next crash tells them apart.
package quarantine

import (
	"fmt"
	"time"
)

// Default bounds of a list.
const (
	// DefaultKeep is how long a crash is remembered.
	DefaultKeep = time.Hour
	// DefaultMaxCrashes is the number of crashes that are remembered.
	DefaultMaxCrashes = 256
	// DefaultMaxClears is the number of clearances that are remembered.
	DefaultMaxClears = 8192
)

// State is what is held of a request's content.
type State int

// The states, in ascending order of gravity.
const (
	// Clean content runs anywhere.
	Clean State = iota
	// Suspect content runs alone among suspects, at its trial endpoint.
	Suspect
	// Quarantined content does not run.
	Quarantined
)

// String returns the state in the form that logs and operators use.
func (s State) String() string { return [...]string{"clean", "suspect", "quarantined"}[s] }

const (
	// crashesToConvict is the least number of crashes that quarantine a request
	// that alone was in flight at all of them.
	crashesToConvict = 2
	// crashLimit is the number of crashes after which a request is quarantined
	// whatever else was in flight.
	crashLimit = 3
)

// CrashID names a crash. It is unique in the deployment.
type CrashID struct {
	Endpoint string `json:"endpoint"`
	// Incarnation is that of the agent that saw the crash, Number counts the
	// crashes that it saw.
	Incarnation uint64 `json:"incarnation"`
	Number      uint32 `json:"number"`
}

// String returns the name in the form that logs use.
func (id CrashID) String() string {
	return fmt.Sprintf("%s/%x/%d", id.Endpoint, id.Incarnation, id.Number)
}

// Crash is the fact that an endpoint crashed with these requests in flight.
type Crash struct {
	ID           CrashID       `json:"id"`
	Fingerprints []Fingerprint `json:"fingerprints"`
	// Remaining is how long the fact is still kept. Durations travel, never
	// times of day.
	Remaining time.Duration `json:"remaining"`
}

// Clear is the fact that a request did not cause a crash.
type Clear struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Crash       CrashID     `json:"crash"`
	// By is the operator, or empty after a whole answer.
	By        string        `json:"by,omitempty"`
	Remaining time.Duration `json:"remaining"`
}

// Facts is a set of facts that nodes pass on. Merging is commutative, associative
// and idempotent.
type Facts struct {
	Crashes []Crash `json:"crashes,omitempty"`
	Clears  []Clear `json:"clears,omitempty"`
}

// Entry describes one suspect or quarantined request to an operator.
type Entry struct {
	Fingerprint Fingerprint   `json:"fingerprint"`
	State       State         `json:"state"`
	Crashes     []CrashID     `json:"crashes"`
	Remaining   time.Duration `json:"remaining"`
}

// Reason says why a request was not let through.
type Reason int

// The reasons of a refusal.
const (
	// ReasonQuarantined: the content is quarantined everywhere.
	ReasonQuarantined Reason = iota
	// ReasonElsewhere: the content is a suspect and its trial endpoint is
	// another one.
	ReasonElsewhere
	// ReasonBusy: the content became a suspect while it was queued, and another
	// suspect runs.
	ReasonBusy
	// ReasonCancelled: the caller has gone while the suspect waited.
	ReasonCancelled
)

// String returns the reason in the form that logs use.
func (r Reason) String() string {
	return [...]string{"quarantined", "suspect elsewhere", "suspect busy", "cancelled"}[r]
}

// RefusedError says that a request was not let through. It has not run.
type RefusedError struct {
	Fingerprint Fingerprint
	Reason      Reason
	// Remaining is how long the content stays quarantined, for
	// ReasonQuarantined.
	Remaining time.Duration
}

// Error describes the refusal.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("content %s refused: %s", e.Fingerprint, e.Reason)
}

// NotFoundError says that there is nothing to clear.
type NotFoundError struct{ Fingerprint Fingerprint }

// Error names the fingerprint.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("quarantine: no entry for %s", e.Fingerprint)
}
