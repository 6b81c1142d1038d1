package follow

import (
	"cmp"
	"fmt"
	"log/slog"
	"slices"
	"sync"
)

// Position identifies a state of the store. A version alone does not: a store that is restored
// gives versions out again, for other contents.
type Position struct {
	_ struct{} `cbor:",toarray"`
	// Era counts the restores of the store, and Version its transactions.
	Era     uint64 `json:"era"`
	Version uint64 `json:"version"`
}

// Compare returns -1, 0 or +1 if p is older than, equal to or newer than q.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Version, q.Version))
}

// After reports whether p is newer than q.
func (p Position) After(q Position) bool { return p.Compare(q) > 0 }

// newer returns the newer one of two positions.
func newer(p, q Position) Position {
	if q.After(p) {
		return q
	}
	return p
}

// String returns the position as it appears in logs, as "era/version".
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Era, p.Version) }

// LogValue implements slog.LogValuer.
func (p Position) LogValue() slog.Value { return slog.StringValue(p.String()) }

// Eras tracks the era of the store. A store that is restored from an earlier copy of itself
// enters the next era: it has lost transactions that it had acknowledged, and gives their
// versions out again. Every answer of the store shows its era. An Eras is safe for
// concurrent use; the zero value is ready for use.
type Eras struct {
	mu        sync.Mutex
	known     bool
	newest    uint64
	observers []func(era uint64)
}

// Observe records the era of an answer. Answers may arrive late, so an older era has no
// effect.
func (e *Eras) Observe(era uint64) {
	e.mu.Lock()
	restored := e.known && era > e.newest
	if !e.known || restored {
		e.known, e.newest = true, era
	}
	observers := slices.Clone(e.observers)
	e.mu.Unlock()
	if !restored {
		return
	}
	for _, notify := range observers {
		notify(era)
	}
}

// Newest returns the newest era that an answer has shown, zero before the first answer.
func (e *Eras) Newest() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.newest
}

// OnRestore adds a function that is called with each new era after the first one. It must
// not block.
func (e *Eras) OnRestore(notify func(era uint64)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.observers = append(e.observers, notify)
}
