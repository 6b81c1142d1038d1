// Package attempt is the agent's ledger of attempts. It decides whether an
// attempt that arrives may run, remembers what became of it, and answers
// revocations. It is the only place from which an agent may say "not run".
//
// The ledger forgets. It stays truthful because every attempt names the
// incarnation of the agent that it is meant for and a Stamp, a reading of that
// agent's own clock which the entry node has echoed. A Stamp is never younger
// than the attempt itself, so an attempt whose Stamp is older than the window
// is refused, and whatever the ledger knew of it need not be kept any longer.
// Clocks of two VMs are never compared.
package attempt

import (
	"strconv"
	"time"
)

// ID names one attempt of one request. It is unique in the deployment.
type ID struct {
	// Request is the identifier of the request.
	Request string
	// Number counts the attempts of the request from 1.
	Number uint32
}

// String returns the identifier in the form that logs use.
func (id ID) String() string {
	return id.Request + "/" + strconv.FormatUint(uint64(id.Number), 10)
}

// Stamp is a reading of an agent's monotonic clock: the time since the ledger
// was made. It means nothing to any other incarnation.
type Stamp time.Duration

// StampFromMillis converts the form that messages carry.
func StampFromMillis(ms int64) Stamp { return Stamp(time.Duration(ms) * time.Millisecond) }

// Millis returns the stamp in milliseconds, rounded down: a stamp may only
// look older than it is.
func (s Stamp) Millis() int64 { return time.Duration(s).Milliseconds() }

// Target is what an entry node sends along with an attempt or a revocation:
// the incarnation that it means to reach and the last Stamp that it had from
// that incarnation when it sent the attempt. A revocation repeats the address
// of the attempt.
type Target struct {
	Incarnation uint64
	Stamp       Stamp
}

// Outcome is what an agent knows of an attempt.
type Outcome int

// The outcomes. The zero value claims nothing.
const (
	// Unknown means that the attempt may have run, or may still be running.
	Unknown Outcome = iota
	// NotRun is proved: nothing of the attempt ran or ever will.
	NotRun
	// Done means that the endpoint gave its whole answer.
	Done
	// Broken means that the endpoint failed after it had begun.
	Broken
)

// String returns the outcome as callers see it.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not-run"
	case Done:
		return "done"
	case Broken:
		return "broken"
	default:
		return "unknown"
	}
}

// State is the state of an attempt in the ledger.
type State int

// The states of an attempt. Queued leads to Running or Refused or Revoked,
// Running leads to Finished or Failed, or to Refused when it is withdrawn; the
// other four are terminal.
const (
	Queued State = iota
	Running
	Finished
	Failed
	Refused
	Revoked
)

// String returns the state in the form that logs use.
func (s State) String() string {
	return [...]string{"queued", "running", "finished", "failed", "refused", "revoked"}[s]
}

// Terminal reports whether the state never changes again.
func (s State) Terminal() bool { return s >= Finished }

// Outcome returns what the state proves to whoever asks.
func (s State) Outcome() Outcome {
	switch s {
	case Finished:
		return Done
	case Failed:
		return Broken
	case Refused, Revoked:
		return NotRun
	default:
		return Unknown
	}
}
