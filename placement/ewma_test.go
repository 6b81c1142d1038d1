package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/deployment"
	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
)

// TestEWMAFollowsShift: a few windows after a shift of demand the estimate
// shows the new mix. The slow average of Estimator is meant for hours.
func TestEWMAFollowsShift(t *testing.T) {
	const experts = 4
	estimator := NewEWMAEstimator(1, experts, 4)
	window := func(hot int) {
		counts := []uint32{100, 100, 100, 100}
		counts[hot] = 700
		assert.NilError(t, estimator.Observe(0, counts))
		estimator.CloseWindow()
	}
	for range 40 {
		window(0)
	}
	assert.Assert(t, estimator.Estimates().Share[0] > 0.69)
	for range 12 {
		window(2)
	}
	l := estimator.Estimates()
	assert.Assert(t, l.Share[2] > 0.65 && l.Share[0] < 0.14, "%v", l.Share)
	sum := 0.0
	for _, x := range l.Share {
		sum += x
	}
	assert.Assert(t, sum > 0.999 && sum < 1.001)
	assert.Equal(t, l.Windows, int64(52))
}

// TestEWMAContinuesWindow: a window with too few tokens is continued, and the
// age of the estimate increases.
func TestEWMAContinuesWindow(t *testing.T) {
	estimator := NewEWMAEstimator(1, 4, 4)
	assert.NilError(t, estimator.Observe(0, []uint32{1, 0, 0, 0}))
	estimator.CloseWindow()
	assert.Equal(t, estimator.Estimates().Windows, int64(0))
	assert.Equal(t, estimator.Estimates().Age, int64(1))
	var fault *ReportError
	assert.Assert(t, errors.As(estimator.Observe(0, []uint32{1}), &fault))
}

// TestLoadLimits: for random demand, a decision for engines that load into spare
// slots stays within all limits of slots and weight loads.
func TestLoadLimits(t *testing.T) {
	shape := expertmap.Shape{Layers: 3, Experts: 16, Ranks: 4, Slots: 8}
	policy := Policy{
		Objective: deployment.Objective{Skew: 1, Move: 0.01}, ExpertBytes: 1, Horizon: time.Hour, MaxLoadTime: time.Second,
		StoreShare: 1, MaxAge: 10, ReservedSlots: 2, MaxLoadsPerLayer: 2, MaxLoadsPerRank: 3,
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
			sum := total(share)
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
