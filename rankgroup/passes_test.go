package rankgroup

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPassTimer: the mean follows the recent passes. An idle group has no
// current pass, and a group that has formed again starts without a mean.
func TestPassTimer(t *testing.T) {
	var timer passTimer
	now := time.Unix(0, 0)
	observe := func(after time.Duration, epoch, step uint64, running int) {
		now = now.Add(after)
		timer.observe(State{Epoch: epoch, Step: step, Running: running}, now)
	}
	observe(0, 1, 10, 5)
	assert.Equal(t, timer.passTime(), time.Duration(0), "no mean yet")
	observe(100*time.Millisecond, 1, 12, 5)
	assert.Equal(t, timer.passTime(), 50*time.Millisecond)
	observe(100*time.Millisecond, 1, 12, 5)
	assert.Equal(t, timer.passElapsed(now), 100*time.Millisecond)
	observe(400*time.Millisecond, 1, 13, 5)
	assert.Equal(t, timer.passTime(), 275*time.Millisecond, "half the weight for the newest pass")
	assert.Equal(t, timer.passElapsed(now.Add(time.Second)), time.Second)
	observe(time.Second, 1, 13, 0)
	observe(time.Second, 1, 13, 0)
	assert.Equal(t, timer.passElapsed(now), time.Duration(0), "idle group")
	observe(10*time.Millisecond, 1, 13, 1)
	assert.Assert(t, timer.passElapsed(now) <= 10*time.Millisecond, "idle time counts for no pass")
	observe(time.Second, 2, 0, 1)
	assert.Equal(t, timer.passTime(), time.Duration(0))
}
