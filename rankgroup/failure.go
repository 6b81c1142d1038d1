package rankgroup

import (
	"strconv"

	"github.com/pkg/errors"
)

// UnknownRankError says that the agent beside a rank's engine is not known.
type UnknownRankError struct {
	Group string
	Rank  int
}

// Error implements error.
func (e *UnknownRankError) Error() string {
	return "no agent is known of rank " + strconv.Itoa(e.Rank) + " of group " + e.Group
}

// MixedMapsError says that ranks named two versions of the map in force, as they do
// in the moment of a switch.
type MixedMapsError struct{ First, Other uint64 }

// Error implements error.
func (e *MixedMapsError) Error() string {
	return "maps " + strconv.FormatUint(e.First, 10) + " and " + strconv.FormatUint(e.Other, 10) + " are in force"
}

// ShapeError says that an engine's experts do not fit the configuration.
type ShapeError struct {
	Field     string
	Got, Want int
}

// Error implements error.
func (e *ShapeError) Error() string {
	return e.Field + ": " + strconv.Itoa(e.Got) + ", not " + strconv.Itoa(e.Want)
}

// GoalError says that an agent could not bring a want about in time.
type GoalError struct{ Detail string }

// Error implements error.
func (e *GoalError) Error() string { return e.Detail }

// wantAnswer is an agent's answer to a want.
type wantAnswer struct {
	State   State    `json:"state"`
	Failure *failure `json:"failure,omitempty"`
}

// failure is an error of Keeper.Ensure between processes. One of the pointers
// is set, or only the text.
type failure struct {
	Fenced  *FencedError  `json:"fenced,omitempty"`
	Epoch   *EpochError   `json:"epoch,omitempty"`
	Passed  *PassedError  `json:"passed,omitempty"`
	Refused *RefusedError `json:"refused,omitempty"`
	Text    string        `json:"text,omitempty"`
}

func encodeFailure(err error) *failure {
	if err == nil {
		return nil
	}
	f := &failure{Text: err.Error()}
	// A type that does not match leaves its field nil.
	_ = errors.As(err, &f.Fenced) || errors.As(err, &f.Epoch) || errors.As(err, &f.Passed) || errors.As(err, &f.Refused)
	return f
}

func (f *failure) decode() error {
	switch {
	case f == nil:
		return nil
	case f.Fenced != nil:
		return f.Fenced
	case f.Epoch != nil:
		return f.Epoch
	case f.Passed != nil:
		return f.Passed
	case f.Refused != nil:
		return f.Refused
	}
	return &GoalError{Detail: f.Text}
}
