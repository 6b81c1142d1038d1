// Package rankgroup changes the expert map of a rank group: a set of engines
// that compute every forward pass together. The package is for engines that
// form their group by themselves and accept orders to prepare, arm and hold. An
// agent runs beside each engine, on the same VM. It executes the goals that the
// group's leader sends it and reports the engine's load. The leader is one of
// these agents; there is no leader lease.
//
// Forward passes are numbered; such a number is called a step. The map in force
// is the one that the engines use. A new map comes into force at the same step
// on all ranks:
//
//  1. The engine of one rank, the gate, is ordered to hold the whole group
//     before a future step.
//  2. Every rank is armed, which means that its engine will switch to the new
//     map at that step.
//  3. The gate is released, but only when all ranks are known to be armed, or
//     when no rank is armed and no delayed order can arm one any more.
//
// The gate is released through the agent beside it, which refuses goals whose
// token is older than one that it has seen.
package rankgroup

import (
	"context"
	"strconv"

	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
)

// ArmedSwitch is a map change that an engine makes at a given step.
type ArmedSwitch struct {
	// Version is the version of the new map, Step the first step that uses it.
	Version uint64 `json:"version"`
	Step    uint64 `json:"step"`
}

// State is the state that an engine reports.
type State struct {
	// Group is the name of the rank group. Epoch counts how often the group has
	// formed.
	Group string `json:"group"`
	Epoch uint64 `json:"epoch"`
	Rank  int    `json:"rank"`
	Size  int    `json:"size"`
	// GroupReady is true while the group can step.
	GroupReady bool `json:"open"`
	// Started is the start time of the engine's process, in Unix milliseconds.
	Started int64 `json:"started"`
	// Step is the number of the latest forward pass that has begun.
	Step uint64 `json:"step"`
	// InForce is the version of the map in force. A group forms with version 0.
	InForce uint64 `json:"map"`
	// PreparedVersion is the version of the map that is loaded beside the one
	// in force, 0 for none.
	PreparedVersion uint64 `json:"prepared,omitempty"`
	// Armed is the switch that is due, nil for none.
	Armed *ArmedSwitch `json:"armed,omitempty"`
	// HoldAt is the step before which this engine holds the group, 0 for none.
	HoldAt uint64 `json:"held,omitempty"`
	// Running and Queued are numbers of requests at this engine.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// Slowdown is the ratio of the engine's actual to its expected time for the
	// same work; above 1 the engine is slower than expected.
	Slowdown float64 `json:"pace,omitempty"`
}

// armedFor reports whether the engine is armed for exactly this switch.
func (s State) armedFor(a ArmedSwitch) bool { return s.Armed != nil && *s.Armed == a }

// Counts holds how often an engine's requests have been routed to each expert
// since its start.
type Counts struct {
	Step  uint64
	Epoch uint64
	// Counts is ordered by layer, then expert.
	Counts []uint64
}

// OrderKind is the kind of an order.
type OrderKind int

// The kinds of orders.
const (
	// Prepare loads the experts of a map beside those in use.
	Prepare OrderKind = iota
	// Arm schedules the switch to a prepared map at a step.
	Arm
	// Disarm cancels Arm.
	Disarm
	// Hold stops the group before a step until Release.
	Hold
	// Release ends a hold.
	Release
)

// String returns the name that is used in logs.
func (k OrderKind) String() string {
	return [...]string{"prepare", "arm", "disarm", "hold", "release"}[k]
}

// Order is an order to an engine.
type Order struct {
	Kind    OrderKind
	Epoch   uint64
	Version uint64
	Step    uint64
	// Token is the fencing token. Engines that check it refuse an order whose
	// token is lower than one that they have seen.
	Token uint64
	// Map is the map to load, for Prepare.
	Map expertmap.Map
}

// Engine is the client of one engine.
type Engine interface {
	State(ctx context.Context) (State, error)
	Counts(ctx context.Context) (Counts, error)
	// Experts returns the experts of the map in force that the engine holds, by
	// layer, and the version of that map.
	Experts(ctx context.Context) (version uint64, experts [][]expertmap.Expert, err error)
	// Order sends an order. A *RefusedError or *InvalidOrderError means that the
	// engine refused it. After any other error it is unknown whether the order has been or will be
	// executed.
	Order(ctx context.Context, o Order) error
}

// RefusedError is returned when an engine refuses an order.
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

// InvalidOrderError is returned when an engine cannot execute an order in any state,
// for example because a map breaks the engine's limits.
type InvalidOrderError struct {
	Order  OrderKind
	Detail string
}

// Error implements error.
func (e *InvalidOrderError) Error() string { return e.Order.String() + " is invalid: " + e.Detail }

// FencedError is returned when an agent has seen the token of a newer leader.
type FencedError struct{ Token, Newest uint64 }

// Error implements error.
func (e *FencedError) Error() string {
	return "token " + strconv.FormatUint(e.Token, 10) + " is older than " + strconv.FormatUint(e.Newest, 10)
}

// EpochError is returned when the group is in another epoch than the goal is
// for, because it has formed again.
type EpochError struct{ Want, Got uint64 }

// Error implements error.
func (e *EpochError) Error() string {
	return "group is in epoch " + strconv.FormatUint(e.Got, 10) + ", not " + strconv.FormatUint(e.Want, 10)
}

// PassedError is returned when a step began before the group could be held at
// it.
type PassedError struct{ Step, Now uint64 }

// Error implements error.
func (e *PassedError) Error() string {
	return "step " + strconv.FormatUint(e.Step, 10) + " has begun, the group is at " + strconv.FormatUint(e.Now, 10)
}
