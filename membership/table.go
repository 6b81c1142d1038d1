package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// buckets is the number of hashes in a digest.
	buckets = 64
	// deadKept is how long a dead member is remembered, so that late news of it
	// is recognised.
	deadKept = 24 * time.Hour
	// MaxMembers bounds the processes that a table holds.
	MaxMembers = 8192
)

// Member is a record with what this process noted of it.
type Member struct {
	Record
	// FirstSeen is when this process first heard of the incarnation.
	FirstSeen time.Time
	// HealthChanged is when the health last changed here.
	HealthChanged time.Time
}

// Digest has a hash for each bucket of a table's state.
type Digest [buckets]uint64

// Table is one process's view of all processes and items. It is not safe for
// concurrent use.
type Table struct {
	self    Record
	members map[string]*Member
	items   map[ItemKey]*Item
	digest  Digest
	news    map[string]int
	itemsTo map[ItemKey]int
	ring    []ringEntry
	// ill counts members, this process apart, that are suspect or dead.
	ill int
}

type ringEntry struct {
	hash uint64
	name string
}

// newsSends is how many rounds of pushes a piece of news takes part in.
const newsSends = 2

// NewTable returns a table that knows only self.
func NewTable(self Record, now time.Time) *Table {
	t := &Table{
		self:    self,
		members: make(map[string]*Member),
		items:   make(map[ItemKey]*Item),
		news:    make(map[string]int),
		itemsTo: make(map[ItemKey]int),
	}
	t.set(self, now)
	return t
}

// Self returns the process's own record.
func (t *Table) Self() Record {
	return t.self
}

// Member returns the member called name.
func (t *Table) Member(name string) (Member, bool) {
	m := t.members[name]
	if m == nil {
		return Member{}, false
	}
	return *m, true
}

// Members returns all members in the order of their names.
func (t *Table) Members() []Member {
	all := make([]Member, 0, len(t.members))
	for _, m := range t.members {
		all = append(all, *m)
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Apply merges a record from another process and says whether anything
// changed. News of an unknown process is dropped when the table is full. News of this process itself that is wrong is refuted: the table
// raises its own sequence, or its incarnation when another one was in use.
func (t *Table) Apply(r Record, now time.Time) bool {
	if r.Name == t.self.Name {
		return t.applySelf(r, now)
	}
	next := r
	if old := t.members[r.Name]; old != nil {
		next = Merge(old.Record, r)
		if next == old.Record {
			t.heardAgain(r)
			return false
		}
	} else if len(t.members) >= MaxMembers {
		return false
	}
	t.set(next, now)
	t.news[r.Name] = newsSends
	return true
}

// heardAgain counts a round of pushes less for the news of a live member that
// comes back: others spread it already. Other news is too urgent for that.
func (t *Table) heardAgain(r Record) {
	left, ok := t.news[r.Name]
	if !ok || t.members[r.Name].Record != r || r.Health != Alive || r.Leaving {
		return
	}
	if left <= 1 {
		delete(t.news, r.Name)
		return
	}
	t.news[r.Name] = left - 1
}

func (t *Table) applySelf(r Record, now time.Time) bool {
	next := t.self
	switch {
	case r.Incarnation < next.Incarnation:
		return false
	case r.Incarnation > next.Incarnation:
		next.Incarnation = r.Incarnation + 1
		next.Sequence = 0
	default:
		next.Leaving = next.Leaving || r.Leaving
		if r.Sequence > next.Sequence || r.Sequence == next.Sequence && r.Health != Alive {
			next.Sequence = r.Sequence + 1
		}
	}
	if next == t.self {
		return false
	}
	t.self = next
	t.set(next, now)
	t.news[next.Name] = newsSends
	return true
}

// Suspect marks an incarnation of a member as suspect and says whether that
// changed anything.
func (t *Table) Suspect(name string, incarnation uint64, now time.Time) bool {
	return t.judge(name, incarnation, Alive, Suspect, now)
}

// judge moves the health of a member from one state to another.
func (t *Table) judge(name string, incarnation uint64, from, to Health, now time.Time) bool {
	m := t.members[name]
	if m == nil || m.Incarnation != incarnation || m.Health != from {
		return false
	}
	r := m.Record
	r.Health = to
	return t.Apply(r, now)
}

// MarkLeaving marks an incarnation of a member as leaving.
func (t *Table) MarkLeaving(name string, incarnation uint64, now time.Time) bool {
	m := t.members[name]
	if m == nil || m.Incarnation != incarnation || m.Leaving {
		return false
	}
	r := m.Record
	r.Leaving = true
	return t.Apply(r, now)
}

// Expire turns members that were suspect for timeout into dead ones, and
// forgets old dead members and expired items. While most members look ill
// nothing is declared dead: the fault is more likely this process's own. It
// returns the names of the members declared dead.
func (t *Table) Expire(timeout time.Duration, now time.Time) []string {
	var dead []string
	distrusted := t.MajorityUnhealthy()
	for name, m := range t.members {
		age := now.Sub(m.HealthChanged)
		switch {
		case m.Health == Suspect && age >= timeout && !distrusted:
			dead = append(dead, name)
		case m.Health == Dead && age >= deadKept:
			t.forget(name)
		}
	}
	slices.Sort(dead)
	for _, name := range dead {
		t.judge(name, t.members[name].Incarnation, Suspect, Dead, now)
	}
	for key, item := range t.items {
		if !item.Expires.IsZero() && !now.Before(item.Expires) {
			t.digest[bucketOf(key.Key)] ^= item.hash()
			delete(t.items, key)
		}
	}
	return dead
}

// MajorityUnhealthy says that more than half of the other members look ill. The
// process then doubts its own view.
func (t *Table) MajorityUnhealthy() bool {
	others := len(t.members) - 1
	return t.ill*2 > others
}

// Put adds an item or replaces an older version. It reports false when the item
// is not news.
func (t *Table) Put(item Item) (bool, error) {
	if len(item.Value) > MaxItemBytes {
		return false, &ItemTooLargeError{Key: item.ItemKey, Size: len(item.Value)}
	}
	old := t.items[item.ItemKey]
	if old != nil && !item.newer(old) {
		return false, nil
	}
	if old == nil && len(t.items) >= MaxItems {
		return false, &TooManyItemsError{Key: item.ItemKey}
	}
	bucket := bucketOf(item.Key)
	if old != nil {
		t.digest[bucket] ^= old.hash()
	}
	t.digest[bucket] ^= item.hash()
	t.items[item.ItemKey] = &item
	t.itemsTo[item.ItemKey] = newsSends
	return true, nil
}

// Items returns the items of a kind in the order of their keys.
func (t *Table) Items(kind string) []Item {
	var found []Item
	for key, item := range t.items {
		if key.Kind == kind {
			found = append(found, *item)
		}
	}
	slices.SortFunc(found, func(a, b Item) int { return cmp.Compare(a.Key, b.Key) })
	return found
}

// Digest returns the hashes of the table's state.
func (t *Table) Digest() Digest {
	return t.digest
}

// PingTargets returns the n members after this process on the ring of hashed names
// that are not dead: those that it watches.
func (t *Table) PingTargets(n int) []Record {
	at, _ := slices.BinarySearchFunc(t.ring, hashOf(t.self.Name), func(e ringEntry, h uint64) int {
		return cmp.Compare(e.hash, h)
	})
	var found []Record
	for k := 1; k < len(t.ring) && len(found) < n; k++ {
		m := t.members[t.ring[(at+k)%len(t.ring)].name]
		if m.Health != Dead {
			found = append(found, m.Record)
		}
	}
	return found
}

// set stores a record and keeps the digest, the ring and the counts in step.
func (t *Table) set(r Record, now time.Time) {
	m := t.members[r.Name]
	bucket := bucketOf(r.Name)
	if m == nil {
		m = &Member{FirstSeen: now, HealthChanged: now}
		t.members[r.Name] = m
		entry := ringEntry{hash: hashOf(r.Name), name: r.Name}
		at, _ := slices.BinarySearchFunc(t.ring, entry, func(a, b ringEntry) int { return cmp.Compare(a.hash, b.hash) })
		t.ring = slices.Insert(t.ring, at, entry)
	} else {
		t.digest[bucket] ^= m.hash()
		t.countIll(m, -1)
	}
	if m.Incarnation != r.Incarnation {
		m.FirstSeen = now
	}
	if m.Health != r.Health {
		m.HealthChanged = now
	}
	m.Record = r
	t.digest[bucket] ^= m.hash()
	t.countIll(m, 1)
}

func (t *Table) countIll(m *Member, by int) {
	if m.Name != t.self.Name && m.Health != Alive {
		t.ill += by
	}
}

func (t *Table) forget(name string) {
	m := t.members[name]
	t.digest[bucketOf(name)] ^= m.hash()
	t.countIll(m, -1)
	delete(t.members, name)
	delete(t.news, name)
	t.ring = slices.DeleteFunc(t.ring, func(e ringEntry) bool { return e.name == name })
}

func hashOf(name string) uint64 {
	return xxhash.Sum64String(name)
}

func bucketOf(name string) int {
	return int(hashOf(name) % buckets)
}
