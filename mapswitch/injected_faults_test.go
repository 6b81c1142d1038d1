package mapswitch

import (
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

// proposeOf returns the Propose message of an event, if it has one.
func proposeOf(ev Event) (Propose, bool) {
	r, _ := ev.(Received)
	m, ok := r.Msg.(Propose)
	return m, ok
}

func ignoreFencing(_ *modelGroup, n *modelNode, ev Event) {
	if _, ok := proposeOf(ev); ok {
		n.participant.token, n.participant.closedUpTo = 0, ID{}
	}
}

func decideByOneVote(_ *modelGroup, n *modelNode, ev Event) {
	r, _ := ev.(Received)
	if m, ok := r.Msg.(Vote); ok && m.Yes && n.coordinator.phase == Voting {
		n.coordinator.doneRanks = n.coordinator.proposal.Members
	}
}

func voteBeforeLoad(_ *modelGroup, n *modelNode, ev Event) {
	if m, ok := proposeOf(ev); ok && !n.participant.hasUndecided() {
		n.participant.ready = m.Map
	}
}

func releaseHoldOnTick(g *modelGroup, n *modelNode, ev Event) {
	if _, ok := ev.(Tick); ok && n.participant.hasUndecided() {
		g.execute(int(n.participant.rank), n.participant.abort(n.participant.undecided, ReasonWithdrawn))
	}
}

func acceptStaleEpoch(_ *modelGroup, n *modelNode, ev Event) {
	r, _ := ev.(Received)
	if m, ok := r.Msg.(Form); ok && m.Record.Epoch < n.participant.epoch {
		n.participant.epoch = 0
	}
}

func voteForEarlierIncarnation(_ *modelGroup, n *modelNode, ev Event) {
	if m, ok := proposeOf(ev); ok {
		n.participant.incarnation = m.Incarnation
	}
}

func dropHoldAfterRestart(_ *modelGroup, n *modelNode, ev Event) {
	if _, ok := ev.(TokenRead); ok && n.participant.hasUndecided() {
		n.participant.undecided = Proposal{}
		n.engine.status.Held = Proposal{}
	}
}

func neverQueryMembers(_ *modelGroup, n *modelNode, ev Event) {
	if _, ok := ev.(Tick); ok {
		n.participant.tickedSinceVote = false
	}
}

// TestInjectedFaults verifies that check detects each kind of violation.
func TestInjectedFaults(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault func(*modelGroup, *modelNode, Event)
		start *modelGroup
		want  string
	}{
		{"stale token accepted", ignoreFencing, newModelGroup(budget{grants: 1}), "executed an order of token 1 after token 2"},
		{"commit after one vote", decideByOneVote, newModelGroup(budget{}), "ran on map"},
		{"vote before load", voteBeforeLoad, withEvictedMap(newModelGroup(budget{})), "without its experts"},
		{"hold released on a tick", releaseHoldOnTick, newModelGroup(budget{ticks: 1}), "ran on map"},
		{"hold dropped after a restart", dropHoldAfterRestart, newModelGroup(budget{crash: 1}), "ran on map"},
		{"vote for an earlier incarnation's proposal", voteForEarlierIncarnation, withoutCrashes(deliverTo(newModelGroup(budget{ticks: 1, crash: 1}), 1), 0, 1), "ran on map"},
		{"stale epoch accepted", acceptStaleEpoch, deliverTo(withDelayedForm(newModelGroup(budget{vm: 1, ticks: 1})), 2), "went back from epoch 2 to 1"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tc.start.fault = tc.fault
			got := explore(tc.start, stateLimit, nil)
			assert.Assert(t, cmp.Contains(got.found.What, tc.want))
		})
	}
}

// TestInjectedStall verifies that explore detects ranks that are held forever.
func TestInjectedStall(t *testing.T) {
	g := newModelGroup(budget{crash: 1})
	g.fault = neverQueryMembers
	got := explore(g, stateLimit, allFinished)
	assert.Assert(t, got.stuck > 0)
}
