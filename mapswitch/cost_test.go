package mapswitch

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	_ "github.com/cyclamenpoint/cyclamenpoint/internal/bubble"
)

// cost is the cost of one switch, in virtual time.
type cost struct {
	// lostSteps is the time without a running step, in steps.
	lostSteps float64
	inForce   time.Duration
	messages  int64
	writes    int64
}

// measureSwitch requests a switch, calls disturb and returns the cost.
func measureSwitch(t *testing.T, ranks int, disturb func(context.Context, *fakeGroup)) (out cost) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		g := newFakeGroup(ctx, ranks)
		sleep(ctx, time.Second)
		messages, writes := g.messages.Load(), g.writes.Load()
		assert.NilError(t, g.nodes[0].SetTargetMap(newMap))
		disturb(ctx, g)
		const observed = 8 * time.Second
		sleep(ctx, observed)
		g.mu.Lock()
		defer g.mu.Unlock()
		assert.Equal(t, check(g.records, g.orders), violation{})
		out = cost{
			lostSteps: float64(g.idle) / float64(fakeStepTime),
			messages:  g.messages.Load() - messages,
			writes:    g.writes.Load() - writes,
		}
		for i, s := range g.records {
			if s.Map == newMap.Ref {
				out.inForce = time.Duration(i/ranks)*fakeStepTime + g.idle - time.Second
				return
			}
		}
		t.Fatal("the map did not come into force")
	})
	return out
}

func TestSwitchCost(t *testing.T) {
	for _, ranks := range []int{8, 32} {
		baseline := measureSwitch(t, ranks, func(context.Context, *fakeGroup) {})
		report(t, ranks, "no fault", baseline)
		assert.Equal(t, baseline.lostSteps, 0.0)
		stalled := measureSwitch(t, ranks, func(ctx context.Context, g *fakeGroup) {
			sleep(ctx, fakeLoadTime)
			g.mu.Lock()
			g.stall = time.Second
			g.mu.Unlock()
		})
		report(t, ranks, "engine stalled 1 s", stalled)
		assert.Assert(t, stalled.lostSteps <= 1)
		down := measureSwitch(t, ranks, func(_ context.Context, g *fakeGroup) { g.down.Store(true) })
		report(t, ranks, "table service down", down)
		assert.Equal(t, down.lostSteps, 0.0)
	}
}

// TestSecondSwitchInOutage requests a second switch while an outage of the table
// service prevents the first one from being saved.
func TestSecondSwitchInOutage(t *testing.T) {
	var group *fakeGroup
	got := measureSwitch(t, 8, func(ctx context.Context, g *fakeGroup) {
		group = g
		g.down.Store(true)
		sleep(ctx, 4*time.Second)
		assert.NilError(t, g.nodes[0].SetTargetMap(otherMap))
	})
	report(t, 8, "two switches with the table service down", got)
	assert.Equal(t, got.lostSteps, 0.0)
	for _, e := range group.engines {
		assert.Equal(t, e.st.InForce, otherMap.Ref)
	}
}

// TestLostEngineResponse loses an engine's response to a hold. The agent has to
// attach again, find the hold in the engine's status and keep its vote.
func TestLostEngineResponse(t *testing.T) {
	got := measureSwitch(t, 8, func(_ context.Context, g *fakeGroup) { g.engines[2].loseResponse.Store(true) })
	report(t, 8, "one lost response of an engine", got)
	assert.Equal(t, got.lostSteps, 0.0)
}

// TestPausedAgent pauses one agent at 16 instants around the vote, which follows
// the load. At most one step may be lost, plus the part of the pause that exceeds
// the lead of the switch.
func TestPausedAgent(t *testing.T) {
	for _, tc := range []struct {
		ranks int
		pause time.Duration
		// maxLost is the largest number of steps that may be lost.
		maxLost float64
	}{
		{8, 100 * time.Millisecond, 1},
		{8, time.Second, 1},
		{32, time.Second, 1},
		{8, 3 * time.Second, 1 + float64(3*time.Second-fakeLeadSteps*fakeStepTime)/float64(fakeStepTime)},
	} {
		for _, rank := range []int{0, 1} {
			var worst cost
			for at := time.Duration(0); at < 8*time.Millisecond; at += 500 * time.Microsecond {
				got := measureSwitch(t, tc.ranks, func(ctx context.Context, g *fakeGroup) {
					sleep(ctx, fakeLoadTime+at)
					g.engines[rank].pause(tc.pause)
				})
				if got.lostSteps >= worst.lostSteps {
					worst = got
				}
			}
			report(t, tc.ranks, fmt.Sprintf("agent of rank %d paused %v, worst of 16 instants", rank, tc.pause), worst)
			assert.Assert(t, worst.lostSteps <= tc.maxLost)
		}
	}
}

func report(t *testing.T, ranks int, name string, c cost) {
	t.Helper()
	t.Logf("%d ranks, %s: %.2f steps lost, in force after %v, %d messages, %d writes",
		ranks, name, c.lostSteps, c.inForce.Round(time.Millisecond), c.messages, c.writes)
}
