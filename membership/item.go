package membership

import (
	"bytes"
	"encoding/binary"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	cyclamenpointv1 "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
)

const (
	// MaxItemBytes bounds the value of an item.
	MaxItemBytes = 1024
	// MaxItems bounds the number of items in a table.
	MaxItems = 4096
)

// ItemKey identifies an item.
type ItemKey struct {
	// Kind names the component that owns the item, such as "config" or
	// "quarantine".
	Kind string
	// Key identifies the item within its kind.
	Key string
}

// Item is a versioned value that is replicated to all processes. Its content is
// opaque to this package.
type Item struct {
	ItemKey
	// Version orders the item's states; the highest wins.
	Version uint64
	Value   []byte
	// Expires is the local time at which the item is deleted; the zero time means
	// never.
	Expires time.Time
}

// ItemTooLargeError reports an item whose value exceeds MaxItemBytes.
type ItemTooLargeError struct {
	Key  ItemKey
	Size int
}

// Error implements error.
func (e *ItemTooLargeError) Error() string {
	return "item " + e.Key.Kind + "/" + e.Key.Key + " has " + strconv.Itoa(e.Size) + " bytes, the limit is " + strconv.Itoa(MaxItemBytes)
}

// TooManyItemsError reports that a table already holds MaxItems items.
type TooManyItemsError struct {
	Key ItemKey
}

// Error implements error.
func (e *TooManyItemsError) Error() string {
	return "no room for item " + e.Key.Kind + "/" + e.Key.Key + " beside " + strconv.Itoa(MaxItems) + " others"
}

// newer reports whether a replaces b: the higher version wins, and at equal
// versions the greater value, so that all processes converge on the same item.
func (a *Item) newer(b *Item) bool {
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	return bytes.Compare(a.Value, b.Value) > 0
}

func (a *Item) hash() uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], a.Version)
	d := xxhash.New()
	// Writes to an xxhash.Digest never fail.
	_, _ = d.WriteString(a.Kind)
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(a.Key)
	_, _ = d.Write(b[:])
	_, _ = d.Write(a.Value)
	return d.Sum64()
}

// message encodes the item. It reports false for an item in its last second:
// the remaining lifetime is sent in whole seconds, rounded down, so that passing
// an item on never extends its lifetime.
func (a *Item) message(now time.Time) (*cyclamenpointv1.Item, bool) {
	m := &cyclamenpointv1.Item{Kind: a.Kind, Key: a.Key, Version: a.Version, Value: a.Value}
	if a.Expires.IsZero() {
		return m, true
	}
	left := a.Expires.Sub(now) / time.Second
	m.RemainingSeconds = uint32(max(left, 0))
	return m, left > 0
}

// itemOf decodes an item from another process.
func itemOf(m *cyclamenpointv1.Item, now time.Time) Item {
	item := Item{ItemKey: ItemKey{Kind: m.GetKind(), Key: m.GetKey()}, Version: m.GetVersion(), Value: m.GetValue()}
	if left := m.GetRemainingSeconds(); left > 0 {
		item.Expires = now.Add(time.Duration(left) * time.Second)
	}
	return item
}
