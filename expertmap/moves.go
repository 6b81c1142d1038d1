package expertmap

// Move is one slot that differs between two maps.
type Move struct {
	Layer, Rank, Slot int
	// From is the expert in the slot before the move, or Empty.
	From Expert
	// To is the expert in the slot after the move, or Empty if the slot is
	// freed.
	To Expert
}

// LoadsWeights reports whether the move needs a weight load, because it puts an
// expert into the slot.
func (v Move) LoadsWeights() bool { return v.To != Empty }

// Overwrites reports whether the move loads weights over an expert of the first
// map. Such a move cannot be made while that map is in force.
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

// WeightLoads returns the moves with a weight load that lead from the loaded
// set to the map to. A slot that has the right weights already needs none. It
// returns a *MismatchError if the shapes differ.
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

// CheckLoaded checks that each expert of to is loaded in its slot. This must
// hold before to is put in force. It returns a *NotLoadedError with the first
// missing weight load.
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

// Apply returns m after the moves. It returns a *StaleMoveError if a slot does
// not hold the expert that a move starts from.
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

// move returns the move of the slot at index i of a Map's slots.
func (s Shape) move(i int, from, to Expert) Move {
	return Move{
		Layer: i / (s.Ranks * s.Slots),
		Rank:  i / s.Slots % s.Ranks,
		Slot:  i % s.Slots,
		From:  from,
		To:    to,
	}
}
