package claim

import (
	"fmt"
	"time"
)

// StoreDownError is returned if no durable claim could be made. This call did
// not run and will not run. Earlier calls with the key may have run.
type StoreDownError struct {
	Key    string
	Reason string
}

// Error implements error.
func (e StoreDownError) Error() string {
	return fmt.Sprintf("claim: %q not claimed, store down: %s", e.Key, e.Reason)
}

// FencedError is returned if a newer incarnation of the runner exists, so that
// this process can make no claims. The call did not run.
type FencedError struct{ Runner string }

// Error implements error.
func (e FencedError) Error() string {
	return fmt.Sprintf("claim: runner %q is fenced by a newer incarnation", e.Runner)
}

// OpenLimitError is returned if MaxOpen claims are open. The call did not run.
type OpenLimitError struct{ Open int }

// Error implements error.
func (e OpenLimitError) Error() string { return fmt.Sprintf("claim: %d claims are open", e.Open) }

// ClosedError is returned if the ledger is stopping. The call did not run.
type ClosedError struct{ Runner string }

// Error implements error.
func (e ClosedError) Error() string { return fmt.Sprintf("claim: ledger of %q is closed", e.Runner) }

// KeyConflictError is returned if the key was used with another body. This call
// did not run and will not run.
type KeyConflictError struct{ Key string }

// Error implements error.
func (e KeyConflictError) Error() string {
	return fmt.Sprintf("claim: key %q was used with another body", e.Key)
}

// InFlightError is returned if an earlier call with the key is still in flight.
// This call did not run; the earlier one may still run.
type InFlightError struct {
	Key         string
	Runner      string
	Incarnation uint64
	// Since is when the earlier call was claimed, by its runner's wall clock.
	Since time.Time
}

// Error implements error.
func (e InFlightError) Error() string {
	return fmt.Sprintf("claim: key %q is in flight at %s, incarnation %d", e.Key, e.Runner, e.Incarnation)
}

// UnknownOutcomeError is returned if it is unknown whether an earlier call with
// the key ran, because its runner disappeared or could not determine the outcome.
// The outcome stays unknown until an operator resolves the claim.
type UnknownOutcomeError struct {
	Key         string
	Runner      string
	Incarnation uint64
	// Since is when the earlier call was claimed, by its runner's wall clock.
	Since time.Time
}

// Error implements error.
func (e UnknownOutcomeError) Error() string {
	return fmt.Sprintf("claim: key %q has an unknown outcome, runner %s, incarnation %d vanished",
		e.Key, e.Runner, e.Incarnation)
}

// UnreadableError is returned if an earlier call with the key exists, but its
// record cannot be read now. This call did not run.
type UnreadableError struct {
	Key    string
	Reason string
}

// Error implements error.
func (e UnreadableError) Error() string {
	return fmt.Sprintf("claim: key %q was claimed before and can't be read: %s", e.Key, e.Reason)
}

// Loss is why the answer of a finished claim cannot be replayed.
type Loss string

// The reasons for a lost answer.
const (
	LossExpired  Loss = "expired"
	LossTooLarge Loss = "too large"
	LossResolved Loss = "resolved by an operator as run"
)

// AnswerGoneError is returned if an earlier call with the key completed and its
// answer is not available. This call did not run and will not run.
type AnswerGoneError struct {
	Key  string
	Loss Loss
}

// Error implements error.
func (e AnswerGoneError) Error() string {
	return fmt.Sprintf("claim: key %q ran, answer gone: %s", e.Key, e.Loss)
}

// StaleTokenError is returned if a token does not belong to a running claim, or
// if StartTimeout has passed.
type StaleTokenError struct{ Token Token }

// Error implements error.
func (e StaleTokenError) Error() string {
	return fmt.Sprintf("claim: token %d of incarnation %d for %s is stale",
		e.Token.Sequence, e.Token.Incarnation, e.Token.Row)
}

// NotUnknownError is returned if a claim cannot be resolved, because its outcome
// is known or its runner may still record it.
type NotUnknownError struct {
	Row   string
	State State
}

// Error implements error.
func (e NotUnknownError) Error() string {
	return fmt.Sprintf("claim: %s is %s, not of unknown outcome", e.Row, e.State)
}

// TooEarlyError is returned if a claim cannot be resolved yet, because its run
// may still be in progress.
type TooEarlyError struct {
	Row   string
	Until time.Time
}

// Error implements error.
func (e TooEarlyError) Error() string {
	return fmt.Sprintf("claim: %s may still run until %s", e.Row, e.Until.Format(time.RFC3339))
}

// BadVerdictError is returned for an undefined verdict.
type BadVerdictError struct{ Verdict Verdict }

// Error implements error.
func (e BadVerdictError) Error() string { return fmt.Sprintf("claim: bad verdict %q", e.Verdict) }

// BadRecordError is returned if a row of the table cannot be decoded.
type BadRecordError struct {
	Row    string
	Reason string
}

// Error implements error.
func (e BadRecordError) Error() string {
	return fmt.Sprintf("claim: bad record in %s: %s", e.Row, e.Reason)
}
