package mapswitch

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// baselineSwitch is a simpler protocol for comparison: it stops the group,
// switches all ranks and starts the group again. It continues without members
// that haven't responded by the next tick, since a group must not remain stopped
// forever. So it violates the invariants if messages are delayed past that tick.
type baselineSwitch struct {
	members RankSet
	stopped RankSet
	target  Proposal
	started bool
}

func (s *baselineSwitch) handle(self Rank, step uint64, ev Event) []Action {
	switch ev := ev.(type) {
	case LeaseAcquired:
		return s.toAll(Propose{Proposal: Proposal{ID: ID{ev.Token, 1}, Map: newMap.Ref}})
	case Tick:
		if self == 0 && s.stopped.Len() > 0 {
			return s.start()
		}
	case Received:
		return s.receive(self, step, ev)
	}
	return nil
}

func (s *baselineSwitch) receive(self Rank, step uint64, ev Received) []Action {
	switch m := ev.Msg.(type) {
	case Propose:
		m.Step = step + 1
		return []Action{OrderHold{m.Token, m.Proposal}, Send{ev.From, Ask{m.Proposal}}}
	case Ask:
		s.stopped = s.stopped.With(ev.From)
		s.target.ID, s.target.Map = m.ID, m.Map
		s.target.Step = max(s.target.Step, m.Step)
		if s.stopped == s.members {
			return s.start()
		}
	case Decide:
		return []Action{OrderUse{m.Token, m.Proposal}}
	}
	return nil
}

func (s *baselineSwitch) start() []Action {
	if s.started {
		return nil
	}
	s.started = true
	return s.toAll(Decide{Proposal: s.target, Commit: true})
}

func (s *baselineSwitch) toAll(msg Message) []Action {
	var actions []Action
	for r := range s.members.All() {
		actions = append(actions, Send{r, msg})
	}
	return actions
}

func newBaselineGroup(b budget) *modelGroup {
	g := newModelGroup(b)
	g.messages = nil
	g.baseline = &baselineSwitch{members: g.record.Members}
	g.dispatch(0, LeaseAcquired{1})
	return g
}

// TestRandomHistories runs both protocols with the same random choices. The
// histories must contain violations by the baseline, so that the check is known
// to detect them, and none by the protocol.
func TestRandomHistories(t *testing.T) {
	baselineViolations, committed := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		choices := rapid.SliceOfN(rapid.IntRange(0, 1<<20), 20, 120).Draw(rt, "choices")
		b := budget{duplicate: 2, crash: 2, ticks: 8, grants: 1}
		got := runHistory(newModelGroupWithLead(b, 3), choices)
		if got.found != (violation{}) {
			rt.Fatalf("%s", got.found.What)
		}
		if !reachesGoal(got, make(map[uint64]struct{}), allFinished) {
			rt.Fatalf("a rank is held forever")
		}
		if got.nodes[2].engine.status.Switched.Step > 0 {
			committed++
		}
		if runHistory(newBaselineGroup(b), choices).found != (violation{}) {
			baselineViolations++
		}
	})
	t.Logf("%d histories committed a switch, the baseline protocol violated an invariant in %d", committed, baselineViolations)
	assert.Assert(t, committed > 0)
	assert.Assert(t, baselineViolations > 0)
}

func runHistory(g *modelGroup, choices []int) *modelGroup {
	g.steps = maxSteps
	for _, c := range choices {
		moves := g.transitions(true)
		if len(moves) == 0 {
			break
		}
		g = g.apply(moves[c%len(moves)])
	}
	return g
}

// TestFaultFree verifies that without faults both protocols put the new map in
// force at all ranks.
func TestFaultFree(t *testing.T) {
	for name, start := range map[string]*modelGroup{"protocol": newModelGroup(budget{}), "baseline": newBaselineGroup(budget{})} {
		t.Run(name, func(t *testing.T) {
			g := start
			g.steps = maxSteps
			for range continuationLimit {
				if allFinished(g) {
					break
				}
				g = g.fairTransition()
			}
			assert.Equal(t, g.found, violation{})
			assert.Assert(t, allFinished(g))
			for i := range g.nodes {
				assert.Equal(t, g.nodes[i].engine.status.InForce, newMap.Ref)
			}
		})
	}
}
