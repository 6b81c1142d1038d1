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

// records generates arbitrary records of one process.
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

// TestMergeLaws checks that Merge is commutative, associative and idempotent,
// so that the order and number of updates don't matter.
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

// TestOrderOfUpdatesDoesNotMatter applies the same updates to two tables, in
// different orders and to one of them twice. Both must end in the same state.
func TestOrderOfUpdatesDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		updates := rapid.SliceOf(records()).Draw(t, "updates")
		shuffled := rapid.Permutation(updates).Draw(t, "shuffled")
		one := membership.NewTable(membership.Record{Name: "self"}, epoch)
		two := membership.NewTable(membership.Record{Name: "self"}, epoch)
		for i := range updates {
			one.Apply(updates[i], epoch)
			two.Apply(shuffled[i], epoch)
		}
		for i := range updates {
			two.Apply(updates[i], epoch)
		}
		assert.DeepEqual(t, one.Members(), two.Members())
		assert.Equal(t, one.Digest(), two.Digest())
	})
}

// TestExpireWhileMajorityUnhealthy: a process that cannot reach most others is
// probably cut off itself, and must not declare them dead.
func TestExpireWhileMajorityUnhealthy(t *testing.T) {
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

// TestPut checks the size limit and that only a newer version replaces an item.
func TestPut(t *testing.T) {
	table := membership.NewTable(membership.Record{Name: "self"}, epoch)
	_, err := table.Put(membership.Item{Value: make([]byte, membership.MaxItemBytes+1)})
	var large *membership.ItemTooLargeError
	assert.Assert(t, errors.As(err, &large))
	key := membership.ItemKey{Kind: "config"}
	for _, c := range []struct {
		version uint64
		changed bool
	}{{5, true}, {5, false}, {4, false}, {6, true}} {
		changed, err := table.Put(membership.Item{ItemKey: key, Version: c.version})
		assert.NilError(t, err)
		assert.Equal(t, changed, c.changed, "version %d", c.version)
	}
}
