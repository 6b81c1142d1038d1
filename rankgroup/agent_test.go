package rankgroup

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/placement"
)

// TestHoldIsLeft: a hold is ended soon once its leader is silent, later while it
// is heard, and in the end also before the group has come to it.
func TestHoldIsLeft(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	at := State{Held: 10, Step: 9, Running: 3}
	before := State{Held: 10, Step: 5, Running: 3}
	for _, c := range []struct {
		name                string
		state               State
		held, stands, spoke time.Time
		want                bool
	}{
		{"just reached", at, ago(time.Second), now, ago(time.Second), false},
		{"leader silent", at, ago(time.Second), ago(holdLimit), ago(time.Second), true},
		{"leader heard", at, ago(time.Second), ago(holdLimit), ago(100 * time.Millisecond), false},
		{"leader heard for long", at, ago(time.Second), ago(holdLimitLed), ago(100 * time.Millisecond), true},
		{"not reached", before, ago(time.Second), time.Time{}, ago(time.Minute), false},
		{"not reached for long", before, ago(holdLimitIdle), time.Time{}, ago(time.Minute), true},
		{"idle group", State{Held: 10, Step: 9}, ago(time.Second), ago(time.Second), ago(time.Minute), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, holdIsLeft(c.state, now, c.held, c.stands, c.spoke), c.want)
		})
	}
}

func TestNextVersion(t *testing.T) {
	seen := make(map[uint64]bool)
	for range 200 {
		v := NextVersion(5, 3*versionSpread+7, 0)
		assert.Assert(t, v >= 4*versionSpread && v < 5*versionSpread)
		seen[v] = true
	}
	assert.Assert(t, len(seen) > 190, "two leaders hardly ever take the same version")
}

// TestWorth: a shorter step counts as far as the slots are busy.
func TestWorth(t *testing.T) {
	for busy, want := range map[float64]float64{0: 0, idleBusy: 0, (idleBusy + fullBusy) / 2: 0.5, fullBusy: 1, 1: 1} {
		got := worth(busy, []placement.Rank{{}, {Pace: 1.1}})
		assert.Assert(t, got > want-1e-9 && got < want+1e-9, "%g at %g", got, busy)
	}
	assert.Equal(t, worth(0, []placement.Rank{{}, {Pace: slowPace}}), 1.0, "a slow rank makes each step late")
}
