package membership

import (
	"time"

	cyclamenpointv1 "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
)

// maxUpdatesPerMessage bounds the members, and separately the items, of a push.
const maxUpdatesPerMessage = 64

// payload is the content of a message.
type payload struct {
	members []*cyclamenpointv1.Member
	items   []*cyclamenpointv1.Item
}

func (p *payload) empty() bool {
	return len(p.members)+len(p.items) == 0
}

// takeUpdates returns the updates for one round of pushes and decrements their
// remaining rounds.
func (t *Table) takeUpdates(now time.Time) payload {
	p := t.peekUpdates(now)
	for _, m := range p.members {
		t.memberPushes[m.Name]--
		if t.memberPushes[m.Name] <= 0 {
			delete(t.memberPushes, m.Name)
		}
	}
	for _, m := range p.items {
		key := ItemKey{Kind: m.Kind, Key: m.Key}
		t.itemPushes[key]--
		if t.itemPushes[key] <= 0 {
			delete(t.itemPushes, key)
		}
	}
	return p
}

// peekUpdates returns pending updates without decrementing their remaining
// rounds.
func (t *Table) peekUpdates(now time.Time) payload {
	var p payload
	for name := range t.memberPushes {
		if len(p.members) == maxUpdatesPerMessage {
			break
		}
		p.members = append(p.members, t.members[name].message())
	}
	for key := range t.itemPushes {
		if len(p.items) == maxUpdatesPerMessage {
			break
		}
		item := t.items[key]
		if item == nil {
			delete(t.itemPushes, key)
			continue
		}
		m, ok := item.message(now)
		if !ok {
			delete(t.itemPushes, key)
			continue
		}
		p.items = append(p.items, m)
	}
	return p
}

// inDifferingBuckets returns the members and items in the buckets whose hashes
// differ from those in other.
func (t *Table) inDifferingBuckets(other []uint64, now time.Time) payload {
	if len(other) != buckets {
		return t.fullState(now)
	}
	return t.inBuckets(func(bucket int) bool { return t.digest[bucket] != other[bucket] }, now)
}

// fullState returns all members and items.
func (t *Table) fullState(now time.Time) payload {
	return t.inBuckets(func(int) bool { return true }, now)
}

// inBuckets returns the members and items in the wanted buckets.
func (t *Table) inBuckets(wanted func(bucket int) bool, now time.Time) payload {
	var p payload
	for name, m := range t.members {
		if wanted(bucketOf(name)) {
			p.members = append(p.members, m.message())
		}
	}
	for key, item := range t.items {
		if !wanted(bucketOf(key.Key)) {
			continue
		}
		if m, ok := item.message(now); ok {
			p.items = append(p.items, m)
		}
	}
	return p
}

// merge merges the state that another process sent, and returns the names of
// the members and the keys of the items that changed.
func (t *Table) merge(members []*cyclamenpointv1.Member, items []*cyclamenpointv1.Item, now time.Time) changes {
	var c changes
	for _, m := range members {
		r, ok := recordOf(m)
		if ok && t.Apply(r, now) {
			c.members = append(c.members, r.Name)
		}
	}
	for _, m := range items {
		item := itemOf(m, now)
		// Items beyond the limits are dropped: the sender has exceeded them.
		if changed, err := t.Put(item); err == nil && changed {
			c.items = append(c.items, item.ItemKey)
		}
	}
	return c
}

// changes lists the members and items that a merge changed.
type changes struct {
	members []string
	items   []ItemKey
}

func (c *changes) any() bool {
	return len(c.members)+len(c.items) > 0
}
