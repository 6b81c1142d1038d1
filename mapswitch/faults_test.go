package mapswitch

import (
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

// proposeOf returns the proposal message of an event, if it is one.
func proposeOf(ev Event) (Propose, bool) {
	r, _ := ev.(Received)
	m, ok := r.Msg.(Propose)
	return m, ok
}

func ignoreFencing(_ *world, n *modelNode, ev Event) {
	if _, ok := proposeOf(ev); ok {
		n.part.token, n.part.closed = 0, ID{}
	}
}

func decideByOneVote(_ *world, n *modelNode, ev Event) {
	r, _ := ev.(Received)
	if m, ok := r.Msg.(Vote); ok && m.Yes && n.coord.phase == Voting {
		n.coord.done = n.coord.proposal.Members
	}
}

func voteBeforeLoad(_ *world, n *modelNode, ev Event) {
	if m, ok := proposeOf(ev); ok && !n.part.isBound() {
		n.part.ready = m.Map
	}
}

func openGateByTimeout(w *world, n *modelNode, ev Event) {
	if _, ok := ev.(Tick); ok && n.part.isBound() {
		w.carry(int(n.part.rank), n.part.abort(n.part.bound, ReasonWithdrawn))
	}
}

func acceptStaleEpoch(_ *world, n *modelNode, ev Event) {
	r, _ := ev.(Received)
	if m, ok := r.Msg.(Form); ok && m.Record.Epoch < n.part.epoch {
		n.part.epoch = 0
	}
}

func voteForEarlierIncarnation(_ *world, n *modelNode, ev Event) {
	if m, ok := proposeOf(ev); ok {
		n.part.incarnation = m.Incarnation
	}
}

func forgetHold(_ *world, n *modelNode, ev Event) {
	if _, ok := ev.(TokenRead); ok && n.part.isBound() {
		n.part.bound = Proposal{}
		n.engine.st.Held = Proposal{}
	}
}

func neverAsk(_ *world, n *modelNode, ev Event) {
	if _, ok := ev.(Tick); ok {
		n.part.patient = false
	}
}

// TestPlantedFaults shows that each check can fail.
func TestPlantedFaults(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault func(*world, *modelNode, Event)
		start *world
		want  string
	}{
		{"old token accepted", ignoreFencing, newWorld(budget{grants: 1}), "carried out an order of token 1 after token 2"},
		{"no unanimity", decideByOneVote, newWorld(budget{}), "ran on map"},
		{"vote before load", voteBeforeLoad, unloaded(newWorld(budget{})), "without its experts"},
		{"gate opens by timeout", openGateByTimeout, newWorld(budget{ticks: 1}), "ran on map"},
		{"hold forgotten by restart", forgetHold, newWorld(budget{crash: 1}), "ran on map"},
		{"vote of an earlier incarnation", voteForEarlierIncarnation, safe(voted(newWorld(budget{ticks: 1, crash: 1}), 1), 0, 1), "ran on map"},
		{"stale epoch accepted", acceptStaleEpoch, voted(lateForm(newWorld(budget{vm: 1, ticks: 1})), 2), "went back from epoch 2 to 1"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tc.start.fault = tc.fault
			got := explore(tc.start, stateLimit, nil)
			assert.Assert(t, cmp.Contains(got.found.What, tc.want))
		})
	}
}

// TestPlantedStall shows that the check for ranks that are held for ever can
// fail.
func TestPlantedStall(t *testing.T) {
	w := newWorld(budget{crash: 1})
	w.fault = neverAsk
	got := explore(w, stateLimit, allRan)
	assert.Assert(t, got.stuck > 0)
}
