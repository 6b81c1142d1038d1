package rankgroup

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/placement"
	"github.com/cyclamenpoint/cyclamenpoint/route"
)

// TestHoldIsLeft: a hold is ended soon once its leader is silent, later while it
// is heard, and in the end also before the group has come to it.
func TestHoldIsLeft(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	at := State{HoldAt: 10, Step: 9, Running: 3}
	before := State{HoldAt: 10, Step: 5, Running: 3}
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
		{"idle group", State{HoldAt: 10, Step: 9}, ago(time.Second), ago(time.Second), ago(time.Minute), false},
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
		got := worth(busy, []placement.Rank{{}, {Slowdown: 1.1}})
		assert.Assert(t, got > want-1e-9 && got < want+1e-9, "%g at %g", got, busy)
	}
	assert.Equal(t, worth(0, []placement.Rank{{}, {Slowdown: slowPace}}), 1.0, "a slow rank makes each step late")
}

// TestWorthInTime: a shorter step counts as far as passes come near the longest
// pause that callers bear.
func TestWorthInTime(t *testing.T) {
	const gap = 100 * time.Millisecond
	for ms, want := range map[int]float64{0: 0, 55: 0, 80: 1, 300: 1} {
		got := worthInTime(time.Duration(ms)*time.Millisecond, gap)
		assert.Assert(t, got > want-1e-9 && got < want+1e-9, "%g at %d ms", got, ms)
	}
	half := worthInTime(67500*time.Microsecond, gap)
	assert.Assert(t, half > 0.49 && half < 0.51, "%g", half)
	assert.Equal(t, worthInTime(time.Second, 0), 0.0, "nobody names a pause")
}

func TestShortestGap(t *testing.T) {
	to := func(service string, gap time.Duration) route.Route {
		return route.Route{TargetGap: gap, Split: []route.Share{{Service: service, Weight: 1}}}
	}
	routes := []route.Route{to("a", 0), to("a", 120), to("a", 90), to("b", 10)}
	assert.Equal(t, shortestGap(routes, "a"), time.Duration(90))
	assert.Equal(t, shortestGap(routes, "c"), time.Duration(0))
}
