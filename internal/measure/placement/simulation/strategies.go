package simulation

import (
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
	"github.com/cyclamenpoint/cyclamenpoint/internal/measure/placement/baseline"
	"github.com/cyclamenpoint/cyclamenpoint/internal/measure/placement/drift"
	"github.com/cyclamenpoint/cyclamenpoint/placement"
)

// ProductPolicy decides by the product's policy.
type ProductPolicy struct{ Policy placement.Policy }

// Decide implements Strategy.
func (l ProductPolicy) Decide(in placement.Input, _ time.Duration) (expertmap.Map, float64, error) {
	d, err := l.Policy.Decide(in)
	if err != nil {
		return expertmap.Map{}, 0, err
	}
	rate := in.Store.BytesPerSecond
	if d.Reason != placement.ReasonRepair {
		rate *= l.Policy.StoreShare
	}
	return d.Map, rate, nil
}

// Static keeps the contiguous map over the live ranks.
type Static struct{}

// Decide implements Strategy.
func (Static) Decide(in placement.Input, _ time.Duration) (expertmap.Map, float64, error) {
	alive := alive(in.Ranks)
	if in.InForce.Validate() == nil && alive[lostRank] == held(in.InForce) {
		return in.InForce, in.Store.BytesPerSecond, nil
	}
	return baseline.Static(in.InForce.Shape(), alive), in.Store.BytesPerSecond, nil
}

// held reports whether the rank that may be lost holds experts.
func held(m expertmap.Map) bool { return m.Rank(0, lostRank)[0] != expertmap.Empty }

// PeriodicGreedy solves every layer anew at each interval.
type PeriodicGreedy struct {
	Interval time.Duration
	// StoreShare is the part of the store's rate that it uses.
	StoreShare float64
	next       time.Duration
}

// Decide implements Strategy.
func (f *PeriodicGreedy) Decide(in placement.Input, at time.Duration) (expertmap.Map, float64, error) {
	rate := in.Store.BytesPerSecond * f.StoreShare
	broken := in.InForce.Validate() != nil
	if in.Loads.Windows == 0 || in.Store.Down || at < f.next && !broken {
		return in.InForce, rate, nil
	}
	f.next = at + f.Interval
	if broken {
		rate = in.Store.BytesPerSecond
	}
	return baseline.GreedyPacking(in.Loaded, in.Loads.Share, alive(in.Ranks)), rate, nil
}

// PerfectForecast decides by the product's policy with the true shares, without noise,
// of some time ahead. No forecast does better.
type PerfectForecast struct {
	ProductPolicy
	Demand  *drift.Demand
	Horizon time.Duration
}

// Decide implements Strategy.
func (f PerfectForecast) Decide(in placement.Input, at time.Duration) (expertmap.Map, float64, error) {
	n := f.Demand.Layers * f.Demand.Experts
	in.Loads = placement.LoadEstimates{Share: make([]float64, n), Variance: make([]float64, n), Windows: 1}
	f.Demand.Expected(at+f.Horizon, in.Loads.Share)
	return f.ProductPolicy.Decide(in, at)
}

func alive(ranks []placement.Rank) []bool {
	out := make([]bool, len(ranks))
	for i, r := range ranks {
		out[i] = !r.Lost
	}
	return out
}
