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

// groupSize is the size of a simulated rank group.
type groupSize struct {
	name                          string
	ranks, experts, layers, slots int
	expertBytes                   int64
	// storeRate is the rate at which the group may read from the weight store, in
	// bytes per second.
	storeRate float64
}

// The simulated groups.
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

// The objectives that are compared. They differ in their weights only.
var (
	skewWeighted = deployment.Objective{Skew: 1, Move: 0.05}
	moveWeighted = deployment.Objective{Skew: 1, Move: 2}
)

// The targets of the two objectives: the highest ratio of skew to its lower bound.
const (
	skewTarget = 1.05
	moveTarget = 1.25
)

// seed is the random seed of every run, so that all strategies are compared under
// the same demand.
const seed = 7

// candidate is a placement strategy to measure.
type candidate struct {
	name   string
	target float64
	// newStrategy returns the strategy for one run.
	newStrategy func(g groupSize) simulation.Strategy
}

// candidates lists the strategies that are compared.
var candidates = []candidate{
	{"static", skewTarget, func(groupSize) simulation.Strategy { return simulation.Static{} }},
	{"re-solve, 10 min", skewTarget, greedyEvery(10 * time.Minute)},
	{"re-solve, 1 h", skewTarget, greedyEvery(time.Hour)},
	{"skew-weighted", skewTarget, policy(skewWeighted)},
	{"move-weighted", moveTarget, policy(moveWeighted)},
}

func greedyEvery(interval time.Duration) func(groupSize) simulation.Strategy {
	return func(groupSize) simulation.Strategy {
		return &simulation.PeriodicGreedy{Interval: interval, StoreShare: placement.DefaultStoreShare}
	}
}

func policy(o deployment.Objective) func(groupSize) simulation.Strategy {
	return func(g groupSize) simulation.Strategy {
		return simulation.ProductPolicy{Policy: placement.NewPolicy(deployment.Group{Objective: o, ExpertBytes: g.expertBytes})}
	}
}

// perfectForecast returns the product's policy with the true load shares at the
// end of the horizon in place of estimates.
func perfectForecast(o deployment.Objective, shape drift.Shape, horizon time.Duration) func(groupSize) simulation.Strategy {
	return func(g groupSize) simulation.Strategy {
		j := job{group: g, shape: shape}
		return simulation.PerfectForecast{
			ProductPolicy: policy(o)(g).(simulation.ProductPolicy),
			Demand:        drift.New(j.config().Demand),
			Horizon:       horizon,
		}
	}
}

// job is one simulated day.
type job struct {
	group     groupSize
	shape     drift.Shape
	candidate candidate
	// outage holds the start and the end of an outage of the weight store.
	outage [2]time.Duration
	result simulation.Result
}

// run runs the jobs, at most workers of them concurrently, and sets their
// results. When a job has finished, it prints the job's table row to standard
// error.
func run(jobs []*job, workers int) error {
	var g errgroup.Group
	g.SetLimit(workers)
	for _, j := range jobs {
		g.Go(func() error {
			var err error
			j.result, err = simulation.Run(j.config(), j.candidate.newStrategy(j.group))
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
		Target:      j.candidate.target,
	}
}
