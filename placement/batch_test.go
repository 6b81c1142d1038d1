package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/deployment"
	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
)

// TestLoadLimits: for random demand, a decision for engines that load into spare
// slots stays within all limits of slots and weight loads, with a common rate of
// loads and with one rate per rank.
func TestLoadLimits(t *testing.T) {
	for _, loadTime := range []time.Duration{0, time.Millisecond} {
		t.Run(loadTime.String(), func(t *testing.T) { testLoadLimits(t, loadTime) })
	}
}

func testLoadLimits(t *testing.T, loadTime time.Duration) {
	shape := expertmap.Shape{Layers: 3, Experts: 16, Ranks: 4, Slots: 8}
	policy := Policy{
		Objective: deployment.Objective{Skew: 1, Move: 0.01}, ExpertBytes: 1, Horizon: time.Hour, MaxLoadTime: time.Second,
		StoreShare: 1, MaxAge: 10, ReservedSlots: 2, MaxLoadsPerLayer: 2, MaxLoadsPerRank: 3, LoadTime: loadTime,
	}
	rng := rand.New(rand.NewPCG(8, 9))
	m, err := expertmap.Static(shape)
	assert.NilError(t, err)
	changes := 0
	for range 60 {
		loads := LoadEstimates{Windows: 5, Share: make([]float64, shape.Layers*shape.Experts), Variance: make([]float64, shape.Layers*shape.Experts)}
		for i := range loads.Share {
			x := rng.Float64()
			loads.Share[i] = x * x * x * x
		}
		for layer := range shape.Layers {
			share := loads.Share[layer*shape.Experts : (layer+1)*shape.Experts]
			sum := 0.0
			for _, x := range share {
				sum += x
			}
			for i := range share {
				share[i] /= sum
			}
		}
		d, err := policy.Decide(Input{InForce: m, Loaded: m, Ranks: make([]Rank, shape.Ranks), Loads: loads, Store: WeightStore{BytesPerSecond: 1e9}})
		assert.NilError(t, err)
		assert.NilError(t, d.Map.Validate())
		checkLimits(t, m, d.Map, policy)
		if d.Change {
			changes++
			assert.Assert(t, d.After.Skew < d.Before.Skew)
		}
		m = d.Map
	}
	assert.Assert(t, changes > 30, "%d changes", changes)
}

// checkLimits compares two maps by the sets of experts on each rank, as engines
// do.
func checkLimits(t *testing.T, from, to expertmap.Map, p Policy) {
	shape := from.Shape()
	for rank := range shape.Ranks {
		batch := 0
		for layer := range shape.Layers {
			used, added := 0, 0
			for _, e := range to.Rank(layer, rank) {
				if e == expertmap.Empty {
					continue
				}
				used++
				if !from.Holds(layer, rank, e) {
					added++
				}
			}
			assert.Assert(t, used <= shape.Slots-p.ReservedSlots, "rank %d layer %d uses %d slots", rank, layer, used)
			assert.Assert(t, added <= p.MaxLoadsPerLayer, "rank %d layer %d loads %d", rank, layer, added)
			batch += added
		}
		assert.Assert(t, batch <= p.MaxLoadsPerRank, "rank %d loads %d", rank, batch)
	}
}

// hotLayers returns the input of a group of 8 ranks with 32 experts. In each layer
// the load of one expert equals that of three ranks.
func hotLayers(t *testing.T, layers int) Input {
	t.Helper()
	shape := expertmap.Shape{Layers: layers, Experts: 32, Ranks: 8, Slots: 10}
	m, err := expertmap.Static(shape)
	assert.NilError(t, err)
	loads := LoadEstimates{Windows: 1, Share: make([]float64, layers*32), Variance: make([]float64, layers*32)}
	for i := range loads.Share {
		loads.Share[i] = (1 - 0.375) / 31
		if i%32 == 5 {
			loads.Share[i] = 0.375
		}
	}
	return Input{InForce: m, Loaded: m, Ranks: make([]Rank, 8), Loads: loads, Store: WeightStore{BytesPerSecond: 1}}
}

// batchPolicy is the policy of a group whose ranks take loadTime for one load.
func batchPolicy(loadTime time.Duration) Policy {
	return Policy{
		Objective: deployment.Objective{Skew: 1, Move: 0.001}, ExpertBytes: 1, Horizon: 3 * time.Second, MaxLoadTime: time.Hour,
		StoreShare: 1, MaxAge: 10, ReservedSlots: 4, MaxLoadsPerLayer: 4, MaxLoadsPerRank: 12,
		LoadTime: loadTime, SwitchTime: 300 * time.Millisecond, LoadSlowdown: 0.15,
	}
}

// TestBatchServesAllLayers guards against a batch in which the loads for the first
// layers leave nothing for the others: where each rank can load only one expert in
// time, every layer has to lose its hottest rank. Limits per layer plan, not per
// load, once left two of three layers as they were.
func TestBatchServesAllLayers(t *testing.T) {
	p := batchPolicy(400 * time.Millisecond)
	p.MaxLoadsPerRank = 1
	in := hotLayers(t, 3)
	d, err := p.Decide(in)
	assert.NilError(t, err)
	assert.Assert(t, d.Change)
	for layer := range 3 {
		before := maxLoad(in.InForce, layer, in.Loads.layer(layer, 32), in.Ranks) * 8
		after := maxLoad(d.Map, layer, in.Loads.layer(layer, 32), in.Ranks) * 8
		assert.Assert(t, before > 3 && after < 2, "layer %d: %.2f to %.2f", layer, before, after)
	}
	assert.Equal(t, d.After.Delay, 700*time.Millisecond)
	assert.Equal(t, d.After.LoadTime, 400*time.Millisecond)
}

// TestBatchSizeFollowsLoadTime: where a load takes long, a smaller batch is in force
// sooner; where loads take no time, a larger batch lowers the skew further.
func TestBatchSizeFollowsLoadTime(t *testing.T) {
	in := hotLayers(t, 6)
	decide := func(loadTime time.Duration) (Decision, int) {
		d, err := batchPolicy(loadTime).Decide(in)
		assert.NilError(t, err)
		assert.Assert(t, d.Change)
		return d, maxLoadsOfRank(d.Moves, 8)
	}
	quick, quickLoads := decide(time.Millisecond)
	slow, slowLoads := decide(500 * time.Millisecond)
	assert.Assert(t, quick.After.Skew < slow.After.Skew, "%.3f and %.3f", quick.After.Skew, slow.After.Skew)
	assert.Assert(t, slowLoads < quickLoads, "%d and %d loads", slowLoads, quickLoads)
	assert.Assert(t, slow.After.Value < slow.Before.Value)
}

// TestBatchNotWorthItsTime: a change that comes into force after the horizon is not
// made.
func TestBatchNotWorthItsTime(t *testing.T) {
	p := batchPolicy(time.Minute)
	in := hotLayers(t, 2)
	d, err := p.Decide(in)
	assert.NilError(t, err)
	assert.Assert(t, !d.Change && d.Map.Equal(in.InForce), "%v", d)
	assert.Equal(t, d.Reason, ReasonNoChange)
}

// TestSmallBatchNearTarget guards against batches that make all answers late: while
// weights are loaded steps take longer, and near the target each of them is late. There
// a smaller batch goes first. Far below the target the times of steps do not matter.
func TestSmallBatchNearTarget(t *testing.T) {
	in := hotLayers(t, 6)
	decide := func(step time.Duration) Decision {
		p := batchPolicy(75 * time.Millisecond)
		p.StepTime, p.TargetStep, p.SkewedPart = step, 120*time.Millisecond, 0.6
		d, err := p.Decide(in)
		assert.NilError(t, err)
		assert.Assert(t, d.Change)
		return d
	}
	skew := decide(time.Millisecond).Before.Skew
	// Without loads the steps keep below the target, with them they exceed it.
	near := time.Duration(float64(105*time.Millisecond) / (1 + 0.6*(skew-1)))
	small, large := decide(near), decide(time.Millisecond)
	assert.Assert(t, maxLoadsOfRank(small.Moves, 8) < maxLoadsOfRank(large.Moves, 8), "%d and %d loads",
		maxLoadsOfRank(small.Moves, 8), maxLoadsOfRank(large.Moves, 8))
	assert.Assert(t, small.After.Late < small.Before.Late && large.After.Late < 0.01)
}
