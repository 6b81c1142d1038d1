package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
)

// Parameters of the search.
const (
	// maxSteps bounds the steps tried in one layer.
	maxSteps = 96
	// significance is the number of standard errors by which a gain has to
	// exceed the noise of the estimates.
	significance = 2
	// leastGain is the least gain of a layer that is acted on, in units of the
	// mean rank load.
	leastGain = 0.005
	// steadyWindows is the number of windows after which a layer whose mix has
	// not changed is left alone, and steadyGain what it then takes to touch it
	// after all, above twice the cost, in units of the mean rank load.
	steadyWindows = 300
	steadyGain    = 0.05
)

// search is one run of Decide.
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
	layer    *layerState
}

// plan is a better placement of one layer.
type plan struct {
	layer int
	use   []expertmap.Expert
	// gain is the fall of the largest rank load, in units of the mean.
	gain float64
	// cost is counted in loads.
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
	s.group.reserve(p)
	s.layer = newLayerState(&s.group)
	return s, nil
}

// fitRanks makes base and loaded fit the ranks of now: lost ranks hold nothing.
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
	if gone := held(s.base, lost); len(gone) > 0 {
		s.base = s.base.Without(gone...)
		s.resized = true
	}
	s.loaded = s.loaded.Without(lost...)
	return expertmap.CheckLoaded(s.loaded, s.base)
}

// held returns those of the ranks that m uses.
func held(m expertmap.Map, ranks []int) []int {
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
		shape:   shape,
		domain:  make([]int, shape.Ranks),
		alive:   make([]bool, shape.Ranks),
		pace:    make([]float64, shape.Ranks),
		limit:   shape.Slots,
		canLoad: !in.Store.Down && in.Store.BytesPerSecond > 0,
	}
	alive := aliveRanks(in.Ranks)
	g.mean = 1 / float64(alive)
	if alive*(shape.Slots-1) >= shape.Experts {
		g.limit = shape.Slots - 1
	}
	number := map[string]int{}
	for rank, r := range in.Ranks {
		if _, ok := number[r.FailureDomain]; !ok {
			number[r.FailureDomain] = len(number)
		}
		g.domain[rank] = number[r.FailureDomain]
		g.alive[rank] = !r.Lost
		g.pace[rank] = r.pace()
	}
	return g
}

// reserve applies a policy's own bounds on slots and loads.
func (g *group) reserve(p Policy) {
	g.loadsEach = p.MaxLoadsPerLayer
	if p.ReservedSlots > 0 {
		g.limit = g.shape.Slots - p.ReservedSlots
		g.strict = true
	}
}

// enter starts the search of one layer.
func (s *search) enter(layer int) {
	shape := s.group.shape
	first, end := layer*shape.Experts, (layer+1)*shape.Experts
	s.layer.reset(s.base.Layer(layer), s.loaded.Layer(layer),
		s.in.Loads.Share[first:end], s.in.Loads.Variance[first:end])
}

// price is the objective's price of one load in a layer, in units of the mean
// rank load of that layer.
func (s *search) price() float64 {
	o := s.policy.Objective
	if o.Skew <= 0 {
		return math.Inf(1)
	}
	return o.Move / o.Skew / float64(s.group.shape.Experts)
}

// budget is the number of loads that one decision may ask for.
func (s *search) budget() int {
	if !s.group.canLoad || s.policy.ExpertBytes <= 0 {
		return 0
	}
	bytes := s.rate() * s.policy.MaxLoadTime.Seconds()
	return max(1, int(bytes/float64(s.policy.ExpertBytes)))
}

// rate is what the decision's loads may take of the store, in bytes per second.
func (s *search) rate() float64 {
	if s.repaired > 0 {
		return s.in.Store.BytesPerSecond
	}
	return s.in.Store.BytesPerSecond * s.policy.StoreShare
}

// inForce is the part of the horizon for which a change of the whole budget is
// in force.
func (s *search) inForce(budget int) float64 {
	late := delay(int64(budget)*s.policy.ExpertBytes, s.rate())
	return max(0, 1-late.Seconds()/s.policy.Horizon.Seconds())
}

// rebalance searches every layer and takes the plans that bring the most for
// each load, within the budget.
func (s *search) rebalance() {
	budget := s.budget()
	var plans []plan
	for layer := range s.group.shape.Layers {
		s.enter(layer)
		if p, ok := s.improve(layer, budget); ok {
			plans = append(plans, p)
		}
	}
	slices.SortFunc(plans, func(a, b plan) int {
		return cmp.Or(cmp.Compare(b.density(), a.density()), cmp.Compare(a.layer, b.layer))
	})
	each := make([]int, s.group.shape.Ranks)
	for _, p := range plans {
		if p.loads <= budget && s.fits(each, p) {
			budget -= p.loads
			s.put(p.layer, p.use)
		}
	}
}

// fits reports whether a plan leaves every rank's loads within LoadsBatch, and
// adds them to each if it does.
func (s *search) fits(each []int, p plan) bool {
	if s.policy.MaxLoadsPerRank == 0 {
		return true
	}
	s.enter(p.layer)
	s.layer.setUse(p.use)
	loads := make([]int, len(each))
	for rank := range each {
		loads[rank] = s.layer.rankLoads(rank)
		if each[rank]+loads[rank] > s.policy.MaxLoadsPerRank {
			return false
		}
	}
	for rank, n := range loads {
		each[rank] += n
	}
	return true
}

// density is the gain for its cost.
func (p plan) density() float64 { return p.gain / (p.cost + regainCost) }

// improve runs the local search of the entered layer. It goes on from step to
// step as long as the hottest rank can be lowered, and returns the best
// placement on the way by gain less price.
func (s *search) improve(layer, budget int) (plan, bool) {
	l := s.layer
	price := s.price()
	paid := s.inForce(budget)
	hot, start, _ := l.hottest()
	start /= l.mean
	bar := s.hurdle(layer, hot)
	best := plan{layer: layer}
	bestNet := 0.0
	for range maxSteps {
		st, ok := chooseStep(l, price)
		if !ok {
			break
		}
		l.apply(st)
		_, peak, _ := l.hottest()
		peak /= l.mean
		gain := start - peak
		cost := 0.0
		if l.cost() > 0 {
			cost = price * l.cost()
		}
		if cost >= start-1 || l.loads > budget {
			break
		}
		if net := gain*paid - cost; bar.clears(net, cost) && net > bestNet {
			bestNet = net
			best.use = append(best.use[:0], l.use...)
			best.gain, best.cost, best.loads = gain, l.cost(), l.loads
		}
	}
	if !best.found() {
		l.setUse(l.base)
		_, peak, _ := l.hottest()
		if !l.release(peak) {
			return plan{}, false
		}
		best.use = append(best.use, l.use...)
	}
	return best, true
}

// hurdle is what a layer's gain less its cost has to exceed, so that noise
// moves nothing.
type hurdle struct {
	// least is in units of the mean rank load.
	least float64
	// costs is a multiple of the cost.
	costs float64
}

// clears reports whether a net gain is enough.
func (h hurdle) clears(net, cost float64) bool { return net >= h.least+h.costs*cost }

// hurdle returns that of a layer whose hottest rank is hot.
func (s *search) hurdle(layer, hot int) hurdle {
	noise := math.Sqrt(s.layer.loadVariance(hot)) / s.group.mean
	h := hurdle{least: max(leastGain, significance*noise)}
	if steady := s.in.Loads.Steady; steady != nil && steady[layer] >= steadyWindows {
		h.least += steadyGain
		h.costs = 1
	}
	return h
}

// found reports whether the plan holds a placement.
func (p plan) found() bool { return len(p.use) > 0 }

// put writes a layer's placement into the draft.
func (s *search) put(layer int, use []expertmap.Expert) {
	for i, e := range use {
		s.draft.Set(layer, i/s.group.shape.Slots, i%s.group.shape.Slots, e)
	}
}
