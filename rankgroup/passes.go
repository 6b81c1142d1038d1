package rankgroup

import (
	"sync"
	"time"
)

// passTimeGain is the weight of the newest poll in the mean pass time. The
// engine is polled about once in each pass.
const passTimeGain = 0.5

// passTimer measures the time of the group's forward passes from the states
// that one engine reports. It is safe for concurrent use.
type passTimer struct {
	mu    sync.Mutex
	epoch uint64
	// step is the latest pass seen. It began at about stepAt.
	step   uint64
	stepAt time.Time
	mean   time.Duration
	// hasWork is true if the engine has work, so that the group makes passes.
	hasWork bool
}

// observe records the engine's state at the time now.
func (t *passTimer) observe(s State, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hasWork = s.Running+s.Queued > 0
	switch {
	case t.stepAt.IsZero() || s.Epoch != t.epoch || s.Step < t.step:
		t.epoch, t.mean = s.Epoch, 0
	case s.Step > t.step:
		t.updateMean(now.Sub(t.stepAt) / time.Duration(s.Step-t.step))
	case t.hasWork:
		return
	}
	t.step, t.stepAt = s.Step, now
}

func (t *passTimer) updateMean(pass time.Duration) {
	if t.mean == 0 {
		t.mean = pass
		return
	}
	t.mean += time.Duration(passTimeGain * float64(pass-t.mean))
}

// passTime returns the recent mean time of a pass, zero if it is unknown.
func (t *passTimer) passTime() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mean
}

// passElapsed returns how long the current pass has taken so far, zero if the
// group may be idle.
func (t *passTimer) passElapsed(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.hasWork || t.stepAt.IsZero() {
		return 0
	}
	return max(now.Sub(t.stepAt), 0)
}
