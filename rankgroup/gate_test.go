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

	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
	_ "github.com/cyclamenpoint/cyclamenpoint/internal/bubble"
)

// simulate runs a group for some time, with leaders beside the given ranks and
// with the faults that inject causes. A length of zero means until inject returns.
func simulate(g *simGroup, length time.Duration, leaders []int, inject func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	g.leaders = leaders
	tasks.Go(func() { g.run(ctx) })
	for rank := range g.shape.Ranks {
		tasks.Go(func() { g.runHoldWatch(ctx, rank) })
	}
	for i, rank := range leaders {
		tasks.Go(func() { g.runLeader(ctx, rank, time.Duration(200+70*i)*time.Millisecond) })
	}
	if length == 0 {
		inject(ctx)
	} else if inject != nil {
		tasks.Go(func() { inject(ctx) })
	}
	time.Sleep(length)
	cancel()
	g.unfreezeAll()
	tasks.Wait()
	// Calls whose callers have returned, and delayed orders, still finish.
	time.Sleep(15 * time.Second)
}

// TestSwitchWithoutFaults: maps come into force, and the gate blocks the group
// for no longer than one pass.
func TestSwitchWithoutFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newSimGroup(t, 1, simFaults{})
		simulate(g, 10*time.Second, []int{0}, nil)
		assert.Assert(t, len(g.versionsInForce) > 10, "%d maps came into force", len(g.versionsInForce))
		assert.Assert(t, g.longestBlock <= simPass, "held for %s", g.longestBlock)
	})
}

// lateHoldClient sends hold orders only after the group has begun more passes.
type lateHoldClient struct {
	*simGroupClient
	// late is the number of orders that arrive too late.
	late int
}

func (c *lateHoldClient) Hold(ctx context.Context, rank int, o Order) error {
	for c.late > 0 && c.g.latestStep() < o.Step {
		time.Sleep(simPass / 5)
	}
	c.late--
	return c.simGroupClient.Hold(ctx, rank, o)
}

// TestSwitchAfterLateHold guards against passes with the old map between the loads and
// the switch: each of them has the skew of the shift. The switch comes minStepsAhead passes
// later. If that pass begins before the gate is closed, the gate closes at a later one,
// and the loads of the map are not lost.
func TestSwitchAfterLateHold(t *testing.T) {
	for late := range 3 {
		most := uint64(late+1) * minStepsAhead
		t.Run(fmt.Sprint(late), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newSimGroup(t, 5, simFaults{})
				simulate(g, 0, nil, func(ctx context.Context) {
					time.Sleep(4*simPass + simPass/4)
					client := &lateHoldClient{simGroupClient: g.client(0), late: late}
					client.base = g.engines[0].inForceMap
					plan := Plan{Epoch: 1, Version: NextVersion(0), Map: client.base, Gate: gateOf(0, g.shape.Ranks)}
					before := g.latestStep()
					_, err := Switch(ctx, client, plan)
					assert.NilError(t, err)
					inForce := func() bool {
						g.mu.Lock()
						defer g.mu.Unlock()
						return g.engines[0].inForce == plan.Version
					}
					for !inForce() && g.latestStep() <= before+most {
						time.Sleep(simPass / 5)
					}
					assert.Assert(t, inForce() && g.latestStep() <= before+most, "%d passes began until the map was in force", g.latestStep()-before)
				})
			})
		})
	}
}

// TestFrozenLeader: the VM of the leader and its engine freezes while the
// answer to the leader's hold order is in transit. The agent beside the gate
// releases the group long before the leader runs again.
func TestFrozenLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newSimGroup(t, 2, simFaults{})
		frozen := false
		g.afterOrder = func(_ int, kind OrderKind) {
			g.mu.Lock()
			defer g.mu.Unlock()
			if kind != Hold || frozen || len(g.versionsInForce) < 5 {
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
		simulate(g, 12*time.Second, []int{0}, nil)
		assert.Assert(t, frozen)
		assert.Assert(t, g.longestBlock < time.Second, "held for %s", g.longestBlock)
	})
}

// TestKilledAgents: while an agent is down, the others send orders directly to
// its engine, so that switches and releases go on.
func TestKilledAgents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newSimGroup(t, 3, simFaults{})
		simulate(g, 20*time.Second, []int{0}, func(ctx context.Context) {
			for rank := 1; rank < simShape.Ranks && ctx.Err() == nil; rank++ {
				time.Sleep(3 * time.Second)
				g.setKilled(rank, true)
				time.Sleep(2 * time.Second)
				g.setKilled(rank, false)
			}
		})
		assert.Assert(t, g.longestBlock < 4*time.Second, "held for %s", g.longestBlock)
		assert.Assert(t, len(g.versionsInForce) > 10, "%d maps came into force", len(g.versionsInForce))
	})
}

// TestHoldOfReplacedLeader: a leader has armed a rank and is replaced while the
// gate is closed. If the agent of that rank, beside which the new leader runs, is
// down, it is unknown whether the rank is armed, so the gate stays closed until the
// agent answers. Only the rank of the leader that closed the gate may be missing.
func TestHoldOfReplacedLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			first, second, gate = 0, 3, 1
			version, newer      = versionRange, 2 * versionRange
			step                = 5
		)
		g := newSimGroup(t, 5, simFaults{})
		ctx := t.Context()
		m, err := expertmap.InTurn(simShape)
		assert.NilError(t, err)
		goal := Goal{Kind: GoalPrepared, Token: version, Leader: first, Epoch: 1, Version: version, Step: step, Map: m.Marshal()}
		_, err = ensureAll(ctx, g.client(first), allRanks(g.client(first)), goal, prepareTimeout)
		assert.NilError(t, err)
		assert.NilError(t, hold(ctx, g.client(first), Plan{Epoch: 1, Version: version, Gate: gate, Leader: first}, step))
		goal.Kind = GoalArmed
		_, err = ensure(ctx, g.client(first), second, goal, armTimeout)
		assert.NilError(t, err)

		replacing := Goal{Kind: GoalPrepared, Token: newer, Leader: second, Epoch: 1, Version: newer, Map: m.Marshal()}
		_, err = ensure(ctx, g.client(second), gate, replacing, prepareTimeout)
		assert.NilError(t, err)
		g.setKilled(second, true)
		assert.Assert(t, g.client(first).EndHold(ctx, gate) != nil, "the gate was opened beside a rank that is armed")
		for range 2 * step {
			g.pass(time.Now())
		}
		assert.Equal(t, g.step, uint64(step-1))

		g.setKilled(second, false)
		assert.NilError(t, g.client(first).EndHold(ctx, gate))
		for range 2 * step {
			g.pass(time.Now())
		}
		assert.Equal(t, g.step, uint64(3*step-1))
	})
}

// unfreezeAll resumes all frozen VMs.
func (g *simGroup) unfreezeAll() {
	g.mu.Lock()
	defer g.mu.Unlock()
	clear(g.frozen)
}

func (g *simGroup) setKilled(rank int, killed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.killed[rank] = killed
	if killed {
		g.starts[rank]++
		return
	}
	// A new process starts without any state.
	g.reconcilers[rank] = NewReconciler(&localEngine{e: g.engines[rank], start: g.starts[rank]})
	g.caches[rank], g.sent[rank] = &mapCache{}, expertmap.Map{}
}

// TestRandomHistories: no pass begins with two maps (checked in simGroup.pass),
// and every hold ends, although orders are lost or delayed, VMs freeze, agents
// are killed and two leaders act at the same time.
func TestRandomHistories(t *testing.T) {
	for seed := range uint64(120) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testRandomHistory(t, seed) })
		})
	}
}

func testRandomHistory(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 2))
	faults := simFaults{lostAnswer: 0.2 * rng.Float64(), delayed: 0.3 * rng.Float64(), dropped: 0.1 * rng.Float64()}
	g := newSimGroup(t, seed, faults)
	leaders := []int{rng.IntN(simShape.Ranks)}
	if seed%3 == 0 {
		// Two agents act as leader at the same time.
		leaders = append(leaders, (leaders[0]+1+rng.IntN(simShape.Ranks-1))%simShape.Ranks)
	}
	simulate(g, 40*time.Second, leaders, func(ctx context.Context) {
		for ctx.Err() == nil {
			time.Sleep(time.Duration(rng.Int64N(int64(3 * time.Second))))
			injectRandomFault(g, rng)
		}
	})
	// Delayed orders still arrive; after that the group must make steps again.
	healthy := endFaults(g)
	before := g.step
	simulate(g, 20*time.Second, nil, nil)
	assert.Assert(t, g.step > before+50, "%d passes in 20 s without faults", g.step-before)
	healthy.check(t)
}

// injectRandomFault causes one random fault.
func injectRandomFault(g *simGroup, rng *rand.Rand) {
	rank := rng.IntN(simShape.Ranks)
	switch rng.IntN(5) {
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
	case 3:
		g.crash(rank)
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

// faultFree is a group whose faults have all ended.
type faultFree struct{ g *simGroup }

func endFaults(g *simGroup) faultFree {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults.lostAnswer, g.faults.delayed, g.faults.dropped, g.idle = 0, 0, 0, false
	clear(g.frozen)
	clear(g.killed)
	return faultFree{g}
}

// check checks that no engine holds the group any more.
func (c faultFree) check(t *testing.T) {
	for _, e := range c.g.engines {
		assert.Equal(t, e.holdAt, uint64(0), "rank %d still holds the group", e.rank)
	}
}

// TestCheckerFindsTwoMaps switches one rank alone; the check has to find it.
func TestCheckerFindsTwoMaps(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		probe := &testing.T{}
		g := newSimGroup(probe, 4, simFaults{})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		_ = g.engines[1].order(ctx, Order{Kind: Prepare, Version: 7, Token: 7, Map: g.engines[1].inForceMap})
		_ = g.engines[1].order(ctx, Order{Kind: Arm, Version: 7, Step: 2, Token: 7})
		for range 3 {
			g.pass(time.Now())
		}
		assert.Assert(t, probe.Failed())
	})
}

// TestChangeAgainstMapThatWasRead guards against ranks with different maps under one
// version: a leader that has read the map in force from the engines does not know in
// which slots the former leader had put the experts, and encodes the next map as a change
// against what it has read. Agents that applied the change to their own copy of the same
// version got another map, which came into force.
func TestChangeAgainstMapThatWasRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newSimGroup(t, 6, simFaults{})
		ctx, cancel := context.WithCancel(t.Context())
		var passes sync.WaitGroup
		passes.Go(func() { g.run(ctx) })
		switchTo := func(leader int, base, m expertmap.Map) {
			t.Helper()
			client := g.client(leader)
			client.base = base
			highest := uint64(0)
			for rank := range g.shape.Ranks {
				highest = max(highest, g.reconciler(rank).HighestToken())
			}
			_, err := Switch(ctx, client, Plan{Epoch: 1, Version: NextVersion(highest), Map: m, Gate: gateOf(leader, g.shape.Ranks), Leader: leader})
			assert.NilError(t, err)
			time.Sleep(4 * simPass)
		}
		formed := g.engines[0].inForceMap
		draft := formed.Edit()
		draft.Set(0, 0, 2, 3) // Rank 0 gets expert 3 beside 0 and 4.
		withCopy := draft.Map()
		switchTo(0, formed, withCopy)
		draft.Set(0, 3, 0, expertmap.Empty) // Rank 3 keeps only expert 7, behind a free slot.
		withGap := draft.Map()
		switchTo(0, withCopy, withGap)

		inForce, _, err := g.engines[0].listed()
		assert.NilError(t, err)
		read, err := g.assembleMap(inForce)
		assert.NilError(t, err)
		draft = read.Edit()
		draft.Set(0, 3, 1, 2)
		switchTo(2, read, draft.Map())
		cancel()
		passes.Wait()
		for rank, e := range g.engines {
			assert.Assert(t, e.inForceMap.Holds(0, 3, 2) && e.inForceMap.Holds(0, 3, 7), "rank %d has another map", rank)
		}
	})
}

// TestKilledInSwitch guards against groups that never run again: a switch is broken off
// in each of its phases, since the leader's agent or all agents are killed. The agent of
// the gate ends the hold with a map that replaces the prepared one. Engines refused that
// map in groups of two or three ranks, as it had more experts on a rank than a map may use.
func TestKilledInSwitch(t *testing.T) {
	const recoveryTime = 12 * time.Second
	phases := []struct {
		kind OrderKind
		// orders is the number of executed orders of that kind after which the agents
		// are killed, as a function of the number of ranks.
		orders func(ranks int) int
	}{
		{Prepare, func(int) int { return 1 }}, {Prepare, func(ranks int) int { return ranks }}, {Hold, func(int) int { return 1 }},
		{Arm, func(int) int { return 1 }}, {Arm, func(ranks int) int { return ranks - 1 }}, {Arm, func(ranks int) int { return ranks }}, {Release, func(int) int { return 1 }},
	}
	for _, ranks := range []int{1, 2, 3, 4, 8, 12, 96} {
		for _, all := range []bool{false, true} {
			for _, phase := range phases {
				orders := max(phase.orders(ranks), 1)
				t.Run(fmt.Sprintf("%d ranks, all killed %t, %s %d", ranks, all, phase.kind, orders), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { testKilledInSwitch(t, ranks, all, phase.kind, orders, recoveryTime) })
				})
			}
		}
	}
}

func testKilledInSwitch(t *testing.T, ranks int, all bool, kind OrderKind, orders int, recoveryTime time.Duration) {
	const (
		leader   = 0
		downTime = 1100 * time.Millisecond
		switches = 3
		// recoveredPasses are more passes than the step of a hold is ahead.
		recoveredPasses = 20
	)
	g := newSimGroupOf(t, expertmap.Shape{Layers: 2, Experts: 8 * ranks, Ranks: ranks, Slots: 15}, 4, uint64(ranks), simFaults{})
	executed, killed := 0, make(chan struct{})
	g.afterOrder = func(_ int, executedKind OrderKind) {
		g.mu.Lock()
		defer g.mu.Unlock()
		if executedKind != kind || len(g.versionsInForce) < switches {
			return
		}
		if executed++; executed != orders {
			return
		}
		close(killed)
		for rank := range ranks {
			if all || rank == leader {
				g.killed[rank] = true
				g.starts[rank]++
			}
		}
	}
	simulate(g, 0, []int{leader}, func(context.Context) {
		select {
		case <-killed:
		case <-time.After(time.Minute):
			t.Error("no switch has reached the phase")
			return
		}
		time.Sleep(downTime)
		for rank := range ranks {
			if all || rank == leader {
				g.setKilled(rank, false)
			}
		}
		before, deadline := g.latestStep(), time.Now().Add(recoveryTime)
		for g.latestStep() < before+recoveredPasses && time.Now().Before(deadline) {
			time.Sleep(simPass)
		}
		assert.Check(t, g.latestStep() >= before+recoveredPasses, "the group makes no passes %s after the agents are back", recoveryTime)
		g.mu.Lock()
		defer g.mu.Unlock()
		assert.Check(t, g.invalid == 0, "%d maps were invalid", g.invalid)
	})
}

// latestStep returns the number of the latest pass.
func (g *simGroup) latestStep() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.step
}
