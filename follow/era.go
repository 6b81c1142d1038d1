package follow

import (
	"slices"
	"sync"
)

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
