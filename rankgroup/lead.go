package rankgroup

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
	"github.com/cyclamenpoint/cyclamenpoint/gossip"
	"github.com/cyclamenpoint/cyclamenpoint/metric"
	"github.com/cyclamenpoint/cyclamenpoint/placement"
	"github.com/cyclamenpoint/cyclamenpoint/route"
)

const (
	// broadcastPeriod is the time between two reports of the group's load to
	// the entry nodes, and between two messages of the leader to the ranks.
	broadcastPeriod = 150 * time.Millisecond
	// tickPeriod is the time between two checks whether a window has ended.
	tickPeriod = statePollPeriod / 2
	// settleTimeout is how long the leader waits for a switch to show in the
	// engine's state before it decides again. In a busy group a switch takes
	// less than one second.
	settleTimeout = 3 * time.Second
	// maxGroupStall is how long a group with work may make no step before the
	// leader looks for an abandoned hold.
	maxGroupStall = 900 * time.Millisecond
	// closedKeepPercent is the part of the recorded closed time of the gate, in
	// percent, that remains after a switch whose closed time was shorter. The
	// recorded time determines the extra steps of the next switch, at most
	// maxExtraSteps.
	closedKeepPercent = 80
	// closedRestFactor is the minimum time between two switches as a multiple of
	// the recorded closed time. So gates are closed for at most a fifth of the
	// time, even while orders get lost.
	closedRestFactor = 4
	// usualClosedTime is subtracted from the recorded closed time before it is
	// multiplied. A gate is normally closed for a shorter time, and most of that
	// time passes before the group reaches the gate.
	usualClosedTime = 150 * time.Millisecond
	// maxClosedTime bounds the recorded closed time, and so the time between two switches.
	// The agent beside the gate ends an abandoned hold sooner.
	maxClosedTime = time.Second
	maxExtraSteps = 12
	// invalidMapDelay is the time after an engine found a map invalid before the next
	// one is planned.
	invalidMapDelay = time.Second
	// minGain is the minimum part of the objective that a change has to remove.
	// Smaller gains do not justify a switch, during which the group cannot adapt
	// to other shifts of demand.
	minGain = 0.08
	// switchTimeGain is the weight of the newest switch in the mean duration of a
	// switch, which a plan has to expect.
	switchTimeGain = 0.3
	// evenPassGain is the weight of the newest window in the time of a pass without
	// skew. It is small because the times of passes follow a shift of the skew a few
	// windows later.
	evenPassGain = 0.1
	// sameSkew is the relative difference of two windows' skews up to which the passes
	// between them count as passes with that skew.
	sameSkew = 0.1
	// maxSwitchTime bounds that expectation, because a switch of a busy group
	// takes longer only while orders get no answer.
	maxSwitchTime = 2 * time.Second
)

// initialMap is the version of the map with which a group opens. It ignores the demand, so it
// is replaced as soon as the demand is known, also while few requests run: those who return
// after a failure or at the start of the day come within a second, and find passes three
// times as long as with a suitable map.
const initialMap = 0

// leader decides the group's map while this agent is the leader.
type leader struct {
	agent *Agent

	mu sync.Mutex
	// demands holds the newest demand for the experts, by rank.
	demands map[int]timedDemand

	// The fields below are used only by run.
	demand   *groupDemand
	shape    expertmap.Shape
	windowAt time.Time
	// maps holds the content of the map in force and of the newest one.
	maps  map[uint64]expertmap.Map
	epoch uint64
	// sent is the normalized map that was last sent to the ranks. They keep it also if it has not
	// come into force.
	sent expertmap.Map
	// switchedVersion is the version of the newest switch and switchedAt its
	// time.
	switchedVersion uint64
	switchedAt      time.Time
	// holdCheckedAt is when the leader last looked for an abandoned hold.
	holdCheckedAt time.Time
	// gateClosed is the time for which recent gates were closed; it decays with
	// each switch.
	gateClosed time.Duration
	// switchTime is the mean time that recent switches took beyond the loads of
	// their weights, until the gate was released.
	switchTime time.Duration
	// kept is the latest decision to keep the map.
	kept keptDecision
	// evenPass is the mean time of a pass if all ranks had the same load, passSkew the
	// skew of the latest window from which it was updated.
	evenPass time.Duration
	passSkew float64
	// lastAttemptAt is when the newest attempt to switch ended.
	lastAttemptAt time.Time
	// planAfter is the time before which no map is planned, after an invalid one.
	planAfter time.Time
	// reason is the reason of the latest decision. A decision to keep the map is
	// logged only if its reason differs.
	reason placement.Reason
}

// keptDecision is a decision to keep a map. It saves the processor time of the same
// decision in each window.
type keptDecision struct {
	version uint64
	share   []float64
	at      time.Time
}

// keptPeriod is the time for which a decision to keep the map holds, unless the demand
// shifts: the gain of a change also depends on the times of the passes.
const keptPeriod = 200 * time.Millisecond

// holds reports whether the decision would probably be the same now.
func (k keptDecision) holds(version uint64, demand *groupDemand, now time.Time) bool {
	return k.share != nil && len(k.share) == len(demand.share) && k.version == version && now.Sub(k.at) < keptPeriod &&
		demand.distanceTo(k.share) <= settledDistance
}

// timedDemand is the demand for the experts at a rank, with the time of its
// arrival.
type timedDemand struct {
	demand []uint32
	at     time.Time
}

func newLeader(a *Agent) *leader {
	return &leader{agent: a, demands: make(map[int]timedDemand), maps: make(map[uint64]expertmap.Map)}
}

// setDemand records the demand for the experts at one rank. A report without a
// demand is ignored.
func (l *leader) setDemand(rank int, demand []uint32, now time.Time) {
	if demand == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.demands[rank] = timedDemand{demand: demand, at: now}
}

// recentDemands returns the demands that are not older than maxReportAge, by
// rank.
func (l *leader) recentDemands(now time.Time) map[int][]uint32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	recent := make(map[int][]uint32, len(l.demands))
	for rank, d := range l.demands {
		if now.Sub(d.at) > maxReportAge {
			delete(l.demands, rank)
			continue
		}
		recent[rank] = d.demand
	}
	return recent
}

func (l *leader) run(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod)
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

// runBroadcast broadcasts the group's load until the context ends. It runs in a
// goroutine of its own, because a switch may take long.
func (l *leader) runBroadcast(ctx context.Context) {
	ticker := time.NewTicker(broadcastPeriod)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			state := l.agent.state.Load()
			if state == nil || state.Group == "" {
				continue
			}
			if _, leading := l.agent.currentLeader(*state, now); leading {
				l.broadcast(*state, now)
			}
		case <-ctx.Done():
			return
		}
	}
}

// tick makes the next decision if it is due and this agent leads.
func (l *leader) tick(ctx context.Context, now time.Time) {
	state := l.agent.state.Load()
	if state == nil || state.Group == "" {
		return
	}
	if _, leading := l.agent.currentLeader(*state, now); !leading {
		l.demand = nil
		return
	}
	// The ticks of two windows may be a little less than a period apart.
	if now.Sub(l.windowAt) < reportPeriodOf(state.Size)-tickPeriod/2 {
		return
	}
	l.windowAt = now
	if !l.prepareDemand(*state) {
		return
	}
	l.observe(now)
	if err := l.decide(ctx, *state, now); err != nil {
		l.agent.log.Warn("map not changed", "group", state.Group, "epoch", state.Epoch, "error", err.Error())
	}
}

// broadcast sends the group's load to the entry nodes, and the rank of the
// leader to the group.
func (l *leader) broadcast(state State, now time.Time) {
	// The short datagrams to the ranks go first, so that load reports that fill
	// the link do not make the ranks lose their leader.
	for _, n := range l.agent.registry.GroupAgents(state.Group) {
		if n.Address != l.agent.settings.PeerAddress {
			l.agent.gossip.Send(n.Address, gossip.Datagram{From: l.agent.settings.PeerAddress, LeadsGroup: state.Group, Rank: state.Rank})
		}
	}
	d := l.agent.gossip.Versions()
	d.Loads, d.LeadsGroup, d.Rank = l.agent.recentLoads(now), state.Group, state.Rank
	l.agent.gossip.Broadcast(d)
}

// prepareDemand prepares the estimate of the demand for the current shape and epoch. It
// returns false while the shape of the maps is unknown.
func (l *leader) prepareDemand(state State) bool {
	shape := l.agent.shape(state)
	if shape.Layers == 0 {
		return false
	}
	if l.demand == nil || shape != l.shape {
		l.shape = shape
		l.demand = newGroupDemand(shape)
	}
	if state.Epoch != l.epoch {
		l.epoch, l.switchedVersion = state.Epoch, 0
		clear(l.maps)
	}
	return true
}

// observe updates the demand from the recent reports of the ranks.
func (l *leader) observe(now time.Time) {
	ignored, outdated := l.demand.update(l.recentDemands(now))
	if len(ignored) > 0 {
		l.agent.log.Warn("expert demand of ranks ignored, wrong number of experts", "ranks", ignored)
	}
	l.dropDemands(outdated, now)
	if seen := l.demand.seen; seen != nil {
		l.agent.log.Info("demand has shifted", "ranks", seen.ranks, "of", l.shape.Ranks, "share", seen.share, "nearest_former", seen.nearest)
	}
}

// dropDemands removes the demands of some ranks that arrived until now, so that they
// count again with their next report.
func (l *leader) dropDemands(ranks []int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, rank := range ranks {
		if !l.demands[rank].at.After(now) {
			delete(l.demands, rank)
		}
	}
}

// decide runs the placement policy and puts the resulting map in force.
func (l *leader) decide(ctx context.Context, state State, now time.Time) error {
	group, err := l.agent.groupClient(state)
	if err != nil {
		return err
	}
	if l.agent.passes.passElapsed(now) >= maxGroupStall && now.Sub(l.holdCheckedAt) >= maxGroupStall && state.GroupReady {
		l.holdCheckedAt = now
		return l.endAbandonedHold(ctx, group)
	}
	if now.Before(l.planAfter) || now.Sub(l.lastAttemptAt) < closedRestFactor*(l.gateClosed-usualClosedTime) {
		return nil
	}
	if l.demand.shifting() || l.kept.holds(state.InForce, l.demand, now) {
		return nil
	}
	if !state.GroupReady || state.Armed != nil || (state.InForce != l.switchedVersion && now.Sub(l.switchedAt) < settleTimeout) {
		return nil
	}
	model := l.agent.engineModel.Load()
	reporting, util := l.agent.utilisation(now, model.Slots)
	if reporting < l.shape.Ranks {
		return nil
	}
	ranks := l.agent.rankStates(now, l.shape.Ranks)
	inForce, err := l.mapInForce(ctx, group, state)
	if err != nil {
		return err
	}
	if group.base = l.sent; group.base.Shape() != l.shape {
		group.base = inForce
	}
	began := time.Now()
	input := l.placementInput(inForce, ranks, model.Experts)
	pass := l.expectedPass(model.Experts, placement.Skew(inForce, input.Loads, ranks))
	gain := gainWeight(state.InForce, util, ranks, pass, time.Duration(l.agent.targetGap.Load()))
	decision, err := NewPolicy(model.Experts, l.shape.Ranks, gain, l.pace(now)).Decide(input)
	if err != nil {
		return err
	}
	metric.Skew.Update(decision.Before.Skew)
	l.recordPass(model.Experts, decision.Before.Skew)
	if !decision.Change || !WorthSwitching(decision) {
		l.kept = keptDecision{version: state.InForce, share: l.demand.share, at: now}
		if decision.Reason != l.reason {
			l.reason = decision.Reason
			l.agent.log.Info("map kept", "group", state.Group, "map", state.InForce, "decision", decision.String())
		}
		return nil
	}
	l.reason = decision.Reason
	metric.MapDecisionTime.UpdateDuration(began)
	return l.applyDecision(ctx, group, state, decision, began, util, pass)
}

// gainWeight returns the weight of a gain in step time, from 0 to 1, for a group with a map
// in force.
func gainWeight(inForce uint64, utilisation float64, ranks []placement.Rank, pass, gap time.Duration) float64 {
	if inForce == initialMap {
		return 1
	}
	return max(utilisationWeight(utilisation, ranks), latencyWeight(pass, gap))
}

// WorthSwitching reports whether a decision to change the map gains enough for a
// switch.
func WorthSwitching(d placement.Decision) bool {
	return d.After.Value <= d.Before.Value*(1-minGain)
}

// applyDecision puts the map of a decision in force.
func (l *leader) applyDecision(ctx context.Context, group *httpGroupClient, state State, d placement.Decision, decisionBegan time.Time, util float64, pass time.Duration) error {
	began := time.Now()
	plan := Plan{
		Epoch: state.Epoch, Map: d.Map.Normalize(), Gate: gateOf(state.Rank, l.shape.Ranks), Leader: state.Rank,
		ExtraSteps: l.extraSteps(pass), Version: NextVersion(state.InForce, state.PreparedVersion, l.switchedVersion, l.agent.reconciler.HighestToken()),
	}
	l.agent.log.Info("map changes", "group", state.Group, "epoch", state.Epoch, "map", plan.Version, "former", state.InForce, "busy", util, "decided_in", time.Since(decisionBegan).String(), "decision", d.String())
	l.sent = plan.Map
	prepareMap := l.prepareWhileCurrent
	if state.InForce == initialMap {
		// Also a map for an estimate from few requests, or for the demand before a
		// shift, is far better than the initial one.
		prepareMap = prepare
	}
	states, err := prepareMap(ctx, group, plan)
	closedFor := time.Duration(0)
	if err == nil {
		closedFor, err = switchPrepared(ctx, group, plan, states)
	}
	l.gateClosed, l.lastAttemptAt = max(recordedClosedTime(closedFor, err), l.gateClosed*closedKeepPercent/100), time.Now()
	metric.MapChangeTime.UpdateDuration(began)
	metric.GateClosedTime.Update(closedFor.Seconds())
	if err != nil {
		metric.MapsFailed.Inc()
	} else {
		metric.MapsChanged.Inc()
	}
	if err != nil {
		var fenced *FencedError
		if errors.As(err, &fenced) {
			l.agent.reconciler.raiseToken(fenced.Newest)
		}
		if errors.As(err, new(*InvalidOrderError)) {
			// The map was derived from a wrong one, which must be read again.
			clear(l.maps)
			l.planAfter = time.Now().Add(invalidMapDelay)
		}
		return err
	}
	l.recordSwitchTime(time.Since(began), d.After.LoadTime)
	maps := map[uint64]expertmap.Map{plan.Version: plan.Map}
	if m, ok := l.maps[state.InForce]; ok {
		maps[state.InForce] = m
	}
	l.maps = maps
	l.switchedVersion, l.switchedAt = plan.Version, time.Now()
	l.agent.log.Info("map will be in force", "group", state.Group, "epoch", state.Epoch, "map", plan.Version, "after", time.Since(began).String())
	return nil
}

// recordedClosedTime returns the closed time to record for a switch. A leader that was
// stopped during its hold measures its own stop: others have fenced it and ended the hold
// long before. A recorded stop of 4 s would keep the group on an unsuitable map for 15 s.
func recordedClosedTime(closed time.Duration, err error) time.Duration {
	if errors.As(err, new(*FencedError)) {
		return 0
	}
	return min(closed, maxClosedTime)
}

const (
	// outdatedPeriod is the time between two checks whether the demand has shifted
	// since a plan was made.
	outdatedPeriod = 50 * time.Millisecond
	// outdatedDistance is the share of the demand that has to shift for a plan to
	// be dropped. Smaller shifts leave most of its gain.
	outdatedDistance = 0.2
)

// prepareWhileCurrent prepares the map of a plan at all ranks. It gives up with an
// *OutdatedPlanError if the demand shifts meanwhile.
func (l *leader) prepareWhileCurrent(ctx context.Context, group GroupClient, p Plan) ([]State, error) {
	ctx, cancel := context.WithCancel(ctx)
	var outdated atomic.Bool
	var watch sync.WaitGroup
	watch.Go(func() {
		ticker := time.NewTicker(outdatedPeriod)
		defer ticker.Stop()
		for {
			select {
			case now := <-ticker.C:
				if l.demand.distance(l.recentDemands(now)) >= outdatedDistance {
					outdated.Store(true)
					cancel()
				}
			case <-ctx.Done():
				return
			}
		}
	})
	states, err := prepare(ctx, group, p)
	cancel()
	watch.Wait()
	if err != nil && outdated.Load() {
		return nil, &OutdatedPlanError{Version: p.Version}
	}
	return states, err
}

// extraSteps returns the recorded closed time in passes of the given time, rounded to the nearest
// number, at most maxExtraSteps. So the gate rarely delays the group by more than half
// a pass. It is much higher than usual while orders get no answer.
func (l *leader) extraSteps(pass time.Duration) uint64 {
	if pass <= 0 {
		return 0
	}
	return min(uint64((l.gateClosed+pass/2)/pass), maxExtraSteps)
}

// expectedSwitchTime returns the time that the next switch will take beyond the
// loads of its weights.
func (l *leader) expectedSwitchTime(now time.Time) time.Duration {
	// The current pass may already have taken far longer than the last one.
	pass := max(l.agent.passes.passTime(), l.agent.passes.passElapsed(now))
	return min(max((minStepsAhead+1)*pass, l.switchTime, l.gateClosed), maxSwitchTime)
}

// pace returns the expected times of the next switch and passes.
func (l *leader) pace(now time.Time) Pace {
	return Pace{SwitchTime: l.expectedSwitchTime(now), Pass: l.evenPass, TargetGap: time.Duration(l.agent.targetGap.Load())}
}

// expectedPass returns the time of the next passes if the map in force has the given
// skew. A shift shows in the skew a pass or more before it shows in the times of passes.
func (l *leader) expectedPass(e *route.Experts, skew float64) time.Duration {
	return max(l.agent.passes.passTime(), time.Duration(float64(l.evenPass)*skewFactor(e, skew)))
}

// recordPass updates the time of a pass without skew from the time of recent passes,
// which the skew made longer. A window whose skew differs from that of the last one is
// left out, because the passes had another skew.
func (l *leader) recordPass(e *route.Experts, skew float64) {
	before := l.passSkew
	l.passSkew = skew
	even := time.Duration(float64(l.agent.passes.passTime()) / skewFactor(e, skew))
	if l.evenPass == 0 {
		l.evenPass = even
		return
	}
	if math.Abs(skew-before) > sameSkew*before {
		return
	}
	l.evenPass += time.Duration(evenPassGain * float64(even-l.evenPass))
}

// recordSwitchTime updates the mean time of a switch. loads is the expected time
// for the loads of its weights.
func (l *leader) recordSwitchTime(took, loads time.Duration) {
	beyond := max(took-loads, 0)
	if l.switchTime == 0 {
		l.switchTime = beyond
		return
	}
	l.switchTime += time.Duration(switchTimeGain * float64(beyond-l.switchTime))
}

// endAbandonedHold looks for an abandoned hold and ends it.
func (l *leader) endAbandonedHold(ctx context.Context, group *httpGroupClient) error {
	states, err := ensureAll(ctx, group, allRanks(group), Goal{Kind: GoalNone}, armTimeout)
	if err != nil {
		return errors.WithMessage(err, "group makes no steps")
	}
	for rank := range states {
		if states[rank].HoldAt == 0 {
			continue
		}
		version := NextVersion(l.agent.reconciler.HighestToken(), states[rank].InForce, states[rank].PreparedVersion)
		return abortSwitch(ctx, group, AbandonedHold{Gate: rank, Leader: noRank, Version: version, Shape: l.shape})
	}
	return nil
}

// mapInForce returns the content of the map in force.
func (l *leader) mapInForce(ctx context.Context, group *httpGroupClient, state State) (expertmap.Map, error) {
	if m, ok := l.maps[state.InForce]; ok {
		return m, nil
	}
	ctx, cancel := context.WithTimeout(ctx, armTimeout)
	defer cancel()
	m, err := group.mapInForce(ctx, l.shape, state.InForce)
	if err == nil {
		l.maps[state.InForce] = m
	}
	return m, err
}

func (l *leader) placementInput(inForce expertmap.Map, ranks []placement.Rank, e *route.Experts) placement.Input {
	return placement.Input{
		InForce: inForce, Loaded: inForce, Ranks: ranks, Loads: l.demand.estimates(),
		Store: placement.WeightStore{BytesPerSecond: e.LoadBytesPerSecond * float64(l.shape.Ranks)},
	}
}
