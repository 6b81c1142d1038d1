package rankgroup

import (
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/follow"
	"github.com/cyclamenpoint/cyclamenpoint/placement"
	"github.com/cyclamenpoint/cyclamenpoint/route"
)

// TestHoldAbandoned: a hold counts as abandoned soon if its leader sends no
// messages, later if the leader sends some, and last if the group has not
// reached the hold.
func TestHoldAbandoned(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	at := State{HoldAt: 10, Step: 9, Running: 3}
	before := State{HoldAt: 10, Step: 5, Running: 3}
	for _, c := range []struct {
		name                                string
		state                               State
		heldSince, blockedSince, leaderSeen time.Time
		want                                bool
	}{
		{"just reached", at, ago(time.Second), now, ago(time.Second), false},
		{"leader silent", at, ago(time.Second), ago(holdTimeout), ago(time.Second), true},
		{"leader sends messages", at, ago(time.Second), ago(holdTimeout), ago(100 * time.Millisecond), false},
		{"leader sends messages, long block", at, ago(time.Second), ago(holdTimeoutLed), ago(100 * time.Millisecond), true},
		{"not reached", before, ago(time.Second), time.Time{}, ago(time.Minute), false},
		{"not reached for long", before, ago(holdTimeoutNotReached), time.Time{}, ago(time.Minute), true},
		{"idle group", State{HoldAt: 10, Step: 9}, ago(time.Second), ago(time.Second), ago(time.Minute), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, holdAbandoned(c.state, now, c.heldSince, c.blockedSince, c.leaderSeen), c.want)
		})
	}
}

func TestNextVersion(t *testing.T) {
	seen := make(map[uint64]bool)
	for range 200 {
		v := NextVersion(5, 3*versionRange+7, 0)
		assert.Assert(t, v >= 4*versionRange && v < 5*versionRange)
		seen[v] = true
	}
	assert.Assert(t, len(seen) > 190, "two leaders hardly ever choose the same version")
}

// TestUtilisationWeight: the weight of a shorter step grows with the utilisation
// of the slots, and is 1 if a rank is slow.
func TestUtilisationWeight(t *testing.T) {
	for utilisation, want := range map[float64]float64{0: 0, minUsefulUtilisation: 0, (minUsefulUtilisation + fullUtilisation) / 2: 0.5, fullUtilisation: 1, 1: 1} {
		got := utilisationWeight(utilisation, []placement.Rank{{}, {Slowdown: 1.1}})
		assert.Assert(t, got > want-1e-9 && got < want+1e-9, "%g at %g", got, utilisation)
	}
	assert.Equal(t, utilisationWeight(0, []placement.Rank{{}, {Slowdown: slowRankSlowdown}}), 1.0, "a slow rank delays every step")
}

// TestLatencyWeight: the weight of a shorter step grows as the pass time
// approaches the target gap.
func TestLatencyWeight(t *testing.T) {
	const gap = 100 * time.Millisecond
	for ms, want := range map[int]float64{0: 0, 55: 0, 80: 1, 300: 1} {
		got := latencyWeight(time.Duration(ms)*time.Millisecond, gap)
		assert.Assert(t, got > want-1e-9 && got < want+1e-9, "%g at %d ms", got, ms)
	}
	half := latencyWeight(67500*time.Microsecond, gap)
	assert.Assert(t, half > 0.49 && half < 0.51, "%g", half)
	assert.Equal(t, latencyWeight(time.Second, 0), 0.0, "no target gap")
}

func TestShortestTargetGap(t *testing.T) {
	to := func(service string, gap time.Duration) route.Route {
		return route.Route{TargetGap: gap, Split: []route.Share{{Service: service, Weight: 1}}}
	}
	routes := []route.Route{to("a", 0), to("a", 120), to("a", 90), to("b", 10)}
	assert.Equal(t, shortestTargetGap(routes, "a"), time.Duration(90))
	assert.Equal(t, shortestTargetGap(routes, "c"), time.Duration(0))
}

// TestConfigurationOfRestoredStore guards against maps that are decided by an older configuration,
// which a restored store has until the operators write again.
func TestConfigurationOfRestoredStore(t *testing.T) {
	config := func(version uint64, gap time.Duration) route.Config {
		return route.Config{
			Version:  version,
			Services: []route.Service{{Name: "s", Engine: &route.Engine{Experts: &route.Experts{}}}},
			Routes:   []route.Route{{Stream: true, TargetGap: gap, Split: []route.Share{{Service: "s"}}}},
		}
	}
	stored := config(3, 3*time.Second)
	a := &Agent{log: slog.New(slog.DiscardHandler), decode: func(follow.Copy) (route.Config, bool, error) { return stored, true, nil }}
	for _, c := range []struct {
		stored route.Config
		want   time.Duration
	}{
		{config(3, 3*time.Second), 3 * time.Second},
		{config(2, 2*time.Second), 3 * time.Second},
		{config(3, 4*time.Second), 4 * time.Second},
		{config(5, 5*time.Second), 5 * time.Second},
	} {
		stored = c.stored
		a.setConfig(follow.Copy{})
		assert.Equal(t, time.Duration(a.targetGap.Load()), c.want, "version %d", c.stored.Version)
	}
}
