package rankgroup

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
)

// simShape is the shape of the simulated groups' maps.
var simShape = expertmap.Shape{Layers: 1, Experts: 8, Ranks: 4, Slots: 4}

// simPass is how long a pass takes, simLag how old an engine's report is from
// afar.
const (
	simPass = 50 * time.Millisecond
	simLag  = 250 * time.Millisecond
)

// errGone stands for a call that has no answer.
var errGone = errors.New("no answer")

// simFaults are the faults of a simulated group.
type simFaults struct {
	// lost, late and early are shares of the orders: without an answer though
	// carried out, carried out seconds later without an answer, and never
	// carried out without an answer.
	lost, late, never float64
	// unfenced is true where engines ignore tokens.
	unfenced bool
}

// simGroup is a rank group whose engines step together.
type simGroup struct {
	t      *testing.T
	faults simFaults

	mu      sync.Mutex
	rng     *rand.Rand
	step    uint64
	engines []*simEngine
	keepers []*Reconciler
	// frozen VMs answer nobody and run nothing; killed agents are gone while
	// their engine serves.
	frozen, killed []bool
	// idle groups begin no pass.
	idle bool
	// afterHold is called once a hold was carried out.
	afterHold func(rank int)
	switches  map[uint64]bool
	heldSince time.Time
	heldMost  time.Duration
	// leaders speak while their VM and process run.
	leaders []int
	spokeAt time.Time
}

// simEngine is one engine of a simulated group.
type simEngine struct {
	g        *simGroup
	rank     int
	inForce  uint64
	newest   uint64
	prepared uint64
	armed    *ArmedSwitch
	held     uint64
	token    uint64
	past     []pastState
}

type pastState struct {
	at time.Time
	s  State
}

func newSimGroup(t *testing.T, seed uint64, faults simFaults) *simGroup {
	g := &simGroup{t: t, faults: faults, rng: rand.New(rand.NewPCG(seed, 1)), switches: make(map[uint64]bool),
		frozen: make([]bool, simShape.Ranks), killed: make([]bool, simShape.Ranks)}
	for rank := range simShape.Ranks {
		e := &simEngine{g: g, rank: rank}
		g.engines = append(g.engines, e)
		g.keepers = append(g.keepers, NewReconciler(&beside{e}))
	}
	return g
}

func (g *simGroup) keeper(rank int) *Reconciler {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.keepers[rank]
}

// run begins passes until the context ends.
func (g *simGroup) run(ctx context.Context) {
	ticker := time.NewTicker(simPass)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			g.pass(now)
		case <-ctx.Done():
			return
		}
	}
}

func (g *simGroup) pass(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, rank := range g.leaders {
		if !g.frozen[rank] && !g.killed[rank] {
			g.spokeAt = now
		}
	}
	next := g.step + 1
	for _, e := range g.engines {
		e.remember(now)
		if e.held != 0 && next >= e.held {
			if g.heldSince.IsZero() {
				g.heldSince = now
			}
			g.heldMost = max(g.heldMost, now.Sub(g.heldSince))
			return
		}
	}
	g.heldSince = time.Time{}
	if g.idle {
		return
	}
	g.step = next
	for _, e := range g.engines {
		if e.armed != nil && next >= e.armed.Step {
			e.inForce, e.prepared, e.armed = e.armed.Version, 0, nil
		}
	}
	for _, e := range g.engines {
		if e.inForce != g.engines[0].inForce {
			g.t.Errorf("pass %d: rank %d has map %d, rank 0 map %d", next, e.rank, e.inForce, g.engines[0].inForce)
		}
	}
	g.switches[g.engines[0].inForce] = true
}

func (e *simEngine) remember(now time.Time) {
	e.past = append(e.past, pastState{at: now, s: e.now()})
	if len(e.past) > 40 {
		e.past = e.past[1:]
	}
}

func (e *simEngine) now() State {
	s := State{Group: "g", Epoch: 1, Rank: e.rank, Size: simShape.Ranks, Open: true, Step: e.g.step, ActiveVersion: e.inForce, PreparedVersion: e.prepared, HoldAt: e.held, Running: 1}
	if e.armed != nil {
		a := *e.armed
		s.Armed = &a
	}
	return s
}

// old is the state as it is reported from afar.
func (e *simEngine) old() State {
	limit := time.Now().Add(-simLag)
	for i := len(e.past) - 1; i >= 0; i-- {
		if e.past[i].at.Before(limit) {
			return e.past[i].s
		}
	}
	return State{Group: "g", Epoch: 1, Rank: e.rank, Size: simShape.Ranks, Open: true}
}

// carryOut does an order. The caller holds the lock.
func (e *simEngine) carryOut(o Order) error {
	if !e.g.faults.unfenced {
		if o.Token < e.token {
			return &RefusedError{Order: o.Kind, Fenced: true}
		}
		e.token = o.Token
	}
	refused := &RefusedError{Order: o.Kind}
	switch o.Kind {
	case Prepare:
		if o.Version <= e.newest || e.armed != nil {
			return refused
		}
		e.newest, e.prepared = o.Version, o.Version
	case Arm:
		if e.prepared != o.Version || e.g.step >= o.Step {
			return refused
		}
		e.armed = &ArmedSwitch{Version: o.Version, Step: o.Step}
	case Disarm:
		if e.inForce == o.Version {
			return refused
		}
		if e.armed != nil && e.armed.Version == o.Version {
			e.armed = nil
		}
	case Hold:
		if e.g.step >= o.Step || (e.held != 0 && e.held != o.Step) {
			return refused
		}
		e.held = o.Step
	case Release:
		if e.held == o.Step {
			e.held = 0
		}
	}
	return nil
}

// order gives an order with the group's faults.
func (e *simEngine) order(ctx context.Context, o Order) error {
	g := e.g
	g.mu.Lock()
	x := g.rng.Float64()
	f := g.faults
	switch {
	case g.frozen[e.rank] || x < f.never:
		g.mu.Unlock()
		<-ctx.Done()
		return errGone
	case x < f.never+f.late:
		after := 2*time.Second + time.Duration(g.rng.Int64N(int64(10*time.Second)))
		time.AfterFunc(after, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			_ = e.carryOut(o)
		})
		g.mu.Unlock()
		<-ctx.Done()
		return errGone
	}
	err := e.carryOut(o)
	held := o.Kind == Hold && err == nil && g.afterHold != nil
	g.mu.Unlock()
	if held {
		g.afterHold(e.rank)
	}
	if x < f.never+f.late+f.lost {
		<-ctx.Done()
		return errGone
	}
	time.Sleep(time.Millisecond)
	return err
}

// beside is an engine as the agent beside it reaches it, afar as others do.
type (
	beside struct{ e *simEngine }
	afar   struct{ e *simEngine }
)

func (b *beside) State(context.Context) (State, error) {
	b.e.g.mu.Lock()
	defer b.e.g.mu.Unlock()
	return b.e.now(), nil
}

func (b *beside) Order(ctx context.Context, o Order) error { return b.e.order(ctx, o) }

func (b *beside) Counts(context.Context) (Counts, error) { return Counts{}, nil }

func (b *beside) Experts(context.Context) (uint64, [][]expertmap.Expert, error) {
	return simExperts(b.e.rank)
}

// simExperts are the experts of a rank, the same in all simulated maps.
func simExperts(rank int) (uint64, [][]expertmap.Expert, error) {
	return 0, [][]expertmap.Expert{{expertmap.Expert(rank), expertmap.Expert(rank + simShape.Ranks)}}, nil
}

func (a *afar) State(ctx context.Context) (State, error) {
	a.e.g.mu.Lock()
	defer a.e.g.mu.Unlock()
	if a.e.g.frozen[a.e.rank] {
		return State{}, errGone
	}
	return a.e.old(), nil
}

func (a *afar) Order(ctx context.Context, o Order) error { return a.e.order(ctx, o) }

func (a *afar) Counts(context.Context) (Counts, error) { return Counts{}, nil }

func (a *afar) Experts(context.Context) (uint64, [][]expertmap.Expert, error) {
	return simExperts(a.e.rank)
}

// simRanks reaches the agents from beside one rank. It implements Ranks with
// the rules of peers: an agent that does not answer a quick want is passed by.
type simRanks struct {
	g      *simGroup
	from   int
	mu     sync.Mutex
	silent map[int]bool
}

func (r *simRanks) Size() int { return simShape.Ranks }

func (r *simRanks) Hold(ctx context.Context, rank int, o Order) error {
	if err := r.g.wait(ctx, r.from); err != nil {
		return err
	}
	return r.g.engines[rank].order(ctx, o)
}

func (r *simRanks) EndHold(ctx context.Context, gate int) error {
	if err := r.g.wait(ctx, r.from); err != nil {
		return err
	}
	if r.g.gone(gate) {
		return errGone
	}
	g := r.g
	g.mu.Lock()
	state := g.engines[gate].now()
	g.mu.Unlock()
	k := g.keeper(gate)
	return RecoverHold(ctx, g.ranks(gate), AbandonedHold{Gate: gate, Leader: k.leading(), Version: NextVersion(k.HighestToken(), state.ActiveVersion, state.PreparedVersion), Shape: simShape})
}

// wait stands still while the VM of a rank is frozen.
func (g *simGroup) wait(ctx context.Context, rank int) error {
	for {
		g.mu.Lock()
		stopped := g.frozen[rank]
		g.mu.Unlock()
		if !stopped {
			return nil
		}
		time.Sleep(5 * time.Millisecond)
		if rank < 0 && ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

func (r *simRanks) Ensure(ctx context.Context, rank int, w Goal) (State, error) {
	if err := r.g.wait(ctx, r.from); err != nil {
		return State{}, err
	}
	r.mu.Lock()
	silent := r.silent[rank]
	r.mu.Unlock()
	if silent {
		return (&Reconciler{engine: &afar{r.g.engines[rank]}, lag: reportLag}).Ensure(ctx, w)
	}
	state, err := r.ask(ctx, rank, w)
	if err != errGone || !w.quick() || ctx.Err() != nil {
		return state, err
	}
	r.mu.Lock()
	r.silent[rank] = true
	r.mu.Unlock()
	return (&Reconciler{engine: &afar{r.g.engines[rank]}, lag: reportLag}).Ensure(ctx, w)
}

// ask is a call to an agent: the agent goes on with it though the asker is gone.
func (r *simRanks) ask(ctx context.Context, rank int, w Goal) (State, error) {
	if w.quick() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, quickTimeout)
		defer cancel()
	}
	type outcome struct {
		s   State
		err error
	}
	done := make(chan outcome, 1)
	go func() {
		if r.g.gone(rank) {
			return
		}
		_ = r.g.wait(ctx, rank)
		s, err := r.g.keeper(rank).Ensure(ctx, w)
		_ = r.g.wait(ctx, rank)
		done <- outcome{s, err}
	}()
	select {
	case o := <-done:
		// The asker may have been frozen meanwhile.
		return o.s, errors.WithStack(errOr(r.g.wait(ctx, r.from), o.err))
	case <-ctx.Done():
		return State{}, errGone
	}
}

func errOr(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

func (g *simGroup) gone(rank int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.killed[rank]
}

func (g *simGroup) ranks(from int) *simRanks {
	return &simRanks{g: g, from: from, silent: make(map[int]bool)}
}

// spoke is when the leader was heard last.
func (g *simGroup) spoke() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.spokeAt
}

// lead switches maps as the leader beside a rank until the context ends.
func (g *simGroup) lead(ctx context.Context, rank int, period time.Duration) {
	for ctx.Err() == nil {
		time.Sleep(period)
		_ = g.wait(ctx, rank)
		if g.gone(rank) {
			continue
		}
		g.mu.Lock()
		state := g.engines[rank].now()
		g.mu.Unlock()
		floor := g.keeper(rank).HighestToken()
		if state.Armed != nil {
			continue
		}
		m, err := expertmap.Static(simShape)
		if err != nil {
			panic(err)
		}
		_, err = Switch(ctx, g.ranks(rank), Plan{
			Epoch: 1, Version: NextVersion(state.ActiveVersion, state.PreparedVersion, floor), Map: m, Gate: (rank + 1) % simShape.Ranks, Leader: rank,
		})
		var fenced *FencedError
		if errors.As(err, &fenced) {
			g.keeper(rank).raise(fenced.Newest)
		}
	}
}

// watch ends holds that were left at one rank, as its agent does.
func (g *simGroup) watch(ctx context.Context, rank int) {
	var since, stands time.Time
	for ctx.Err() == nil {
		time.Sleep(lookPeriod)
		_ = g.wait(ctx, rank)
		g.mu.Lock()
		state := g.engines[rank].now()
		g.mu.Unlock()
		if state.HoldAt == 0 || g.gone(rank) {
			since, stands = time.Time{}, time.Time{}
			continue
		}
		if since.IsZero() {
			since = time.Now()
		}
		if !state.blocked() {
			stands = time.Time{}
		} else if stands.IsZero() {
			stands = time.Now()
		}
		if !holdIsLeft(state, time.Now(), since, stands, g.spoke()) {
			continue
		}
		k := g.keeper(rank)
		version := NextVersion(k.HighestToken(), state.ActiveVersion, state.PreparedVersion)
		// A hold that is still in place is looked at again.
		_ = RecoverHold(ctx, g.ranks(rank), AbandonedHold{Gate: rank, Leader: k.leading(), Version: version, Shape: simShape})
	}
}
