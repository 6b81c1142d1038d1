// Package shifts simulates rank groups whose demand shifts every few seconds, at
// the pace of the passes of an engine. It measures the skew that a planner's maps
// meet while they are in force.
package shifts

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
	"github.com/cyclamenpoint/cyclamenpoint/placement"
	"github.com/cyclamenpoint/cyclamenpoint/route"
)

// Group is the shape of a rank group and of its demand.
type Group struct {
	Name    string
	Ranks   int
	Experts route.Experts
	// Requests is the number of running requests of the group. A request takes
	// Passes passes on average.
	Requests int
	Passes   float64
	// Exponent is the exponent of the Zipf distribution of the experts. Common is
	// the part of the choices that all requests have in common; the rest follows
	// one of Topics topics.
	Exponent, Common float64
	Topics           int
	// Shift is the time between two shifts, in each of which Share of the experts
	// exchange their places.
	Shift time.Duration
	Share float64
	// Pass is the time of a pass without skew.
	Pass time.Duration
}

// Observation is what a planner knows at a time.
type Observation struct {
	// Running is the demand of the running requests: the share of each expert in
	// its layer, by layer, then expert.
	Running []float64
	// Future returns the mean demand between two times from now, unless it shifts
	// before.
	Future func(from, to time.Duration) []float64
	// Pass is the time of the latest pass.
	Pass time.Duration
}

// Planner decides on maps.
type Planner interface {
	Decide(inForce expertmap.Map, o Observation) (placement.Decision, error)
}

// Result is the outcome of one simulated day.
type Result struct {
	MeanSkew, P95Skew float64
	// Late is the share of the time in passes longer than TargetGap, and OnTime the
	// share of the finished requests that met no such pass.
	Late, OnTime    float64
	Changes, Copies int
	DecisionTime    time.Duration
}

// shape returns the shape of the group's maps.
func (g Group) shape() expertmap.Shape {
	return expertmap.Shape{Layers: g.Experts.Layers, Experts: g.Experts.ExpertsPerLayer, Ranks: g.Ranks, Slots: g.Experts.SlotsPerRank + g.Experts.SpareSlots}
}

// CopyTime returns the time of one weight load.
func (g Group) CopyTime() time.Duration {
	return time.Duration(float64(g.Experts.ExpertBytes) / g.Experts.LoadBytesPerSecond * float64(time.Second))
}

// request is a running request.
type request struct {
	generation, topic int
	passesLeft        int
	// late is true once a pass of the request was longer than TargetGap.
	late bool
}

// Simulation is one simulated day of a group.
type Simulation struct {
	group Group
	rng   *rand.Rand
	// order is the current order of the experts by popularity, for the common
	// part and each topic, by layer.
	order [][][]int
	zipf  []float64
	// mixes holds the mix of each topic of each generation.
	mixes    [][][]float64
	requests []request
	now      time.Duration
	// finished counts the requests that have ended, onTime those that met no late pass.
	finished, onTime int
}

// New returns a simulation with the given seed.
func New(g Group, seed uint64) *Simulation {
	s := &Simulation{group: g, rng: rand.New(rand.NewPCG(seed, 7))}
	total := 0.0
	for e := range g.Experts.ExpertsPerLayer {
		s.zipf = append(s.zipf, math.Pow(float64(e+1), -g.Exponent))
		total += s.zipf[e]
	}
	for e := range s.zipf {
		s.zipf[e] /= total
	}
	for range g.Topics + 1 {
		layers := make([][]int, g.Experts.Layers)
		for l := range layers {
			layers[l] = s.rng.Perm(g.Experts.ExpertsPerLayer)
		}
		s.order = append(s.order, layers)
	}
	s.addGeneration()
	for range g.Requests {
		r := s.newRequest()
		r.passesLeft = 1 + s.rng.IntN(r.passesLeft)
		s.requests = append(s.requests, r)
	}
	return s
}

// addGeneration computes the mixes of the current orders.
func (s *Simulation) addGeneration() {
	g := s.group
	n := g.Experts.ExpertsPerLayer
	var topics [][]float64
	for topic := range g.Topics {
		mix := make([]float64, g.Experts.Layers*n)
		for l := range g.Experts.Layers {
			for place := range n {
				mix[l*n+s.order[0][l][place]] += g.Common * s.zipf[place]
				mix[l*n+s.order[topic+1][l][place]] += (1 - g.Common) * s.zipf[place]
			}
		}
		topics = append(topics, mix)
	}
	s.mixes = append(s.mixes, topics)
}

// shift exchanges the places of a share of the experts, for all requests at once.
func (s *Simulation) shift() {
	for _, layers := range s.order {
		for _, order := range layers {
			var moved []int
			for place := range order {
				if s.rng.Float64() < s.group.Share {
					moved = append(moved, place)
				}
			}
			experts := make([]int, len(moved))
			for i, at := range s.rng.Perm(len(moved)) {
				experts[i] = order[moved[at]]
			}
			for i, place := range moved {
				order[place] = experts[i]
			}
		}
	}
	s.addGeneration()
	for i := range s.requests {
		s.requests[i].generation = len(s.mixes) - 1
	}
}

func (s *Simulation) newRequest() request {
	passes := s.group.Passes * math.Exp(0.7*s.rng.NormFloat64()-0.245)
	r := request{generation: len(s.mixes) - 1, topic: s.rng.IntN(s.group.Topics), passesLeft: max(int(passes), 1)}
	return r
}

// demand returns the shares of the running requests.
func (s *Simulation) demand() []float64 {
	counts := make([][]int, len(s.mixes))
	for _, r := range s.requests {
		if counts[r.generation] == nil {
			counts[r.generation] = make([]int, s.group.Topics)
		}
		counts[r.generation][r.topic]++
	}
	return s.weighted(counts, len(s.requests))
}

// weighted returns the mean of the mixes with the given counts.
func (s *Simulation) weighted(counts [][]int, total int) []float64 {
	out := make([]float64, s.group.Experts.Layers*s.group.Experts.ExpertsPerLayer)
	for generation, topics := range counts {
		for topic, n := range topics {
			if n == 0 {
				continue
			}
			share := float64(n) / float64(total)
			for i, x := range s.mixes[generation][topic] {
				out[i] += share * x
			}
		}
	}
	return out
}

// pass runs one pass of all requests, of the given time.
func (s *Simulation) pass(took time.Duration) {
	for i := range s.requests {
		r := &s.requests[i]
		r.late = r.late || took > TargetGap
		if r.passesLeft--; r.passesLeft > 0 {
			continue
		}
		s.finished++
		if !r.late {
			s.onTime++
		}
		*r = s.newRequest()
	}
}

// Timing of the simulated leader.
const (
	// decisionPeriod is the time between two decisions.
	decisionPeriod = 50 * time.Millisecond
	// observationLag is the age of what a planner sees. With decisionPeriod, a shift is
	// seen about as late as TestShiftIsSeenSoon of rankgroup finds.
	observationLag = 50 * time.Millisecond
	// SwitchPasses is the number of passes after the weight loads that the planner expects
	// a switch to take, as the leader does.
	SwitchPasses = 3
	// armTime is the time in which the gate is closed and all ranks are armed. The map
	// comes into force with the first pass after it.
	armTime = 40 * time.Millisecond
	// copySlowdown is the relative increase of the time of a pass while weights
	// are loaded.
	copySlowdown = 0.15
	firstShift   = 2 * time.Second
	// TargetGap is the target for the pause between two events of an answer. There is
	// one event in each pass.
	TargetGap = 120 * time.Millisecond
)

// pending is a map change in progress.
type pending struct {
	next                expertmap.Map
	loadedAt, inForceAt time.Duration
}

// timedDemand is the demand at a time, for the observations that lag.
type timedDemand struct {
	at      time.Duration
	running []float64
}

// day is one day of a group with the maps of a planner.
type day struct {
	*Simulation
	planner Planner
	inForce expertmap.Map
	change  *pending
	// seen holds the recent demands, the oldest of which is old enough to be observed.
	seen      []timedDemand
	decideAt  time.Duration
	decisions int
	result    Result
}

// Play plays one day of the given length with a planner.
func Play(g Group, seed uint64, length time.Duration, p Planner) (Result, error) {
	inForce, err := expertmap.Static(g.shape())
	if err != nil {
		return Result{}, err
	}
	var (
		d              = day{Simulation: New(g, seed), planner: p, inForce: inForce}
		skews, weights []float64
		totalTime      time.Duration
		shifted        int
		ranks          = make([]placement.Rank, g.Ranks)
	)
	for d.now < length {
		if d.now >= firstShift+time.Duration(shifted)*g.Shift {
			d.shift()
			shifted++
		}
		if d.change != nil && d.now >= d.change.inForceAt {
			d.inForce, d.change = d.change.next, nil
			d.decideAt = max(d.decideAt, d.now+decisionPeriod)
		}
		demand := d.demand()
		d.seen = append(d.seen, timedDemand{at: d.now, running: demand})
		skew := placement.Skew(d.inForce, placement.LoadEstimates{Share: demand, Windows: 1}, ranks)
		share := g.Experts.WorkShare
		pass := time.Duration(float64(g.Pass) * (1 - share + share*skew))
		slower, err := d.decideDuring(pass)
		if err != nil {
			return Result{}, err
		}
		pass += slower
		skews, weights = append(skews, skew), append(weights, pass.Seconds())
		totalTime += pass
		if pass > TargetGap {
			d.result.Late += pass.Seconds()
		}
		d.pass(pass)
		d.now += pass
	}
	d.result.Late /= totalTime.Seconds()
	d.result.OnTime = float64(d.onTime) / float64(max(d.finished, 1))
	d.result.DecisionTime /= time.Duration(max(d.decisions, 1))
	d.result.MeanSkew, d.result.P95Skew = summary(skews, weights)
	return d.result, nil
}

// decideDuring makes the decisions that are due in the next pass and returns the time
// by which weight loads make it longer.
func (d *day) decideDuring(pass time.Duration) (slower time.Duration, err error) {
	loadingFrom, end := d.now, d.now+pass
	for d.change == nil && d.decideAt < end {
		at := max(d.decideAt, d.now)
		d.decideAt = at + decisionPeriod
		if err := d.decide(at, pass); err != nil {
			return 0, err
		}
		loadingFrom = at
	}
	if d.change != nil {
		loading := min(end, d.change.loadedAt) - loadingFrom
		slower = time.Duration(copySlowdown * float64(max(loading, 0)))
	}
	return slower, nil
}

// decide asks the planner for a map at a time in the pass that begins now.
func (d *day) decide(at, pass time.Duration) error {
	for len(d.seen) > 1 && d.seen[1].at <= at-observationLag {
		d.seen = d.seen[1:]
	}
	o := Observation{Running: d.seen[0].running, Pass: pass,
		Future: func(from, to time.Duration) []float64 {
			return d.lookAhead(at-d.now+from, at-d.now+to, pass)
		}}
	began := time.Now()
	decision, err := d.planner.Decide(d.inForce, o)
	d.result.DecisionTime += time.Since(began)
	d.decisions++
	if err != nil || !decision.Change {
		return err
	}
	loads := make([]int, d.group.Ranks)
	for _, m := range decision.Moves {
		loads[m.Rank]++
	}
	loaded := at + time.Duration(slices.Max(loads))*d.group.CopyTime()
	d.change = &pending{next: decision.Map, loadedAt: loaded, inForceAt: loaded + armTime}
	d.result.Changes++
	d.result.Copies += len(decision.Moves)
	return nil
}

// lookAhead returns the mean demand between two times from now, found by playing
// a copy of the simulation.
func (s *Simulation) lookAhead(from, to, pass time.Duration) []float64 {
	c := *s
	c.rng = rand.New(rand.NewPCG(1, 1))
	c.requests = slices.Clone(s.requests)
	c.mixes = slices.Clone(s.mixes)
	mean := make([]float64, s.group.Experts.Layers*s.group.Experts.ExpertsPerLayer)
	n := 0.0
	for c.now < s.now+to {
		if c.now >= s.now+from {
			for i, x := range c.demand() {
				mean[i] += x
			}
			n++
		}
		c.pass(pass)
		c.now += pass
	}
	for i := range mean {
		mean[i] /= n
	}
	return mean
}

// summary returns the mean and the 95th percentile of skews, weighted by time.
func summary(skews, weights []float64) (mean, p95 float64) {
	order := make([]int, len(skews))
	total := 0.0
	for i := range order {
		order[i] = i
		mean += skews[i] * weights[i]
		total += weights[i]
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(skews[a], skews[b]) })
	at := 0.0
	for _, i := range order {
		if at += weights[i]; at >= 0.95*total {
			p95 = skews[i]
			break
		}
	}
	return mean / total, p95
}
