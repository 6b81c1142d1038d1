package retry

import (
	"sync"
	"time"
)

// WindowConfig bounds a Window.
type WindowConfig struct {
	// Ratio is the number of second sends that each request earns.
	Ratio float64
	// Reserve is what all nodes together may send besides in one period.
	Reserve float64
	// Period is the length of the sliding window.
	Period time.Duration
}

const (
	// buckets is the number of parts that a window is counted in.
	buckets = 20
	// reserveUsed is the part of the reserve that nodes share out. The rest is
	// for nodes that restart and have forgotten what they sent.
	reserveUsed = 0.5
)

// Window bounds the second sends of one node to one service in every sliding
// window, whatever the other nodes do: its own requests earn a share of
// themselves, and the common reserve is divided by the number of nodes. It is
// safe for concurrent use.
type Window struct {
	cfg WindowConfig

	mu    sync.Mutex
	nodes int
	// first and again count the sends of each part of the window; at is the
	// newest part.
	first, again [buckets]int
	at           int64
}

// NewWindow returns an empty window of one node.
func NewWindow(cfg WindowConfig) *Window {
	return &Window{cfg: cfg, nodes: 1}
}

// SetNodes says how many nodes share the reserve.
func (w *Window) SetNodes(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes = max(n, 1)
}

// advance clears the parts that have left the window.
func (w *Window) advance(now time.Time) int {
	part := now.UnixNano() / int64(w.cfg.Period/buckets)
	for k := max(w.at+1, part-buckets+1); k <= part; k++ {
		w.first[k%buckets], w.again[k%buckets] = 0, 0
	}
	w.at = max(w.at, part)
	return int(w.at % buckets)
}

// RecordFirst counts a request's first send.
func (w *Window) RecordFirst(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.first[w.advance(now)]++
}

// TryRetry counts a second send and reports whether the window has room for it.
func (w *Window) TryRetry(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	part := w.advance(now)
	first, again := 0, 0
	for i := range buckets {
		first += w.first[i]
		again += w.again[i]
	}
	allowed := w.cfg.Ratio*float64(first) + w.cfg.Reserve*reserveUsed/float64(w.nodes)
	if float64(again+1) > allowed {
		return false
	}
	w.again[part]++
	return true
}
