// Package retry decides whether an attempt that failed is followed by another.
// An attempt is repeated only if it is proved that it did not run, or if its
// route is marked as repeatable. A budget bounds what retries add to the load.
package retry

import (
	"expvar"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/attempt"
	"github.com/cyclamenpoint/cyclamenpoint/deployment"
)

// Default bounds of a policy.
const (
	// DefaultMaxAttempts bounds the attempts of one request.
	DefaultMaxAttempts = 3
	// DefaultBaseBackoff is the longest backoff before the second attempt.
	DefaultBaseBackoff = 25 * time.Millisecond
	// DefaultMaxBackoff is the longest backoff before any attempt.
	DefaultMaxBackoff = time.Second
)

// counts are the decisions of all policies of the process, by reason.
var counts = expvar.NewMap("retry")

// Policy holds the bounds of retries. It is immutable and safe for concurrent
// use.
type Policy struct {
	// MaxAttempts bounds the attempts of one request, the first included.
	MaxAttempts int
	// BaseBackoff is the longest backoff before the second attempt; it doubles with
	// each attempt up to Cap.
	BaseBackoff time.Duration
	MaxBackoff  time.Duration
}

// Failure describes an attempt that gave no whole answer.
type Failure struct {
	// Attempt is the number of the attempt that failed, from 1.
	Attempt int
	// Outcome is what is known of the attempt.
	Outcome attempt.Outcome
	// Final is true if every endpoint would give the same answer, such as a
	// quarantined request or an organisation over its limit.
	Final bool
	// Repeat is the rule of the request's route.
	Repeat deployment.Repeat
	// AnswerStarted is true if a part of the answer has gone to the caller. Only an
	// endpoint that resumes at the exact token can go on then.
	AnswerStarted bool
	// Remaining is what is left of the caller's deadline.
	Remaining time.Duration
	// NotBefore is the shortest time after which a retry makes sense, such as a
	// refusal's hint when there is no other endpoint.
	NotBefore time.Duration
}

// Reason says why a decision was taken.
type Reason int

// The reasons of a decision.
const (
	// ReasonNotRun: another attempt follows, the last one did not run.
	ReasonNotRun Reason = iota
	// ReasonRepeatable: another attempt follows, the route allows it.
	ReasonRepeatable
	// ReasonDone: the answer is whole.
	ReasonDone
	// ReasonMayHaveRun: there is no proof, and the route forbids a second run.
	ReasonMayHaveRun
	// ReasonFinal: every endpoint would answer the same.
	ReasonFinal
	// ReasonAnswerStarted: the caller already holds a part of the answer.
	ReasonAnswerStarted
	// ReasonAttempts: the request has had all its attempts.
	ReasonAttempts
	// ReasonDeadline: the backoff does not fit into the deadline.
	ReasonDeadline
	// ReasonBudget: the budget is spent.
	ReasonBudget
)

// String returns the reason in the form that logs use.
func (r Reason) String() string {
	return [...]string{
		"not run", "repeatable", "done", "may have run", "final", "answer begun",
		"attempts", "deadline", "budget",
	}[r]
}

// Decision says whether and when another attempt follows.
type Decision struct {
	Retry  bool
	After  time.Duration
	Reason Reason
}

// Decide is pure but for one draw from rng, which need not be shared. It does
// not look at the budget: the caller asks Budget.Take for a decision to retry.
func (p Policy) Decide(f Failure, rng *rand.Rand) Decision {
	reason, ok := allowed(f)
	switch {
	case !ok:
		return Decision{Reason: reason}
	case f.Attempt >= p.MaxAttempts:
		return Decision{Reason: ReasonAttempts}
	}
	after := max(f.NotBefore, p.backoff(f.Attempt, rng))
	if after >= f.Remaining {
		return Decision{Reason: ReasonDeadline}
	}
	return Decision{Retry: true, After: after, Reason: reason}
}

// allowed reports whether a second run could break a promise.
func allowed(f Failure) (Reason, bool) {
	switch {
	case f.Outcome == attempt.Done:
		return ReasonDone, false
	case f.Final:
		return ReasonFinal, false
	case f.AnswerStarted:
		return ReasonAnswerStarted, false
	case f.Outcome == attempt.NotRun:
		return ReasonNotRun, true
	case f.Repeat == deployment.RepeatAlways:
		return ReasonRepeatable, true
	default:
		return ReasonMayHaveRun, false
	}
}

// backoff draws evenly from zero to the bound, so that clients that failed
// together do not come back together.
func (p Policy) backoff(attempt int, rng *rand.Rand) time.Duration {
	bound := p.BaseBackoff
	for range attempt - 1 {
		bound = min(2*bound, p.MaxBackoff)
	}
	return time.Duration(rng.Int64N(int64(bound) + 1))
}

// Next decides and takes from the budget: it is what an entry node calls.
func (p Policy) Next(b *Budget, organisation string, f Failure, rng *rand.Rand) Decision {
	d := p.Decide(f, rng)
	if d.Retry && !b.TryWithdraw(organisation) {
		d = Decision{Reason: ReasonBudget}
	}
	counts.Add(d.Reason.String(), 1)
	return d
}

// ConfigError says that a policy or a budget is unusable.
type ConfigError struct {
	Field string
	Value float64
}

// Error describes the field and its value.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("retry: %s out of range: %g", e.Field, e.Value)
}

// Validate returns a *ConfigError if a bound is unusable.
func (p Policy) Validate() error {
	switch {
	case p.MaxAttempts < 1:
		return &ConfigError{Field: "max_attempts", Value: float64(p.MaxAttempts)}
	case p.BaseBackoff <= 0:
		return &ConfigError{Field: "base", Value: p.BaseBackoff.Seconds()}
	case p.MaxBackoff < p.BaseBackoff:
		return &ConfigError{Field: "cap", Value: p.MaxBackoff.Seconds()}
	}
	return nil
}
