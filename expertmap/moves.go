package expertmap

// Move is one slot that differs between two maps.
type Move struct {
	Layer, Rank, Slot int
	// From is the expert that the slot held, or Empty.
	From Expert
	// To is the expert that the slot shall hold, or Empty if it is freed.
	To Expert
}

// LoadsWeights reports whether the move needs weights: it puts an expert into the slot.
func (v Move) LoadsWeights() bool { return v.To != Empty }

// Overwrites reports whether the move loads weights over an expert that the
// first map uses. Such a move cannot be staged while that map is in force.
func (v Move) Overwrites() bool { return v.From != Empty && v.To != Empty }

// Moves returns the slots in which to differs from from, ordered by layer, rank
// and slot. It returns a *MismatchError if the shapes differ.
func Moves(from, to Map) ([]Move, error) {
	if from.shape != to.shape {
		return nil, &MismatchError{From: from.shape, To: to.shape}
	}
	var moves []Move
	for i, e := range to.slots {
		if e != from.slots[i] {
			moves = append(moves, from.shape.move(i, from.slots[i], e))
		}
	}
	return moves, nil
}

// WeightLoads returns the moves that load weights to reach to when the ranks hold
// loaded: a slot that already has the right weights needs none. It returns a
// *MismatchError if the shapes differ.
func WeightLoads(loaded, to Map) ([]Move, error) {
	moves, err := Moves(loaded, to)
	if err != nil {
		return nil, err
	}
	loads := moves[:0]
	for _, v := range moves {
		if v.LoadsWeights() {
			loads = append(loads, v)
		}
	}
	return loads, nil
}

// CheckLoaded checks that every expert that to uses is in its slot in loaded,
// which is what must hold before to is put in force. It returns a
// *NotLoadedError for the first that is not.
func CheckLoaded(loaded, to Map) error {
	loads, err := WeightLoads(loaded, to)
	if err != nil {
		return err
	}
	if len(loads) > 0 {
		return &NotLoadedError{Move: loads[0], Missing: len(loads)}
	}
	return nil
}

// Apply returns m with the moves carried out. It returns a *StaleMoveError if a
// slot does not hold what a move starts from.
func Apply(m Map, moves []Move) (Map, error) {
	d := m.Edit()
	for _, v := range moves {
		if d.m.At(v.Layer, v.Rank, v.Slot) != v.From {
			return Map{}, &StaleMoveError{Move: v}
		}
		d.Set(v.Layer, v.Rank, v.Slot, v.To)
	}
	return d.m, nil
}

// move describes the slot at flat index i.
func (s Shape) move(i int, from, to Expert) Move {
	return Move{
		Layer: i / (s.Ranks * s.Slots),
		Rank:  i / s.Slots % s.Ranks,
		Slot:  i % s.Slots,
		From:  from,
		To:    to,
	}
}
