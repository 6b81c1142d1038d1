package attempt

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
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

// step is one event of a history; pick chooses among what the event applies to.
type step struct {
	op   op
	pick int
	wait time.Duration
}

const testWindow = 10 * time.Second

var histories = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
	o := op(rapid.IntRange(0, int(opCount)-1).Draw(t, "op"))
	if o == opRestart && rapid.IntRange(0, 3).Draw(t, "rare") > 0 {
		o = opDeliver
	}
	return step{
		op:   o,
		pick: rapid.IntRange(0, 30).Draw(t, "pick"),
		wait: time.Duration(rapid.IntRange(0, 7000).Draw(t, "wait")) * time.Millisecond,
	}
}), 1, 80)

// sent is an attempt as an omniscient observer sees it.
type sent struct {
	id         ID
	addr       Target
	deliveries int
	starts     int
	notRun     bool
	// arrived and revoked are the naive ledger: it never forgets.
	arrived, revoked bool
}

// fault changes one decision, to show that the checker sees it.
type fault string

const (
	faultNone        fault = ""
	faultForget      fault = "records vanish without a floor"
	faultIncarnation fault = "the incarnation is not compared"
	faultDuplicate   fault = "any rejection counts as not run"
	faultTombstone   fault = "a revocation leaves no tombstone"
	faultStart       fault = "a revoked attempt starts"
)

type world struct {
	ledger   *Ledger
	known    Target
	attempts []*sent
	wire     []*sent
	live     []*Attempt
	byID     map[ID]*sent
	fault    fault
	capacity int
	broken   []string
}

func (w *world) restart() {
	l, err := New(Config{Incarnation: w.known.Incarnation + 1, Window: testWindow, Capacity: w.capacity})
	if err != nil {
		panic(err)
	}
	w.ledger, w.live = l, nil
}

func run(steps []step, f fault, capacity int) []string {
	w := &world{byID: map[ID]*sent{}, fault: f, capacity: capacity}
	w.restart()
	w.known = w.ledger.Target()
	for _, s := range steps {
		w.apply(s)
	}
	for _, a := range w.attempts {
		if a.starts > 1 {
			w.broken = append(w.broken, "at most once: "+a.id.String())
		}
		if a.notRun && a.starts > 0 {
			w.broken = append(w.broken, "not run: "+a.id.String())
		}
	}
	return w.broken
}

func (w *world) apply(s step) {
	switch s.op {
	case opSend:
		a := &sent{id: ID{Request: "r", Number: uint32(len(w.attempts) + 1)}, addr: w.known, deliveries: 1}
		w.attempts = append(w.attempts, a)
		w.wire = append(w.wire, a)
		w.byID[a.id] = a
	case opDeliver:
		if len(w.wire) > 0 {
			i := s.pick % len(w.wire)
			a := w.wire[i]
			w.wire = append(w.wire[:i:i], w.wire[i+1:]...)
			w.deliver(a)
		}
	case opCopy:
		if len(w.attempts) > 0 {
			a := w.attempts[s.pick%len(w.attempts)]
			if !a.notRun {
				a.deliveries++
				w.wire = append(w.wire, a)
			}
		}
	case opRevoke:
		if len(w.attempts) > 0 {
			w.revoke(w.attempts[s.pick%len(w.attempts)])
		}
	case opRefresh:
		w.known = w.ledger.Target()
	case opAdvance:
		time.Sleep(s.wait)
		if w.fault == faultForget {
			clear(w.ledger.records)
			w.ledger.terminal = nil
			w.ledger.floor = -1
		}
	case opRestart:
		w.known = w.ledger.Target()
		w.restart()
	default:
		w.transition(s)
	}
}

func (w *world) transition(s step) {
	if len(w.live) == 0 {
		return
	}
	a := w.live[s.pick%len(w.live)]
	switch s.op {
	case opStart:
		if a.Start() == nil || w.fault == faultStart && a.State() == Revoked {
			w.byID[a.id].starts++
		}
	case opFinish:
		a.Finish(s.pick%2 == 0)
	case opRefuse:
		if a.Refuse() {
			w.byID[a.id].notRun = true
		}
	}
}

func (w *world) deliver(a *sent) {
	addr := a.addr
	if w.fault == faultIncarnation {
		addr.Incarnation = w.ledger.Target().Incarnation
		addr.Stamp = 0
	}
	fresh := addr.Incarnation == w.ledger.cfg.Incarnation && w.ledger.stamp()-addr.Stamp <= Stamp(testWindow)
	naive := !a.arrived && !a.revoked
	got, err := w.ledger.Accept(a.id, addr)
	a.arrived = true
	if err != nil {
		if naive && fresh && w.capacity > 100 && w.fault == faultNone {
			w.broken = append(w.broken, "fresh attempt rejected: "+err.Error())
		}
		out := err.(*RejectedError).Outcome(a.deliveries)
		a.notRun = a.notRun || out == NotRun || w.fault == faultDuplicate
		return
	}
	if !naive {
		w.broken = append(w.broken, "repeated delivery taken: "+a.id.String())
	}
	w.live = append(w.live, got)
}

func (w *world) revoke(a *sent) {
	if w.ledger.Revoke(a.id, a.addr) == NotRun {
		a.notRun = true
		a.revoked = true
	}
	if w.fault == faultTombstone {
		delete(w.ledger.records, a.id)
		w.ledger.terminal = nil
	}
}

// bubble runs a history in fake time.
func bubble(t *testing.T, steps []step, f fault, capacity int) (broken []string) {
	synctest.Test(t, func(*testing.T) { broken = run(steps, f, capacity) })
	return broken
}

// TestHistories compares the ledger with one that never forgets, and lets the
// checker see what started and what was claimed.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		capacity := rapid.SampledFrom([]int{1, 2, 4, 1000}).Draw(rt, "capacity")
		broken := bubble(t, histories.Draw(rt, "steps"), faultNone, capacity)
		assert.Equal(rt, strings.Join(broken, "; "), "")
	})
}

// TestPlantedFaults shows that each fault turns the checker red.
func TestPlantedFaults(t *testing.T) {
	for _, f := range []fault{faultForget, faultIncarnation, faultDuplicate, faultTombstone, faultStart} {
		t.Run(string(f), func(t *testing.T) {
			for seed := range 2000 {
				if len(bubble(t, histories.Example(seed), f, 1000)) > 0 {
					return
				}
			}
			t.Fatal("no history shows the fault")
		})
	}
}
