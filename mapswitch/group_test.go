package mapswitch

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

const (
	fakeStepTime  = 66 * time.Millisecond
	fakeLoadTime  = 500 * time.Millisecond
	fakeLatency   = 500 * time.Microsecond
	fakeLeadSteps = 16
)

// fakeGroup simulates engines that run in lock-step, the network, the lease and
// the table service.
type fakeGroup struct {
	mu      sync.Mutex
	nodes   []*Node
	engines []*fakeEngine
	// changed is closed and replaced after each order to an engine.
	changed  chan struct{}
	rng      *rand.Rand
	record   Record
	revision uint64
	// down makes all calls to the table service fail.
	down atomic.Bool
	// stall lengthens the next step, as a stall of one rank does.
	stall            time.Duration
	messages, writes atomic.Int64
	// idle is the total time without a running step.
	idle    time.Duration
	records []stepRecord
	orders  []orderRecord
}

type fakeDownError struct{}

func (fakeDownError) Error() string { return "no response" }

func newFakeGroup(ctx context.Context, ranks int) *fakeGroup {
	g := &fakeGroup{changed: make(chan struct{}), rng: rand.New(rand.NewPCG(1, 1)), revision: 1}
	var members RankSet
	var engines []uint64
	for r := range ranks {
		members = members.With(Rank(r))
		engines = append(engines, 1)
	}
	g.record = Record{Epoch: 1, Members: members, Engines: PackEngines(engines), Map: oldMap}
	for r := range ranks {
		st := Status{Engine: 1, Epoch: 1, Members: members, InForce: oldMap}
		e := &fakeEngine{group: g, rank: Rank(r), st: st, base: oldMap, loaded: map[Ref]bool{oldMap: true}}
		g.engines = append(g.engines, e)
		cfg := Config{
			Group: "g", Rank: Rank(r), Peers: members, Limits: Limits{LeadSteps: fakeLeadSteps, MarginSteps: 2, InquireTicks: 20},
			TickInterval: 50 * time.Millisecond, OrderTimeout: time.Second, SendTimeout: time.Second,
			StoreTimeout: time.Second, StoreRetry: time.Second,
		}
		incarnation := uint64(r)
		deps := Dependencies{Lease: e, Store: g, Attacher: e, Transport: g, NewIncarnation: func() uint64 {
			incarnation += 1000
			return incarnation
		}}
		g.nodes = append(g.nodes, NewNode(cfg, deps))
	}
	for _, n := range g.nodes {
		go n.Run(ctx)
	}
	go g.run(ctx)
	return g
}

// run executes steps on all engines together. A step begins when no engine is held
// at it.
func (g *fakeGroup) run(ctx context.Context) {
	for ctx.Err() == nil {
		g.mu.Lock()
		begun := g.begin()
		changed, pause := g.changed, fakeStepTime
		if begun {
			pause += g.stall
			g.stall = 0
		}
		g.mu.Unlock()
		if begun {
			sleep(ctx, pause)
			continue
		}
		since := time.Now()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		g.mu.Lock()
		g.idle += time.Since(since)
		g.mu.Unlock()
	}
}

func (g *fakeGroup) begin() bool {
	for _, e := range g.engines {
		if e.st.Held.Step > 0 && e.begun >= e.st.Held.Step {
			return false
		}
	}
	for _, e := range g.engines {
		ref := e.base
		if e.st.Switched.Step > 0 && e.begun >= e.st.Switched.Step {
			ref = e.st.Switched.Map
		}
		g.records = append(g.records, stepRecord{e.rank, 1, e.begun, ref, e.loaded[ref]})
		e.st.Step = e.begun
		e.begun++
	}
	return true
}

func (g *fakeGroup) Send(ctx context.Context, env Envelope) error {
	switch env.Msg.(type) {
	case Inquire, Report:
	default:
		g.messages.Add(1)
	}
	g.mu.Lock()
	delay := fakeLatency + time.Duration(g.rng.Int64N(int64(fakeLatency)))
	g.mu.Unlock()
	sleep(ctx, delay)
	return g.nodes[env.To].Deliver(env)
}

func (g *fakeGroup) Read(context.Context) (Record, uint64, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.down.Load() {
		return Record{}, 0, fakeDownError{}
	}
	return g.record, g.revision, nil
}

// Write takes effect even while the table service is down, but returns an error.
func (g *fakeGroup) Write(_ context.Context, rec Record, revision uint64) (uint64, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.writes.Add(1)
	if revision != g.revision {
		return 0, fakeDownError{}
	}
	g.record = rec
	g.revision++
	if g.down.Load() {
		return 0, fakeDownError{}
	}
	return g.revision, nil
}

func (g *fakeGroup) Token(context.Context) (uint64, error) { return 1, nil }

// fakeEngine is an engine that doesn't check tokens. It also implements its agent's
// lease, which rank 0 holds.
type fakeEngine struct {
	group  *fakeGroup
	rank   Rank
	st     Status
	base   Ref
	begun  uint64
	loaded map[Ref]bool
	paused atomic.Int64
	// loseResponse makes the next hold take effect but return an error.
	loseResponse atomic.Bool
}

// Held blocks while the agent is paused.
func (e *fakeEngine) Held() (uint64, bool) {
	if left := time.Until(time.Unix(0, e.paused.Load())); left > 0 {
		sleep(context.Background(), left)
	}
	return 1, e.rank == 0
}

func (e *fakeEngine) pause(d time.Duration) { e.paused.Store(time.Now().Add(d).UnixNano()) }

func (e *fakeEngine) lock(token uint64) func() {
	e.group.mu.Lock()
	e.group.orders = append(e.group.orders, orderRecord{e.rank, token, 1})
	return func() {
		close(e.group.changed)
		e.group.changed = make(chan struct{})
		e.group.mu.Unlock()
	}
}

func (e *fakeEngine) Attach(context.Context) (Engine, Status, error) {
	defer e.lock(1)()
	return e, e.st, nil
}

func (e *fakeEngine) Step(context.Context) (uint64, error) {
	defer e.lock(1)()
	return e.st.Step, nil
}

func (e *fakeEngine) Hold(_ context.Context, order OrderHold) (bool, error) {
	defer e.lock(order.Token)()
	if e.begun > order.Step {
		return false, nil
	}
	e.st.Held = order.Proposal
	if e.loseResponse.CompareAndSwap(true, false) {
		return false, fakeDownError{}
	}
	return true, nil
}

func (e *fakeEngine) Use(_ context.Context, order OrderUse) error {
	defer e.lock(order.Token)()
	e.base = e.st.InForce
	e.st.Held, e.st.Switched = Proposal{}, order.Proposal
	e.st.InForce, e.st.Ready = order.Map, Ref{}
	return nil
}

func (e *fakeEngine) Release(_ context.Context, order OrderRelease) error {
	defer e.lock(order.Token)()
	e.st.Held = Proposal{}
	return nil
}

func (e *fakeEngine) Load(ctx context.Context, order OrderLoad) error {
	sleep(ctx, fakeLoadTime)
	defer e.lock(order.Token)()
	e.loaded[order.Map.Ref] = true
	e.st.Ready = order.Map.Ref
	return nil
}

func (e *fakeEngine) Leave(context.Context, OrderLeave) error { return nil }

func (e *fakeEngine) Form(context.Context, OrderForm) error { return nil }
