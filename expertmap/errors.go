package expertmap

import "fmt"

// ShapeError is returned when a dimension is out of range.
type ShapeError struct {
	Dimension  string
	Value, Max int
}

func (e *ShapeError) Error() string {
	return fmt.Sprintf("%s: %d is not between 1 and %d", e.Dimension, e.Value, e.Max)
}

// CapacityError is returned when the ranks together have fewer slots than there
// are experts.
type CapacityError struct{ Shape Shape }

func (e *CapacityError) Error() string {
	return fmt.Sprintf("%d ranks of %d slots cannot hold %d experts",
		e.Shape.Ranks, e.Shape.Slots, e.Shape.Experts)
}

// UncoveredError is returned when no rank holds an expert.
type UncoveredError struct {
	Layer  int
	Expert Expert
}

func (e *UncoveredError) Error() string {
	return fmt.Sprintf("layer %d: no rank holds expert %d", e.Layer, e.Expert)
}

// ExpertError is returned when a slot holds an expert that the layer does not
// have.
type ExpertError struct {
	Layer, Rank, Slot int
	Expert            Expert
}

func (e *ExpertError) Error() string {
	return fmt.Sprintf("layer %d, rank %d, slot %d: no expert %d", e.Layer, e.Rank, e.Slot, e.Expert)
}

// DuplicateError is returned when a rank holds an expert twice in one layer.
type DuplicateError struct {
	Layer, Rank int
	Expert      Expert
}

func (e *DuplicateError) Error() string {
	return fmt.Sprintf("layer %d, rank %d: expert %d is held twice", e.Layer, e.Rank, e.Expert)
}

// MismatchError is returned when two maps differ in shape.
type MismatchError struct{ From, To Shape }

func (e *MismatchError) Error() string {
	return fmt.Sprintf("maps differ in shape: %+v and %+v", e.From, e.To)
}

// NotLoadedError is returned when ranks have not loaded all weights that a map
// needs.
type NotLoadedError struct {
	// Move is the first missing weight load.
	Move Move
	// Missing is the number of missing weight loads.
	Missing int
}

func (e *NotLoadedError) Error() string {
	return fmt.Sprintf("%d loads missing, first layer %d, rank %d, slot %d: expert %d",
		e.Missing, e.Move.Layer, e.Move.Rank, e.Move.Slot, e.Move.To)
}

// StaleMoveError is returned when a slot does not hold the expert that a move
// starts from.
type StaleMoveError struct{ Move Move }

func (e *StaleMoveError) Error() string {
	return fmt.Sprintf("layer %d, rank %d, slot %d does not hold expert %d",
		e.Move.Layer, e.Move.Rank, e.Move.Slot, e.Move.From)
}

// EncodingError is returned when bytes are not a canonical encoding of a map.
type EncodingError struct {
	// Offset is the position of the error, in bytes.
	Offset int
	Reason string
}

func (e *EncodingError) Error() string {
	return fmt.Sprintf("encoded map, byte %d: %s", e.Offset, e.Reason)
}

// ChangeError is returned when an encoded change of a map is damaged.
type ChangeError struct {
	// Offset is the position of the damaged entry in the data, in bytes.
	Offset int
}

// Error implements error.
func (e *ChangeError) Error() string {
	return fmt.Sprintf("change of an expert map is damaged at byte %d", e.Offset)
}
