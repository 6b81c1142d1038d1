package retry

import (
	"sync"
	"time"
)

// WindowConfig configures a Window.
type WindowConfig struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Reserve is the number of retries that all entry nodes together may send in
	// one period in addition.
	Reserve float64
	// Period is the length of the sliding window.
	Period time.Duration
}

const (
	// numBuckets is the number of buckets that divide a window.
	numBuckets = 20
	// reserveFraction is the fraction of the reserve that is divided between the
	// entry nodes. The rest covers those that restart and lose their counts.
	reserveFraction = 0.5
)

// Window limits the retries of one entry node to one service within a sliding
// window, without coordination between entry nodes: the limit is Ratio times the
// node's requests plus an equal part of the common reserve. It is safe for
// concurrent use.
type Window struct {
	cfg WindowConfig

	mu    sync.Mutex
	nodes int
	// firsts and retries count the first sends and the retries in each bucket;
	// newest is the number of the newest bucket.
	firsts, retries [numBuckets]int
	newest          int64
}

// NewWindow returns an empty window for a single entry node.
func NewWindow(cfg WindowConfig) *Window {
	return &Window{cfg: cfg, nodes: 1}
}

// SetNodes sets the number of entry nodes that share the reserve.
func (w *Window) SetNodes(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes = max(n, 1)
}

// advance clears the buckets that have left the window and returns the index of
// the newest one.
func (w *Window) advance(now time.Time) int {
	bucket := now.UnixNano() / int64(w.cfg.Period/numBuckets)
	for k := max(w.newest+1, bucket-numBuckets+1); k <= bucket; k++ {
		w.firsts[k%numBuckets], w.retries[k%numBuckets] = 0, 0
	}
	w.newest = max(w.newest, bucket)
	return int(w.newest % numBuckets)
}

// RecordFirst counts the first send of a request.
func (w *Window) RecordFirst(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.firsts[w.advance(now)]++
}

// TryRetry counts a retry and reports true, unless it would exceed the limit.
func (w *Window) TryRetry(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	bucket := w.advance(now)
	firsts, retries := 0, 0
	for i := range numBuckets {
		firsts += w.firsts[i]
		retries += w.retries[i]
	}
	limit := w.cfg.Ratio*float64(firsts) + w.cfg.Reserve*reserveFraction/float64(w.nodes)
	if float64(retries+1) > limit {
		return false
	}
	w.retries[bucket]++
	return true
}
