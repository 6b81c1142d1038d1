package rankgroup

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
	"github.com/cyclamenpoint/cyclamenpoint/gossip"
	"github.com/cyclamenpoint/cyclamenpoint/metric"
	"github.com/cyclamenpoint/cyclamenpoint/placement"
	"github.com/cyclamenpoint/cyclamenpoint/route"
)

const (
	// spreadPeriod is the time between two reports of the group's load to the
	// entry nodes.
	spreadPeriod = 150 * time.Millisecond
	// settleTimeout is how long a switch may take to show before the leader
	// decides anew; a busy group gets there within a second.
	settleTimeout = 3 * time.Second
	// stuckLimit is how long a group with work may stand before the leader looks
	// for a hold that was left.
	stuckLimit = 900 * time.Millisecond
	// closedKeep is the part in 100 of the time that a gate was closed which the
	// next switch still allows for, and maxAhead bounds the passes that follow
	// from it.
	closedKeep = 80
	// closedRest is how many times as long as gates of late were closed the leader
	// leaves the map alone: so gates are closed for a fifth of the time at most,
	// whatever becomes of orders.
	closedRest = 4
	// closedFree is left out of that: a usual gate is closed for less, most of it
	// before the group comes there.
	closedFree = 150 * time.Millisecond
	maxAhead   = 12
	// leastGain is the part of the skew that a change has to take away: for the
	// time of a switch the group cannot follow anything else.
	leastGain = 0.08
	// batchTime bounds the copies of one change: about what the rest of a switch
	// takes. Where switches take longer it grows with them, up to batchMost: demand
	// shifts every three seconds.
	batchTime = 250 * time.Millisecond
	batchMost = 1500 * time.Millisecond
	// askMemory is over how many windows the leader averages what the ranks say,
	// each of which has averaged it already.
	askMemory = 1
)

// leader decides the group's map while this agent leads.
type leader struct {
	a *Agent

	mu sync.Mutex
	// asked is what is asked of the experts at each rank.
	asked map[int]timedAsk

	// What follows belongs to run.
	estimator *placement.EWMAEstimator
	shape     expertmap.Shape
	windowAt  time.Time
	maps      map[uint64]expertmap.Map
	epoch     uint64
	// switched is the version of the newest switch and switchedAt its time.
	switched   uint64
	switchedAt time.Time
	// unstuckAt is when the leader looked last for a hold that was left.
	unstuckAt time.Time
	// closed is how long a gate was closed, fading with each switch.
	closed time.Duration
	// triedAt is when the newest switch ended.
	triedAt time.Time
	reason  placement.Reason
}

// timedAsk is what is asked of the experts at a rank, with its arrival.
type timedAsk struct {
	asked []uint32
	at    time.Time
}

func newLeader(a *Agent) *leader {
	return &leader{a: a, asked: make(map[int]timedAsk), maps: make(map[uint64]expertmap.Map)}
}

// hear takes what is asked of the experts at one rank; nil says nothing.
func (l *leader) hear(rank int, asked []uint32, now time.Time) {
	if asked == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked[rank] = timedAsk{asked: asked, at: now}
}

// fresh returns what the ranks said of late.
func (l *leader) fresh(now time.Time) map[int][]uint32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	fresh := make(map[int][]uint32, len(l.asked))
	for rank, a := range l.asked {
		if now.Sub(a.at) > reportLimit {
			delete(l.asked, rank)
			continue
		}
		fresh[rank] = a.asked
	}
	return fresh
}

func (l *leader) run(ctx context.Context) {
	ticker := time.NewTicker(lookPeriod / 2)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			l.tick(ctx, now)
		case <-ctx.Done():
			return
		}
	}
}

// runSpread reports the group's load until the context ends. It is a duty of its
// own, as a switch may take long.
func (l *leader) runSpread(ctx context.Context) {
	ticker := time.NewTicker(spreadPeriod)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			state := l.a.state.Load()
			if state == nil || state.Group == "" {
				continue
			}
			if _, leading := l.a.leader(*state, now); leading {
				l.spread(*state, now)
			}
		case <-ctx.Done():
			return
		}
	}
}

// tick does what is due if this agent leads.
func (l *leader) tick(ctx context.Context, now time.Time) {
	state := l.a.state.Load()
	if state == nil || state.Group == "" {
		return
	}
	if _, leading := l.a.leader(*state, now); !leading {
		l.estimator = nil
		return
	}
	if now.Sub(l.windowAt) < countPeriod {
		return
	}
	l.windowAt = now
	if !l.begin(*state) {
		return
	}
	l.observe(now)
	if err := l.decide(ctx, *state, now); err != nil {
		l.a.log.Warn("map not changed", "group", state.Group, "epoch", state.Epoch, "error", err.Error())
	}
}

// spread tells the entry nodes of the group's load, and the group who leads.
func (l *leader) spread(state State, now time.Time) {
	// The short ones first: what fills the link must not make ranks lose their
	// leader.
	for _, n := range l.a.registry.GroupAgents(state.Group) {
		if n.Address != l.a.settings.PeerAddress {
			l.a.news.Send(n.Address, gossip.Datagram{From: l.a.settings.PeerAddress, LeadsGroup: state.Group, Rank: state.Rank})
		}
	}
	d := l.a.news.Versions()
	d.Loads, d.LeadsGroup, d.Rank = l.a.freshLoads(now), state.Group, state.Rank
	l.a.news.Broadcast(d)
}

// begin prepares the estimator; it returns false while the maps' shape is not
// known.
func (l *leader) begin(state State) bool {
	shape := l.a.shape(state)
	if shape.Layers == 0 {
		return false
	}
	if l.estimator == nil || shape != l.shape {
		l.shape = shape
		l.estimator = placement.NewEWMAEstimator(shape.Layers, shape.Experts, askMemory)
	}
	if state.Epoch != l.epoch {
		l.epoch, l.switched = state.Epoch, 0
		clear(l.maps)
	}
	return true
}

// observe hands what is asked of the experts now to the estimator.
func (l *leader) observe(now time.Time) {
	for rank, asked := range l.fresh(now) {
		if err := l.estimator.Observe(rank, asked); err != nil {
			l.a.log.Warn("what a rank asks of the experts cannot be used", "rank", rank, "error", err.Error())
		}
	}
	l.estimator.CloseWindow()
}

// decide lets the policy decide and puts its map in force.
func (l *leader) decide(ctx context.Context, state State, now time.Time) error {
	group, err := l.a.group(state)
	if err != nil {
		return err
	}
	if l.a.passes.stands(now) >= stuckLimit && now.Sub(l.unstuckAt) >= stuckLimit && state.Open {
		l.unstuckAt = now
		return l.unstick(ctx, group)
	}
	if now.Sub(l.triedAt) < closedRest*(l.closed-closedFree) {
		return nil
	}
	if !state.Open || state.Armed != nil || (state.ActiveVersion != l.switched && now.Sub(l.switchedAt) < settleTimeout) {
		return nil
	}
	model := l.a.engineModel.Load()
	reporting, busy := l.a.reporting(now, model.Slots)
	if reporting < l.shape.Ranks {
		return nil
	}
	ranks := l.a.ranks(now, l.shape.Ranks)
	inForce, err := l.inForce(ctx, group, state)
	if err != nil {
		return err
	}
	began := time.Now()
	gain := max(worth(busy, ranks), worthInTime(l.a.passes.pass(), time.Duration(l.a.gap.Load())))
	decision, err := policy(model.Experts, l.shape.Ranks, gain, l.batchTime(now)).Decide(l.input(inForce, ranks, model.Experts))
	if err != nil {
		return err
	}
	metric.Skew.Update(decision.Before.Skew)
	if decision.Change && decision.After.Skew > decision.Before.Skew*(1-leastGain) {
		// The next shift would find the group in the middle of a switch.
		decision.Change = false
	}
	if !decision.Change {
		if decision.Reason != l.reason {
			l.reason = decision.Reason
			l.a.log.Info("map stays", "group", state.Group, "map", state.ActiveVersion, "decision", decision.String())
		}
		return nil
	}
	l.reason = decision.Reason
	metric.MapDecisionTime.UpdateDuration(began)
	return l.change(ctx, group, state, decision, began, busy)
}

// change puts a decided map in force.
func (l *leader) change(ctx context.Context, group *peers, state State, d placement.Decision, decided time.Time, busy float64) error {
	began := time.Now()
	plan := Plan{
		Epoch: state.Epoch, Map: d.Map, Gate: (state.Rank + 1) % l.shape.Ranks, Leader: state.Rank,
		ExtraSteps: l.ahead(), Version: NextVersion(state.ActiveVersion, state.PreparedVersion, l.switched, l.a.keeper.HighestToken()),
	}
	l.a.log.Info("map changes", "group", state.Group, "epoch", state.Epoch, "map", plan.Version, "former", state.ActiveVersion, "busy", busy, "decided_in", time.Since(decided).String(), "decision", d.String())
	closed, err := Switch(ctx, group, plan)
	l.closed, l.triedAt = max(closed, l.closed*closedKeep/100), time.Now()
	metric.MapChangeTime.UpdateDuration(began)
	metric.GateClosedTime.Update(closed.Seconds())
	if err != nil {
		metric.MapsFailed.Inc()
	} else {
		metric.MapsChanged.Inc()
	}
	if err != nil {
		var fenced *FencedError
		if errors.As(err, &fenced) {
			l.a.keeper.raise(fenced.Newest)
		}
		return err
	}
	l.maps[plan.Version] = d.Map
	l.switched, l.switchedAt = plan.Version, time.Now()
	l.a.log.Info("map will be in force", "group", state.Group, "epoch", state.Epoch, "map", plan.Version, "after", time.Since(began).String())
	return nil
}

// ahead is how many passes the gate has been closed for of late. While orders
// get no answer, that is far more than usual.
func (l *leader) ahead() uint64 {
	pass := l.a.passes.pass()
	if pass <= 0 {
		return 0
	}
	return min(uint64(l.closed/pass), maxAhead)
}

// batchTime is the time for the copies of one change: where switches take long, as
// passes are slow or orders go unanswered, there are few of them, and each has to
// bring more.
func (l *leader) batchTime(now time.Time) time.Duration {
	// The pass under way may have become far longer than the last one.
	pass := max(l.a.passes.pass(), l.a.passes.stands(now))
	return min(max(batchTime, stepsAhead*pass, l.closed), batchMost)
}

// unstick looks for a hold that was left and ends it.
func (l *leader) unstick(ctx context.Context, group *peers) error {
	states, err := ensureAll(ctx, group, everyRank(group), Goal{Kind: GoalNone}, armTimeout)
	if err != nil {
		return errors.WithMessage(err, "group stands")
	}
	for rank := range states {
		if states[rank].HoldAt == 0 {
			continue
		}
		version := NextVersion(l.a.keeper.HighestToken(), states[rank].ActiveVersion, states[rank].PreparedVersion)
		return giveUp(ctx, group, AbandonedHold{Gate: rank, Leader: noRank, Version: version, Shape: l.shape})
	}
	return nil
}

// inForce returns the content of the map in force.
func (l *leader) inForce(ctx context.Context, group *peers, state State) (expertmap.Map, error) {
	if m, ok := l.maps[state.ActiveVersion]; ok {
		return m, nil
	}
	ctx, cancel := context.WithTimeout(ctx, armTimeout)
	defer cancel()
	m, err := group.inForce(ctx, l.shape)
	if err == nil {
		l.maps[state.ActiveVersion] = m
	}
	return m, err
}

func (l *leader) input(inForce expertmap.Map, ranks []placement.Rank, e *route.Experts) placement.Input {
	return placement.Input{
		InForce: inForce, Loaded: inForce, Ranks: ranks, Loads: l.estimator.Estimates(),
		Store: placement.WeightStore{BytesPerSecond: e.LoadBytesPerSecond * float64(l.shape.Ranks)},
	}
}
