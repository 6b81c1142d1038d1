package placement_test

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/deployment"
	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
	"github.com/cyclamenpoint/cyclamenpoint/internal/measure/placement/baseline"
	"github.com/cyclamenpoint/cyclamenpoint/internal/measure/placement/drift"
	"github.com/cyclamenpoint/cyclamenpoint/placement"
)

func assertAs[T error](err error, target *T) bool { return errors.As(err, target) }

// hotExpert returns a group of four ranks with twelve experts, of which expert
// 0 has 30% of the load, and the decision for the given weight of moves.
func hotExpert(t *testing.T, move float64) (placement.Policy, placement.Input, placement.Decision) {
	t.Helper()
	static, err := expertmap.Static(expertmap.Shape{Layers: 1, Experts: 12, Ranks: 4, Slots: 5})
	assert.NilError(t, err)
	in := placement.Input{
		InForce: static,
		Loaded:  static,
		Ranks:   ranks(4),
		Store:   placement.WeightStore{BytesPerSecond: 100},
		Loads:   placement.LoadEstimates{Windows: 1, Variance: make([]float64, 12), Share: []float64{0.3}},
	}
	for range 11 {
		in.Loads.Share = append(in.Loads.Share, 0.7/11)
	}
	p := placement.NewPolicy(deployment.Group{
		ExpertBytes: 100,
		Objective:   deployment.Objective{Skew: 1, Move: move},
	})
	d, err := p.Decide(in)
	assert.NilError(t, err)
	return p, in, d
}

// decideUntilStable makes and applies decisions until nothing changes. It
// returns the number of bytes loaded.
func decideUntilStable(t *testing.T, p placement.Policy, in *placement.Input) int64 {
	t.Helper()
	bytes := int64(0)
	for range 200 {
		d, err := p.Decide(*in)
		assert.NilError(t, err)
		assert.Equal(t, check(p, *in, d), violations{})
		if !d.Change {
			return bytes
		}
		bytes += d.After.Bytes
		applyMoves(t, in, d, len(d.Moves))
		in.InForce = d.Map
	}
	t.Fatal("decisions do not become stable")
	return 0
}

// applyMoves loads the first n moves of a decision.
func applyMoves(t *testing.T, in *placement.Input, d placement.Decision, n int) {
	t.Helper()
	loaded, err := in.Loaded.Resize(len(in.Ranks))
	assert.NilError(t, err)
	for rank, r := range in.Ranks {
		if r.Lost {
			loaded = loaded.Without(rank)
		}
	}
	in.Loaded, err = expertmap.Apply(loaded, d.Moves[:n])
	assert.NilError(t, err)
}

func TestObjectiveWeightsDecide(t *testing.T) {
	_, _, bySkew := hotExpert(t, 0.1)
	_, _, byMove := hotExpert(t, 100)
	assert.Equal(t, bySkew.Reason, placement.ReasonRebalance)
	assert.Assert(t, bySkew.After.Skew < bySkew.Before.Skew)
	assert.Equal(t, byMove.Reason, placement.ReasonNoChange)
	assert.Assert(t, !byMove.Change)
}

func TestPartialLoadIsContinued(t *testing.T) {
	p, in, d := hotExpert(t, 0.1)
	assert.Assert(t, len(d.Moves) >= 2)
	applyMoves(t, &in, d, len(d.Moves)-1)
	again, err := p.Decide(in)
	assert.NilError(t, err)
	assert.Assert(t, len(again.Moves) < len(d.Moves))
	assert.Assert(t, again.After.Value <= d.After.Value)
	in.Store.Down = true
	outage, err := p.Decide(in)
	assert.NilError(t, err)
	assert.Equal(t, len(outage.Moves), 0)
	assert.Assert(t, outage.After.Skew < outage.Before.Skew, "the loaded weights are of use")
}

func TestOldOrMissingEstimatesChangeNothing(t *testing.T) {
	p, in, _ := hotExpert(t, 0.1)
	in.Loads.Age = p.MaxAge + 1
	d, err := p.Decide(in)
	assert.NilError(t, err)
	assert.Equal(t, d.Reason, placement.ReasonOldEstimate)
	assert.Assert(t, !d.Change)
	in.Loads = placement.LoadEstimates{}
	d, err = p.Decide(in)
	assert.NilError(t, err)
	assert.Equal(t, d.Reason, placement.ReasonNoEstimate)
	assert.Assert(t, !d.Change)
}

func TestLostRankIsRepairedAtAnyCost(t *testing.T) {
	p, in, _ := hotExpert(t, 1e9)
	in.Ranks[2].Lost = true
	d, err := p.Decide(in)
	assert.NilError(t, err)
	assert.Equal(t, d.Reason, placement.ReasonRepair)
	assert.Equal(t, len(d.Moves), 3)
	assert.Equal(t, check(p, in, d), violations{})
	in.Store.Down = true
	_, err = p.Decide(in)
	var unservable *placement.UnservableError
	assert.Assert(t, assertAs(err, &unservable) && unservable.StoreDown)
	in.Store.Down = false
	in.Ranks[0].Lost = true
	in.Ranks[1].Lost = true
	_, err = p.Decide(in)
	assert.Assert(t, assertAs(err, &unservable) && !unservable.StoreDown)
}

func TestRepairOverwritesReplicasOnlyWithoutFreeSlots(t *testing.T) {
	p, in, _ := hotExpert(t, 1)
	in.InForce = baseline.GreedyPacking(in.InForce, in.Loads.Share, []bool{true, true, true, true})
	in.Loaded = in.InForce
	in.Ranks[3].Lost = true
	d, err := p.Decide(in)
	assert.NilError(t, err)
	assert.Equal(t, check(p, in, d), violations{})
}

func TestGroupGrowsAndShrinks(t *testing.T) {
	p, in, _ := hotExpert(t, 0.1)
	in.Ranks = ranks(5)
	decideUntilStable(t, p, &in)
	assert.Assert(t, !in.InForce.Without(4).Equal(in.InForce), "the new rank is used")
	in.Ranks = ranks(3)
	d, err := p.Decide(in)
	assert.NilError(t, err)
	assert.Assert(t, d.Change)
	assert.Equal(t, check(p, in, d), violations{})
}

// TestReplicasAreSpreadWhereItCostsLittle: of several ranks that are equally good
// for a replica of the hot expert, the first is in the failure domain of its
// other replica. A search that ignores failure domains would choose that rank.
func TestReplicasAreSpreadWhereItCostsLittle(t *testing.T) {
	p, in, _ := hotExpert(t, 0.1)
	for rank, domain := range []string{"a", "a", "b", "c"} {
		in.Ranks[rank].FailureDomain = domain
	}
	decideUntilStable(t, p, &in)
	assert.Assert(t, in.InForce.Replicas(0)[0] > 1)
	d, err := p.Decide(in)
	assert.NilError(t, err)
	assert.Equal(t, d.After.Colocated, 0)
	for rank := range in.Ranks {
		in.Ranks[rank].FailureDomain = "a"
	}
	d, err = p.Decide(in)
	assert.NilError(t, err)
	assert.Assert(t, d.Before.Colocated > 0, "the term can show a shared failure domain")
}

func TestRankThatLacksWeightsIsAnError(t *testing.T) {
	p, in, _ := hotExpert(t, 1)
	in.Loaded = in.Loaded.Without(1)
	_, err := p.Decide(in)
	var missing *expertmap.NotLoadedError
	assert.Assert(t, assertAs(err, &missing))
}

// TestLastSlotIsUsedForHotExpertAndFreedAgain: each rank has one free slot. The
// hot expert may use it, but must free it when the load is even again, because
// without a free slot no weights can be loaded.
func TestLastSlotIsUsedForHotExpertAndFreedAgain(t *testing.T) {
	p, in, _ := hotExpert(t, 0.1)
	var err error
	in.InForce, err = expertmap.Static(expertmap.Shape{Layers: 1, Experts: 12, Ranks: 4, Slots: 4})
	assert.NilError(t, err)
	in.Loaded = in.InForce
	decideUntilStable(t, p, &in)
	assert.Assert(t, in.InForce.Replicas(0)[0] > 1)
	in.Loads.Share = append([]float64(nil), in.Loads.Share...)
	for e := range in.Loads.Share {
		in.Loads.Share[e] = 1.0 / 12
	}
	decideUntilStable(t, p, &in)
	for rank := range 4 {
		assert.Assert(t, in.InForce.Holds(0, rank, expertmap.Empty), "rank %d has no free slot", rank)
	}
}

// TestSlowRankHoldsLess: all ranks wait for the slowest. So a rank with a
// slowdown of 5 gets hardly any load, and gets its load back once it has
// recovered.
func TestSlowRankHoldsLess(t *testing.T) {
	const slow = 2
	shape := expertmap.Shape{Layers: 2, Experts: 32, Ranks: 4, Slots: 14}
	static, err := expertmap.Static(shape)
	assert.NilError(t, err)
	in := placement.Input{
		InForce: static, Loaded: static, Ranks: ranks(4), Store: placement.WeightStore{BytesPerSecond: 1000},
		Loads: placement.LoadEstimates{Windows: 1, Variance: make([]float64, 64)},
	}
	for range 64 {
		in.Loads.Share = append(in.Loads.Share, 1.0/32)
	}
	p := placement.NewPolicy(deployment.Group{ExpertBytes: 100, Objective: deployment.Objective{Skew: 1, Move: 0.1}})
	in.Ranks[slow].Slowdown = 5
	before := placement.Skew(in.InForce, in.Loads, in.Ranks)
	assert.Equal(t, before, 5.0)
	decideUntilStable(t, p, &in)
	// The three other ranks share the work: 4/3, or 4/3.2 including all that
	// the slow rank can do.
	bound := placement.SkewLowerBound(shape, in.Loads, in.Ranks)
	assert.Assert(t, bound > 1.24 && bound < 1.26, "%g", bound)
	assert.Assert(t, placement.Skew(in.InForce, in.Loads, in.Ranks) < 1.4, "%g", placement.Skew(in.InForce, in.Loads, in.Ranks))
	in.Ranks[slow].Slowdown = 1
	decideUntilStable(t, p, &in)
	assert.Assert(t, placement.Skew(in.InForce, in.Loads, in.Ranks) < 1.1, "%g", placement.Skew(in.InForce, in.Loads, in.Ranks))
}

// TestAgainstBaselines compares the stable map of the policy with two baselines.
// Its skew must be at most 5% above the lower bound and below that of the static
// map. The policy must load at most half as many bytes as the greedy packing,
// which places all experts anew.
func TestAgainstBaselines(t *testing.T) {
	for _, shape := range []drift.Shape{drift.Slow, drift.Sudden, drift.Correlated} {
		c := drift.Config{Shape: shape, Layers: 4, Experts: 64, Ranks: 16, Seed: 3}
		static, err := expertmap.Static(expertmap.Shape{Layers: 4, Experts: 64, Ranks: 16, Slots: 6})
		assert.NilError(t, err)
		in := placement.Input{InForce: static, Loaded: static, Ranks: ranks(16),
			Loads: estimates(c, 100), Store: placement.WeightStore{BytesPerSecond: 100}}
		p := placement.NewPolicy(deployment.Group{ExpertBytes: 1, Objective: deployment.Objective{Skew: 1, Move: 0.1}})
		alive := make([]bool, 16)
		for i := range alive {
			alive[i] = true
		}
		full := baseline.GreedyPacking(static, in.Loads.Share, alive)
		assert.NilError(t, full.Validate())
		loads, err := expertmap.WeightLoads(static, full)
		assert.NilError(t, err)
		bytes := decideUntilStable(t, p, &in)
		skew := placement.Skew(in.InForce, in.Loads, in.Ranks)
		bound := placement.SkewLowerBound(static.Shape(), in.Loads, in.Ranks)
		assert.Assert(t, skew <= 1.05*bound, "%s: skew %.3f", shape, skew)
		assert.Assert(t, skew < placement.Skew(static, in.Loads, in.Ranks))
		assert.Assert(t, 2*bytes <= int64(len(loads)), "%s: %d bytes of %d", shape, bytes, len(loads))
	}
}

// TestSkewWithoutEstimates guards against a leader that panics before the first request: it
// computes the skew of the initial map while there are no load estimates.
func TestSkewWithoutEstimates(t *testing.T) {
	shape := expertmap.Shape{Layers: 2, Experts: 4, Ranks: 2, Slots: 2}
	m, err := expertmap.InTurn(shape)
	assert.NilError(t, err)
	assert.Equal(t, placement.Skew(m, placement.LoadEstimates{}, make([]placement.Rank, 2)), 1.0)
}
