package membership

import (
	"time"

	cyclamenpointv1 "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
)

// maxNews bounds the members and the items of one push.
const maxNews = 64

// parcel is what one message carries.
type parcel struct {
	members []*cyclamenpointv1.Member
	items   []*cyclamenpointv1.Item
}

func (p *parcel) empty() bool {
	return len(p.members)+len(p.items) == 0
}

// takeNews returns news for one round of pushes and counts the round.
func (t *Table) takeNews(now time.Time) parcel {
	p := t.peekNews(now)
	for _, m := range p.members {
		t.news[m.Name]--
		if t.news[m.Name] <= 0 {
			delete(t.news, m.Name)
		}
	}
	for _, m := range p.items {
		key := ItemKey{Kind: m.Kind, Key: m.Key}
		t.itemsTo[key]--
		if t.itemsTo[key] <= 0 {
			delete(t.itemsTo, key)
		}
	}
	return p
}

// peekNews returns news without counting a round.
func (t *Table) peekNews(now time.Time) parcel {
	var p parcel
	for name := range t.news {
		if len(p.members) == maxNews {
			break
		}
		p.members = append(p.members, t.members[name].message())
	}
	for key := range t.itemsTo {
		if len(p.items) == maxNews {
			break
		}
		item := t.items[key]
		if item == nil {
			delete(t.itemsTo, key)
			continue
		}
		m, ok := item.message(now)
		if !ok {
			delete(t.itemsTo, key)
			continue
		}
		p.items = append(p.items, m)
	}
	return p
}

// differing returns all that lies in buckets whose hash is not that of other.
func (t *Table) differing(other []uint64, now time.Time) parcel {
	if len(other) != buckets {
		return t.everything(now)
	}
	return t.gather(func(bucket int) bool { return t.digest[bucket] != other[bucket] }, now)
}

// everything returns the whole state.
func (t *Table) everything(now time.Time) parcel {
	return t.gather(func(int) bool { return true }, now)
}

func (t *Table) gather(wanted func(bucket int) bool, now time.Time) parcel {
	var p parcel
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

// absorb merges what another process sent and returns the names of the members
// and the keys of the items that changed.
func (t *Table) absorb(members []*cyclamenpointv1.Member, items []*cyclamenpointv1.Item, now time.Time) changes {
	var c changes
	for _, m := range members {
		r, ok := recordOf(m)
		if ok && t.Apply(r, now) {
			c.members = append(c.members, r.Name)
		}
	}
	for _, m := range items {
		item := itemOf(m, now)
		// An item that is too large or one too many is dropped: it is the
		// sender that broke the bounds.
		if fresh, err := t.Put(item); err == nil && fresh {
			c.items = append(c.items, item.ItemKey)
		}
	}
	return c
}

// changes lists what a merge changed.
type changes struct {
	members []string
	items   []ItemKey
}

func (c *changes) any() bool {
	return len(c.members)+len(c.items) > 0
}
