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

// Limits of the monitoring of an endpoint.
const (
	// healthInterval is the time between two checks of the endpoint.
	healthInterval = 500 * time.Millisecond
	// failuresUntilDown is the number of consecutive failed checks after which the
	// endpoint is down.
	failuresUntilDown = 2
	// maxPrefixes limits the stored prefixes; further ones are ignored.
	maxPrefixes = 65_536
)

// monitor follows the endpoint's health and the prompt prefixes in its cache.
type monitor struct {
	client *engine.Client
	queue  *admission.Queue
	gate   *quarantine.Gate
	// endpoint is the endpoint's name, for the log.
	endpoint string

	// healthMu guards failures, down and bootID.
	healthMu sync.Mutex
	failures int
	down     bool
	bootID   string

	// prefixMu guards prefixes and lastSeq.
	prefixMu sync.Mutex
	prefixes map[uint64]struct{}
	// lastSeq is the number of the last cache event that was read.
	lastSeq int64
}

func newMonitor(client *engine.Client, queue *admission.Queue, gate *quarantine.Gate, endpoint string) *monitor {
	return &monitor{client: client, queue: queue, gate: gate, endpoint: endpoint, prefixes: make(map[uint64]struct{})}
}

// run checks the endpoint periodically until ctx ends.
func (m *monitor) run(ctx context.Context) {
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	for {
		m.checkHealth(ctx)
		m.readCacheEvents(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// checkHealth checks the endpoint once. The endpoint is down after
// failuresUntilDown consecutive failures, and up after the first success. If
// its boot ID changes without a failure in between, it has crashed too.
func (m *monitor) checkHealth(ctx context.Context) {
	h, err := m.client.Health(ctx)
	if ctx.Err() != nil {
		return
	}
	m.healthMu.Lock()
	defer m.healthMu.Unlock()
	if err == nil {
		m.failures = 0
		m.markUp(h)
		return
	}
	m.failures++
	if m.failures >= failuresUntilDown {
		m.markDown(err)
	}
}

// checkAfterFailure checks the endpoint at once after a call failed, while the
// gate still counts the call as in flight, so that a crash is attributed to it.
// It does nothing if the caller disconnected or the failure is not an
// *engine.BrokenError, since these show no crash.
func (m *monitor) checkAfterFailure(ctx context.Context, cause error) {
	var broken *engine.BrokenError
	if ctx.Err() != nil || !errors.As(cause, &broken) {
		return
	}
	m.healthMu.Lock()
	defer m.healthMu.Unlock()
	if m.down {
		return
	}
	h, err := m.client.Health(ctx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		m.markDown(err)
		return
	}
	m.markUp(h)
}

// markDown closes the queue until the endpoint answers again. It records a crash
// unless the check timed out: a slow endpoint has not crashed.
func (m *monitor) markDown(reason error) {
	if m.down {
		return
	}
	m.down = true
	m.queue.SetDown(true)
	var timeout *engine.TimeoutError
	if errors.As(reason, &timeout) {
		klog.Warningf("agent: endpoint %s is down: %s.", m.endpoint, reason)
		return
	}
	m.recordCrash(reason.Error())
	m.bootID = ""
}

// markUp records a successful check, and reopens the queue if the endpoint was
// down. If the endpoint was restarted since the last check, it records a crash.
func (m *monitor) markUp(h engine.Health) {
	if m.bootID != "" && h.BootID != "" && m.bootID != h.BootID {
		m.queue.SetDown(true)
		m.recordCrash("its boot ID has changed")
		m.down = true
	}
	m.bootID = h.BootID
	if !m.down {
		return
	}
	m.down = false
	m.queue.SetDown(false)
	klog.Infof("agent: endpoint %s is up again.", m.endpoint)
}

// recordCrash records a crash. The caller has closed the queue.
func (m *monitor) recordCrash(reason string) {
	id := m.gate.RecordCrash()
	m.clearPrefixes()
	klog.Warningf("agent: endpoint %s crashed, recorded as crash %s: %s.", m.endpoint, id, reason)
}

// readCacheEvents applies the engine's new cache events to the set of prefixes.
// It ignores errors: a plain service has no cache events.
func (m *monitor) readCacheEvents(ctx context.Context) {
	events, err := m.client.CacheEvents(ctx, m.lastSeq)
	if err != nil {
		return
	}
	m.prefixMu.Lock()
	defer m.prefixMu.Unlock()
	for _, e := range events {
		m.lastSeq = max(m.lastSeq, e.Seq)
		if !e.Stored {
			delete(m.prefixes, e.Block)
			continue
		}
		if len(m.prefixes) < maxPrefixes {
			m.prefixes[e.Block] = struct{}{}
		}
	}
}

// clearPrefixes removes all prefixes, since a crashed engine has lost its
// cache.
func (m *monitor) clearPrefixes() {
	m.prefixMu.Lock()
	defer m.prefixMu.Unlock()
	m.prefixes = make(map[uint64]struct{})
	m.lastSeq = 0
}

// matchedPrefixes returns how many of the given prefixes of one prompt, longest
// first, are in the engine's cache: the longest one found, and all shorter
// ones.
func (m *monitor) matchedPrefixes(prefixes []uint64) uint32 {
	m.prefixMu.Lock()
	defer m.prefixMu.Unlock()
	for i, p := range prefixes {
		if _, ok := m.prefixes[p]; ok {
			return uint32(len(prefixes) - i)
		}
	}
	return 0
}
