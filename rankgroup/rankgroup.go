// Package rankgroup keeps one expert map in force in a rank group whose engines
// take orders to prepare, arm and hold, and forms by itself. An agent beside
// each engine carries out what the group's leader wants of it and reports the
// engine's load; the leader is one of these agents, without a lease.
//
// A map comes into force by a gate. The engine of one rank, the gate, holds the
// whole group at a step ahead. Then every rank is armed to switch at that step.
// The gate is released only once all ranks are known to be armed, or once all
// are known not to be and unable to become so by an order that is still on its
// way. Whoever releases the gate asks the agent beside it, which takes no such
// wish from a leader that it has seen replaced.
package rankgroup

import (
	"context"
	"strconv"

	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
)

// ArmedSwitch is a switch that an engine will make.
type ArmedSwitch struct {
	// Version is the map's and Step the pass that begins with it.
	Version uint64 `json:"version"`
	Step    uint64 `json:"step"`
}

// State is what an engine says of itself.
type State struct {
	// Group names the rank group; Epoch counts its formations.
	Group string `json:"group"`
	Epoch uint64 `json:"epoch"`
	Rank  int    `json:"rank"`
	Size  int    `json:"size"`
	// Open is false while the group cannot step.
	Open bool `json:"open"`
	// Started is the start of the engine's process in Unix milliseconds.
	Started int64 `json:"started"`
	// Step is the newest pass that began.
	Step uint64 `json:"step"`
	// ActiveVersion is the version of the map in force; 0 is the one that a group forms
	// with.
	ActiveVersion uint64 `json:"map"`
	// PreparedVersion is the version of the map that is loaded beside it, 0 for none.
	PreparedVersion uint64 `json:"prepared,omitempty"`
	// Armed is nil if no switch is due.
	Armed *ArmedSwitch `json:"armed,omitempty"`
	// HoldAt is the step at which this engine holds the group, 0 for none.
	HoldAt uint64 `json:"held,omitempty"`
	// Running and Queued count requests.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// Slowdown is above 1 for an engine that is slower than it should be.
	Slowdown float64 `json:"pace,omitempty"`
}

// armedFor reports whether the engine will make just this switch.
func (s State) armedFor(a ArmedSwitch) bool { return s.Armed != nil && *s.Armed == a }

// Counts is how often an engine's requests chose each expert since its start.
type Counts struct {
	Step  uint64
	Epoch uint64
	// Counts are ordered by layer, then expert.
	Counts []uint64
}

// OrderKind is what an order asks for.
type OrderKind int

// The kinds of order.
const (
	// Prepare loads a map's experts beside those in use.
	Prepare OrderKind = iota
	// Arm switches to a prepared map at a step.
	Arm
	// Disarm takes Arm back.
	Disarm
	// Hold keeps the group from beginning a step until Release.
	Hold
	// Release ends a hold.
	Release
)

// String returns the kind as logs print it.
func (k OrderKind) String() string {
	return [...]string{"prepare", "arm", "disarm", "hold", "release"}[k]
}

// Order is an order to an engine.
type Order struct {
	Kind    OrderKind
	Epoch   uint64
	Version uint64
	Step    uint64
	// Token is the fencing token: engines that check it refuse an order with a
	// lower one than they have seen.
	Token uint64
	// Map is the content for Prepare.
	Map expertmap.Map
}

// Engine is the way to one engine.
type Engine interface {
	State(ctx context.Context) (State, error)
	Counts(ctx context.Context) (Counts, error)
	// Experts returns the experts, by layer, that the engine holds in the map in
	// force, and that map's version.
	Experts(ctx context.Context) (version uint64, experts [][]expertmap.Expert, err error)
	// Order gives an order. The error is a *RefusedError, or another one if it
	// is open whether the order is or will be carried out.
	Order(ctx context.Context, o Order) error
}

// RefusedError says that an engine did not take an order.
type RefusedError struct {
	Order OrderKind
	// Fenced is true if the engine has seen a higher token.
	Fenced bool
}

// Error implements error.
func (e *RefusedError) Error() string {
	if e.Fenced {
		return e.Order.String() + " refused: a newer leader gave orders"
	}
	return e.Order.String() + " refused: it does not fit the engine's state"
}

// FencedError says that an agent has heard of a newer leader.
type FencedError struct{ Token, Newest uint64 }

// Error implements error.
func (e *FencedError) Error() string {
	return "token " + strconv.FormatUint(e.Token, 10) + " is older than " + strconv.FormatUint(e.Newest, 10)
}

// EpochError says that the group has formed anew.
type EpochError struct{ Want, Got uint64 }

// Error implements error.
func (e *EpochError) Error() string {
	return "group is in epoch " + strconv.FormatUint(e.Got, 10) + ", not " + strconv.FormatUint(e.Want, 10)
}

// PassedError says that a step began before the group could be held at it.
type PassedError struct{ Step, Now uint64 }

// Error implements error.
func (e *PassedError) Error() string {
	return "step " + strconv.FormatUint(e.Step, 10) + " has begun, the group is at " + strconv.FormatUint(e.Now, 10)
}
