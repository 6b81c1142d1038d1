package rankgroup

import (
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
}

func newGroupDemand(shape expertmap.Shape) *groupDemand { return &groupDemand{shape: shape} }

// update replaces the demand by the sum of the ranks' demands, which are ordered
// by layer, then expert. It returns the ranks whose demand has another size. A
// window without demand in some layer leaves the estimate as it is.
func (g *groupDemand) update(demands map[int][]uint32) (ignored []int) {
	g.age++
	total, ignored, ok := g.sum(demands)
	if !ok {
		return ignored
	}
	if g.share != nil && g.distanceTo(total) > settledDistance {
		g.unsettled++
	} else {
		g.unsettled = 0
	}
	g.share, g.age = total, 0
	g.windows++
	return ignored
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
