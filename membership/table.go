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
	// deadRetention is how long a dead member stays in the table, so that late
	// updates about it are recognised as old.
	deadRetention = 24 * time.Hour
	// MaxMembers bounds the number of members in a table.
	MaxMembers = 8192
)

// Member is a record with local timestamps.
type Member struct {
	Record
	// FirstSeen is when this process first received the incarnation.
	FirstSeen time.Time
	// HealthChanged is when the health last changed in this table.
	HealthChanged time.Time
}

// Digest holds one hash for each bucket of a table's state.
type Digest [buckets]uint64

// Table is one process's view of all processes and items. It is not safe for
// concurrent use.
type Table struct {
	self    Record
	members map[string]*Member
	items   map[ItemKey]*Item
	digest  Digest
	// memberPushes and itemPushes hold the remaining rounds of pushes for each
	// pending update.
	memberPushes map[string]int
	itemPushes   map[ItemKey]int
	// ring holds all members in the order of their hashes.
	ring []ringEntry
	// unhealthy is the number of other members that are suspect or dead.
	unhealthy int
}

// ringEntry is a member's position on the ring of hashed names.
type ringEntry struct {
	hash uint64
	name string
}

// pushRounds is the number of rounds of pushes in which an update is sent.
const pushRounds = 2

// NewTable returns a table that holds only self.
func NewTable(self Record, now time.Time) *Table {
	t := &Table{
		self:         self,
		members:      make(map[string]*Member),
		items:        make(map[ItemKey]*Item),
		memberPushes: make(map[string]int),
		itemPushes:   make(map[ItemKey]int),
	}
	t.store(self, now)
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

// Apply merges a record and reports whether anything changed. It drops records
// of new processes while the table is full. It refutes a wrong record of this
// process by raising this process's sequence, or its incarnation if the record
// has a higher one.
func (t *Table) Apply(r Record, now time.Time) bool {
	if r.Name == t.self.Name {
		return t.applySelf(r, now)
	}
	next := r
	if old := t.members[r.Name]; old != nil {
		next = Merge(old.Record, r)
		if next == old.Record {
			t.countDuplicate(r)
			return false
		}
	} else if len(t.members) >= MaxMembers {
		return false
	}
	t.store(next, now)
	t.memberPushes[r.Name] = pushRounds
	return true
}

// countDuplicate removes one round of pushes from a pending update that arrives
// again from another process, which is already pushing it. Updates about members
// that are suspect, dead or leaving are urgent and always pushed in all rounds.
func (t *Table) countDuplicate(r Record) {
	left, ok := t.memberPushes[r.Name]
	if !ok || t.members[r.Name].Record != r || r.Health != Alive || r.Leaving {
		return
	}
	if left <= 1 {
		delete(t.memberPushes, r.Name)
		return
	}
	t.memberPushes[r.Name] = left - 1
}

// applySelf merges a record of this process.
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
	t.store(next, now)
	t.memberPushes[next.Name] = pushRounds
	return true
}

// Suspect marks an incarnation of a member as suspect. It reports false if the
// member has another incarnation or is not alive.
func (t *Table) Suspect(name string, incarnation uint64, now time.Time) bool {
	return t.changeHealth(name, incarnation, Alive, Suspect, now)
}

// changeHealth changes the health of a member from one state to another. It
// reports false if the member has another incarnation or state.
func (t *Table) changeHealth(name string, incarnation uint64, from, to Health, now time.Time) bool {
	m := t.members[name]
	if m == nil || m.Incarnation != incarnation || m.Health != from {
		return false
	}
	r := m.Record
	r.Health = to
	return t.Apply(r, now)
}

// MarkLeaving marks an incarnation of a member as leaving. It reports false if
// the member has another incarnation or is already leaving.
func (t *Table) MarkLeaving(name string, incarnation uint64, now time.Time) bool {
	m := t.members[name]
	if m == nil || m.Incarnation != incarnation || m.Leaving {
		return false
	}
	r := m.Record
	r.Leaving = true
	return t.Apply(r, now)
}

// Expire declares members dead that have been suspect for timeout, and removes
// old dead members and expired items. While most members are unhealthy it
// declares none dead: the fault is more likely on this process's side. It
// returns the names of the members that it declared dead.
func (t *Table) Expire(timeout time.Duration, now time.Time) []string {
	var dead []string
	majorityUnhealthy := t.MajorityUnhealthy()
	for name, m := range t.members {
		age := now.Sub(m.HealthChanged)
		switch {
		case m.Health == Suspect && age >= timeout && !majorityUnhealthy:
			dead = append(dead, name)
		case m.Health == Dead && age >= deadRetention:
			t.remove(name)
		}
	}
	slices.Sort(dead)
	for _, name := range dead {
		t.changeHealth(name, t.members[name].Incarnation, Suspect, Dead, now)
	}
	for key, item := range t.items {
		if !item.Expires.IsZero() && !now.Before(item.Expires) {
			t.digest[bucketOf(key.Key)] ^= item.hash()
			delete(t.items, key)
		}
	}
	return dead
}

// MajorityUnhealthy reports whether more than half of the other members are
// suspect or dead. The fault is then more likely on this process's side.
func (t *Table) MajorityUnhealthy() bool {
	others := len(t.members) - 1
	return t.unhealthy*2 > others
}

// Put adds an item or replaces an older version. It reports false if the table
// holds the same or a newer version.
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
	t.itemPushes[item.ItemKey] = pushRounds
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

// Digest returns the digest of the table's state.
func (t *Table) Digest() Digest {
	return t.digest
}

// PingTargets returns the members that this process pings: the next n on the
// ring of hashed names that are not dead.
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

// store stores a record and updates the digest, the ring and the count of
// unhealthy members.
func (t *Table) store(r Record, now time.Time) {
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
		t.adjustUnhealthy(m, -1)
	}
	if m.Incarnation != r.Incarnation {
		m.FirstSeen = now
	}
	if m.Health != r.Health {
		m.HealthChanged = now
	}
	m.Record = r
	t.digest[bucket] ^= m.hash()
	t.adjustUnhealthy(m, 1)
}

func (t *Table) adjustUnhealthy(m *Member, by int) {
	if m.Name != t.self.Name && m.Health != Alive {
		t.unhealthy += by
	}
}

func (t *Table) remove(name string) {
	m := t.members[name]
	t.digest[bucketOf(name)] ^= m.hash()
	t.adjustUnhealthy(m, -1)
	delete(t.members, name)
	delete(t.memberPushes, name)
	t.ring = slices.DeleteFunc(t.ring, func(e ringEntry) bool { return e.name == name })
}

func hashOf(name string) uint64 {
	return xxhash.Sum64String(name)
}

func bucketOf(name string) int {
	return int(hashOf(name) % buckets)
}
