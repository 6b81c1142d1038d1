package main

import (
	"fmt"
	"os"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cyclamenpoint/cyclamenpoint/deployment"
	"github.com/cyclamenpoint/cyclamenpoint/internal/measure/placement/drift"
	"github.com/cyclamenpoint/cyclamenpoint/internal/measure/placement/simulation"
	"github.com/cyclamenpoint/cyclamenpoint/placement"
)

// groupSize is a size of group that is measured.
type groupSize struct {
	name                          string
	ranks, experts, layers, slots int
	expertBytes                   int64
	// storeRate is the group's rate at the weight store, in bytes per second.
	storeRate float64
}

// The sizes of group.
var (
	smallGroup = groupSize{
		name: "16 ranks, 64 experts, 24 layers", ranks: 16, experts: 64, layers: 24, slots: 6,
		expertBytes: 22_000_000, storeRate: 200e6,
	}
	largeGroup = groupSize{
		name: "32 ranks, 128 experts, 60 layers", ranks: 32, experts: 128, layers: 60, slots: 6,
		expertBytes: 44_000_000, storeRate: 1e9,
	}
)

// The two deployments: they differ in their weights only.
var (
	skewWeighted = deployment.Objective{Skew: 1, Move: 0.05}
	moveWeighted = deployment.Objective{Skew: 1, Move: 2}
)

// The targets for skew over its bound.
const (
	skewTarget = 1.05
	moveTarget = 1.25
)

// seed is that of every run.
const seed = 7

// way is a way of placing experts; it makes a decider for each run.
type way struct {
	name   string
	target float64
	decide func(g groupSize) simulation.Strategy
}

// ways lists the ways that are compared.
var ways = []way{
	{"static", skewTarget, func(groupSize) simulation.Strategy { return simulation.Static{} }},
	{"re-solve, 10 min", skewTarget, resolveEvery(10 * time.Minute)},
	{"re-solve, 1 h", skewTarget, resolveEvery(time.Hour)},
	{"skew-weighted", skewTarget, local(skewWeighted)},
	{"move-weighted", moveTarget, local(moveWeighted)},
}

func resolveEvery(interval time.Duration) func(groupSize) simulation.Strategy {
	return func(groupSize) simulation.Strategy {
		return &simulation.PeriodicGreedy{Interval: interval, StoreShare: placement.DefaultStoreShare}
	}
}

func local(o deployment.Objective) func(groupSize) simulation.Strategy {
	return func(g groupSize) simulation.Strategy {
		return simulation.ProductPolicy{Policy: placement.NewPolicy(deployment.Group{Objective: o, ExpertBytes: g.expertBytes})}
	}
}

// foreknown returns the policy that knows the shares of a time ahead.
func foreknown(o deployment.Objective, shape drift.Shape, ahead time.Duration) func(groupSize) simulation.Strategy {
	return func(g groupSize) simulation.Strategy {
		j := job{group: g, shape: shape}
		return simulation.PerfectForecast{
			ProductPolicy: local(o)(g).(simulation.ProductPolicy),
			Demand:        drift.New(j.config().Demand),
			Horizon:       ahead,
		}
	}
}

// job is one simulated day.
type job struct {
	group  groupSize
	shape  drift.Shape
	way    way
	outage [2]time.Duration
	result simulation.Result
}

// run runs the jobs, some at once, and fills their results in. It reports each
// one on the standard error when it is done.
func run(jobs []*job, workers int) error {
	var g errgroup.Group
	g.SetLimit(workers)
	for _, j := range jobs {
		g.Go(func() error {
			var err error
			j.result, err = simulation.Run(j.config(), j.way.decide(j.group))
			if err == nil {
				fmt.Fprint(os.Stderr, row(j))
			}
			return err
		})
	}
	return g.Wait()
}

func (j *job) config() simulation.Config {
	return simulation.Config{
		Demand: drift.Config{
			Shape:   j.shape,
			Layers:  j.group.layers,
			Experts: j.group.experts,
			Ranks:   j.group.ranks,
			Seed:    seed,
		},
		Slots:       j.group.slots,
		ExpertBytes: j.group.expertBytes,
		StoreRate:   j.group.storeRate,
		Length:      drift.Day,
		OutageStart: j.outage[0],
		OutageEnd:   j.outage[1],
		Target:      j.way.target,
	}
}
