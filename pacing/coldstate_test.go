package pacing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const coldStart = 8 * time.Second

// stateTest is one endpoint of a ColdStates and a time that moves on.
type stateTest struct {
	t      *testing.T
	states *ColdStates
	now    time.Time
	limit  ColdLimit
}

func newStateTest(t *testing.T) *stateTest {
	return &stateTest{t: t, states: NewColdStates(), now: time.Unix(1000, 0), limit: ColdLimit{Start: coldStart}}
}

func (s *stateTest) pass(d time.Duration) { s.now = s.now.Add(d) }

func (s *stateTest) list(revision uint64, stated bool, remaining time.Duration) {
	s.states.List(endpoint, ColdRow{Revision: revision, Stated: stated, Remaining: remaining}, s.now)
}

// check checks the remaining time and the cause.
func (s *stateTest) check(want time.Duration, cause ColdCause) {
	s.t.Helper()
	remaining, got, _ := s.states.Cold(endpoint, s.limit, s.now)
	assert.Equal(s.t, remaining, want)
	assert.Equal(s.t, got.String(), cause.String())
}

// TestColdByRow checks that a remaining time is counted down from when its row was learned,
// although later copies of the table contain the same row.
func TestColdByRow(t *testing.T) {
	s := newStateTest(t)
	s.list(1, true, 5*time.Second)
	s.check(5*time.Second, ColdByRow)
	s.pass(3 * time.Second)
	s.list(1, true, 5*time.Second)
	s.check(2*time.Second, ColdByRow)
	s.list(2, true, time.Second)
	s.check(time.Second, ColdByRow)
	s.list(3, true, 0)
	s.check(0, ColdNone)
	s.pass(time.Hour)
	s.list(4, true, time.Hour)
	s.check(coldStart, ColdByRow)
}

// TestRowOfRestoredStore guards against more requests than a cold endpoint allows, because a row
// from before it became cold counts as the latest statement.
func TestRowOfRestoredStore(t *testing.T) {
	for name, c := range map[string]struct{ restored, want time.Duration }{
		"warm":       {0, 4 * time.Second},
		"for less":   {time.Second, 4 * time.Second},
		"for longer": {6 * time.Second, 6 * time.Second},
	} {
		s := newStateTest(t)
		s.list(1, true, 0)
		s.pass(time.Second)
		s.list(2, true, 5*time.Second)
		s.pass(time.Second)
		s.states.List(endpoint, ColdRow{Revision: 1, Stated: true, Remaining: c.restored, Restored: true}, s.now)
		remaining, _, _ := s.states.Cold(endpoint, s.limit, s.now)
		assert.Equal(t, remaining, c.want, name)
		s.list(3, true, 0)
		s.check(0, ColdNone)
	}
}

// TestUnstatedRow guards against an endpoint that gets all requests at once because its row
// does not say that it is cold: it counts as cold until an answer or a row shows that it is
// warm, for the time of a cold start at most.
func TestUnstatedRow(t *testing.T) {
	s := newStateTest(t)
	s.check(coldStart, ColdUnstated) // not listed yet
	s.list(1, false, 0)
	s.check(coldStart, ColdUnstated)
	s.pass(time.Second)
	s.check(coldStart-time.Second, ColdUnstated)
	s.list(2, true, 0)
	s.check(0, ColdNone)

	s = newStateTest(t)
	s.list(1, false, 0)
	s.pass(coldStart)
	s.check(0, ColdNone)

	s = newStateTest(t)
	s.list(1, false, 0)
	s.pass(time.Second)
	s.states.Answer(endpoint, 0, s.now, s.now)
	s.check(0, ColdNone)
	s.states.List(Endpoint{ID: endpoint.ID, Incarnation: 7}, ColdRow{Revision: 2}, s.now)
	remaining, cause, _ := s.states.Cold(Endpoint{ID: endpoint.ID, Incarnation: 7}, s.limit, s.now)
	assert.Equal(t, remaining, coldStart, "another incarnation")
	assert.Equal(t, cause, ColdUnstated)
}

// TestColdByAnswer checks that the latest answer counts, that a row that may be older does not
// end a time that an answer has stated, and that answers to requests from before do not.
func TestColdByAnswer(t *testing.T) {
	s := newStateTest(t)
	s.list(1, true, 0)
	s.check(0, ColdNone)
	earlier := s.now
	s.pass(time.Second)
	assert.Assert(t, s.states.Answer(endpoint, 6*time.Second, s.now, s.now), "the other nodes have to know")
	assert.Assert(t, !s.states.Answer(endpoint, 6*time.Second, s.now, s.now))
	s.check(6*time.Second, ColdByAnswer)
	s.list(2, true, 0)
	s.check(6*time.Second, ColdByAnswer)
	assert.Assert(t, !s.states.Answer(endpoint, 0, earlier, s.now))
	s.check(6*time.Second, ColdByAnswer)
	s.pass(time.Second)
	s.states.Answer(endpoint, 2*time.Second, s.now, s.now)
	s.check(2*time.Second, ColdByAnswer)
	s.states.Answer(endpoint, 0, s.now, s.now)
	s.check(0, ColdNone)
	s.states.Answer(endpoint, 24*time.Hour, s.now, s.now)
	s.check(coldStart, ColdByAnswer)
	s.states.Answer(Endpoint{ID: endpoint.ID, Incarnation: 7}, 0, s.now, s.now)
	s.check(coldStart, ColdByAnswer)
}

// TestColdAfterEvacuation guards against a domain that gets all requests at once when its
// evacuation ends: what was known before does not count, an answer from after it does.
func TestColdAfterEvacuation(t *testing.T) {
	s := newStateTest(t)
	s.list(1, true, 0)
	s.states.Answer(endpoint, 0, s.now, s.now)
	before := s.now
	s.pass(time.Minute)
	s.limit.EvacuationEnd = s.now
	s.pass(time.Second)
	s.check(coldStart-time.Second, ColdAfterEvacuation)
	s.states.Answer(endpoint, 0, before, s.now)
	s.check(coldStart-time.Second, ColdAfterEvacuation)
	s.list(2, true, 0)
	s.check(coldStart-time.Second, ColdAfterEvacuation)
	s.pass(5 * time.Second)
	s.list(3, true, 0)
	s.check(0, ColdNone)
	s.limit.EvacuationEnd = s.now.Add(-time.Second)
	s.check(coldStart-time.Second, ColdAfterEvacuation)
	s.states.Answer(endpoint, 3*time.Second, s.now, s.now)
	s.check(3*time.Second, ColdByAnswer)
	s.limit = ColdLimit{EvacuationEnd: s.now.Add(time.Second)}
	s.pass(2 * time.Second)
	s.check(time.Second, ColdByAnswer) // the service states no time of a cold start
}

// TestColdAfterFreeze: a process that was frozen may have missed that endpoints became cold.
func TestColdAfterFreeze(t *testing.T) {
	s := newStateTest(t)
	s.list(1, true, 0)
	assert.Assert(t, !s.states.Tick(s.now))
	s.pass(freezeGap)
	assert.Assert(t, !s.states.Tick(s.now))
	s.check(0, ColdNone)
	s.pass(freezeGap + 1)
	assert.Assert(t, s.states.Tick(s.now))
	s.check(coldStart, ColdAfterFreeze)
	assert.Assert(t, !s.states.Tick(s.now.Add(-time.Second)), "an earlier time of another goroutine")
	s.pass(time.Second)
	s.states.Answer(endpoint, 0, s.now, s.now)
	s.check(0, ColdNone)
}

// TestColdStatementsOfPeers checks that a node that has just started, or sends few requests,
// learns from the others that an endpoint is cold.
func TestColdStatementsOfPeers(t *testing.T) {
	s, other := newStateTest(t), newStateTest(t)
	s.list(1, true, 0)
	other.list(1, true, 0)
	other.states.Answer(endpoint, 4*time.Second, other.now, other.now)
	s.states.Merge(other.states.Statements(other.now), s.now)
	s.check(4*time.Second, ColdByPeer)
	s = newStateTest(t)
	s.states.Merge(other.states.Statements(other.now), s.now)
	s.list(1, true, 0)
	s.check(4*time.Second, ColdByPeer)
	s.states.Merge([]ColdStatement{{Endpoint: endpoint, Remaining: -time.Hour}, {Endpoint: Endpoint{ID: "unknown"}, Remaining: time.Hour}}, s.now)
	s.check(4*time.Second, ColdByPeer)
	s.states.Merge([]ColdStatement{{Endpoint: endpoint, Remaining: 1 << 62}}, s.now)
	s.check(coldStart, ColdByPeer)
	assert.Equal(t, len(s.states.Statements(s.now.Add(2*time.Hour))), 0)
}

// TestColdChanges checks that each change of the state is reported once, for the log.
func TestColdChanges(t *testing.T) {
	s := newStateTest(t)
	changes := func() bool {
		_, _, changed := s.states.Cold(endpoint, s.limit, s.now)
		return changed
	}
	s.list(1, true, time.Second)
	assert.Assert(t, changes() && !changes())
	s.pass(time.Second)
	assert.Assert(t, changes() && !changes())
}

// TestColdStatesAreForgotten: the state of an endpoint outlives a short absence of its row,
// and no more.
func TestColdStatesAreForgotten(t *testing.T) {
	s := newStateTest(t)
	s.list(1, true, 0)
	s.states.Answer(endpoint, coldStart, s.now, s.now)
	none := func(string) bool { return false }
	s.states.Retain(none, s.now)
	s.pass(time.Second)
	s.states.Retain(none, s.now)
	s.list(1, true, 0)
	s.check(coldStart-time.Second, ColdByAnswer)
	s.states.Retain(none, s.now)
	s.states.Retain(none, s.now.Add(unlistedKeep+1))
	assert.Equal(t, len(s.states.states), 0)
}

// TestColdEnds: whatever is learned in whatever order, an endpoint of which nothing more is
// known becomes warm after the time of a cold start, and the time left is never negative.
func TestColdEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		states, now := NewColdStates(), time.Unix(1000, 0)
		limit := ColdLimit{Start: coldStart}
		moment := func(label string) time.Time {
			return now.Add(-time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, label)))
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(4*time.Second)).Draw(t, "pass")))
			remaining := time.Duration(rapid.Int64Range(0, int64(24*time.Hour)).Draw(t, "remaining"))
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				states.List(endpoint, ColdRow{Revision: rapid.Uint64Range(1, 3).Draw(t, "revision"), Stated: rapid.Bool().Draw(t, "stated"), Remaining: remaining}, now)
			case 1:
				states.Answer(endpoint, remaining, moment("sent"), now)
			case 2:
				states.Merge([]ColdStatement{{Endpoint: endpoint, Remaining: remaining}}, now)
			case 3:
				limit.EvacuationEnd = moment("evacuation")
			case 4:
				states.Tick(now)
			}
			left, cause, _ := states.Cold(endpoint, limit, now)
			if left < 0 || left > coldStart || (left == 0) != (cause == ColdNone) {
				t.Fatalf("%s, %s", left, cause)
			}
		}
		states.List(endpoint, ColdRow{Revision: 9, Stated: true}, now)
		if left, cause, _ := states.Cold(endpoint, limit, now.Add(coldStart)); left != 0 {
			t.Fatalf("%s left, %s", left, cause)
		}
	})
}
