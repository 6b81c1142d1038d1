// Package attempt implements the agent's ledger of attempts. The ledger decides
// whether a delivered attempt may run, records its outcome and handles
// revocations. An agent reports an attempt as not run only if the ledger proves
// it.
//
// The ledger keeps records only for a limited time. Its answers stay correct
// because every attempt contains a Target: the incarnation of the agent that it is
// sent to, and a Stamp, which is a reading of that agent's clock. The agent reports
// the Stamp to the entry node, which includes it in attempts that it sends later. A
// Stamp is therefore never later than the sending of its attempt. An attempt whose
// Stamp is older than the window is rejected, so its record is no longer needed.
// Clocks of two VMs are never compared.
package attempt

import (
	"strconv"
	"time"
)

// ID identifies one attempt of one request. It is unique within the deployment.
type ID struct {
	// Request is the identifier of the request.
	Request string
	// Number numbers the attempts of the request from 1.
	Number uint32
}

// String returns the identifier as it appears in logs.
func (id ID) String() string {
	return id.Request + "/" + strconv.FormatUint(uint64(id.Number), 10)
}

// Stamp is a reading of an agent's monotonic clock: the time since its ledger was
// created. It is valid only for that incarnation of the agent.
type Stamp time.Duration

// StampFromMillis converts a stamp in milliseconds to a Stamp.
func StampFromMillis(ms int64) Stamp { return Stamp(time.Duration(ms) * time.Millisecond) }

// Millis returns the stamp in milliseconds. It rounds down, because a stamp may
// appear older than it is but not newer.
func (s Stamp) Millis() int64 { return time.Duration(s).Milliseconds() }

// Target is sent by an entry node along with an attempt or a revocation. It
// contains the incarnation that the message is for, and the last Stamp received
// from that incarnation before the attempt was sent. A revocation repeats the
// Target of its attempt.
type Target struct {
	Incarnation uint64
	Stamp       Stamp
}

// Outcome is what is known about the execution of an attempt.
type Outcome int

// The outcomes. The zero value is Unknown.
const (
	// Unknown means that the attempt may have run, or may still be running.
	Unknown Outcome = iota
	// NotRun means that the attempt provably did not run and will not run.
	NotRun
	// Done means that the endpoint gave a complete answer.
	Done
	// Broken means that the endpoint failed after the attempt had started.
	Broken
)

// String returns the outcome as it is reported to callers.
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

// The states of an attempt. Queued changes to Running, Refused or Revoked. Running
// changes to Finished or Failed, or to Refused by Attempt.Withdraw. The other four
// states are terminal.
const (
	Queued State = iota
	Running
	Finished
	Failed
	Refused
	Revoked
)

// String returns the state as it appears in logs.
func (s State) String() string {
	return [...]string{"queued", "running", "finished", "failed", "refused", "revoked"}[s]
}

// Terminal reports whether the state is final.
func (s State) Terminal() bool { return s >= Finished }

// Outcome returns the outcome that the state proves.
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
