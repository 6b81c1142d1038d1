package attempt

import "fmt"

// Reason is why the delivery of an attempt was rejected.
type Reason int

// The reasons for rejecting a delivery.
const (
	// ReasonIncarnation: the delivery addresses another incarnation of the agent.
	ReasonIncarnation Reason = iota
	// ReasonStale: records with the stamp may have been deleted, or the stamp is
	// not a valid stamp of this incarnation.
	ReasonStale
	// ReasonFull: the ledger's capacity is used by attempts that are not terminal.
	ReasonFull
	// ReasonDuplicate: the attempt was delivered before.
	ReasonDuplicate
	// ReasonRevoked: the attempt was revoked before.
	ReasonRevoked
)

// String returns the reason as it appears in logs and metrics.
func (r Reason) String() string {
	return [...]string{"incarnation", "stale", "full", "duplicate", "revoked"}[r]
}

// Proof is the extent to which a rejection proves that an attempt did not run.
type Proof int

// The proofs.
const (
	// ProofNone: an earlier delivery of the attempt has run or may run.
	ProofNone Proof = iota
	// ProofDelivery: this delivery did not run and will not run. An earlier
	// delivery of the same attempt may have run, in this or an earlier
	// incarnation. A sender that sent the attempt exactly once can conclude that
	// it did not run.
	ProofDelivery
	// ProofAttempt: no delivery of the attempt has run and none will run.
	ProofAttempt
)

// RejectedError is returned for a delivery that will not run. Incarnation and
// Stamp are current, so that the sender can use them for its next attempt.
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

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("attempt %s rejected: %s", e.ID, e.Reason)
}

// Outcome returns the outcome of the attempt that the sender can conclude if it has
// sent the attempt the given number of times.
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

// ConfigError is returned for an invalid Config.
type ConfigError struct {
	Field string
	Value int64
}

// Error implements error.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("attempt: %s must be positive, have %d", e.Field, e.Value)
}
