// Package retry decides whether a failed attempt is retried. An attempt is
// retried only if it provably did not run, or if its route is marked as safe to
// repeat. A budget limits the load that retries add.
package retry

import (
	"expvar"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/attempt"
	"github.com/cyclamenpoint/cyclamenpoint/deployment"
)

// Defaults of Policy.
const (
	// DefaultMaxAttempts is the default limit on attempts per request.
	DefaultMaxAttempts = 3
	// DefaultBaseBackoff is the default limit of the backoff before the second
	// attempt.
	DefaultBaseBackoff = 25 * time.Millisecond
	// DefaultMaxBackoff is the default limit of the backoff before any attempt.
	DefaultMaxBackoff = time.Second
)

// decisionCounts counts the decisions of all policies of the process by reason.
var decisionCounts = expvar.NewMap("retry")

// Policy limits attempts and backoff. It is immutable and safe for concurrent
// use.
type Policy struct {
	// MaxAttempts is the limit on attempts per request, including the first.
	MaxAttempts int
	// BaseBackoff limits the backoff before the second attempt. The limit doubles
	// with each attempt up to MaxBackoff.
	BaseBackoff time.Duration
	MaxBackoff  time.Duration
}

// Failure describes an attempt without a complete answer.
type Failure struct {
	// Attempt is the number of the failed attempt, counted from 1.
	Attempt int
	// Outcome is the known outcome of the attempt.
	Outcome attempt.Outcome
	// Final is true if every endpoint would give the same answer, such as for a
	// quarantined request or an organisation over its limit.
	Final bool
	// Repeat is the repeat rule of the request's route.
	Repeat deployment.Repeat
	// AnswerStarted is true if a part of the answer was sent to the caller. Such
	// an answer can only be continued by an endpoint that resumes at the exact
	// token.
	AnswerStarted bool
	// Remaining is the time left until the caller's deadline.
	Remaining time.Duration
	// NotBefore is the minimum delay before a retry, such as the delay that the
	// only endpoint suggested when it rejected the request.
	NotBefore time.Duration
}

// Reason is the reason for a decision.
type Reason int

// The reasons for a decision.
const (
	// ReasonNotRun: retry, because the last attempt did not run.
	ReasonNotRun Reason = iota
	// ReasonRepeatable: retry, because the route is safe to repeat.
	ReasonRepeatable
	// ReasonDone: the answer is complete.
	ReasonDone
	// ReasonMayHaveRun: the attempt may have run, and the route does not allow a
	// second run.
	ReasonMayHaveRun
	// ReasonFinal: every endpoint would give the same answer.
	ReasonFinal
	// ReasonAnswerStarted: a part of the answer was sent to the caller.
	ReasonAnswerStarted
	// ReasonAttempts: the request has reached MaxAttempts.
	ReasonAttempts
	// ReasonDeadline: the backoff would reach the deadline.
	ReasonDeadline
	// ReasonBudget: the retry budget is exhausted.
	ReasonBudget
)

// String returns the reason as it appears in logs and metrics.
func (r Reason) String() string {
	return [...]string{
		"not run", "repeatable", "done", "may have run", "final", "answer begun",
		"attempts", "deadline", "budget",
	}[r]
}

// Decision is whether an attempt is retried, after which delay, and why.
type Decision struct {
	Retry  bool
	After  time.Duration
	Reason Reason
}

// Decide returns the decision for a failure without regard to the budget: before
// a retry the caller calls Budget.TryWithdraw. It has no side effect except that
// it draws the backoff from rng.
func (p Policy) Decide(f Failure, rng *rand.Rand) Decision {
	reason, ok := mayRetry(f)
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

// mayRetry reports whether a second run is allowed, and the reason.
func mayRetry(f Failure) (Reason, bool) {
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

// backoff draws uniformly from zero to the limit (full jitter), so that clients
// that failed at the same time do not retry at the same time.
func (p Policy) backoff(attempt int, rng *rand.Rand) time.Duration {
	bound := p.BaseBackoff
	for range attempt - 1 {
		bound = min(2*bound, p.MaxBackoff)
	}
	return time.Duration(rng.Int64N(int64(bound) + 1))
}

// Next returns the decision for a failure and withdraws a retry from the budget.
// Entry nodes call it.
func (p Policy) Next(b *Budget, organisation string, f Failure, rng *rand.Rand) Decision {
	decision := p.Decide(f, rng)
	if decision.Retry && !b.TryWithdraw(organisation) {
		decision = Decision{Reason: ReasonBudget}
	}
	decisionCounts.Add(decision.Reason.String(), 1)
	return decision
}

// ConfigError is returned for an invalid policy or budget.
type ConfigError struct {
	Field string
	Value float64
}

// Error implements error.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("retry: %s out of range: %g", e.Field, e.Value)
}

// Validate returns a *ConfigError if a field is out of range.
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
