// Package simulation runs a simulated day of demand against one placement
// strategy and records skew, bytes loaded and map changes. Each load report
// arrives one window late, and one in ten is lost on average. Weights are read
// from a store with a limited rate.
package simulation

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
	"github.com/cyclamenpoint/cyclamenpoint/internal/measure/placement/drift"
	"github.com/cyclamenpoint/cyclamenpoint/placement"
)

// Strategy decides which ranks hold which experts.
type Strategy interface {
	// Decide returns the map to put in force next and the rate at which its
	// weights are read from the store, in bytes per second. now is the time of day.
	Decide(in placement.Input, now time.Duration) (expertmap.Map, float64, error)
}

// Config describes one run.
type Config struct {
	Demand drift.Config
	// Slots is the number of expert slots of a rank in each layer.
	Slots int
	// ExpertBytes is the size of one expert, in bytes.
	ExpertBytes int64
	// StoreRate is the rate at which the group may read from the weight store, in
	// bytes per second.
	StoreRate float64
	// Length is the simulated time.
	Length time.Duration
	// The weight store is down from OutageStart until OutageEnd. There is no
	// outage if both are 0.
	OutageStart, OutageEnd time.Duration
	// Target is the highest ratio of skew to its lower bound at which the group
	// counts as recovered.
	Target float64
}

// SettlingTime is the time after a step change of the demand or the ranks in which
// the skew targets do not apply.
const SettlingTime = 2 * time.Minute

// reportLossRatio is the probability that the load report of a window is lost.
const reportLossRatio = 0.1

// lostRank is the rank that is lost in drift.RankLoss.
const lostRank = 3

// recoveryWindows is the number of consecutive windows at or below the target
// after which the group counts as recovered.
const recoveryWindows = 6

// Result holds the measurements of a run.
type Result struct {
	// Skew, Bound and Ratio hold one value for each window that lies outside
	// SettlingTime and in which every expert had a rank. Bound is the lower bound
	// of the skew, and Ratio the skew divided by it.
	Skew, Bound, Ratio []float64
	// AllRatios is Ratio with the windows inside SettlingTime included.
	AllRatios []float64
	// Bytes is the number of bytes read from the store, FirstHourBytes the part of
	// them until the last map change of the first hour.
	Bytes, FirstHourBytes int64
	// MapChanges counts the maps put in force, ChangesAfterFirstHour those of them
	// after the first hour.
	MapChanges, ChangesAfterFirstHour int
	// RecoveryTimes are the times from each step change to the first of
	// recoveryWindows consecutive windows, one minute in all, with the ratio at or
	// below the target. Unrecovered counts the step changes without such a minute
	// before the next step change or the end.
	RecoveryTimes []time.Duration
	Unrecovered   int
	// Downtime is the total time in which at least one expert had no rank.
	Downtime time.Duration
	// TimesToInForce are the times from a decision until its map was in force.
	TimesToInForce []time.Duration
	// Decisions counts the calls of Decide, and DecisionTimes holds the elapsed
	// time of each call.
	Decisions     int
	DecisionTimes []time.Duration
}

// run is the state of one run.
type run struct {
	Config
	strategy  Strategy
	demand    *drift.Demand
	estimator *placement.Estimator
	random    *rand.Rand
	inForce   expertmap.Map
	// loaded shows the experts whose weights each rank holds.
	loaded  expertmap.Map
	ranks   []placement.Rank
	pending *pendingMap
	// delayed are the token counts of the last window, which the estimator
	// receives at the end of the current one.
	delayed []uint32
	result  Result
	// stepChangeAt is the time of the step change that the group has not recovered
	// from yet, or -1.
	stepChangeAt time.Duration
	// windowsAtTarget is the number of consecutive windows, up to the last one, at
	// or below the target.
	windowsAtTarget int
}

// pendingMap is a map whose weights are being loaded.
type pendingMap struct {
	m          expertmap.Map
	moves      []expertmap.Move
	start, end time.Duration
}

// Run simulates a group for the configured time, starting from the static map.
func Run(c Config, strategy Strategy) (Result, error) {
	d := c.Demand
	shape := expertmap.Shape{Layers: d.Layers, Experts: d.Experts, Ranks: d.Ranks, Slots: c.Slots}
	static, err := expertmap.Static(shape)
	if err != nil {
		return Result{}, err
	}
	r := &run{
		Config:       c,
		strategy:     strategy,
		demand:       drift.New(d),
		estimator:    placement.NewEstimator(d.Layers, d.Experts, d.Ranks, int64(d.Start/drift.Window)-1),
		random:       rand.New(rand.NewPCG(d.Seed, 2)),
		inForce:      static,
		loaded:       static,
		ranks:        make([]placement.Rank, d.Ranks),
		stepChangeAt: -1,
	}
	for rank := range r.ranks {
		r.ranks[rank].FailureDomain = string(rune('a' + rank%3))
	}
	var load drift.Load
	for at := d.Start; at < d.Start+c.Length; at += drift.Window {
		if err := r.simulateWindow(at, &load); err != nil {
			return Result{}, err
		}
	}
	r.finishRecovery()
	return r.result, nil
}

// simulateWindow simulates one window and the decision at its end.
func (r *run) simulateWindow(at time.Duration, load *drift.Load) error {
	r.demand.Next(load)
	r.changeRanks(at)
	r.recordSkew(at, load.Share)
	end := at + drift.Window
	n := int64(at / drift.Window)
	if r.delayed != nil && r.random.Float64() >= reportLossRatio {
		report := placement.Report{Rank: int(n) % len(r.ranks), Window: n - 1, Counts: r.delayed}
		if err := r.estimator.Observe(report); err != nil {
			return err
		}
	}
	r.delayed = append(r.delayed[:0], load.Counts...)
	r.estimator.CloseWindow(n)
	r.putInForce(end)
	if r.pending != nil {
		return nil
	}
	return r.decide(end)
}

// changeRanks removes or restores lostRank at the times of drift.RankLoss. It
// discards a pending map; the weights loaded for it so far stay loaded.
func (r *run) changeRanks(at time.Duration) {
	if r.Demand.Shape != drift.RankLoss || at != drift.RankLossTime && at != drift.RankReturnTime {
		return
	}
	if r.pending != nil {
		p := r.pending
		done := float64(at-p.start) / float64(p.end-p.start)
		r.loadWeights(p.moves[:int(done*float64(len(p.moves)))])
		r.pending = nil
	}
	r.ranks[lostRank].Lost = at == drift.RankLossTime
	r.estimator.Resize(len(r.ranks))
	if at == drift.RankLossTime {
		r.loaded = r.loaded.Without(lostRank)
		r.inForce = r.inForce.Without(lostRank)
	}
}

// loadWeights applies moves to the loaded weights and counts their bytes.
func (r *run) loadWeights(moves []expertmap.Move) {
	d := r.loaded.Edit()
	for _, v := range moves {
		d.Set(v.Layer, v.Rank, v.Slot, v.To)
		r.result.Bytes += r.ExpertBytes
		if v.Rank == lostRank && r.ranks[lostRank].Lost {
			panic("simulation: weights were loaded to a lost rank")
		}
	}
	r.loaded = d.Map()
}

// putInForce puts the pending map in force if its weights are loaded by end.
func (r *run) putInForce(end time.Duration) {
	p := r.pending
	if p == nil || p.end > end {
		return
	}
	r.loadWeights(p.moves)
	r.inForce = p.m
	r.pending = nil
	r.result.MapChanges++
	r.result.TimesToInForce = append(r.result.TimesToInForce, p.end-p.start)
	if end > r.Demand.Start+time.Hour {
		r.result.ChangesAfterFirstHour++
	} else {
		r.result.FirstHourBytes = r.result.Bytes
	}
}

// decide calls the strategy and starts the weight loads of the map that it returns.
func (r *run) decide(now time.Duration) error {
	in := placement.Input{
		InForce: r.inForce,
		Loaded:  r.loaded,
		Ranks:   r.ranks,
		Loads:   r.estimator.Estimates(),
		Store:   placement.WeightStore{BytesPerSecond: r.StoreRate, Down: now >= r.OutageStart && now < r.OutageEnd},
	}
	started := time.Now()
	m, rate, err := r.strategy.Decide(in, now)
	r.result.DecisionTimes = append(r.result.DecisionTimes, time.Since(started))
	r.result.Decisions++
	if err != nil || m.Equal(r.inForce) {
		return err
	}
	moves, err := expertmap.WeightLoads(r.loaded, m)
	if err != nil {
		return err
	}
	seconds := float64(int64(len(moves))*r.ExpertBytes) / rate
	loadTime := time.Duration(math.Ceil(seconds*1000)) * time.Millisecond
	r.pending = &pendingMap{m: m, moves: moves, start: now, end: now + loadTime}
	r.putInForce(now)
	return nil
}

// recordSkew records the skew of one window. at is the start of the window.
func (r *run) recordSkew(at time.Duration, share []float64) {
	settling := r.settling(at)
	if r.inForce.Validate() != nil {
		r.result.Downtime += drift.Window
		return
	}
	loads := placement.LoadEstimates{Share: share}
	skew := placement.Skew(r.inForce, loads, r.ranks)
	bound := placement.SkewLowerBound(r.inForce.Shape(), loads, r.ranks)
	ratio := skew / bound
	r.result.AllRatios = append(r.result.AllRatios, ratio)
	r.trackRecovery(at, ratio)
	if settling {
		return
	}
	r.result.Skew = append(r.result.Skew, skew)
	r.result.Bound = append(r.result.Bound, bound)
	r.result.Ratio = append(r.result.Ratio, ratio)
}

// settling reports whether the last step change was less than SettlingTime ago.
// At the time of a step change it starts to track the recovery.
func (r *run) settling(at time.Duration) bool {
	for _, change := range r.Demand.StepChanges() {
		if at == change {
			r.finishRecovery()
			r.stepChangeAt, r.windowsAtTarget = at, 0
		}
		if at >= change && at < change+SettlingTime {
			return true
		}
	}
	return false
}

// trackRecovery records the recovery time once the ratio has been at or below the
// target for recoveryWindows windows.
func (r *run) trackRecovery(at time.Duration, ratio float64) {
	if r.stepChangeAt < 0 {
		return
	}
	if ratio > r.Target {
		r.windowsAtTarget = 0
		return
	}
	if r.windowsAtTarget++; r.windowsAtTarget == recoveryWindows {
		r.result.RecoveryTimes = append(r.result.RecoveryTimes, at-(recoveryWindows-1)*drift.Window-r.stepChangeAt)
		r.stepChangeAt = -1
	}
}

// finishRecovery counts the last step change as unrecovered if the group has not
// recovered from it.
func (r *run) finishRecovery() {
	if r.stepChangeAt >= 0 {
		r.result.Unrecovered++
		r.stepChangeAt = -1
	}
}
