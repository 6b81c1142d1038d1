package rankgroup

import (
	"context"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/gossip"
	"github.com/cyclamenpoint/cyclamenpoint/placement"
)

// report sends the engine's load, and what is asked of the experts, to the group's
// leader.
func (a *Agent) report(ctx context.Context, state State, now time.Time) {
	load := gossip.Load{
		Endpoint: a.settings.Endpoint, Running: state.Running, Queued: state.Queued,
		Group: state.Group, Rank: state.Rank, GroupReady: state.Open, Slowdown: float32(state.Slowdown),
		PassTime: a.passes.pass().Milliseconds(), PassElapsed: a.passes.stands(now).Milliseconds(),
	}
	d := gossip.Datagram{
		From: a.settings.PeerAddress, Loads: []gossip.Load{load}, Rank: state.Rank, ExpertDemand: gossip.PackCounts(a.asked(ctx, state)),
	}
	leaderRank, leading := a.leader(state, now)
	if leaderRank == noRank {
		// Nobody gathers the group's loads yet.
		a.news.Broadcast(gossip.Datagram{From: d.From, Loads: d.Loads})
		return
	}
	if leading {
		a.takeLoads(d.Loads)
		a.lead.hear(state.Rank, d.ExpertDemand.Counts(), now)
		return
	}
	for _, n := range a.registry.GroupAgents(state.Group) {
		if n.Rank == leaderRank && n.Address != a.settings.PeerAddress {
			a.news.Send(n.Address, d)
		}
	}
}

// asked returns what the engine's running requests ask of each expert, by layer
// and expert, or nil while that is not known.
func (a *Agent) asked(ctx context.Context, state State) []uint32 {
	model := a.engineModel.Load()
	if model == nil || model.Experts == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	counts, err := a.engine.Counts(ctx)
	if err != nil {
		a.log.Debug("no counts", "error", err.Error())
		return nil
	}
	if d := a.demand; d == nil || d.layers != model.Experts.Layers || d.experts != model.Experts.ExpertsPerLayer {
		a.demand = newDemand(model.Experts.Layers, model.Experts.ExpertsPerLayer)
	}
	a.demand.observe(counts, state.Running, model.StepsPerPass)
	return a.demand.report()
}

// takeLoads keeps the reports of the group's agents.
func (a *Agent) takeLoads(loads []gossip.Load) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, l := range loads {
		a.loads[l.Endpoint] = timedLoad{Load: l, at: time.Now()}
	}
}

// freshLoads returns the reports that arrived of late.
func (a *Agent) freshLoads(now time.Time) []gossip.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	fresh := make([]gossip.Load, 0, len(a.loads))
	for endpoint, l := range a.loads {
		if now.Sub(l.at) > reportLimit {
			delete(a.loads, endpoint)
			continue
		}
		fresh = append(fresh, l.Load)
	}
	return fresh
}

// reporting returns how many ranks reported of late, and the mean utilisation of
// the given number of slots at each.
func (a *Agent) reporting(now time.Time, slots int) (ranks int, busy float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, l := range a.loads {
		if now.Sub(l.at) <= reportLimit {
			ranks++
			busy += min(float64(l.Running+l.Queued)/float64(max(slots, 1)), 1)
		}
	}
	return ranks, busy / float64(max(ranks, 1))
}

// ranks returns what the reports of late say of each rank.
func (a *Agent) ranks(now time.Time, size int) []placement.Rank {
	a.mu.Lock()
	defer a.mu.Unlock()
	ranks := make([]placement.Rank, size)
	for _, l := range a.loads {
		if l.Rank < size && now.Sub(l.at) <= reportLimit {
			ranks[l.Rank].Slowdown = float64(l.Slowdown)
		}
	}
	return ranks
}
