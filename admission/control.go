package admission

import (
	"context"
	"math"
	"time"

	"k8s.io/klog/v2"
)

// Load returns a snapshot of the queue's load.
func (q *Queue) Load() Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	idleFlow := &flow{share: 1, tag: math.Inf(-1)}
	return Load{
		Queued:   q.sched.queued,
		Running:  q.running,
		Slots:    q.slots,
		Wait:     q.estimate(idleFlow, q.estimator.meanRun()),
		Draining: q.drain != serving,
		Down:     q.down,
	}
}

// SetSlots changes the number of slots, which is at least 1. Running requests
// keep their slots.
func (q *Queue) SetSlots(slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.slots = max(slots, 1)
	q.dispatch()
}

// SetDown sets whether the engine is down. While it is down, queued and new
// requests are refused; running requests keep their slots until released.
func (q *Queue) SetDown(down bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.down == down {
		return
	}
	klog.Infof("admission: endpoint %s: engine down: %t, %d queued", q.cfg.Endpoint, down, q.sched.queued)
	q.down = down
	if down {
		q.refuseQueued(ReasonEngineDown)
		q.finishDrain()
		return
	}
	q.dispatch()
}

// Drain refuses new requests, lets queued requests start during DrainGrace and
// refuses the rest. It returns when no request is running, or with ctx's error.
// Running requests are not interrupted. A drain cannot be undone.
func (q *Queue) Drain(ctx context.Context) error {
	q.beginDrain()
	grace := time.NewTimer(q.cfg.DrainGrace)
	defer grace.Stop()
	select {
	case <-q.idle:
		return nil
	case <-grace.C:
		q.endDrainGrace()
	case <-ctx.Done():
		q.endDrainGrace()
	}
	select {
	case <-q.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (q *Queue) beginDrain() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.drain != serving {
		return
	}
	klog.Infof("admission: endpoint %s: draining, %d running, %d queued", q.cfg.Endpoint, q.running, q.sched.queued)
	q.drain = draining
	q.finishDrain()
}

func (q *Queue) endDrainGrace() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.drain != draining {
		return
	}
	q.drain = drained
	q.refuseQueued(ReasonDraining)
	q.closeIfDrained()
}

// finishDrain completes a drain once no request is running or queued.
func (q *Queue) finishDrain() {
	if q.drain == draining && q.running == 0 && q.sched.queued == 0 {
		q.drain = drained
	}
	q.closeIfDrained()
}

func (q *Queue) closeIfDrained() {
	if q.drain != drained || q.running > 0 {
		return
	}
	select {
	case <-q.idle:
	default:
		close(q.idle)
	}
}
