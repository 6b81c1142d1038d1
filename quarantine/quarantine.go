// Package quarantine identifies requests that crash endpoints and prevents them
// from running again. The nodes exchange facts in a grow-only set: which requests
// were in flight when an endpoint crashed, and which of them were cleared by a
// complete answer or by an operator. The state of a request is a pure function of
// the facts, so the order in which facts arrive does not matter.
//
// The rules:
//
//   - A request that was in flight at a crash is a suspect until it is cleared or
//     the crash is explained.
//   - A request is quarantined if it was in flight at two or more crashes and no
//     other request was in flight at all of them, or if it was in flight at
//     three.
//   - A crash is explained if a quarantined request was in flight. The other
//     requests in flight are not suspects because of that crash.
//
// The same rules apply to the parts of prompts that several requests share, so that
// requests with the same part are recognised although no two of them are alike. Parts
// differ from whole requests in this:
//
//   - A part is in flight while a request with it waits for the first event of its
//     answer, and a weaker suspect for a short period after that event.
//   - A node that recently got an answer to a request with the part clears it at once.
//   - Parts that always occur together are never quarantined for the number of their
//     crashes alone. A request that has all of them is refused; one that has only some
//     may run as a suspect and shows which of them is the cause.
//
// An entry node also names the requests whose answers had begun shortly before the crash.
// They are weaker suspects, because they may be many and mostly are not the cause: they are
// suspects from their second crash only, and quarantined from their third. An answer
// clears a request when it is complete, or by an event that is later than its beginning.
//
// Each suspect runs only at its trial endpoint, which all nodes compute in the
// same way, and an endpoint runs one suspect at a time. The next crash then shows
// which of them is the cause.
//
// A Gate applies the rules at an agent, through which all requests of its endpoint
// pass. Attempts applies them at an entry node that sends requests directly to
// endpoints.
package quarantine

import (
	"fmt"
	"time"
)

// Defaults of Config.
const (
	// DefaultKeep is how long a crash is kept by default.
	DefaultKeep = time.Hour
	// DefaultMaxCrashes is the default limit on crashes.
	DefaultMaxCrashes = 256
	// DefaultMaxClears is the default limit on clearances.
	DefaultMaxClears = 8192
)

// State is the state of a request's content.
type State int

// The states, in ascending order of severity.
const (
	// Clean content runs at any endpoint.
	Clean State = iota
	// Suspect content runs only at its trial endpoint, which runs one suspect at
	// a time.
	Suspect
	// Quarantined content does not run.
	Quarantined
)

// String returns the state as it appears in logs and to operators.
func (s State) String() string { return [...]string{"clean", "suspect", "quarantined"}[s] }

const (
	// minCrashes is the number of crashes that quarantine a request if no other
	// request was in flight at all of them.
	minCrashes = 2
	// crashLimit is the number of crashes that quarantine a whole request whatever
	// else was in flight.
	crashLimit = 3
)

// CrashID identifies a crash. It is unique within the deployment.
type CrashID struct {
	Endpoint string `json:"endpoint"`
	// Incarnation is the incarnation of the agent that detected the crash, and
	// Number numbers the crashes that it detected.
	Incarnation uint64 `json:"incarnation"`
	Number      uint32 `json:"number"`
}

// String returns the identifier as it appears in logs.
func (id CrashID) String() string {
	return fmt.Sprintf("%s/%x/%d", id.Endpoint, id.Incarnation, id.Number)
}

// Crash is the fact that an endpoint crashed with these requests in flight.
type Crash struct {
	ID CrashID `json:"id"`
	// Reporter is the entry node that had the requests in flight. It is empty for the
	// report of an agent, which sees all requests of its endpoint. The requests of a
	// crash are those of all its reporters.
	Reporter string `json:"reporter,omitempty"`
	// Group is the endpoint's rank group, or empty.
	Group        string        `json:"group,omitempty"`
	Fingerprints []Fingerprint `json:"fingerprints"`
	// Parts are the parts of these requests' prompts that other requests may share.
	Parts []WaitingPart `json:"parts,omitempty"`
	// Young and YoungParts are the contents and parts of the requests whose answers had
	// begun shortly before. They are weaker suspects. Nodes of earlier versions ignore these
	// fields and know only the others.
	Young      []Fingerprint `json:"young,omitempty"`
	YoungParts []Fingerprint `json:"young_parts,omitempty"`
	// Established is true if the reporter had answers to many requests before, so that
	// a part without an answer is conspicuous.
	Established bool `json:"established,omitempty"`
	// Remaining is how much longer the fact is kept. It is a duration, because
	// clocks of different nodes are not compared.
	Remaining time.Duration `json:"remaining"`
}

// WaitingPart is a part of the prompt of a request that was in flight at a crash.
type WaitingPart struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// Waited is how long the request had waited for its answer.
	Waited time.Duration `json:"waited"`
}

// Clear is the fact that a request did not cause a crash.
type Clear struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Crash       CrashID     `json:"crash"`
	// By is the operator, or empty after a complete answer.
	By        string        `json:"by,omitempty"`
	Remaining time.Duration `json:"remaining"`
}

// Facts is a set of facts that nodes exchange. Merging is commutative, associative
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

// Reason is why a request was refused.
type Reason int

// The reasons for a refusal.
const (
	// ReasonQuarantined: the content is quarantined everywhere.
	ReasonQuarantined Reason = iota
	// ReasonElsewhere: the content is a suspect and this is not its trial
	// endpoint.
	ReasonElsewhere
	// ReasonBusy: the content became a suspect while it was queued, and another
	// suspect is running.
	ReasonBusy
	// ReasonCancelled: the caller disconnected while the suspect waited.
	ReasonCancelled
)

// String returns the reason as it appears in logs and metrics.
func (r Reason) String() string {
	return [...]string{"quarantined", "suspect elsewhere", "suspect busy", "cancelled"}[r]
}

// RefusedError is returned for a request that was refused and did not run.
type RefusedError struct {
	Fingerprint Fingerprint
	Reason      Reason
	// Remaining is how long the content stays quarantined, for
	// ReasonQuarantined.
	Remaining time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("content %s refused: %s", e.Fingerprint, e.Reason)
}

// NotFoundError is returned if there is no crash of which a content can be
// cleared.
type NotFoundError struct{ Fingerprint Fingerprint }

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("quarantine: no entry for %s", e.Fingerprint)
}
