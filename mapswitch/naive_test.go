package mapswitch

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// naiveSwitch stops the group, changes all ranks and starts it again. A member
// that does not answer before the next tick is not waited for, since a group
// must not stand still for ever.
type naiveSwitch struct {
	members RankSet
	stopped RankSet
	target  Proposal
	started bool
}

func (s *naiveSwitch) handle(self Rank, step uint64, ev Event) []Action {
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

func (s *naiveSwitch) receive(self Rank, step uint64, ev Received) []Action {
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

func (s *naiveSwitch) start() []Action {
	if s.started {
		return nil
	}
	s.started = true
	return s.toAll(Decide{Proposal: s.target, Commit: true})
}

func (s *naiveSwitch) toAll(msg Message) []Action {
	var actions []Action
	for r := range s.members.All() {
		actions = append(actions, Send{r, msg})
	}
	return actions
}

func newNaiveWorld(b budget) *world {
	w := newWorld(b)
	w.net = nil
	w.naive = &naiveSwitch{members: w.record.Members}
	w.feed(0, LeaseAcquired{1})
	return w
}

// TestRandomHistories runs both versions on the same random choices.
func TestRandomHistories(t *testing.T) {
	naiveBroken, committed := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		choices := rapid.SliceOfN(rapid.IntRange(0, 1<<20), 20, 120).Draw(rt, "choices")
		b := budget{double: 2, crash: 2, ticks: 8, grants: 1}
		got := runHistory(newWorldWithLead(b, 3), choices)
		if got.found != (violation{}) {
			rt.Fatalf("%s", got.found.What)
		}
		if !continues(got, make(map[uint64]struct{}), allRan) {
			rt.Fatalf("a rank is held for ever")
		}
		if got.nodes[2].engine.st.Switched.Step > 0 {
			committed++
		}
		if runHistory(newNaiveWorld(b), choices).found != (violation{}) {
			naiveBroken++
		}
	})
	t.Logf("%d histories committed a switch, the naive version broke %d", committed, naiveBroken)
	assert.Assert(t, committed > 0)
	assert.Assert(t, naiveBroken > 0)
}

func runHistory(w *world, choices []int) *world {
	w.steps = maxSteps
	for _, c := range choices {
		moves := w.moves(true)
		if len(moves) == 0 {
			break
		}
		w = w.apply(moves[c%len(moves)])
	}
	return w
}

// TestFaultFree compares the outcomes without faults: all ranks on the new map.
func TestFaultFree(t *testing.T) {
	for name, start := range map[string]*world{"protocol": newWorld(budget{}), "naive": newNaiveWorld(budget{})} {
		t.Run(name, func(t *testing.T) {
			w := start
			w.steps = maxSteps
			for range continuationLimit {
				if allRan(w) {
					break
				}
				w = w.fair()
			}
			assert.Equal(t, w.found, violation{})
			assert.Assert(t, allRan(w))
			for i := range w.nodes {
				assert.Equal(t, w.nodes[i].engine.st.InForce, newMap.Ref)
			}
		})
	}
}
