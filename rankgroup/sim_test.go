package rankgroup

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
)

// simShape is the usual shape of the maps of simulated groups.
var simShape = expertmap.Shape{Layers: 1, Experts: 8, Ranks: 4, Slots: 4}

// simPass is the time of a pass, and simLag the age of an engine's state when
// it is read from another VM.
const (
	simPass = 50 * time.Millisecond
	simLag  = 250 * time.Millisecond
	// simFormTime is the time from the crash of a rank until the group is ready again.
	simFormTime = 1600 * time.Millisecond
)

// errNoAnswer is the result of a call that gets no answer.
var errNoAnswer = errors.New("no answer")

// simFaults are the faults of a simulated group.
type simFaults struct {
	// lostAnswer, delayed and dropped are the shares of orders that get no
	// answer and are executed at once, seconds later, and never.
	lostAnswer, delayed, dropped float64
	// ignoreTokens is true if engines do not check tokens.
	ignoreTokens bool
}

// simGroup is a rank group whose engines step together.
type simGroup struct {
	t      *testing.T
	faults simFaults
	shape  expertmap.Shape
	// spare is the number of slots of a rank and layer that are kept for loading
	// weights. The others are the most that a map may use.
	spare int

	mu   sync.Mutex
	rng  *rand.Rand
	step uint64
	// epoch counts how often the group has formed; it makes no pass before readyAt.
	epoch       uint64
	readyAt     time.Time
	engines     []*simEngine
	reconcilers []*Reconciler
	// Frozen VMs run nothing and answer no call. The engine of a killed agent
	// continues to run.
	frozen, killed []bool
	// starts counts the starts of each agent. The calls of an earlier process fail.
	starts []int
	// An idle group begins no pass.
	idle bool
	// afterOrder is called after an order has been executed.
	afterOrder      func(rank int, kind OrderKind)
	versionsInForce map[uint64]bool
	blockedSince    time.Time
	longestBlock    time.Duration
	// leaders are the ranks of agents that act as leader, as long as their VM
	// and process run.
	leaders      []int
	leaderSeenAt time.Time
	// caches holds the maps that each agent keeps, and sent the map that each agent
	// has sent last as a leader. Both end with the process.
	caches []*mapCache
	sent   []expertmap.Map
	// invalid counts the maps that engines have refused as invalid.
	invalid int
}

// simEngine is one engine of a simulated group.
type simEngine struct {
	g             *simGroup
	rank          int
	inForce       uint64
	newestVersion uint64
	prepared      uint64
	// inForceMap and preparedMap are the whole maps, as the engine got them.
	inForceMap, preparedMap expertmap.Map
	armed                   *ArmedSwitch
	holdAt                  uint64
	token                   uint64
	history                 []pastState
}

type pastState struct {
	at time.Time
	s  State
}

func newSimGroup(t *testing.T, seed uint64, faults simFaults) *simGroup {
	return newSimGroupOf(t, simShape, 1, seed, faults)
}

func newSimGroupOf(t *testing.T, shape expertmap.Shape, spare int, seed uint64, faults simFaults) *simGroup {
	g := &simGroup{t: t, faults: faults, shape: shape, spare: spare, epoch: 1, starts: make([]int, shape.Ranks), rng: rand.New(rand.NewPCG(seed, 1)), versionsInForce: make(map[uint64]bool),
		frozen: make([]bool, shape.Ranks), killed: make([]bool, shape.Ranks), sent: make([]expertmap.Map, shape.Ranks)}
	formed, err := expertmap.InTurn(shape)
	assert.NilError(t, err)
	for rank := range shape.Ranks {
		e := &simEngine{g: g, rank: rank, inForceMap: formed}
		g.engines = append(g.engines, e)
		g.reconcilers = append(g.reconcilers, NewReconciler(&localEngine{e: e}))
		g.caches = append(g.caches, &mapCache{})
	}
	return g
}

// crash restarts the engine of a rank: the group forms again, with the map with which
// it first formed.
func (g *simGroup) crash(rank int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	formed, err := expertmap.InTurn(g.shape)
	assert.Check(g.t, err)
	g.epoch++
	g.readyAt = time.Now().Add(simFormTime)
	for _, e := range g.engines {
		e.inForce, e.prepared, e.armed, e.holdAt, e.inForceMap = 0, 0, nil, 0, formed
	}
	g.engines[rank].token, g.engines[rank].newestVersion = 0, 0
}

func (g *simGroup) reconciler(rank int) *Reconciler {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reconcilers[rank]
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
			g.leaderSeenAt = now
		}
	}
	next := g.step + 1
	for _, e := range g.engines {
		e.recordState(now)
	}
	for _, e := range g.engines {
		if e.holdAt != 0 && next >= e.holdAt {
			if g.blockedSince.IsZero() {
				g.blockedSince = now
			}
			g.longestBlock = max(g.longestBlock, now.Sub(g.blockedSince))
			return
		}
	}
	g.blockedSince = time.Time{}
	if g.idle || now.Before(g.readyAt) {
		return
	}
	g.step = next
	for _, e := range g.engines {
		if e.armed != nil && next >= e.armed.Step {
			e.inForce, e.inForceMap, e.prepared, e.armed = e.armed.Version, e.preparedMap, 0, nil
		}
	}
	for _, e := range g.engines {
		if e.inForce != g.engines[0].inForce {
			g.t.Errorf("pass %d: rank %d has map %d, rank 0 map %d", next, e.rank, e.inForce, g.engines[0].inForce)
		}
		if !e.inForceMap.Equal(g.engines[0].inForceMap) {
			g.t.Errorf("pass %d: rank %d has another content of map %d than rank 0", next, e.rank, e.inForce)
		}
	}
	g.versionsInForce[g.engines[0].inForce] = true
}

func (e *simEngine) recordState(now time.Time) {
	e.history = append(e.history, pastState{at: now, s: e.state()})
	if len(e.history) > 40 {
		e.history = e.history[1:]
	}
}

func (e *simEngine) state() State {
	s := State{Group: "g", Epoch: e.g.epoch, Rank: e.rank, Size: e.g.shape.Ranks, GroupReady: !time.Now().Before(e.g.readyAt), Step: e.g.step, InForce: e.inForce, PreparedVersion: e.prepared, HoldAt: e.holdAt, Running: 1}
	if e.armed != nil {
		a := *e.armed
		s.Armed = &a
	}
	return s
}

// laggedState returns the state as read from another VM, simLag old.
func (e *simEngine) laggedState() State {
	limit := time.Now().Add(-simLag)
	for i := len(e.history) - 1; i >= 0; i-- {
		if e.history[i].at.Before(limit) {
			return e.history[i].s
		}
	}
	return State{Group: "g", Epoch: 1, Rank: e.rank, Size: e.g.shape.Ranks, GroupReady: true}
}

// execute executes an order. The caller holds the lock.
func (e *simEngine) execute(o Order) error {
	if !e.g.faults.ignoreTokens {
		if o.Token < e.token {
			return &RefusedError{Order: o.Kind, Fenced: true}
		}
		e.token = o.Token
	}
	refused := &RefusedError{Order: o.Kind}
	if o.Epoch != 0 && o.Epoch != e.g.epoch {
		return refused
	}
	switch o.Kind {
	case Prepare:
		if err := e.checkMap(o.Map); err != nil {
			e.g.invalid++
			return &InvalidOrderError{Order: o.Kind, Detail: err.Error()}
		}
		if o.Version <= e.newestVersion || e.armed != nil || e.newExperts(o.Map) > e.g.spare {
			return refused
		}
		e.newestVersion, e.prepared, e.preparedMap = o.Version, o.Version, o.Map
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
		if e.g.step >= o.Step || (e.holdAt != 0 && e.holdAt != o.Step) {
			return refused
		}
		e.holdAt = o.Step
	case Release:
		if e.holdAt == o.Step {
			e.holdAt = 0
		}
	}
	return nil
}

// checkMap returns an error if a map does not hold each expert, or has more experts on
// a rank than a map may use.
func (e *simEngine) checkMap(m expertmap.Map) error {
	if m.Shape() != e.g.shape {
		return errors.New("shape")
	}
	for layer := range e.g.shape.Layers {
		for rank := range e.g.shape.Ranks {
			if slotsUsed(m.Rank(layer, rank)) > e.g.shape.Slots-e.g.spare {
				return errors.Errorf("rank %d has too many experts", rank)
			}
		}
	}
	return m.Validate()
}

func slotsUsed(slots []expertmap.Expert) int {
	return len(slots) - len(slices.DeleteFunc(slices.Clone(slots), func(x expertmap.Expert) bool { return x != expertmap.Empty }))
}

// newExperts returns the largest number of experts of a layer that are new to the rank.
func (e *simEngine) newExperts(m expertmap.Map) int {
	most := 0
	for layer := range e.g.shape.Layers {
		added := 0
		for _, x := range m.Rank(layer, e.rank) {
			if x != expertmap.Empty && !e.inForceMap.Holds(layer, e.rank, x) {
				added++
			}
		}
		most = max(most, added)
	}
	return most
}

// listed returns the experts of the map in force that the rank holds.
func (e *simEngine) listed() (uint64, [][]expertmap.Expert, error) {
	e.g.mu.Lock()
	defer e.g.mu.Unlock()
	layers := make([][]expertmap.Expert, e.g.shape.Layers)
	for layer := range layers {
		layers[layer] = slices.DeleteFunc(slices.Clone(e.inForceMap.Rank(layer, e.rank)), func(x expertmap.Expert) bool { return x == expertmap.Empty })
	}
	return e.inForce, layers, nil
}

// order sends an order, subject to the faults of the group.
func (e *simEngine) order(ctx context.Context, o Order) error {
	g := e.g
	g.mu.Lock()
	x := g.rng.Float64()
	f := g.faults
	switch {
	case g.frozen[e.rank] || x < f.dropped:
		g.mu.Unlock()
		<-ctx.Done()
		return errNoAnswer
	case x < f.dropped+f.delayed:
		after := 2*time.Second + time.Duration(g.rng.Int64N(int64(10*time.Second)))
		time.AfterFunc(after, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			_ = e.execute(o)
		})
		g.mu.Unlock()
		<-ctx.Done()
		return errNoAnswer
	}
	err := e.execute(o)
	executed := err == nil && g.afterOrder != nil
	g.mu.Unlock()
	if executed {
		g.afterOrder(e.rank, o.Kind)
	}
	if x < f.dropped+f.delayed+f.lostAnswer {
		<-ctx.Done()
		return errNoAnswer
	}
	time.Sleep(time.Millisecond)
	return err
}

// localEngine is an engine as its own agent reaches it, remoteEngine as other
// agents do.
type (
	localEngine struct {
		e *simEngine
		// start is the start of the agent's process.
		start int
	}
	remoteEngine struct{ e *simEngine }
)

func (l *localEngine) State(context.Context) (State, error) {
	l.e.g.mu.Lock()
	defer l.e.g.mu.Unlock()
	if l.e.g.starts[l.e.rank] != l.start {
		return State{}, errNoAnswer
	}
	return l.e.state(), nil
}

func (l *localEngine) Order(ctx context.Context, o Order) error {
	if l.e.g.startOf(l.e.rank) != l.start {
		return errNoAnswer
	}
	return l.e.order(ctx, o)
}

func (l *localEngine) Counts(context.Context) (Counts, error) { return Counts{}, nil }

func (l *localEngine) Experts(context.Context) (uint64, [][]expertmap.Expert, error) {
	return l.e.listed()
}

func (r *remoteEngine) State(ctx context.Context) (State, error) {
	r.e.g.mu.Lock()
	defer r.e.g.mu.Unlock()
	if r.e.g.frozen[r.e.rank] {
		return State{}, errNoAnswer
	}
	return r.e.laggedState(), nil
}

func (r *remoteEngine) Order(ctx context.Context, o Order) error { return r.e.order(ctx, o) }

func (r *remoteEngine) Counts(context.Context) (Counts, error) { return Counts{}, nil }

func (r *remoteEngine) Experts(context.Context) (uint64, [][]expertmap.Expert, error) {
	return r.e.listed()
}

// simGroupClient calls the agents from the VM of one rank. It implements
// GroupClient by the rules of httpGroupClient: if an agent does not answer a
// quick goal (Goal.isQuick), orders go directly to its engine.
type simGroupClient struct {
	g    *simGroup
	from int
	// start is the start of the calling agent's process.
	start int
	// base is the map against which changes of maps are encoded.
	base         expertmap.Map
	mu           sync.Mutex
	unresponsive map[int]bool
}

func (c *simGroupClient) Size() int { return c.g.shape.Ranks }

// running returns an error if the process of the calling agent has ended.
func (c *simGroupClient) running(ctx context.Context) error {
	if err := c.g.waitWhileFrozen(ctx, c.from); err != nil {
		return err
	}
	if c.g.startOf(c.from) != c.start {
		return errNoAnswer
	}
	return nil
}

func (c *simGroupClient) Hold(ctx context.Context, rank int, o Order) error {
	if err := c.running(ctx); err != nil {
		return err
	}
	return c.g.engines[rank].order(ctx, o)
}

func (c *simGroupClient) EndHold(ctx context.Context, gate int) error {
	if err := c.running(ctx); err != nil {
		return err
	}
	if c.g.isKilled(gate) {
		return errNoAnswer
	}
	g := c.g
	g.mu.Lock()
	state := g.engines[gate].state()
	g.mu.Unlock()
	rec := g.reconciler(gate)
	return RecoverHold(ctx, g.client(gate), rec.abandonedHold(state, g.shape))
}

// waitWhileFrozen blocks while the VM of a rank is frozen.
func (g *simGroup) waitWhileFrozen(ctx context.Context, rank int) error {
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

func (c *simGroupClient) Ensure(ctx context.Context, rank int, goal Goal) (State, error) {
	if err := c.running(ctx); err != nil {
		return State{}, err
	}
	c.mu.Lock()
	unresponsive := c.unresponsive[rank]
	c.mu.Unlock()
	if unresponsive {
		return (&Reconciler{engine: &remoteEngine{c.g.engines[rank]}, stateLag: remoteStateLag}).Ensure(ctx, goal)
	}
	state, err := c.sendGoal(ctx, rank, goal)
	if err != errNoAnswer || !goal.isQuick() || ctx.Err() != nil {
		return state, err
	}
	c.mu.Lock()
	c.unresponsive[rank] = true
	c.mu.Unlock()
	return (&Reconciler{engine: &remoteEngine{c.g.engines[rank]}, stateLag: remoteStateLag}).Ensure(ctx, goal)
}

// sendGoal sends a goal to an agent, a map as its change.
func (c *simGroupClient) sendGoal(ctx context.Context, rank int, goal Goal) (State, error) {
	call := func(goal Goal) (State, error) { return c.callAgent(ctx, rank, goal) }
	if goal.Kind != GoalPrepared || rank == c.from {
		return call(goal)
	}
	return sendMap(goal, c.base, call)
}

// callAgent calls an agent. The agent continues its work even if the caller has
// returned.
func (c *simGroupClient) callAgent(ctx context.Context, rank int, goal Goal) (State, error) {
	if goal.isQuick() {
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
		if c.g.isKilled(rank) {
			return
		}
		_ = c.g.waitWhileFrozen(ctx, rank)
		goal, err := c.g.cache(rank).resolve(goal)
		s := State{}
		if err == nil {
			s, err = c.g.reconciler(rank).Ensure(ctx, goal)
		}
		_ = c.g.waitWhileFrozen(ctx, rank)
		done <- outcome{s, err}
	}()
	select {
	case o := <-done:
		// The caller may have been frozen in the meantime.
		return o.s, errors.WithStack(firstError(c.running(ctx), o.err))
	case <-ctx.Done():
		return State{}, errNoAnswer
	}
}

func firstError(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

// startOf returns the number of starts of an agent.
func (g *simGroup) startOf(rank int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.starts[rank]
}

func (g *simGroup) isKilled(rank int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.killed[rank]
}

func (g *simGroup) client(from int) *simGroupClient {
	return &simGroupClient{g: g, from: from, start: g.startOf(from), unresponsive: make(map[int]bool)}
}

func (g *simGroup) cache(rank int) *mapCache {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.caches[rank]
}

// assembleMap returns the map in force as a leader reads it from the engines.
func (g *simGroup) assembleMap(version uint64) (expertmap.Map, error) {
	m, err := expertmap.New(g.shape)
	if err != nil {
		return m, err
	}
	draft := m.Edit()
	for rank, e := range g.engines {
		listed, experts, err := e.listed()
		if err != nil {
			return m, err
		}
		if listed != version {
			return m, &MixedMapsError{First: version, Other: listed}
		}
		if err := setExperts(draft, g.shape, rank, experts); err != nil {
			return m, err
		}
	}
	return draft.Map().Normalize(), nil
}

// changedMap returns a map with random changes that an engine accepts: it frees slots
// and puts experts into free ones, so that there are gaps between the experts.
func changedMap(rng *rand.Rand, from expertmap.Map, spare int) expertmap.Map {
	shape, draft := from.Shape(), from.Edit()
	for layer := range shape.Layers {
		replicas := from.Replicas(layer)
		for rank := range shape.Ranks {
			slots := draft.Layer(layer)[rank*shape.Slots:][:shape.Slots]
			slot := rng.IntN(shape.Slots)
			if e := slots[slot]; e != expertmap.Empty && replicas[e] > 1 {
				draft.Set(layer, rank, slot, expertmap.Empty)
				replicas[e]--
				continue
			}
			e := expertmap.Expert(rng.IntN(shape.Experts))
			if slots[slot] == expertmap.Empty && slotsUsed(slots) < shape.Slots-spare && !slices.Contains(slots, e) {
				draft.Set(layer, rank, slot, e)
				replicas[e]++
			}
		}
	}
	return draft.Map()
}

// leaderLastSeen returns the time of the last message of a leader.
func (g *simGroup) leaderLastSeen() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leaderSeenAt
}

// runLeader switches maps as the leader beside a rank until the context ends.
func (g *simGroup) runLeader(ctx context.Context, rank int, period time.Duration) {
	for ctx.Err() == nil {
		time.Sleep(period)
		_ = g.waitWhileFrozen(ctx, rank)
		if g.isKilled(rank) {
			continue
		}
		g.mu.Lock()
		state := g.engines[rank].state()
		g.mu.Unlock()
		highest := g.reconciler(rank).HighestToken()
		if state.Armed != nil || !state.GroupReady {
			continue
		}
		inForce, err := g.assembleMap(state.InForce)
		if err != nil {
			continue
		}
		client := g.client(rank)
		g.mu.Lock()
		m := changedMap(g.rng, inForce, g.spare).Normalize()
		if client.base = g.sent[rank]; client.base.Shape() != g.shape {
			client.base = inForce
		}
		g.sent[rank] = m
		g.mu.Unlock()
		_, err = Switch(ctx, client, Plan{
			Epoch: state.Epoch, Version: NextVersion(state.InForce, state.PreparedVersion, highest), Map: m, Gate: gateOf(rank, g.shape.Ranks), Leader: rank,
		})
		var fenced *FencedError
		if errors.As(err, &fenced) {
			g.reconciler(rank).raiseToken(fenced.Newest)
		}
	}
}

// runHoldWatch ends abandoned holds at one rank, as its agent does.
func (g *simGroup) runHoldWatch(ctx context.Context, rank int) {
	var holdSince, blockedSince time.Time
	for ctx.Err() == nil {
		time.Sleep(statePollPeriod)
		_ = g.waitWhileFrozen(ctx, rank)
		g.mu.Lock()
		state := g.engines[rank].state()
		g.mu.Unlock()
		if state.HoldAt == 0 || g.isKilled(rank) {
			holdSince, blockedSince = time.Time{}, time.Time{}
			continue
		}
		if holdSince.IsZero() {
			holdSince = time.Now()
		}
		if !state.blocked() {
			blockedSince = time.Time{}
		} else if blockedSince.IsZero() {
			blockedSince = time.Now()
		}
		if !holdAbandoned(state, time.Now(), holdSince, blockedSince, g.leaderLastSeen()) {
			continue
		}
		// If the hold is still in place, the next iteration tries again.
		_ = RecoverHold(ctx, g.client(rank), g.reconciler(rank).abandonedHold(state, g.shape))
	}
}
