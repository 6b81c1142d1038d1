package placement_test

import (
	"testing"

	"github.com/cyclamenpoint/cyclamenpoint/deployment"
	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
	"github.com/cyclamenpoint/cyclamenpoint/internal/measure/placement/drift"
	"github.com/cyclamenpoint/cyclamenpoint/placement"
)

// estimates returns the estimates after some windows of demand.
func estimates(c drift.Config, windows int64) placement.LoadEstimates {
	demand := drift.New(c)
	e := placement.NewEstimator(c.Layers, c.Experts, c.Ranks, -1)
	var load drift.Load
	for w := range windows {
		demand.Next(&load)
		if err := e.Observe(placement.Report{Rank: int(w) % c.Ranks, Window: w, Counts: load.Counts}); err != nil {
			panic(err)
		}
		e.CloseWindow(w)
	}
	return e.Estimates()
}

// ranks returns n ranks in three failure domains.
func ranks(n int) []placement.Rank {
	out := make([]placement.Rank, n)
	for i := range out {
		out[i].FailureDomain = []string{"a", "b", "c"}[i%3]
	}
	return out
}

// BenchmarkDecide makes the most expensive decision of the largest group: it
// starts from the static map and the store is unlimited, so that every layer is
// searched to the end.
func BenchmarkDecide(b *testing.B) {
	c := drift.Config{Shape: drift.Slow, Layers: 60, Experts: 128, Ranks: 32, Seed: 1}
	shape := expertmap.Shape{Layers: 60, Experts: 128, Ranks: 32, Slots: 6}
	static, err := expertmap.Static(shape)
	if err != nil {
		b.Fatal(err)
	}
	p := placement.NewPolicy(deployment.Group{Objective: deployment.Objective{Skew: 1, Move: 0.05}, ExpertBytes: 44e6})
	in := placement.Input{InForce: static, Loaded: static, Ranks: ranks(32), Loads: estimates(c, 100),
		Store: placement.WeightStore{BytesPerSecond: 1e12}}
	b.ReportAllocs()
	for b.Loop() {
		d, err := p.Decide(in)
		if err != nil {
			b.Fatal(err)
		}
		if !d.Change {
			b.Fatal("nothing changed")
		}
	}
}

// BenchmarkEstimator adds the reports of eight ranks and closes a window.
func BenchmarkEstimator(b *testing.B) {
	c := drift.Config{Shape: drift.Slow, Layers: 60, Experts: 128, Ranks: 32, Seed: 1}
	demand := drift.New(c)
	var load drift.Load
	demand.Next(&load)
	e := placement.NewEstimator(c.Layers, c.Experts, c.Ranks, -1)
	b.ReportAllocs()
	w := int64(0)
	for b.Loop() {
		for rank := range 8 {
			if err := e.Observe(placement.Report{Rank: rank, Window: w, Counts: load.Counts}); err != nil {
				b.Fatal(err)
			}
		}
		e.CloseWindow(w)
		e.Estimates()
		w++
	}
}
