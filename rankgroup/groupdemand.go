package rankgroup

import (
	"slices"

	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
	"github.com/cyclamenpoint/cyclamenpoint/placement"
)

const (
	// settledDistance is the share of the demand that may differ between two
	// windows of a demand that does not shift at the moment. Requests that begin
	// and end change a few percent.
	settledDistance = 0.08
	// maxUnsettledWindows bounds the time for which a decision waits for a shift
	// to arrive in the reports of all ranks.
	maxUnsettledWindows = 2
	// minShift is the share of the demand that has to change for the ranks that report
	// the change to stand for all. minChangedPart and minChangedRanks are the least
	// part of the demand and the least number of ranks: a few ranks that begin long
	// prompts at the same time do not show a shift.
	minShift        = 0.2
	minChangedPart  = 0.25
	minChangedRanks = 3
	// changedProjection is the projection of a rank's change onto that of the group,
	// as a part of the largest one, from which the rank's report counts as changed.
	// Reports from before the shift are near zero.
	changedProjection = 0.5
)

// groupDemand is the demand of all ranks of a group for each expert. It follows
// the latest reports of the ranks without averaging over time: the sum over the
// ranks has little noise, and a demand that shifts does so from one pass to the
// next.
type groupDemand struct {
	shape expertmap.Shape
	// share is the share of each expert in the demand of its layer, by layer,
	// then expert, nil if it is unknown.
	share []float64
	// windows counts the windows, age those since share was last updated.
	windows, age int64
	// unsettled counts the successive windows in which the demand has shifted.
	unsettled int
	// settled is the share in the last window before those.
	settled []float64
	// past holds the settled shares before the latest shifts, the oldest first.
	past [][]float64
	// seen describes the shift of the latest window, nil without one.
	seen *demandShift
}

// demandShift is a shift of the demand, for the log.
type demandShift struct {
	// ranks is the number of ranks that have reported it.
	ranks int
	// share is the share of the demand that has shifted, and nearest the least share by
	// which the new demand differs from one before the latest shifts. A small one shows
	// that demands recur.
	share, nearest float64
}

// maxPast is the number of demands that are kept to see whether demands recur.
const maxPast = 12

func newGroupDemand(shape expertmap.Shape) *groupDemand { return &groupDemand{shape: shape} }

// update replaces the demand by the sum of the ranks' demands, which are ordered
// by layer, then expert. It returns the ranks whose demand has another size. A
// window without demand in some layer leaves the estimate as it is.
//
// While a shift arrives in the reports, the ranks that report it stand for all ranks
// once there are enough of them. update then returns the others as outdated: their
// reports are from before the shift.
func (g *groupDemand) update(demands map[int][]uint32) (ignored, outdated []int) {
	g.age++
	g.seen = nil
	total, ignored, ok := g.sum(demands)
	if !ok {
		return ignored, nil
	}
	switch {
	case g.share == nil || g.distanceTo(total) <= settledDistance:
		g.unsettled = 0
	default:
		if g.unsettled == 0 {
			g.settled = g.share
		}
		g.unsettled++
		if changed, others := g.changedRanks(demands, total); changed != nil {
			total, outdated, g.unsettled = changed, others, 0
			g.recordShift(changed, len(demands)-len(others)-len(ignored))
		}
	}
	g.share, g.age = total, 0
	g.windows++
	return ignored, outdated
}

// recordShift records a shift from the settled demand that some ranks have reported.
func (g *groupDemand) recordShift(share []float64, ranks int) {
	layers := float64(g.shape.Layers)
	g.seen = &demandShift{ranks: ranks, share: shareDistance(g.settled, share) / layers}
	g.seen.nearest = g.seen.share
	for _, past := range g.past {
		g.seen.nearest = min(g.seen.nearest, shareDistance(past, share)/layers)
	}
	if len(g.past) == maxPast {
		g.past = slices.Delete(g.past, 0, 1)
	}
	g.past = append(g.past, g.settled)
}

// changedRanks returns the shares of the demand of those ranks that report a shift,
// and the other ranks. It returns nil if they are too few or the shift is too small.
// total is the share of all ranks.
func (g *groupDemand) changedRanks(demands map[int][]uint32, total []float64) (share []float64, others []int) {
	change := make([]float64, len(total))
	for i, x := range total {
		change[i] = x - g.settled[i]
	}
	projections := make(map[int]float64, len(demands))
	largest, weights := 0.0, 0.0
	for rank, demand := range demands {
		weight, projection := g.project(demand, change)
		if weight == 0 {
			continue
		}
		projections[rank] = projection
		largest = max(largest, projection)
		weights += weight
	}
	changed, part := make(map[int][]uint32, len(demands)), 0.0
	for rank, projection := range projections {
		if projection < changedProjection*largest {
			others = append(others, rank)
			continue
		}
		changed[rank] = demands[rank]
		weight, _ := g.project(demands[rank], nil)
		part += weight / weights
	}
	if len(changed) < minChangedRanks || part < minChangedPart {
		return nil, nil
	}
	share, _, ok := g.sum(changed)
	if !ok || shareDistance(g.settled, share)/float64(g.shape.Layers) < minShift {
		return nil, nil
	}
	slices.Sort(others)
	return share, others
}

// project returns the demand of a rank in one layer and the projection of its
// difference from the settled share onto a change, zero for a demand of another size.
func (g *groupDemand) project(demand []uint32, change []float64) (weight, projection float64) {
	if len(demand) != len(g.settled) {
		return 0, 0
	}
	for _, n := range demand {
		weight += float64(n)
	}
	weight /= float64(g.shape.Layers)
	if weight == 0 {
		return 0, 0
	}
	for i, c := range change {
		projection += c * (float64(demand[i])/weight - g.settled[i])
	}
	return weight, projection
}

// sum returns the shares of the sum of the ranks' demands and the ranks whose demand
// has another size. It returns false if there is no demand in some layer.
func (g *groupDemand) sum(demands map[int][]uint32) (share []float64, ignored []int, ok bool) {
	size := g.shape.Layers * g.shape.Experts
	share = make([]float64, size)
	for rank, demand := range demands {
		if len(demand) != size {
			ignored = append(ignored, rank)
			continue
		}
		for i, n := range demand {
			share[i] += float64(n)
		}
	}
	for layer := range g.shape.Layers {
		if !normalise(share[layer*g.shape.Experts:][:g.shape.Experts]) {
			return nil, ignored, false
		}
	}
	return share, ignored, true
}

// distance returns the share of the demand, as the mean over the layers, by which
// the sum of the ranks' demands differs from the estimate; zero if either is unknown.
func (g *groupDemand) distance(demands map[int][]uint32) float64 {
	share, _, ok := g.sum(demands)
	if !ok || g.share == nil {
		return 0
	}
	return g.distanceTo(share)
}

func (g *groupDemand) distanceTo(share []float64) float64 {
	return shareDistance(g.share, share) / float64(g.shape.Layers)
}

// shifting reports whether a shift of demand is arriving, so that a decision had
// better wait for the next window.
func (g *groupDemand) shifting() bool {
	return g.unsettled > 0 && g.unsettled <= maxUnsettledWindows
}

// estimates returns the demand as the input of a placement decision.
func (g *groupDemand) estimates() placement.LoadEstimates {
	return placement.LoadEstimates{Share: g.share, Variance: make([]float64, len(g.share)), Windows: g.windows, Age: g.age}
}

// normalise scales values to a sum of 1. It returns false if the sum is 0.
func normalise(values []float64) bool {
	sum := 0.0
	for _, x := range values {
		sum += x
	}
	if sum == 0 {
		return false
	}
	for i := range values {
		values[i] /= sum
	}
	return true
}

// shareDistance returns the sum of the increases from one list of shares to
// another.
func shareDistance(from, to []float64) float64 {
	sum := 0.0
	for i, x := range to {
		sum += max(x-from[i], 0)
	}
	return sum
}
