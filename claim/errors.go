package claim

import (
	"fmt"
	"time"
)

// StoreDownError says that no durable claim could be made, so that this call
// did not run and never will. It says nothing of earlier calls with the key.
type StoreDownError struct {
	Key    string
	Reason string
}

// Error implements error.
func (e StoreDownError) Error() string {
	return fmt.Sprintf("claim: %q not claimed, store down: %s", e.Key, e.Reason)
}

// FencedError says that a newer incarnation of the runner exists, so that this
// process claims no more. The call did not run.
type FencedError struct{ Runner string }

// Error implements error.
func (e FencedError) Error() string {
	return fmt.Sprintf("claim: runner %q is fenced by a newer incarnation", e.Runner)
}

// OpenLimitError says that too many claims are open. The call did not run.
type OpenLimitError struct{ Open int }

// Error implements error.
func (e OpenLimitError) Error() string { return fmt.Sprintf("claim: %d claims are open", e.Open) }

// ClosedError says that the ledger is stopping. The call did not run.
type ClosedError struct{ Runner string }

// Error implements error.
func (e ClosedError) Error() string { return fmt.Sprintf("claim: ledger of %q is closed", e.Runner) }

// KeyConflictError says that the key was used with another body. This call did
// not run and never will.
type KeyConflictError struct{ Key string }

// Error implements error.
func (e KeyConflictError) Error() string {
	return fmt.Sprintf("claim: key %q was used with another body", e.Key)
}

// InFlightError says that an earlier call with the key is still running. This
// call did not run; the earlier one may yet.
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

// UnknownOutcomeError says that the runner of an earlier call with the key vanished.
// Whether that call ran is unknown until an operator resolves it.
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

// UnreadableError says that an earlier call with the key exists, but what
// became of it can't be read now. This call did not run.
type UnreadableError struct {
	Key    string
	Reason string
}

// Error implements error.
func (e UnreadableError) Error() string {
	return fmt.Sprintf("claim: key %q was claimed before and can't be read: %s", e.Key, e.Reason)
}

// Loss says why the answer of a finished claim can't be replayed.
type Loss string

// The reasons.
const (
	LossExpired  Loss = "expired"
	LossTooLarge Loss = "too large"
	LossResolved Loss = "resolved by an operator as run"
)

// AnswerGoneError says that an earlier call with the key ran to its end and
// that its answer is no longer kept. This call did not run and never will.
type AnswerGoneError struct {
	Key  string
	Loss Loss
}

// Error implements error.
func (e AnswerGoneError) Error() string {
	return fmt.Sprintf("claim: key %q ran, answer gone: %s", e.Key, e.Loss)
}

// StaleTokenError says that a token is not that of a running claim, or that
// its time to start has passed.
type StaleTokenError struct{ Token Token }

// Error implements error.
func (e StaleTokenError) Error() string {
	return fmt.Sprintf("claim: token %d of incarnation %d for %s is stale",
		e.Token.Sequence, e.Token.Incarnation, e.Token.Row)
}

// NotUnknownError says that a claim can't be resolved, since its outcome is
// known or its runner has not vanished.
type NotUnknownError struct {
	Row   string
	State State
}

// Error implements error.
func (e NotUnknownError) Error() string {
	return fmt.Sprintf("claim: %s is %s, not of unknown outcome", e.Row, e.State)
}

// TooEarlyError says that a claim can't be resolved yet, since its run may
// still be under way.
type TooEarlyError struct {
	Row   string
	Until time.Time
}

// Error implements error.
func (e TooEarlyError) Error() string {
	return fmt.Sprintf("claim: %s may still run until %s", e.Row, e.Until.Format(time.RFC3339))
}

// BadVerdictError says that a verdict is none of the verdicts.
type BadVerdictError struct{ Verdict Verdict }

// Error implements error.
func (e BadVerdictError) Error() string { return fmt.Sprintf("claim: bad verdict %q", e.Verdict) }

// BadRecordError says that a row of the table can't be understood.
type BadRecordError struct {
	Row    string
	Reason string
}

// Error implements error.
func (e BadRecordError) Error() string {
	return fmt.Sprintf("claim: bad record in %s: %s", e.Row, e.Reason)
}
