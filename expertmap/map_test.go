package expertmap

import (
	"errors"
	"flag"
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// drawMap draws a loaded set of the given shape.
func drawMap(t *rapid.T, shape Shape, label string) Map {
	m, err := New(shape)
	assert.NilError(t, err)
	d := m.Edit()
	for layer := range shape.Layers {
		for rank := range shape.Ranks {
			perm := rapid.Permutation(experts(shape.Experts)).Draw(t, label)
			for slot := range min(shape.Slots, shape.Experts) {
				if rapid.Bool().Draw(t, label) {
					d.Set(layer, rank, slot, perm[slot])
				}
			}
		}
	}
	return d.Map()
}

func experts(n int) []Expert {
	all := make([]Expert, n)
	for e := range all {
		all[e] = Expert(e)
	}
	return all
}

func drawShape(t *rapid.T) Shape {
	s := Shape{
		Layers: rapid.IntRange(1, 3).Draw(t, "layers"),
		Ranks:  rapid.IntRange(1, 5).Draw(t, "ranks"),
		Slots:  rapid.IntRange(1, 4).Draw(t, "slots"),
	}
	s.Experts = rapid.IntRange(1, s.Ranks*s.Slots).Draw(t, "experts")
	return s
}

func TestStaticIsValid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, err := Static(drawShape(t))
		assert.NilError(t, err)
		assert.NilError(t, m.Validate())
		for _, n := range m.Replicas(0) {
			assert.Equal(t, n, 1)
		}
	})
}

func TestEncodingIsCanonical(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shape := drawShape(t)
		a, b := drawMap(t, shape, "a"), drawMap(t, shape, "b")
		got, err := Unmarshal(a.Marshal())
		assert.NilError(t, err)
		assert.Assert(t, got.Equal(a))
		assert.Equal(t, a.Equal(b), a.Hash() == b.Hash())
	})
}

func TestMovesTransformOneMapIntoAnother(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shape := drawShape(t)
		a, b := drawMap(t, shape, "a"), drawMap(t, shape, "b")
		moves, err := Moves(a, b)
		assert.NilError(t, err)
		got, err := Apply(a, moves)
		assert.NilError(t, err)
		assert.Assert(t, got.Equal(b))
		loads, err := WeightLoads(a, b)
		assert.NilError(t, err)
		assert.Equal(t, CheckLoaded(a, b) == nil, len(loads) == 0)
		assert.NilError(t, CheckLoaded(b, b))
	})
}

func TestValidateFindsEachFault(t *testing.T) {
	m, err := Static(Shape{Layers: 2, Experts: 4, Ranks: 2, Slots: 3})
	assert.NilError(t, err)
	change := func(slot int, e Expert) error {
		d := m.Edit()
		d.Set(1, 1, slot, e)
		return d.Map().Validate()
	}
	var uncovered *UncoveredError
	assert.Assert(t, errors.As(change(0, Empty), &uncovered))
	assert.Equal(t, uncovered.Expert, Expert(2))
	var duplicate *DuplicateError
	assert.Assert(t, errors.As(change(2, 3), &duplicate))
	var unknown *ExpertError
	assert.Assert(t, errors.As(change(2, 4), &unknown))
	var capacity *CapacityError
	_, err = New(Shape{Layers: 1, Experts: 7, Ranks: 2, Slots: 3})
	assert.Assert(t, errors.As(err, &capacity))
	_, err = Apply(m, []Move{{Layer: 0, Rank: 0, Slot: 0, From: 3, To: 1}})
	var stale *StaleMoveError
	assert.Assert(t, errors.As(err, &stale))
}

func TestResizeAndWithout(t *testing.T) {
	m, err := Static(Shape{Layers: 1, Experts: 4, Ranks: 2, Slots: 4})
	assert.NilError(t, err)
	more, err := m.Resize(3)
	assert.NilError(t, err)
	assert.NilError(t, more.Validate())
	fewer, err := more.Resize(1)
	assert.NilError(t, err)
	var uncovered *UncoveredError
	assert.Assert(t, errors.As(fewer.Validate(), &uncovered))
	assert.Assert(t, errors.As(m.Without(1).Validate(), &uncovered))
	assert.NilError(t, m.Validate())
}

// FuzzUnmarshal checks that every accepted input is the canonical encoding of a
// valid loaded set.
func FuzzUnmarshal(f *testing.F) {
	m, err := Static(Shape{Layers: 2, Experts: 4, Ranks: 2, Slots: 3})
	assert.NilError(f, err)
	f.Add(m.Marshal())
	f.Add([]byte{1, 1, 1, 1, 1, 0x80, 0})
	f.Add([]byte{1, 0xff, 0xff, 0xff, 0xff, 0x7f, 1, 1, 1})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Unmarshal(b)
		if err != nil {
			return
		}
		assert.NilError(t, m.ValidateLoaded())
		assert.DeepEqual(t, m.Marshal(), b)
	})
}

// TestInTurn: rank 1 of 3 holds every third expert, from expert 1.
func TestInTurn(t *testing.T) {
	m, err := InTurn(Shape{Layers: 2, Experts: 8, Ranks: 3, Slots: 4})
	assert.NilError(t, err)
	assert.NilError(t, m.Validate())
	assert.DeepEqual(t, m.Rank(1, 1), []Expert{1, 4, 7, Empty})
	_, err = InTurn(Shape{Layers: 1, Experts: 8, Ranks: 2, Slots: 3})
	assert.Assert(t, err != nil, "the ranks cannot hold all experts")
}
