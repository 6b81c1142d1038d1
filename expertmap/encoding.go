package expertmap

import "encoding/binary"

// encodingVersion is the first byte of an encoded map.
const encodingVersion = 1

// Marshal returns the canonical encoding: a version byte, the four dimensions,
// and for each slot the expert's number plus one, or zero if the slot is empty.
// All numbers are unsigned varints. Equal maps have equal encodings.
func (m Map) Marshal() []byte {
	b := make([]byte, 0, 16+2*len(m.slots))
	b = append(b, encodingVersion)
	for _, d := range m.shape.dimensions() {
		b = binary.AppendUvarint(b, uint64(*d))
	}
	for _, e := range m.slots {
		b = binary.AppendUvarint(b, slotCode(e))
	}
	return b
}

// Unmarshal decodes the output of Marshal. It returns an *EncodingError if b is
// not a canonical encoding, and the errors of ValidateLoaded. It does not check
// that the map covers every expert; Validate does.
func Unmarshal(b []byte) (Map, error) {
	r := reader{rest: b, size: len(b)}
	if err := r.version(); err != nil {
		return Map{}, err
	}
	var shape Shape
	for _, d := range shape.dimensions() {
		v, err := r.uvarint()
		if err != nil {
			return Map{}, err
		}
		*d = int(min(v, MaxExperts+1))
	}
	if err := shape.Validate(); err != nil {
		return Map{}, err
	}
	// Each slot takes at least one byte. This check keeps a short input from
	// allocating much memory.
	if shape.slotsTotal() > len(r.rest) {
		return Map{}, r.fail("truncated")
	}
	m := Map{shape: shape, slots: make([]Expert, shape.slotsTotal())}
	for i := range m.slots {
		v, err := r.uvarint()
		if err != nil {
			return Map{}, err
		}
		m.slots[i] = codeExpert(v)
	}
	if len(r.rest) > 0 {
		return Map{}, r.fail("trailing bytes")
	}
	return m, m.ValidateLoaded()
}

// dimensions returns the dimensions in the order of the encoding.
func (s *Shape) dimensions() [4]*int {
	return [4]*int{&s.Layers, &s.Experts, &s.Ranks, &s.Slots}
}

// slotCode returns the number that encodes the content of a slot.
func slotCode(e Expert) uint64 {
	if e == Empty {
		return 0
	}
	return uint64(e) + 1
}

// codeExpert is the inverse of slotCode. A number that is too large for an
// expert becomes one that ValidateLoaded rejects.
func codeExpert(v uint64) Expert {
	if v == 0 {
		return Empty
	}
	return Expert(min(v-1, MaxExperts))
}

// reader reads numbers from the front of an encoding.
type reader struct {
	rest []byte
	size int
}

func (r *reader) fail(reason string) error {
	return &EncodingError{Offset: r.size - len(r.rest), Reason: reason}
}

func (r *reader) version() error {
	if len(r.rest) == 0 {
		return r.fail("truncated")
	}
	if r.rest[0] != encodingVersion {
		return r.fail("unknown version")
	}
	r.rest = r.rest[1:]
	return nil
}

// uvarint reads one number. It rejects a number that is not in its shortest
// form.
func (r *reader) uvarint() (uint64, error) {
	v, n := binary.Uvarint(r.rest)
	if n <= 0 {
		return 0, r.fail("truncated or overlong number")
	}
	if n > 1 && r.rest[n-1] == 0 {
		return 0, r.fail("number not in its shortest form")
	}
	r.rest = r.rest[n:]
	return v, nil
}
