package simulation

import (
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
	"github.com/cyclamenpoint/cyclamenpoint/internal/measure/placement/baseline"
	"github.com/cyclamenpoint/cyclamenpoint/internal/measure/placement/drift"
	"github.com/cyclamenpoint/cyclamenpoint/placement"
)

// ProductPolicy is the placement policy of the product.
type ProductPolicy struct{ Policy placement.Policy }

// Decide implements Strategy.
func (p ProductPolicy) Decide(in placement.Input, _ time.Duration) (expertmap.Map, float64, error) {
	d, err := p.Policy.Decide(in)
	if err != nil {
		return expertmap.Map{}, 0, err
	}
	rate := in.Store.BytesPerSecond
	if d.Reason != placement.ReasonRepair {
		rate *= p.Policy.StoreShare
	}
	return d.Map, rate, nil
}

// Static uses the contiguous map and changes it only when a rank is lost or comes
// back.
type Static struct{}

// Decide implements Strategy.
func (Static) Decide(in placement.Input, _ time.Duration) (expertmap.Map, float64, error) {
	alive := aliveRanks(in.Ranks)
	if in.InForce.Validate() == nil && alive[lostRank] == lostRankInUse(in.InForce) {
		return in.InForce, in.Store.BytesPerSecond, nil
	}
	return baseline.Static(in.InForce.Shape(), alive), in.Store.BytesPerSecond, nil
}

// lostRankInUse reports whether the map has experts on lostRank.
func lostRankInUse(m expertmap.Map) bool { return m.Rank(0, lostRank)[0] != expertmap.Empty }

// PeriodicGreedy recomputes every layer with baseline.GreedyPacking once every
// Interval, and without waiting for it while an expert has no rank.
type PeriodicGreedy struct {
	Interval time.Duration
	// StoreShare is the fraction of the store's rate that it uses, except to place
	// experts that have no rank.
	StoreShare float64
	next       time.Duration
}

// Decide implements Strategy.
func (g *PeriodicGreedy) Decide(in placement.Input, now time.Duration) (expertmap.Map, float64, error) {
	rate := in.Store.BytesPerSecond * g.StoreShare
	incomplete := in.InForce.Validate() != nil
	if in.Loads.Windows == 0 || in.Store.Down || now < g.next && !incomplete {
		return in.InForce, rate, nil
	}
	g.next = now + g.Interval
	if incomplete {
		rate = in.Store.BytesPerSecond
	}
	return baseline.GreedyPacking(in.Loaded, in.Loads.Share, aliveRanks(in.Ranks)), rate, nil
}

// PerfectForecast is the placement policy of the product with the true load
// shares at the end of the horizon, free of sampling noise, in place of
// estimates. It is an upper bound for the benefit of any forecast.
type PerfectForecast struct {
	ProductPolicy
	Demand *drift.Demand
	// Horizon is how far ahead the forecast is.
	Horizon time.Duration
}

// Decide implements Strategy.
func (f PerfectForecast) Decide(in placement.Input, now time.Duration) (expertmap.Map, float64, error) {
	n := f.Demand.Layers * f.Demand.Experts
	in.Loads = placement.LoadEstimates{Share: make([]float64, n), Variance: make([]float64, n), Windows: 1}
	f.Demand.Expected(now+f.Horizon, in.Loads.Share)
	return f.ProductPolicy.Decide(in, now)
}

// aliveRanks reports for each rank whether it is alive.
func aliveRanks(ranks []placement.Rank) []bool {
	out := make([]bool, len(ranks))
	for i, r := range ranks {
		out[i] = !r.Lost
	}
	return out
}
