package rankgroup

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// play runs a group for some time with leaders beside the given ranks, and the
// faults that happen does.
func play(g *simGroup, length time.Duration, leaders []int, happen func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	var duties sync.WaitGroup
	g.leaders = leaders
	duties.Go(func() { g.run(ctx) })
	for rank := range simShape.Ranks {
		duties.Go(func() { g.watch(ctx, rank) })
	}
	for i, rank := range leaders {
		duties.Go(func() { g.lead(ctx, rank, time.Duration(200+70*i)*time.Millisecond) })
	}
	if happen != nil {
		duties.Go(func() { happen(ctx) })
	}
	time.Sleep(length)
	cancel()
	g.thaw()
	duties.Wait()
	// Calls whose askers are gone, and orders that are late, come to their end.
	time.Sleep(15 * time.Second)
}

// TestSwitchWithoutFaults: maps come into force, and the gate stops nobody for
// longer than a pass.
func TestSwitchWithoutFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newSimGroup(t, 1, simFaults{})
		play(g, 10*time.Second, []int{0}, nil)
		assert.Assert(t, len(g.switches) > 10, "%d maps came into force", len(g.switches))
		assert.Assert(t, g.heldMost <= simPass, "held for %s", g.heldMost)
	})
}

// TestFrozenLeader: the leader's VM, its engine with it, freezes as the answer
// to its hold is on its way. The agent beside the gate lets the group step on
// long before the leader wakes.
func TestFrozenLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newSimGroup(t, 2, simFaults{})
		frozen := false
		g.afterHold = func(int) {
			g.mu.Lock()
			defer g.mu.Unlock()
			if frozen || len(g.switches) < 5 {
				return
			}
			frozen = true
			g.frozen[0] = true
			time.AfterFunc(4*time.Second, func() {
				g.mu.Lock()
				defer g.mu.Unlock()
				g.frozen[0] = false
			})
		}
		play(g, 12*time.Second, []int{0}, nil)
		assert.Assert(t, frozen)
		assert.Assert(t, g.heldMost < time.Second, "held for %s", g.heldMost)
	})
}

// TestKilledAgents: an agent dies and the others go past it to its engine.
func TestKilledAgents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newSimGroup(t, 3, simFaults{})
		play(g, 20*time.Second, []int{0}, func(ctx context.Context) {
			for rank := 1; rank < simShape.Ranks && ctx.Err() == nil; rank++ {
				time.Sleep(3 * time.Second)
				g.setKilled(rank, true)
				time.Sleep(2 * time.Second)
				g.setKilled(rank, false)
			}
		})
		assert.Assert(t, g.heldMost < 4*time.Second, "held for %s", g.heldMost)
		assert.Assert(t, len(g.switches) > 10, "%d maps came into force", len(g.switches))
	})
}

// thaw wakes all frozen VMs.
func (g *simGroup) thaw() {
	g.mu.Lock()
	defer g.mu.Unlock()
	clear(g.frozen)
}

func (g *simGroup) setKilled(rank int, killed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.killed[rank] = killed
	if !killed {
		// A new process knows nothing.
		g.keepers[rank] = NewReconciler(&beside{g.engines[rank]})
	}
}

// TestRandomHistories: whatever is lost, late, frozen, killed and led twice, no
// pass begins with two maps (checked in simGroup.pass), and every hold ends.
func TestRandomHistories(t *testing.T) {
	for seed := range uint64(120) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { history(t, seed) })
		})
	}
}

func history(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 2))
	faults := simFaults{lost: 0.2 * rng.Float64(), late: 0.3 * rng.Float64(), never: 0.1 * rng.Float64()}
	g := newSimGroup(t, seed, faults)
	leaders := []int{rng.IntN(simShape.Ranks)}
	if seed%3 == 0 {
		// Two agents that both think that they lead.
		leaders = append(leaders, (leaders[0]+1+rng.IntN(simShape.Ranks-1))%simShape.Ranks)
	}
	play(g, 40*time.Second, leaders, func(ctx context.Context) {
		for ctx.Err() == nil {
			time.Sleep(time.Duration(rng.Int64N(int64(3 * time.Second))))
			trouble(g, rng)
		}
	})
	// Orders that are still on their way arrive; then the group steps on.
	calm := newCalm(g)
	before := g.step
	play(g, 20*time.Second, nil, nil)
	assert.Assert(t, g.step > before+50, "%d passes in 20 s of calm", g.step-before)
	calm.check(t)
}

// trouble does one random thing to the group.
func trouble(g *simGroup, rng *rand.Rand) {
	rank := rng.IntN(simShape.Ranks)
	switch rng.IntN(4) {
	case 0:
		g.setFrozen(rank, true)
		time.Sleep(time.Duration(rng.Int64N(int64(4 * time.Second))))
		g.setFrozen(rank, false)
	case 1:
		g.setKilled(rank, true)
		time.Sleep(time.Duration(rng.Int64N(int64(2 * time.Second))))
		g.setKilled(rank, false)
	case 2:
		g.setIdle(true)
		time.Sleep(time.Duration(rng.Int64N(int64(5 * time.Second))))
		g.setIdle(false)
	}
}

func (g *simGroup) setFrozen(rank int, frozen bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.frozen[rank] = frozen
}

func (g *simGroup) setIdle(idle bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.idle = idle
}

// calm ends all faults of a group.
type calm struct{ g *simGroup }

func newCalm(g *simGroup) calm {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults.lost, g.faults.late, g.faults.never, g.idle = 0, 0, 0, false
	clear(g.frozen)
	clear(g.killed)
	return calm{g}
}

// check looks for holds that are still in place.
func (c calm) check(t *testing.T) {
	for _, e := range c.g.engines {
		assert.Equal(t, e.held, uint64(0), "rank %d still holds the group", e.rank)
	}
}

// TestCheckerFindsTwoMaps plants a switch of one rank alone, which the check
// has to find.
func TestCheckerFindsTwoMaps(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		probe := &testing.T{}
		g := newSimGroup(probe, 4, simFaults{})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		_ = g.engines[1].order(ctx, Order{Kind: Prepare, Version: 7, Token: 7})
		_ = g.engines[1].order(ctx, Order{Kind: Arm, Version: 7, Step: 2, Token: 7})
		for range 3 {
			g.pass(time.Now())
		}
		assert.Assert(t, probe.Failed())
	})
}
