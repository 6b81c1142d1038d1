package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/standin/rowstore"
)

// rowID identifies a row of the store.
type rowID struct{ table, key string }

// rowWriter stands for the operators and endpoints: it writes their rows, and writes them again
// after the store has been restored from an earlier copy.
type rowWriter struct {
	store *rowstore.Store
	// restores counts the restores that are planned or whose rows are not written again yet.
	restores sync.WaitGroup

	mu sync.Mutex
	// written holds the rows as they were written last, nil if they were removed.
	written map[rowID][]byte
}

func newRowWriter(store *rowstore.Store) *rowWriter {
	return &rowWriter{store: store, written: make(map[rowID][]byte)}
}

func (w *rowWriter) put(table, key string, value []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.written[rowID{table, key}] = bytes.Clone(value)
	w.store.Put(table, key, value)
}

func (w *rowWriter) remove(table, key string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.written[rowID{table, key}] = nil
	w.store.Remove(table, key)
}

// restore returns the store to a snapshot, and writes each row again within a second.
func (w *rowWriter) restore(to rowstore.Snapshot, rng *rand.Rand) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.store.Restore(to)
	for id := range w.written {
		w.restores.Add(1)
		time.AfterFunc(time.Duration(rng.Int64N(int64(time.Second))), func() {
			defer w.restores.Done()
			w.rewrite(id)
		})
	}
}

func (w *rowWriter) rewrite(id rowID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if value := w.written[id]; value != nil {
		w.store.Put(id.table, id.key, value)
		return
	}
	w.store.Remove(id.table, id.key)
}

// randomRestore returns a restore of the store from a copy that is some time old, after the store
// was away for a moment.
func (b *testbed) randomRestore() (string, func()) {
	age := time.Duration(b.restoreRNG.IntN(3000)) * time.Millisecond
	away := time.Duration(b.restoreRNG.IntN(1500)) * time.Millisecond
	rng := rand.New(rand.NewPCG(b.restoreRNG.Uint64(), 1))
	return fmt.Sprintf("store restored from a copy that is %s old, after %s", age, away), func() {
		snapshot := b.store.Snapshot()
		b.rows.restores.Add(1)
		time.AfterFunc(age, func() {
			b.store.SetMode(func(string) rowstore.Mode { return rowstore.ServiceUnavailable })
			b.storeProxy.reset()
			time.AfterFunc(away, func() {
				defer b.rows.restores.Done()
				b.rows.restore(snapshot, rng)
				b.store.SetMode(func(string) rowstore.Mode { return rowstore.Normal })
			})
		})
	}
}
