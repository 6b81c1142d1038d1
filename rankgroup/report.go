package rankgroup

import (
	"context"
	"math"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/gossip"
	"github.com/cyclamenpoint/cyclamenpoint/placement"
)

// report sends the engine's load and the demand for the experts to the group's
// leader.
func (a *Agent) report(ctx context.Context, state State, now time.Time) {
	load := gossip.Load{
		Endpoint: a.settings.Endpoint, Running: state.Running, Queued: state.Queued,
		Group: state.Group, Rank: state.Rank, GroupReady: state.GroupReady, Slowdown: float32(state.Slowdown),
		PassTime: a.passes.passTime().Milliseconds(), PassElapsed: a.passes.passElapsed(now).Milliseconds(),
	}
	d := gossip.Datagram{From: a.settings.PeerAddress, Loads: []gossip.Load{load}, Rank: state.Rank, ExpertDemand: a.dueDemand(ctx, state)}
	leaderRank, leading := a.currentLeader(state, now)
	if leaderRank == noRank {
		// No leader collects the loads of the group yet.
		a.gossip.Broadcast(gossip.Datagram{From: d.From, Loads: d.Loads})
		return
	}
	if leading {
		a.storeLoads(d.Loads)
		a.lead.setDemand(state.Rank, d.ExpertDemand.Counts(), now)
		return
	}
	for _, n := range a.registry.GroupAgents(state.Group) {
		if n.Rank == leaderRank && n.Address != a.settings.PeerAddress {
			a.gossip.Send(n.Address, d)
		}
	}
}

// maxDemandRate is the rate in bytes per second at which a leader may receive the
// demand of its ranks: a third of the link of the slowest VMs, 6 Mbit/s.
const maxDemandRate = 250_000

// demandTurns returns the number of report periods in which each rank of a group
// reports its demand for experts, a list of the given length, once. In large groups the
// ranks take turns. Shifts of demand show at all ranks, so some ranks suffice to see
// them.
func demandTurns(ranks, length int) int {
	perSecond := float64(time.Second) / float64(reportPeriodOf(ranks))
	bytes := float64(ranks*length/2) * perSecond
	return max(int(math.Ceil(bytes/maxDemandRate)), 1)
}

// dueDemand returns the demand if it is this rank's turn. The counts are read in that
// period and in the one before, so that the demand is that of one period.
func (a *Agent) dueDemand(ctx context.Context, state State) gossip.PackedCounts {
	model := a.engineModel.Load()
	if model == nil || model.Experts == nil {
		return gossip.PackedCounts{}
	}
	turns := demandTurns(state.Size, model.Experts.Layers*model.Experts.ExpertsPerLayer)
	a.reports++
	turn := (a.reports + state.Rank) % turns
	if turn != 0 && turn != turns-1 {
		return gossip.PackedCounts{}
	}
	demand := a.expertDemand(ctx, state)
	if turn != 0 {
		return gossip.PackedCounts{}
	}
	return gossip.PackCounts(demand)
}

// expertDemand returns the demand of the engine's running requests for each
// expert, by layer, then expert, or nil if it is unknown.
func (a *Agent) expertDemand(ctx context.Context, state State) []uint32 {
	model := a.engineModel.Load()
	if model == nil || model.Experts == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	counts, err := a.engine.Counts(ctx)
	if err != nil {
		a.log.Debug("expert counts not available", "error", err.Error())
		return nil
	}
	if d := a.demand; d == nil || d.layers != model.Experts.Layers || d.experts != model.Experts.ExpertsPerLayer {
		a.demand = newDemandEstimator(model.Experts.Layers, model.Experts.ExpertsPerLayer)
	}
	a.demand.observe(counts, state.Running, model.StepsPerPass)
	return a.demand.report()
}

// storeLoads stores the load reports of the group's agents.
func (a *Agent) storeLoads(loads []gossip.Load) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, l := range loads {
		a.loads[l.Endpoint] = timedLoad{Load: l, at: time.Now()}
	}
}

// recentLoads returns the load reports that are not older than maxReportAge.
func (a *Agent) recentLoads(now time.Time) []gossip.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	recent := make([]gossip.Load, 0, len(a.loads))
	for endpoint, l := range a.loads {
		if now.Sub(l.at) > maxReportAge {
			delete(a.loads, endpoint)
			continue
		}
		recent = append(recent, l.Load)
	}
	return recent
}

// utilisation returns the number of ranks with a recent report and the mean
// utilisation of their slots. slots is the number of slots of each rank.
func (a *Agent) utilisation(now time.Time, slots int) (ranks int, util float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, l := range a.loads {
		if now.Sub(l.at) <= maxReportAge {
			ranks++
			util += min(float64(l.Running+l.Queued)/float64(max(slots, 1)), 1)
		}
	}
	return ranks, util / float64(max(ranks, 1))
}

// rankStates returns the state of each rank, from the recent reports.
func (a *Agent) rankStates(now time.Time, size int) []placement.Rank {
	a.mu.Lock()
	defer a.mu.Unlock()
	ranks := make([]placement.Rank, size)
	for _, l := range a.loads {
		if l.Rank < size && now.Sub(l.at) <= maxReportAge {
			ranks[l.Rank].Slowdown = float64(l.Slowdown)
		}
	}
	return ranks
}
