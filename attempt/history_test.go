package attempt

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/cyclamenpoint/cyclamenpoint/internal/bubble"
)

type op int

const (
	opSend op = iota
	opDeliver
	opCopy
	opRevoke
	opStart
	opFinish
	opRefuse
	opRefresh
	opAdvance
	opRestart
	opCount
)

// step is one event of a history. choice selects the attempt or message that it
// applies to.
type step struct {
	op     op
	choice int
	wait   time.Duration
}

const testWindow = 10 * time.Second

var histories = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
	o := op(rapid.IntRange(0, int(opCount)-1).Draw(t, "op"))
	if o == opRestart && rapid.IntRange(0, 3).Draw(t, "rare") > 0 {
		o = opDeliver
	}
	return step{
		op:     o,
		choice: rapid.IntRange(0, 30).Draw(t, "pick"),
		wait:   time.Duration(rapid.IntRange(0, 7000).Draw(t, "wait")) * time.Millisecond,
	}
}), 1, 80)

// sentAttempt is an attempt with everything that happened to it.
type sentAttempt struct {
	id         ID
	target     Target
	deliveries int
	starts     int
	notRun     bool
	// delivered and revoked are the state of a reference ledger that never deletes
	// records.
	delivered, revoked bool
}

// fault changes one decision, to test that the checker detects it.
type fault string

const (
	faultNone          fault = ""
	faultDeleteRecords fault = "records are deleted without raising the floor"
	faultIncarnation   fault = "the incarnation is not compared"
	faultDuplicate     fault = "any rejection counts as not run"
	faultTombstone     fault = "a revocation leaves no tombstone"
	faultStartRevoked  fault = "a revoked attempt starts"
)

type simulation struct {
	ledger     *Ledger
	lastTarget Target
	attempts   []*sentAttempt
	inTransit  []*sentAttempt
	live       []*Attempt
	byID       map[ID]*sentAttempt
	fault      fault
	capacity   int
	violations []string
}

func (sim *simulation) restart() {
	l, err := New(Config{Incarnation: sim.lastTarget.Incarnation + 1, Window: testWindow, Capacity: sim.capacity})
	if err != nil {
		panic(err)
	}
	sim.ledger, sim.live = l, nil
}

func runHistory(steps []step, f fault, capacity int) []string {
	sim := &simulation{byID: map[ID]*sentAttempt{}, fault: f, capacity: capacity}
	sim.restart()
	sim.lastTarget = sim.ledger.Target()
	for _, s := range steps {
		sim.apply(s)
	}
	for _, a := range sim.attempts {
		if a.starts > 1 {
			sim.violations = append(sim.violations, "at most once: "+a.id.String())
		}
		if a.notRun && a.starts > 0 {
			sim.violations = append(sim.violations, "not run: "+a.id.String())
		}
	}
	return sim.violations
}

func (sim *simulation) apply(s step) {
	switch s.op {
	case opSend:
		a := &sentAttempt{id: ID{Request: "r", Number: uint32(len(sim.attempts) + 1)}, target: sim.lastTarget, deliveries: 1}
		sim.attempts = append(sim.attempts, a)
		sim.inTransit = append(sim.inTransit, a)
		sim.byID[a.id] = a
	case opDeliver:
		if len(sim.inTransit) > 0 {
			i := s.choice % len(sim.inTransit)
			a := sim.inTransit[i]
			sim.inTransit = append(sim.inTransit[:i:i], sim.inTransit[i+1:]...)
			sim.deliver(a)
		}
	case opCopy:
		if len(sim.attempts) > 0 {
			a := sim.attempts[s.choice%len(sim.attempts)]
			if !a.notRun {
				a.deliveries++
				sim.inTransit = append(sim.inTransit, a)
			}
		}
	case opRevoke:
		if len(sim.attempts) > 0 {
			sim.revoke(sim.attempts[s.choice%len(sim.attempts)])
		}
	case opRefresh:
		sim.lastTarget = sim.ledger.Target()
	case opAdvance:
		time.Sleep(s.wait)
		if sim.fault == faultDeleteRecords {
			clear(sim.ledger.records)
			sim.ledger.terminal = nil
			sim.ledger.floor = -1
		}
	case opRestart:
		sim.lastTarget = sim.ledger.Target()
		sim.restart()
	default:
		sim.transition(s)
	}
}

func (sim *simulation) transition(s step) {
	if len(sim.live) == 0 {
		return
	}
	a := sim.live[s.choice%len(sim.live)]
	switch s.op {
	case opStart:
		if a.Start() == nil || sim.fault == faultStartRevoked && a.State() == Revoked {
			sim.byID[a.id].starts++
		}
	case opFinish:
		a.Finish(s.choice%2 == 0)
	case opRefuse:
		if a.Refuse() {
			sim.byID[a.id].notRun = true
		}
	}
}

func (sim *simulation) deliver(a *sentAttempt) {
	target := a.target
	if sim.fault == faultIncarnation {
		target.Incarnation = sim.ledger.Target().Incarnation
		target.Stamp = 0
	}
	recent := target.Incarnation == sim.ledger.cfg.Incarnation && sim.ledger.stamp()-target.Stamp <= Stamp(testWindow)
	referenceAccepts := !a.delivered && !a.revoked
	got, err := sim.ledger.Accept(a.id, target)
	a.delivered = true
	if err != nil {
		if referenceAccepts && recent && sim.capacity > 100 && sim.fault == faultNone {
			sim.violations = append(sim.violations, "recent attempt rejected: "+err.Error())
		}
		out := err.(*RejectedError).Outcome(a.deliveries)
		a.notRun = a.notRun || out == NotRun || sim.fault == faultDuplicate
		return
	}
	if !referenceAccepts {
		sim.violations = append(sim.violations, "duplicate delivery accepted: "+a.id.String())
	}
	sim.live = append(sim.live, got)
}

func (sim *simulation) revoke(a *sentAttempt) {
	if sim.ledger.Revoke(a.id, a.target) == NotRun {
		a.notRun = true
		a.revoked = true
	}
	if sim.fault == faultTombstone {
		delete(sim.ledger.records, a.id)
		sim.ledger.terminal = nil
	}
}

// runInFakeTime runs a history in fake time.
func runInFakeTime(t *testing.T, steps []step, f fault, capacity int) (violations []string) {
	synctest.Test(t, func(*testing.T) { violations = runHistory(steps, f, capacity) })
	return violations
}

// TestRandomHistories compares the ledger with a reference that never deletes
// records, and checks that no attempt starts twice or starts although it was
// reported as not run.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		capacity := rapid.SampledFrom([]int{1, 2, 4, 1000}).Draw(rt, "capacity")
		violations := runInFakeTime(t, histories.Draw(rt, "steps"), faultNone, capacity)
		assert.Equal(rt, strings.Join(violations, "; "), "")
	})
}

// TestInjectedFaults checks that each injected fault is detected.
func TestInjectedFaults(t *testing.T) {
	for _, f := range []fault{faultDeleteRecords, faultIncarnation, faultDuplicate, faultTombstone, faultStartRevoked} {
		t.Run(string(f), func(t *testing.T) {
			for seed := range 2000 {
				if len(runInFakeTime(t, histories.Example(seed), f, 1000)) > 0 {
					return
				}
			}
			t.Fatal("no history detects the fault")
		})
	}
}
