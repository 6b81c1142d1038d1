package expertmap

import (
	"errors"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// TestChange: any map is decoded from its change against any other, and a change of
// a few slots is small.
func TestChange(t *testing.T) {
	shape := Shape{Layers: 16, Experts: 192, Ranks: 96, Slots: 5}
	from, err := Static(shape)
	assert.NilError(t, err)
	rng := rand.New(rand.NewPCG(1, 2))
	for _, changes := range []int{0, 1, 300, 20_000} {
		draft := from.Edit()
		for range changes {
			e := Expert(rng.IntN(shape.Experts + 1))
			if int(e) == shape.Experts {
				e = Empty
			}
			draft.Set(rng.IntN(shape.Layers), rng.IntN(shape.Ranks), rng.IntN(shape.Slots), e)
		}
		to := draft.Map()
		data, err := MarshalChange(from, to)
		assert.NilError(t, err)
		assert.Assert(t, len(data) <= 5*changes, "%d bytes for %d changes", len(data), changes)
		got, err := UnmarshalChange(from, data)
		assert.NilError(t, err)
		assert.Assert(t, got.Equal(to))
	}
}

// TestDamagedChange: damaged data gives an error and never a slot that the map does
// not have.
func TestDamagedChange(t *testing.T) {
	shape := Shape{Layers: 1, Experts: 4, Ranks: 2, Slots: 3}
	from, err := Static(shape)
	assert.NilError(t, err)
	for _, data := range [][]byte{{0, 1}, {1}, {7, 1}, {6, 1, 1, 1}, {0x80}, {1, 0x80}, {1, 0x80, 0x80, 0x04}} {
		_, err := UnmarshalChange(from, data)
		var damaged *ChangeError
		assert.Assert(t, errors.As(err, &damaged), "%v: %v", data, err)
	}
	other := shape
	other.Ranks = 3
	larger, err := Static(other)
	assert.NilError(t, err)
	_, err = MarshalChange(from, larger)
	var mismatch *MismatchError
	assert.Assert(t, errors.As(err, &mismatch))
}

// FuzzUnmarshalChange: no data makes UnmarshalChange panic or change the base.
func FuzzUnmarshalChange(f *testing.F) {
	f.Add([]byte{1, 2, 3, 0})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1, 1})
	from, err := Static(Shape{Layers: 2, Experts: 4, Ranks: 2, Slots: 3})
	assert.NilError(f, err)
	hash := from.Hash()
	f.Fuzz(func(t *testing.T, data []byte) {
		to, err := UnmarshalChange(from, data)
		if err == nil {
			assert.Equal(t, to.Shape(), from.Shape())
		}
		assert.Equal(t, from.Hash(), hash)
	})
}
