package rankgroup

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPassClock: the mean follows the passes of late; a group that is idle does
// not stand, and one that has formed anew begins anew.
func TestPassClock(t *testing.T) {
	var c passClock
	now := time.Unix(0, 0)
	see := func(after time.Duration, epoch, step uint64, running int) {
		now = now.Add(after)
		c.see(State{Epoch: epoch, Step: step, Running: running}, now)
	}
	see(0, 1, 10, 5)
	assert.Equal(t, c.pass(), time.Duration(0), "not known yet")
	see(100*time.Millisecond, 1, 12, 5)
	assert.Equal(t, c.pass(), 50*time.Millisecond)
	see(100*time.Millisecond, 1, 12, 5)
	assert.Equal(t, c.stands(now), 100*time.Millisecond)
	see(400*time.Millisecond, 1, 13, 5)
	assert.Equal(t, c.pass(), 275*time.Millisecond, "half of the newest")
	assert.Equal(t, c.stands(now.Add(time.Second)), time.Second)
	see(time.Second, 1, 13, 0)
	see(time.Second, 1, 13, 0)
	assert.Equal(t, c.stands(now), time.Duration(0), "nothing to do")
	see(10*time.Millisecond, 1, 13, 1)
	assert.Assert(t, c.stands(now) <= 10*time.Millisecond, "an idle group's time counts for no pass")
	see(time.Second, 2, 0, 1)
	assert.Equal(t, c.pass(), time.Duration(0))
}
