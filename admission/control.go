package admission

import (
	"context"
	"math"
	"time"

	"k8s.io/klog/v2"
)

// Load returns a snapshot for probes and hints.
func (q *Queue) Load() Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	fresh := &flow{share: 1, tag: math.Inf(-1)}
	return Load{
		Queued:   q.sched.queued,
		Running:  q.running,
		Slots:    q.slots,
		Wait:     q.estimate(fresh, q.rate.meanRun()),
		Draining: q.drain != serving,
		Down:     q.down,
	}
}

// SetSlots changes the number of slots, at least 1. Running requests keep
// theirs.
func (q *Queue) SetSlots(slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.slots = max(slots, 1)
	q.dispatch()
}

// SetDown tells whether the engine is down. While it is, queued and new
// requests are refused; running ones keep their slots until released.
func (q *Queue) SetDown(down bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.down == down {
		return
	}
	klog.Infof("admission: endpoint %s engine down %t, %d queued", q.cfg.Endpoint, down, q.sched.queued)
	q.down = down
	if down {
		q.refuseQueued(ReasonEngineDown)
		q.finishDrain()
		return
	}
	q.dispatch()
}

// Drain refuses new requests from now on, lets queued ones start during the
// grace and refuses the rest. It returns when nothing runs any more, or with
// ctx's error. Running requests are never cut off. There is no way back.
func (q *Queue) Drain(ctx context.Context) error {
	q.beginDrain()
	grace := time.NewTimer(q.cfg.DrainGrace)
	defer grace.Stop()
	select {
	case <-q.idle:
		return nil
	case <-grace.C:
		q.endGrace()
	case <-ctx.Done():
		q.endGrace()
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
	klog.Infof("admission: endpoint %s drains, %d running, %d queued", q.cfg.Endpoint, q.running, q.sched.queued)
	q.drain = draining
	q.finishDrain()
}

func (q *Queue) endGrace() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.drain != draining {
		return
	}
	q.drain = drained
	q.refuseQueued(ReasonDraining)
	q.closeIdle()
}

// finishDrain ends a drain once nothing runs or waits.
func (q *Queue) finishDrain() {
	if q.drain == draining && q.running == 0 && q.sched.queued == 0 {
		q.drain = drained
	}
	q.closeIdle()
}

func (q *Queue) closeIdle() {
	if q.drain != drained || q.running > 0 {
		return
	}
	select {
	case <-q.idle:
	default:
		close(q.idle)
	}
}
