package placement_test

import (
	"flag"
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cyclamenpoint/cyclamenpoint/deployment"
	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
	"github.com/cyclamenpoint/cyclamenpoint/internal/measure/placement/baseline"
	"github.com/cyclamenpoint/cyclamenpoint/placement"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// violations are the rules that a decision violates.
type violations struct {
	invalid, lostRankUsed, movesWrong, overwrites, overBudget, worse bool
}

// check checks a decision, using only its input and the maps.
func check(p placement.Policy, in placement.Input, d placement.Decision) violations {
	var found violations
	found.invalid = d.Map.Validate() != nil || d.Map.Shape().Ranks != len(in.Ranks)
	if found.invalid {
		return found
	}
	loaded, _ := in.Loaded.Resize(len(in.Ranks))
	base, _ := in.InForce.Resize(len(in.Ranks))
	for rank, r := range in.Ranks {
		if r.Lost {
			found.lostRankUsed = found.lostRankUsed || !d.Map.Without(rank).Equal(d.Map)
			loaded, base = loaded.Without(rank), base.Without(rank)
		}
	}
	for _, v := range d.Moves {
		at := base.At(v.Layer, v.Rank, v.Slot)
		found.overwrites = found.overwrites || at != expertmap.Empty && d.Reason != placement.ReasonRepair
	}
	after, err := expertmap.Apply(loaded, d.Moves)
	found.movesWrong = err != nil || expertmap.CheckLoaded(after, d.Map) != nil
	if d.Reason == placement.ReasonRepair {
		return found
	}
	bytes := float64(len(d.Moves)) * float64(p.ExpertBytes)
	limit := in.Store.BytesPerSecond * p.StoreShare * p.MaxLoadTime.Seconds()
	found.overBudget = bytes > max(limit, float64(p.ExpertBytes)) || in.Store.Down && len(d.Moves) > 0
	found.worse = d.After.Value > d.Before.Value+1e-9 || len(d.Moves) > 0 && d.After.Value >= d.Before.Value
	return found
}

// drawInput draws a small group in any state: with replicas, free slots, loaded
// weights that are not used, lost ranks, an added or removed rank, and any
// loads.
func drawInput(t *rapid.T) (placement.Policy, placement.Input) {
	shape := expertmap.Shape{
		Layers: rapid.IntRange(1, 3).Draw(t, "layers"),
		Ranks:  rapid.IntRange(2, 6).Draw(t, "ranks"),
		Slots:  rapid.IntRange(2, 4).Draw(t, "slots"),
	}
	shape.Experts = rapid.IntRange(2, shape.Ranks*shape.Slots).Draw(t, "experts")
	n := shape.Layers * shape.Experts
	in := placement.Input{Loads: drawLoads(t, shape)}
	all := make([]bool, shape.Ranks)
	for i := range all {
		all[i] = true
	}
	static, err := expertmap.Static(shape)
	assert.NilError(t, err)
	skewed := rapid.SliceOfN(rapid.Float64Range(0.01, 1), n, n).Draw(t, "old loads")
	in.Loaded = baseline.GreedyPacking(static, skewed, all)
	in.InForce = dropReplicas(t, in.Loaded)
	in.Ranks = ranks(rapid.IntRange(max(1, shape.Ranks-1), shape.Ranks+1).Draw(t, "ranks now"))
	if rapid.Bool().Draw(t, "lost") {
		in.Ranks[rapid.IntRange(0, len(in.Ranks)-1).Draw(t, "lost rank")].Lost = len(in.Ranks) > 1
	}
	in.Store = placement.WeightStore{BytesPerSecond: 100, Down: rapid.IntRange(0, 4).Draw(t, "down") == 0}
	p := placement.NewPolicy(deployment.Group{ExpertBytes: 100, Objective: deployment.Objective{
		Skew: 1, Move: rapid.SampledFrom([]float64{0, 0.1, 1, 10}).Draw(t, "move"),
	}})
	return p, in
}

func drawLoads(t *rapid.T, shape expertmap.Shape) placement.LoadEstimates {
	n := shape.Layers * shape.Experts
	l := placement.LoadEstimates{Variance: make([]float64, n), Windows: 1}
	for range shape.Layers {
		weights := rapid.SliceOfN(rapid.Float64Range(0, 1), shape.Experts, shape.Experts).Draw(t, "loads")
		total := 1e-9
		for _, w := range weights {
			total += w
		}
		for _, w := range weights {
			l.Share = append(l.Share, (w+1e-9/float64(shape.Experts))/total)
		}
	}
	return l
}

// dropReplicas removes some replicas from the map; their weights stay loaded.
func dropReplicas(t *rapid.T, m expertmap.Map) expertmap.Map {
	shape := m.Shape()
	d := m.Edit()
	for layer := range shape.Layers {
		replicas := m.Replicas(layer)
		for rank := range shape.Ranks {
			for slot, e := range m.Rank(layer, rank) {
				if e != expertmap.Empty && replicas[e] > 1 && rapid.Bool().Draw(t, "drop") {
					replicas[e]--
					d.Set(layer, rank, slot, expertmap.Empty)
				}
			}
		}
	}
	return d.Map()
}

func TestDecisionInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, in := drawInput(t)
		d, err := p.Decide(in)
		var unservable *placement.UnservableError
		var capacity *expertmap.CapacityError
		if assertAs(err, &unservable) {
			assert.Equal(t, unservable.StoreDown, in.Store.Down)
			assert.Assert(t, !canHoldAll(in))
			return
		}
		if assertAs(err, &capacity) {
			return
		}
		assert.NilError(t, err)
		assert.Assert(t, canHoldAll(in))
		assert.Equal(t, check(p, in, d), violations{})
		assert.Assert(t, d.After.Skew >= d.After.LowerBound-1e-9)
	})
}

// canHoldAll reports whether the live ranks can hold every expert: in their
// slots, or, while the store is down, in the weights that they have loaded.
func canHoldAll(in placement.Input) bool {
	shape := in.InForce.Shape()
	loaded, alive := in.Loaded, 0
	for rank, r := range in.Ranks {
		if !r.Lost {
			alive++
		} else if rank < shape.Ranks {
			loaded = loaded.Without(rank)
		}
	}
	if !in.Store.Down {
		return alive*shape.Slots >= shape.Experts
	}
	loaded, err := loaded.Resize(len(in.Ranks))
	return err == nil && loaded.Validate() == nil
}

func TestCheckFindsViolations(t *testing.T) {
	p, in, d := hotExpert(t, 1)
	assert.Equal(t, check(p, in, d), violations{})
	inject := func(change func(d *placement.Decision)) violations {
		_, _, d := hotExpert(t, 1)
		change(&d)
		return check(p, in, d)
	}
	uncovered := inject(func(d *placement.Decision) { d.Map = d.Map.Without(0, 1) })
	assert.Assert(t, uncovered.invalid)
	noMoves := inject(func(d *placement.Decision) { d.Moves = nil })
	assert.Assert(t, noMoves.movesWrong)
	over := inject(func(d *placement.Decision) { d.Moves[0].Slot = 0 })
	assert.Assert(t, over.overwrites)
	worse := inject(func(d *placement.Decision) { d.After.Value = d.Before.Value + 1 })
	assert.Assert(t, worse.worse)
	in.Ranks[0].Lost = true
	assert.Assert(t, check(p, in, d).lostRankUsed)
	in.Ranks[0].Lost = false
	in.Store.Down = true
	assert.Assert(t, check(p, in, d).overBudget)
}

// TestLowerBoundAgainstEveryChoice compares SkewLowerBound with the best of all
// choices of replica counts.
func TestLowerBoundAgainstEveryChoice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shape := expertmap.Shape{Layers: 1, Ranks: rapid.IntRange(1, 4).Draw(t, "ranks"), Slots: 2}
		shape.Experts = rapid.IntRange(1, min(5, shape.Ranks*shape.Slots)).Draw(t, "experts")
		l := drawLoads(t, shape)
		mean := 1 / float64(shape.Ranks)
		want := max(1, leastPeak(l.Share, shape.Ranks*shape.Slots-shape.Experts, shape.Ranks)/mean)
		got := placement.SkewLowerBound(shape, l, ranks(shape.Ranks))
		assert.Assert(t, got > want-1e-9 && got < want+1e-9, "got %v, want %v", got, want)
	})
}

// leastPeak tries all numbers of replicas of the first expert, and recursively
// those of the other experts.
func leastPeak(share []float64, spare, ranks int) float64 {
	if len(share) == 0 {
		return 0
	}
	best := 2.0
	for more := 0; more <= spare && more < ranks; more++ {
		peak := max(share[0]/float64(more+1), leastPeak(share[1:], spare-more, ranks))
		best = min(best, peak)
	}
	return best
}
