package membership_test

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cyclamenpoint/cyclamenpoint/membership"
)

var epoch = time.Unix(1_000_000, 0)

// records draws records of one process, as any order of events could leave
// them.
func records() *rapid.Generator[membership.Record] {
	return rapid.Custom(func(t *rapid.T) membership.Record {
		return membership.Record{
			Name:        "x",
			Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
			Sequence:    rapid.Uint64Range(0, 3).Draw(t, "sequence"),
			Health:      membership.Health(rapid.IntRange(0, 2).Draw(t, "health")),
			Leaving:     rapid.Bool().Draw(t, "leaving"),
		}
	})
}

func TestMergeLaws(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := records().Draw(t, "a"), records().Draw(t, "b"), records().Draw(t, "c")
		merge := membership.Merge
		assert.Equal(t, merge(a, b), merge(b, a))
		assert.Equal(t, merge(a, merge(b, c)), merge(merge(a, b), c))
		assert.Equal(t, merge(a, a), a)
		assert.Equal(t, merge(merge(a, b), b), merge(a, b))
		assert.Equal(t, merge(a, b).Incarnation, max(a.Incarnation, b.Incarnation))
	})
}

// TestOrderOfNewsDoesNotMatter applies the same news in two orders, twice.
func TestOrderOfNewsDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		news := rapid.SliceOf(records()).Draw(t, "news")
		shuffled := rapid.Permutation(news).Draw(t, "shuffled")
		one := membership.NewTable(membership.Record{Name: "self"}, epoch)
		two := membership.NewTable(membership.Record{Name: "self"}, epoch)
		for i := range news {
			one.Apply(news[i], epoch)
			two.Apply(shuffled[i], epoch)
		}
		for i := range news {
			two.Apply(news[i], epoch)
		}
		assert.DeepEqual(t, one.Members(), two.Members())
		assert.Equal(t, one.Digest(), two.Digest())
	})
}

func TestNothingIsDeclaredDeadWhileMostLookIll(t *testing.T) {
	table := membership.NewTable(membership.Record{Name: "self"}, epoch)
	for _, name := range []string{"a", "b", "c", "d"} {
		table.Apply(membership.Record{Name: name, Incarnation: 1}, epoch)
	}
	for _, name := range []string{"a", "b", "c"} {
		assert.Assert(t, table.Suspect(name, 1, epoch))
	}
	later := epoch.Add(time.Hour)
	assert.Equal(t, len(table.Expire(time.Second, later)), 0)
	table.Apply(membership.Record{Name: "c", Incarnation: 1, Sequence: 1}, later)
	assert.DeepEqual(t, table.Expire(time.Second, later), []string{"a", "b"})
}

func TestItemBounds(t *testing.T) {
	table := membership.NewTable(membership.Record{Name: "self"}, epoch)
	_, err := table.Put(membership.Item{Value: make([]byte, membership.MaxItemBytes+1)})
	var large *membership.ItemTooLargeError
	assert.Assert(t, errors.As(err, &large))
	key := membership.ItemKey{Kind: "config"}
	for _, c := range []struct {
		version uint64
		fresh   bool
	}{{5, true}, {5, false}, {4, false}, {6, true}} {
		fresh, err := table.Put(membership.Item{ItemKey: key, Version: c.version})
		assert.NilError(t, err)
		assert.Equal(t, fresh, c.fresh, "version %d", c.version)
	}
}
