// Package expertmap implements the expert map of a rank group: for each layer,
// which rank holds which expert in which slot. A Map is immutable and may be
// shared between goroutines. A Draft builds a new map.
//
// The same type also describes which weights the ranks have loaded. Such a
// loaded set need not cover every expert, but a map that is put in force must.
package expertmap

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Expert is the index of an expert within its layer, from 0.
type Expert uint16

// Empty marks a slot that holds no expert.
const Empty Expert = 0xFFFF

// Limits of the dimensions of a Shape.
const (
	MaxLayers  = 1024
	MaxExperts = 8192
	MaxRanks   = 1024
	MaxSlots   = 1024
)

// Shape holds the dimensions of a map.
type Shape struct {
	// Layers is the number of layers that have experts.
	Layers int
	// Experts is the number of experts of a layer.
	Experts int
	// Ranks is the number of ranks, including lost ones.
	Ranks int
	// Slots is the number of experts that a rank can hold in one layer.
	Slots int
}

// Validate returns a *ShapeError if a dimension is out of range, or a
// *CapacityError if the ranks together cannot hold every expert.
func (s Shape) Validate() error {
	for _, d := range []struct {
		name       string
		value, max int
	}{
		{"layers", s.Layers, MaxLayers},
		{"experts", s.Experts, MaxExperts},
		{"ranks", s.Ranks, MaxRanks},
		{"slots", s.Slots, MaxSlots},
	} {
		if d.value < 1 || d.value > d.max {
			return &ShapeError{Dimension: d.name, Value: d.value, Max: d.max}
		}
	}
	if s.Ranks*s.Slots < s.Experts {
		return &CapacityError{Shape: s}
	}
	return nil
}

// slotsTotal returns the number of slots of all layers and ranks.
func (s Shape) slotsTotal() int { return s.Layers * s.Ranks * s.Slots }

// index returns the position of a slot in the slots of a Map.
func (s Shape) index(layer, rank, slot int) int {
	return (layer*s.Ranks+rank)*s.Slots + slot
}

// Map is an expert map or a loaded set. The zero Map has no slots.
type Map struct {
	shape Shape
	// slots is ordered by layer, then rank, then slot.
	slots []Expert
}

// New returns a map of the given shape in which every slot is empty.
func New(shape Shape) (Map, error) {
	if err := shape.Validate(); err != nil {
		return Map{}, err
	}
	slots := make([]Expert, shape.slotsTotal())
	for i := range slots {
		slots[i] = Empty
	}
	return Map{shape: shape, slots: slots}, nil
}

// Static returns the map without replicas in which the experts are assigned in
// order: in every layer rank r holds the experts from r*Experts/Ranks up to,
// but not including, (r+1)*Experts/Ranks.
func Static(shape Shape) (Map, error) {
	m, err := New(shape)
	if err != nil {
		return Map{}, err
	}
	for layer := range shape.Layers {
		for rank := range shape.Ranks {
			first := rank * shape.Experts / shape.Ranks
			end := (rank + 1) * shape.Experts / shape.Ranks
			for e := first; e < end; e++ {
				m.slots[shape.index(layer, rank, e-first)] = Expert(e)
			}
		}
	}
	return m, nil
}

// InTurn returns the map without replicas in which the experts are assigned to the
// ranks in turn: in every layer rank r holds the experts r, r+Ranks, r+2*Ranks and so
// on.
func InTurn(shape Shape) (Map, error) {
	m, err := New(shape)
	if err != nil {
		return Map{}, err
	}
	for layer := range shape.Layers {
		for e := range shape.Experts {
			m.slots[shape.index(layer, e%shape.Ranks, e/shape.Ranks)] = Expert(e)
		}
	}
	return m, nil
}

// Shape returns the dimensions of m.
func (m Map) Shape() Shape { return m.shape }

// At returns the expert in a slot, or Empty. It panics if an index is out of
// range.
func (m Map) At(layer, rank, slot int) Expert {
	return m.slots[m.shape.index(layer, rank, slot)]
}

// Rank returns the slots of one rank in one layer. The caller must not change
// them.
func (m Map) Rank(layer, rank int) []Expert {
	first := m.shape.index(layer, rank, 0)
	return m.slots[first : first+m.shape.Slots : first+m.shape.Slots]
}

// Layer returns the slots of all ranks in one layer, ordered by rank, then
// slot. The caller must not change them.
func (m Map) Layer(layer int) []Expert {
	n := m.shape.Ranks * m.shape.Slots
	first := m.shape.index(layer, 0, 0)
	return m.slots[first : first+n : first+n]
}

// Holds reports whether the rank holds the expert in the layer.
func (m Map) Holds(layer, rank int, e Expert) bool {
	return slices.Contains(m.Rank(layer, rank), e)
}

// Replicas returns, for each expert of the layer, the number of ranks that hold
// it.
func (m Map) Replicas(layer int) []int {
	n := make([]int, m.shape.Experts)
	for _, e := range m.Layer(layer) {
		if e != Empty {
			n[e]++
		}
	}
	return n
}

// Validate checks that m can be put in force. It returns the errors of
// ValidateLoaded, and an *UncoveredError if no rank holds some expert.
func (m Map) Validate() error {
	if err := m.ValidateLoaded(); err != nil {
		return err
	}
	for layer := range m.shape.Layers {
		for e, n := range m.Replicas(layer) {
			if n == 0 {
				return &UncoveredError{Layer: layer, Expert: Expert(e)}
			}
		}
	}
	return nil
}

// ValidateLoaded checks what a loaded set must fulfil too. It returns the
// errors of Shape.Validate, an *ExpertError if a slot holds an expert that the
// layer does not have, and a *DuplicateError if a rank holds an expert twice in
// one layer.
func (m Map) ValidateLoaded() error {
	if err := m.shape.Validate(); err != nil {
		return err
	}
	for layer := range m.shape.Layers {
		for rank := range m.shape.Ranks {
			if err := m.validateRank(layer, rank); err != nil {
				return err
			}
		}
	}
	return nil
}

func (m Map) validateRank(layer, rank int) error {
	held := m.Rank(layer, rank)
	for slot, e := range held {
		if e == Empty {
			continue
		}
		if int(e) >= m.shape.Experts {
			return &ExpertError{Layer: layer, Rank: rank, Slot: slot, Expert: e}
		}
		if slices.Contains(held[:slot], e) {
			return &DuplicateError{Layer: layer, Rank: rank, Expert: e}
		}
	}
	return nil
}

// Equal reports whether both maps have the same shape and the same slots.
func (m Map) Equal(o Map) bool {
	return m.shape == o.shape && slices.Equal(m.slots, o.slots)
}

// Normalize returns the map with the same experts on each rank, in ascending order
// before the empty slots. Maps that differ only in the slots of a rank become equal.
func (m Map) Normalize() Map {
	n := m.Edit().m
	for layer := range n.shape.Layers {
		for rank := range n.shape.Ranks {
			// Empty is greater than every expert.
			slices.Sort(n.Rank(layer, rank))
		}
	}
	return n
}

// Hash returns the xxHash64 of the canonical encoding. Equal maps have equal
// hashes in all processes.
func (m Map) Hash() uint64 { return xxhash.Sum64(m.Marshal()) }

// Resize returns m with another number of ranks. The slots of removed ranks are
// dropped, and the slots of added ranks are empty. The result may leave experts
// uncovered.
func (m Map) Resize(ranks int) (Map, error) {
	shape := m.shape
	shape.Ranks = ranks
	out, err := New(shape)
	if err != nil {
		return Map{}, err
	}
	for layer := range shape.Layers {
		for rank := range min(ranks, m.shape.Ranks) {
			copy(out.Rank(layer, rank), m.Rank(layer, rank))
		}
	}
	return out, nil
}

// Without returns m with all slots of the given ranks empty. The result may
// leave experts uncovered.
func (m Map) Without(ranks ...int) Map {
	d := m.Edit()
	for _, rank := range ranks {
		for layer := range m.shape.Layers {
			for slot := range m.shape.Slots {
				d.Set(layer, rank, slot, Empty)
			}
		}
	}
	return d.Map()
}

// Draft builds a map. It is not safe for concurrent use.
type Draft struct{ m Map }

// Edit returns a draft that starts as a copy of m.
func (m Map) Edit() *Draft {
	return &Draft{m: Map{shape: m.shape, slots: slices.Clone(m.slots)}}
}

// Set puts an expert into a slot, or Empty to free the slot. It panics if an
// index is out of range. It does not check the expert; Map.Validate does.
func (d *Draft) Set(layer, rank, slot int, e Expert) {
	d.m.slots[d.m.shape.index(layer, rank, slot)] = e
}

// Map returns a copy of the draft's content. Later changes of the draft do not
// affect it.
func (d *Draft) Map() Map {
	return Map{shape: d.m.shape, slots: slices.Clone(d.m.slots)}
}

// Layer returns the slots of all ranks in one layer, ordered by rank, then
// slot. The caller must not change them; Set does.
func (d *Draft) Layer(layer int) []Expert { return d.m.Layer(layer) }
