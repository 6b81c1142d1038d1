// Package simulation runs a simulated day of demand against one way of placing
// experts and records skew, bytes and changes. Load reports come one window
// late and one in ten is lost; loads go through a rate-limited store.
package simulation

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
	"github.com/cyclamenpoint/cyclamenpoint/internal/measure/placement/drift"
	"github.com/cyclamenpoint/cyclamenpoint/placement"
)

// Strategy is a way of placing experts.
type Strategy interface {
	// Decide returns the map to put in force next and the rate at which its
	// loads go through the store, in bytes per second.
	Decide(in placement.Input, at time.Duration) (expertmap.Map, float64, error)
}

// Config describes one run.
type Config struct {
	Demand drift.Config
	Slots  int
	// ExpertBytes is the size of one expert, in bytes.
	ExpertBytes int64
	// StoreRate is the group's rate at the store, in bytes per second.
	StoreRate float64
	// Length is the simulated time.
	Length time.Duration
	// Outage is a span in which the store is down; it is empty if both are 0.
	OutageStart, OutageEnd time.Duration
	// Target is the ratio of skew to its bound that counts as recovered.
	Target float64
}

// SettlingTime is the time after a switch that the skew targets leave out.
const SettlingTime = 2 * time.Minute

// lostReports is the part of the windows whose reports are all lost.
const lostReports = 0.1

// lostRank is the rank that is lost in drift.RankLoss.
const lostRank = 3

// steady is the number of windows in a row that show a recovery.
const steady = 6

// Result is what a run has recorded.
type Result struct {
	// Skew, LowerBound and Ratio hold one value for each window in which the group
	// stepped, outside SettlingTime after a switch. Ratio is skew over bound.
	Skew, LowerBound, Ratio []float64
	// AllRatios holds the ratios of all windows.
	AllRatios []float64
	// Bytes went through the store; FirstHourBytes of them in the first hour.
	Bytes, FirstHourBytes int64
	// MapChanges counts new maps in force; ChangesAfterFirstHour those after the first hour.
	MapChanges, ChangesAfterFirstHour int
	// RecoveryTimes are the time from each switch until the ratio is at the target for
	// a minute; a switch that was never recovered from counts in Unrecovered.
	RecoveryTimes []time.Duration
	Unrecovered   int
	// Downtime is the time in which some expert had no rank.
	Downtime time.Duration
	// TimesToInForce are the times from each decision until its map was in force.
	TimesToInForce []time.Duration
	// Decisions counts the calls of Decide and DecisionTimes is what they took.
	Decisions     int
	DecisionTimes []time.Duration
}

// run is the state of one run.
type run struct {
	Config
	decider   Strategy
	demand    *drift.Demand
	estimator *placement.Estimator
	random    *rand.Rand
	inForce   expertmap.Map
	loaded    expertmap.Map
	ranks     []placement.Rank
	pending   *pending
	late      []uint32
	result    Result
	// since and good find the recovery after the last switch.
	since time.Duration
	good  int
}

// pending is a map whose loads are under way.
type pending struct {
	m          expertmap.Map
	moves      []expertmap.Move
	begin, end time.Duration
}

// Run simulates the configured time from the static map.
func Run(c Config, decider Strategy) (Result, error) {
	d := c.Demand
	shape := expertmap.Shape{Layers: d.Layers, Experts: d.Experts, Ranks: d.Ranks, Slots: c.Slots}
	static, err := expertmap.Static(shape)
	if err != nil {
		return Result{}, err
	}
	r := &run{
		Config:    c,
		decider:   decider,
		demand:    drift.New(d),
		estimator: placement.NewEstimator(d.Layers, d.Experts, d.Ranks, int64(d.Start/drift.Window)-1),
		random:    rand.New(rand.NewPCG(d.Seed, 2)),
		inForce:   static,
		loaded:    static,
		ranks:     make([]placement.Rank, d.Ranks),
		since:     -1,
	}
	for rank := range r.ranks {
		r.ranks[rank].FailureDomain = string(rune('a' + rank%3))
	}
	var load drift.Load
	for at := d.Start; at < d.Start+c.Length; at += drift.Window {
		if err := r.window(at, &load); err != nil {
			return Result{}, err
		}
	}
	r.finishRecovery()
	return r.result, nil
}

// window simulates one window and the decision at its end.
func (r *run) window(at time.Duration, load *drift.Load) error {
	r.demand.Next(load)
	r.switchRanks(at)
	r.record(at, load.Share)
	end := at + drift.Window
	n := int64(at / drift.Window)
	if r.late != nil && r.random.Float64() >= lostReports {
		report := placement.Report{Rank: int(n) % len(r.ranks), Window: n - 1, Counts: r.late}
		if err := r.estimator.Observe(report); err != nil {
			return err
		}
	}
	r.late = append(r.late[:0], load.Counts...)
	r.estimator.CloseWindow(n)
	r.finish(end)
	if r.pending != nil {
		return nil
	}
	return r.decide(end)
}

// switchRanks loses the rank or brings it back. Loads that are under way then
// are left half done.
func (r *run) switchRanks(at time.Duration) {
	if r.Demand.Shape != drift.RankLoss || at != drift.RankLossTime && at != drift.RankReturnTime {
		return
	}
	if r.pending != nil {
		p := r.pending
		done := float64(at-p.begin) / float64(p.end-p.begin)
		r.load(p.moves[:int(done*float64(len(p.moves)))])
		r.pending = nil
	}
	r.ranks[lostRank].Lost = at == drift.RankLossTime
	r.estimator.Resize(len(r.ranks))
	if at == drift.RankLossTime {
		r.loaded = r.loaded.Without(lostRank)
		r.inForce = r.inForce.Without(lostRank)
	}
}

// load carries out moves in the loaded set.
func (r *run) load(moves []expertmap.Move) {
	d := r.loaded.Edit()
	for _, v := range moves {
		d.Set(v.Layer, v.Rank, v.Slot, v.To)
		r.result.Bytes += r.ExpertBytes
		if v.Rank == lostRank && r.ranks[lostRank].Lost {
			panic("a lost rank was given a load")
		}
	}
	r.loaded = d.Map()
}

// finish puts a pending map in force whose loads are done.
func (r *run) finish(end time.Duration) {
	p := r.pending
	if p == nil || p.end > end {
		return
	}
	r.load(p.moves)
	r.inForce = p.m
	r.pending = nil
	r.result.MapChanges++
	r.result.TimesToInForce = append(r.result.TimesToInForce, p.end-p.begin)
	if end > r.Demand.Start+time.Hour {
		r.result.ChangesAfterFirstHour++
	} else {
		r.result.FirstHourBytes = r.result.Bytes
	}
}

// decide asks for the next map and begins its loads.
func (r *run) decide(at time.Duration) error {
	in := placement.Input{
		InForce: r.inForce,
		Loaded:  r.loaded,
		Ranks:   r.ranks,
		Loads:   r.estimator.Estimates(),
		Store:   placement.WeightStore{BytesPerSecond: r.StoreRate, Down: at >= r.OutageStart && at < r.OutageEnd},
	}
	begin := time.Now()
	m, rate, err := r.decider.Decide(in, at)
	r.result.DecisionTimes = append(r.result.DecisionTimes, time.Since(begin))
	r.result.Decisions++
	if err != nil || m.Equal(r.inForce) {
		return err
	}
	moves, err := expertmap.WeightLoads(r.loaded, m)
	if err != nil {
		return err
	}
	seconds := float64(int64(len(moves))*r.ExpertBytes) / rate
	took := time.Duration(math.Ceil(seconds*1000)) * time.Millisecond
	r.pending = &pending{m: m, moves: moves, begin: at, end: at + took}
	r.finish(at)
	return nil
}

// record takes the skew of a window down.
func (r *run) record(at time.Duration, share []float64) {
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
	r.recover(at, ratio)
	if settling {
		return
	}
	r.result.Skew = append(r.result.Skew, skew)
	r.result.LowerBound = append(r.result.LowerBound, bound)
	r.result.Ratio = append(r.result.Ratio, ratio)
}

// settling reports whether a switch was less than SettlingTime ago, and begins the
// search for the recovery when it is now.
func (r *run) settling(at time.Duration) bool {
	for _, s := range r.Demand.StepChanges() {
		if at == s {
			r.finishRecovery()
			r.since, r.good = at, 0
		}
		if at >= s && at < s+SettlingTime {
			return true
		}
	}
	return false
}

func (r *run) recover(at time.Duration, ratio float64) {
	if r.since < 0 {
		return
	}
	if ratio > r.Target {
		r.good = 0
		return
	}
	if r.good++; r.good == steady {
		r.result.RecoveryTimes = append(r.result.RecoveryTimes, at-(steady-1)*drift.Window-r.since)
		r.since = -1
	}
}

func (r *run) finishRecovery() {
	if r.since >= 0 {
		r.result.Unrecovered++
		r.since = -1
	}
}
