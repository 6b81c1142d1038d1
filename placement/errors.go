package placement

import (
	"fmt"

	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
)

// InputError is returned when a field of an Input does not fit the others.
type InputError struct {
	// Field is the name of the field.
	Field string
	// Got and Want are sizes.
	Got, Want int
}

func (e *InputError) Error() string {
	return fmt.Sprintf("placement input, %s: got %d, want %d", e.Field, e.Got, e.Want)
}

// UnservableError is returned when no rank holds an expert and none can load it
// now. The group cannot step until that changes.
type UnservableError struct {
	Layer  int
	Expert expertmap.Expert
	// StoreDown is true if the expert cannot be loaded because the weight store
	// is down. Otherwise the remaining ranks have no slot for it.
	StoreDown bool
}

func (e *UnservableError) Error() string {
	cause := "no slot is left"
	if e.StoreDown {
		cause = "weight store is down"
	}
	return fmt.Sprintf("layer %d: expert %d cannot be placed: %s", e.Layer, e.Expert, cause)
}

// ReportError is returned when a load report does not fit the group.
type ReportError struct {
	Rank   int
	Window int64
	// Field is the name of the part that does not fit.
	Field string
}

func (e *ReportError) Error() string {
	return fmt.Sprintf("load report of rank %d for window %d: wrong %s", e.Rank, e.Window, e.Field)
}
