package rankgroup

import (
	"strconv"

	"github.com/pkg/errors"
)

// UnknownRankError is returned when the registry has no agent for a rank.
type UnknownRankError struct {
	Group string
	Rank  int
}

// Error implements error.
func (e *UnknownRankError) Error() string {
	return "no agent is known of rank " + strconv.Itoa(e.Rank) + " of group " + e.Group
}

// WrongRankError is returned when an agent or engine has another rank than the
// registry says. Nothing is known of the rank that was meant.
type WrongRankError struct{ Want, Got int }

// Error implements error.
func (e *WrongRankError) Error() string {
	return "engine has rank " + strconv.Itoa(e.Got) + ", not " + strconv.Itoa(e.Want)
}

// MixedMapsError is returned when ranks report different versions of the map in
// force. This is normal for a moment during a switch.
type MixedMapsError struct{ First, Other uint64 }

// Error implements error.
func (e *MixedMapsError) Error() string {
	return "maps " + strconv.FormatUint(e.First, 10) + " and " + strconv.FormatUint(e.Other, 10) + " are in force"
}

// ShapeError is returned when the experts of an engine do not fit the
// configuration.
type ShapeError struct {
	Field     string
	Got, Want int
}

// Error implements error.
func (e *ShapeError) Error() string {
	return e.Field + ": " + strconv.Itoa(e.Got) + ", not " + strconv.Itoa(e.Want)
}

// GoalError is returned when an agent could not reach a goal in time.
type GoalError struct{ Detail string }

// Error implements error.
func (e *GoalError) Error() string { return e.Detail }

// goalResponse is the response of an agent to a goal.
type goalResponse struct {
	State   State      `json:"state"`
	Failure *wireError `json:"failure,omitempty"`
}

// wireError is an error of Reconciler.Ensure as sent between processes. One of
// the pointers is set, or only Text.
type wireError struct {
	Fenced  *FencedError       `json:"fenced,omitempty"`
	Epoch   *EpochError        `json:"epoch,omitempty"`
	Passed  *PassedError       `json:"passed,omitempty"`
	Refused *RefusedError      `json:"refused,omitempty"`
	Invalid *InvalidOrderError `json:"invalid,omitempty"`
	// UnknownBase is set if the change of a map could not be applied.
	UnknownBase *UnknownBaseError `json:"unknown_base,omitempty"`

	Text string `json:"text,omitempty"`
}

func encodeError(err error) *wireError {
	if err == nil {
		return nil
	}
	e := &wireError{Text: err.Error()}
	// A type that does not match leaves its field nil.
	_ = errors.As(err, &e.Fenced) || errors.As(err, &e.Epoch) || errors.As(err, &e.Passed) || errors.As(err, &e.Refused) || errors.As(err, &e.Invalid) || errors.As(err, &e.UnknownBase)
	return e
}

func (e *wireError) decode() error {
	switch {
	case e == nil:
		return nil
	case e.Fenced != nil:
		return e.Fenced
	case e.Epoch != nil:
		return e.Epoch
	case e.Passed != nil:
		return e.Passed
	case e.Refused != nil:
		return e.Refused
	case e.Invalid != nil:
		return e.Invalid
	case e.UnknownBase != nil:
		return e.UnknownBase
	}
	return &GoalError{Detail: e.Text}
}

// OutdatedPlanError is returned when the demand shifted before a planned map was
// loaded at all ranks.
type OutdatedPlanError struct{ Version uint64 }

// Error implements error.
func (e *OutdatedPlanError) Error() string {
	return "demand has shifted, map " + strconv.FormatUint(e.Version, 10) + " dropped before the switch"
}
