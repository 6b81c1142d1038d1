package rankgroup

import (
	"sync"
	"time"
)

// passGain weighs the newest look in the mean time of a pass; looks come about
// as often as passes.
const passGain = 0.5

// passClock measures the time of the group's passes from what one engine says of
// them. It is safe for concurrent use.
type passClock struct {
	mu    sync.Mutex
	epoch uint64
	// step is the newest pass that was seen, which began at about at.
	step uint64
	at   time.Time
	mean time.Duration
	// working is true if the engine has work, so that the group makes passes.
	working bool
}

// see takes an engine's word of now.
func (c *passClock) see(s State, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.working = s.Running+s.Queued > 0
	switch {
	case c.at.IsZero() || s.Epoch != c.epoch || s.Step < c.step:
		c.epoch, c.mean = s.Epoch, 0
	case s.Step > c.step:
		c.learn(now.Sub(c.at) / time.Duration(s.Step-c.step))
	case c.working:
		return
	}
	c.step, c.at = s.Step, now
}

func (c *passClock) learn(pass time.Duration) {
	if c.mean == 0 {
		c.mean = pass
		return
	}
	c.mean += time.Duration(passGain * float64(pass-c.mean))
}

// pass returns the mean time of a pass of late, zero for unknown.
func (c *passClock) pass() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mean
}

// stands returns how long the pass under way has taken, zero if the group may be
// idle.
func (c *passClock) stands(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.working || c.at.IsZero() {
		return 0
	}
	return max(now.Sub(c.at), 0)
}
