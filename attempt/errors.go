package attempt

import "fmt"

// Reason says why a delivery of an attempt was not taken.
type Reason int

// The reasons for not taking a delivery.
const (
	// ReasonIncarnation: the delivery addresses another incarnation of the agent.
	ReasonIncarnation Reason = iota
	// ReasonStale: the stamp is older than what the ledger remembers, or is no
	// stamp of this incarnation.
	ReasonStale
	// ReasonFull: the ledger holds as many live attempts as it may.
	ReasonFull
	// ReasonDuplicate: the attempt had been delivered before.
	ReasonDuplicate
	// ReasonRevoked: the attempt had been revoked.
	ReasonRevoked
)

// String returns the reason in the form that logs use.
func (r Reason) String() string {
	return [...]string{"incarnation", "stale", "full", "duplicate", "revoked"}[r]
}

// Proof says how far a rejection proves that an attempt did not run.
type Proof int

// The proofs.
const (
	// ProofNone: an earlier delivery of the attempt may run or has run.
	ProofNone Proof = iota
	// ProofDelivery: this delivery did not run and never will. An earlier
	// delivery of the same attempt may have run, here or in a former
	// incarnation. Whoever sent the attempt exactly once may conclude that it
	// did not run.
	ProofDelivery
	// ProofAttempt: no delivery of the attempt ran and none ever will.
	ProofAttempt
)

// RejectedError says that a delivery will not run. The incarnation and stamp
// are current, so that the sender can address its next attempt.
type RejectedError struct {
	ID          ID
	Reason      Reason
	Proof       Proof
	Incarnation uint64
	Stamp       Stamp
	// State is the state of the earlier delivery, for ReasonDuplicate and
	// ReasonRevoked.
	State State
}

// Error describes the rejection.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("attempt %s rejected: %s", e.ID, e.Reason)
}

// Outcome returns what the sender may conclude of the attempt as a whole, given
// how many times it has sent it.
func (e *RejectedError) Outcome(deliveries int) Outcome {
	switch {
	case e.Proof == ProofAttempt:
		return NotRun
	case e.Proof == ProofDelivery && deliveries == 1:
		return NotRun
	default:
		return Unknown
	}
}

// ConfigError says that a ledger's configuration is unusable.
type ConfigError struct {
	Field string
	Value int64
}

// Error describes the field and its value.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("attempt: %s must be positive, have %d", e.Field, e.Value)
}
