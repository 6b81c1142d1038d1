package agent

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/cyclamenpoint/cyclamenpoint/admission"
	"github.com/cyclamenpoint/cyclamenpoint/engine"
)

// Terms of watching an endpoint.
const (
	watchEvery    = 500 * time.Millisecond
	failuresToEnd = 2
	maxPrefixes   = 65_536
)

// watch follows the endpoint's health and the prompt prefixes that it caches.
type watch struct {
	client   *engine.Client
	queue    *admission.Queue
	endpoint string
	failures int
	down     bool

	mu       sync.Mutex
	prefixes map[uint64]struct{}
	seq      int64
}

func newWatch(client *engine.Client, queue *admission.Queue, endpoint string) *watch {
	return &watch{client: client, queue: queue, endpoint: endpoint, prefixes: make(map[uint64]struct{})}
}

func (w *watch) run(ctx context.Context) {
	ticker := time.NewTicker(watchEvery)
	defer ticker.Stop()
	for {
		w.health(ctx)
		if !w.down {
			w.events(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// health sets the endpoint down after failuresToEnd failures in a row, and up
// after the first success.
func (w *watch) health(ctx context.Context) {
	err := w.client.Health(ctx)
	if ctx.Err() != nil {
		return
	}
	if err == nil {
		w.failures = 0
		w.set(false, "it answers")
		return
	}
	w.failures++
	if w.failures >= failuresToEnd {
		w.set(true, err.Error())
		w.forget()
	}
}

func (w *watch) set(down bool, reason string) {
	if w.down == down {
		return
	}
	w.down = down
	w.queue.SetDown(down)
	if down {
		klog.Warningf("agent: endpoint %s is down: %s.", w.endpoint, reason)
		return
	}
	klog.Infof("agent: endpoint %s is up: %s.", w.endpoint, reason)
}

// events takes the engine's cache events. Those of a plain service fail and
// leave the set empty.
func (w *watch) events(ctx context.Context) {
	events, err := w.client.CacheEvents(ctx, w.seq)
	if err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range events {
		w.seq = max(w.seq, e.Seq)
		if !e.Stored {
			delete(w.prefixes, e.Block)
			continue
		}
		if len(w.prefixes) < maxPrefixes {
			w.prefixes[e.Block] = struct{}{}
		}
	}
}

// forget drops the prefixes of an engine that has gone: its cache went with it.
func (w *watch) forget() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.prefixes = make(map[uint64]struct{})
	w.seq = 0
}

// matched returns how many of the prefixes, longest first, the engine holds:
// all that are as long as the longest one held, or shorter.
func (w *watch) matched(prefixes []uint64) uint32 {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, p := range prefixes {
		if _, ok := w.prefixes[p]; ok {
			return uint32(len(prefixes) - i)
		}
	}
	return 0
}
