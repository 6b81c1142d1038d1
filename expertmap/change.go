package expertmap

import "encoding/binary"

// MarshalChange encodes map to by the slots in which it differs from map from. For
// each of them, in the order of the slots, it holds two unsigned varints: the
// distance from the previous such slot, and the expert plus one, zero for Empty. It
// returns a *MismatchError if the shapes differ.
func MarshalChange(from, to Map) ([]byte, error) {
	if from.shape != to.shape {
		return nil, &MismatchError{From: from.shape, To: to.shape}
	}
	var data []byte
	previous := -1
	for i, e := range to.slots {
		if e == from.slots[i] {
			continue
		}
		data = binary.AppendUvarint(data, uint64(i-previous))
		data = binary.AppendUvarint(data, uint64(e+1)) // Empty+1 is zero.
		previous = i
	}
	return data, nil
}

// UnmarshalChange decodes a map from its change against from. It returns a
// *ChangeError if the data is damaged.
func UnmarshalChange(from Map, data []byte) (Map, error) {
	to := from.Edit().m
	at := uint64(0)
	for left := data; len(left) > 0; {
		distance, n := binary.Uvarint(left)
		if n <= 0 {
			return Map{}, &ChangeError{Offset: len(data) - len(left)}
		}
		expert, m := binary.Uvarint(left[n:])
		slots := uint64(len(to.slots))
		if m <= 0 || distance == 0 || distance > slots || at+distance > slots || expert > uint64(Empty) {
			return Map{}, &ChangeError{Offset: len(data) - len(left)}
		}
		at += distance
		to.slots[at-1] = Expert(expert) - 1
		left = left[n+m:]
	}
	return to, nil
}
