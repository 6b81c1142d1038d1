package agent

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/cyclamenpoint/cyclamenpoint/admission"
	"github.com/cyclamenpoint/cyclamenpoint/engine"
	"github.com/cyclamenpoint/cyclamenpoint/quarantine"
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
	gate     *quarantine.Gate
	endpoint string

	// condition guards failures, down and boot.
	condition sync.Mutex
	failures  int
	down      bool
	boot      string

	mu       sync.Mutex
	prefixes map[uint64]struct{}
	seq      int64
}

func newWatch(client *engine.Client, queue *admission.Queue, gate *quarantine.Gate, endpoint string) *watch {
	return &watch{client: client, queue: queue, gate: gate, endpoint: endpoint, prefixes: make(map[uint64]struct{})}
}

func (w *watch) run(ctx context.Context) {
	ticker := time.NewTicker(watchEvery)
	defer ticker.Stop()
	for {
		w.health(ctx)
		w.events(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// health looks at the endpoint. It counts as down after failuresToEnd failures
// in a row, and as up after the first success. A new boot without a failure in
// between is a crash, too.
func (w *watch) health(ctx context.Context) {
	h, err := w.client.Health(ctx)
	if ctx.Err() != nil {
		return
	}
	w.condition.Lock()
	defer w.condition.Unlock()
	if err == nil {
		w.failures = 0
		w.answered(h)
		return
	}
	w.failures++
	if w.failures >= failuresToEnd {
		w.close(err)
	}
}

// broke looks at the endpoint at once after a run broke off. A run that broke
// off because its endpoint crashed is still in flight for the gate then. The
// endings of the caller or of a connection are no crash.
func (w *watch) broke(ctx context.Context, cause error) {
	var broken *engine.BrokenError
	if ctx.Err() != nil || !errors.As(cause, &broken) {
		return
	}
	w.condition.Lock()
	defer w.condition.Unlock()
	if w.down {
		return
	}
	h, err := w.client.Health(ctx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		w.close(err)
		return
	}
	w.answered(h)
}

// close closes the queue, once until the endpoint answers again. Silence alone
// makes no suspects: a slow endpoint has not crashed.
func (w *watch) close(reason error) {
	if w.down {
		return
	}
	w.down = true
	w.queue.SetDown(true)
	var slow *engine.SlowError
	if errors.As(reason, &slow) {
		klog.Warningf("agent: endpoint %s takes no more work: %s.", w.endpoint, reason)
		return
	}
	w.crashed(reason.Error())
	w.boot = ""
}

// answered notes a living endpoint.
func (w *watch) answered(h engine.Health) {
	if w.boot != "" && h.Boot != "" && w.boot != h.Boot {
		w.queue.SetDown(true)
		w.crashed("it answers as another process")
		w.down = true
	}
	w.boot = h.Boot
	if !w.down {
		return
	}
	w.down = false
	w.queue.SetDown(false)
	klog.Infof("agent: endpoint %s is up: it answers.", w.endpoint)
}

// crashed records a crash. The queue is closed.
func (w *watch) crashed(reason string) {
	id := w.gate.RecordCrash()
	w.forget()
	klog.Warningf("agent: endpoint %s crashed, crash %s: %s.", w.endpoint, id, reason)
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
