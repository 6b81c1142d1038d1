package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
)

// Parameters of the search.
const (
	// maxAdjustments bounds the adjustments of one layer.
	maxAdjustments = 96
	// significance is the number of standard errors by which a gain has to
	// exceed the noise of the estimates.
	significance = 2
	// minGain is the least gain for which a layer is changed, in units of the
	// mean rank load.
	minGain = 0.005
	// steadyWindows is the number of windows without a change of the mix after
	// which a layer counts as steady. A steady layer is changed only if the
	// gain exceeds twice the cost by another steadyMinGain, in units of the
	// mean rank load.
	steadyWindows = 300
	steadyMinGain = 0.05
)

// search is the state of one call of Decide.
type search struct {
	policy  Policy
	in      Input
	group   group
	base    expertmap.Map
	loaded  expertmap.Map
	draft   *expertmap.Draft
	resized bool
	// repaired is the number of experts that had no rank.
	repaired int
	// batchLimit is the limit of weight loads per rank of the current batch.
	batchLimit int
	layer      *layerState
}

// plan is an improved placement of one layer.
type plan struct {
	layer int
	use   []expertmap.Expert
	// gain is the decrease of the largest rank load, in units of the mean rank
	// load.
	gain float64
	// cost is in weight loads.
	cost  float64
	loads int
}

func newSearch(p Policy, in Input) (*search, error) {
	s := &search{policy: p, in: in, base: in.InForce, loaded: in.Loaded}
	if err := s.fitRanks(); err != nil {
		return nil, err
	}
	shape := s.base.Shape()
	n := shape.Layers * shape.Experts
	if s.in.Loads.Windows == 0 {
		s.in.Loads.Share = uniform(shape)
		s.in.Loads.Variance = make([]float64, n)
	}
	if got := len(s.in.Loads.Share); got != n {
		return nil, &InputError{Field: "Loads.Share", Got: got, Want: n}
	}
	if got := len(s.in.Loads.Variance); got != n {
		return nil, &InputError{Field: "Loads.Variance", Got: got, Want: n}
	}
	if got := len(s.in.Loads.Steady); got != 0 && got != shape.Layers {
		return nil, &InputError{Field: "Loads.Steady", Got: got, Want: shape.Layers}
	}
	s.draft = s.base.Edit()
	s.group = newGroup(shape, in)
	s.group.applyLimits(p)
	s.layer = newLayerState(&s.group)
	return s, nil
}

// fitRanks resizes base and loaded to the current ranks and removes the experts
// of lost ranks.
func (s *search) fitRanks() error {
	shape := s.base.Shape()
	if s.loaded.Shape() != shape {
		return &expertmap.MismatchError{From: shape, To: s.loaded.Shape()}
	}
	var lost []int
	for rank, r := range s.in.Ranks {
		if r.Lost {
			lost = append(lost, rank)
		}
	}
	if len(lost) == len(s.in.Ranks) {
		return &InputError{Field: "Ranks", Got: 0, Want: 1}
	}
	if n := len(s.in.Ranks); n != shape.Ranks {
		s.resized = true
		var err error
		if s.base, err = s.base.Resize(n); err != nil {
			return err
		}
		if s.loaded, err = s.loaded.Resize(n); err != nil {
			return err
		}
	}
	if lostInUse := ranksInUse(s.base, lost); len(lostInUse) > 0 {
		s.base = s.base.Without(lostInUse...)
		s.resized = true
	}
	s.loaded = s.loaded.Without(lost...)
	return expertmap.CheckLoaded(s.loaded, s.base)
}

// ranksInUse returns those of the given ranks that hold experts in m.
func ranksInUse(m expertmap.Map, ranks []int) []int {
	var out []int
	for _, rank := range ranks {
		for layer := range m.Shape().Layers {
			if slices.ContainsFunc(m.Rank(layer, rank), isUsed) {
				out = append(out, rank)
				break
			}
		}
	}
	return out
}

func isUsed(e expertmap.Expert) bool { return e != expertmap.Empty }

func uniform(shape expertmap.Shape) []float64 {
	share := make([]float64, shape.Layers*shape.Experts)
	for i := range share {
		share[i] = 1 / float64(shape.Experts)
	}
	return share
}

func newGroup(shape expertmap.Shape, in Input) group {
	g := group{
		shape:     shape,
		domain:    make([]int, shape.Ranks),
		alive:     make([]bool, shape.Ranks),
		slowdown:  make([]float64, shape.Ranks),
		slotLimit: shape.Slots,
		canLoad:   !in.Store.Down && in.Store.BytesPerSecond > 0,
	}
	alive := countAlive(in.Ranks)
	g.meanLoad = 1 / float64(alive)
	if alive*(shape.Slots-1) >= shape.Experts {
		g.slotLimit = shape.Slots - 1
	}
	domains := map[string]int{}
	for rank, r := range in.Ranks {
		if _, ok := domains[r.FailureDomain]; !ok {
			domains[r.FailureDomain] = len(domains)
		}
		g.domain[rank] = domains[r.FailureDomain]
		g.alive[rank] = !r.Lost
		g.slowdown[rank] = r.slowdown()
	}
	return g
}

// applyLimits applies the policy's limits of slots and weight loads.
func (g *group) applyLimits(p Policy) {
	g.maxLoadsPerLayer = p.MaxLoadsPerLayer
	if p.ReservedSlots > 0 {
		g.slotLimit = g.shape.Slots - p.ReservedSlots
		g.strictLimit = true
	}
}

// startLayer starts the search of one layer.
func (s *search) startLayer(layer int) {
	shape := s.group.shape
	first, end := layer*shape.Experts, (layer+1)*shape.Experts
	s.layer.reset(s.base.Layer(layer), s.loaded.Layer(layer),
		s.in.Loads.Share[first:end], s.in.Loads.Variance[first:end])
}

// loadPrice returns the price of one weight load in the objective, in units of
// the mean rank load of a layer.
func (s *search) loadPrice() float64 {
	o := s.policy.Objective
	if o.Skew <= 0 {
		return math.Inf(1)
	}
	return o.Move / o.Skew / float64(s.group.shape.Experts)
}

// loadBudget returns the largest number of weight loads of one decision.
func (s *search) loadBudget() int {
	if !s.group.canLoad || s.policy.ExpertBytes <= 0 {
		return 0
	}
	bytes := s.loadRate() * s.policy.MaxLoadTime.Seconds()
	return max(1, int(bytes/float64(s.policy.ExpertBytes)))
}

// loadRate returns the load rate of the decision, in bytes per second.
func (s *search) loadRate() float64 {
	if s.repaired > 0 {
		return s.in.Store.BytesPerSecond
	}
	return s.in.Store.BytesPerSecond * s.policy.StoreShare
}

// inForceFraction returns the part of the horizon for which a change that uses
// the whole budget is in force.
func (s *search) inForceFraction(budget int) float64 {
	if s.policy.LoadTime > 0 {
		delay := s.policy.SwitchTime + time.Duration(s.batchLimit)*s.policy.LoadTime
		return max(0, 1-delay.Seconds()/s.policy.Horizon.Seconds())
	}
	loading := transferTime(int64(budget)*s.policy.ExpertBytes, s.loadRate())
	return max(0, 1-loading.Seconds()/s.policy.Horizon.Seconds())
}

// rebalance searches every layer and applies the plans with the best ratio of
// gain to cost, within the budget.
func (s *search) rebalance() {
	budget := s.loadBudget()
	var plans []plan
	for layer := range s.group.shape.Layers {
		s.startLayer(layer)
		if p, ok := s.improveLayer(layer, budget); ok {
			plans = append(plans, p)
		}
	}
	slices.SortFunc(plans, func(a, b plan) int {
		return cmp.Or(cmp.Compare(b.gainPerCost(), a.gainPerCost()), cmp.Compare(a.layer, b.layer))
	})
	perRank := make([]int, s.group.shape.Ranks)
	for _, p := range plans {
		if p.loads <= budget && s.fitsRankLimit(perRank, p) {
			budget -= p.loads
			s.setLayer(p.layer, p.use)
		}
	}
}

// fitsRankLimit reports whether the weight loads of every rank stay within
// MaxLoadsPerRank after the plan. If they do, it adds the loads of the plan to
// perRank.
func (s *search) fitsRankLimit(perRank []int, p plan) bool {
	if s.policy.MaxLoadsPerRank == 0 {
		return true
	}
	s.startLayer(p.layer)
	s.layer.setUse(p.use)
	loads := make([]int, len(perRank))
	for rank := range perRank {
		loads[rank] = s.layer.rankLoads(rank)
		if perRank[rank]+loads[rank] > s.policy.MaxLoadsPerRank {
			return false
		}
	}
	for rank, n := range loads {
		perRank[rank] += n
	}
	return true
}

// gainPerCost returns the ratio of gain to cost.
func (p plan) gainPerCost() float64 { return p.gain / (p.cost + reuseCost) }

// improveLayer runs the local search of the current layer. It makes adjustments
// as long as they lower the load of the hottest rank, and returns the placement
// with the best net gain on the way.
func (s *search) improveLayer(layer, budget int) (plan, bool) {
	l := s.layer
	price := s.loadPrice()
	fraction := s.inForceFraction(budget)
	hot, startLoad, _ := l.hottest()
	startLoad /= l.meanLoad
	start, startCost := slices.Clone(l.use), l.cost()
	minNet := s.gainThreshold(layer, hot)
	best := plan{layer: layer}
	bestNet := 0.0
	for range maxAdjustments {
		adj, ok := chooseAdjustment(l, price)
		if !ok {
			break
		}
		l.apply(adj)
		_, peak, _ := l.hottest()
		peak /= l.meanLoad
		gain := startLoad - peak
		cost := 0.0
		if more := l.cost() - startCost; more > 0 {
			cost = price * more
		}
		if cost >= startLoad-1 || l.loads > budget {
			break
		}
		if net := gain*fraction - cost; minNet.isExceeded(net, cost) && net > bestNet {
			bestNet = net
			best.use = append(best.use[:0], l.use...)
			best.gain, best.cost, best.loads = gain, l.cost()-startCost, l.loads
		}
	}
	if !best.found() {
		l.setUse(start)
		_, peak, _ := l.hottest()
		if !l.releaseSlots(peak) {
			return plan{}, false
		}
		best.use = append(best.use, l.use...)
	}
	return best, true
}

// threshold is the least net gain (gain less cost) for which a layer is
// changed. It prevents changes that only follow noise.
type threshold struct {
	// fixed is in units of the mean rank load.
	fixed float64
	// costFactor is the part of the threshold that grows with the cost.
	costFactor float64
}

// isExceeded reports whether a net gain is sufficient.
func (t threshold) isExceeded(net, cost float64) bool { return net >= t.fixed+t.costFactor*cost }

// gainThreshold returns the threshold of a layer whose hottest rank is hot.
func (s *search) gainThreshold(layer, hot int) threshold {
	noise := math.Sqrt(s.layer.loadVariance(hot)) / s.group.meanLoad
	t := threshold{fixed: max(minGain, significance*noise)}
	if steady := s.in.Loads.Steady; steady != nil && steady[layer] >= steadyWindows {
		t.fixed += steadyMinGain
		t.costFactor = 1
	}
	return t
}

// found reports whether the plan holds a placement.
func (p plan) found() bool { return len(p.use) > 0 }

// setLayer writes the placement of a layer to the draft.
func (s *search) setLayer(layer int, use []expertmap.Expert) {
	for i, e := range use {
		s.draft.Set(layer, i/s.group.shape.Slots, i%s.group.shape.Slots, e)
	}
}
