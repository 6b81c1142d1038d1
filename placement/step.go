package placement

import "github.com/cyclamenpoint/cyclamenpoint/expertmap"

// step is one change of a layer's placement that takes load off the hottest
// rank. Fields that do not apply are Empty or -1.
type step struct {
	// add is put on rank to.
	add expertmap.Expert
	to  int
	// from gives add up, if it is not -1.
	from int
	// evict leaves rank to; if back is not -1 it is put on that rank.
	evict expertmap.Expert
	back  int
	// peak is the largest load afterwards among the ranks whose load grows and
	// the hottest one.
	peak float64
	// cost is counted in loads.
	cost float64
	// score orders steps; less is better.
	score float64
}

// Preferences among steps, in units of the mean rank load.
const (
	// crowdPenalty is what a replica in a failure domain of its own may cost.
	crowdPenalty = 0.01
	// loadPenalty is the least gain that one more load must bring.
	loadPenalty = 0.001
	// lastSlotGain is the least gain for which a rank's last free slot is used.
	// Without a free slot the rank can load nothing.
	lastSlotGain = 0.05
)

// chooser finds the best step from one placement.
type chooser struct {
	l *layerState
	// hot is the hottest rank, with its load; second is the next load.
	hot           int
	first, second float64
	// price is the objective's price of one load, in units of the mean load.
	price float64
	best  step
	found bool
}

// chooseStep returns the best step that lowers the hottest rank's load without
// raising another one as far, or false.
func chooseStep(l *layerState, price float64) (step, bool) {
	c := chooser{l: l, price: max(price, loadPenalty)}
	c.hot, c.first, c.second = l.hottest()
	for _, e := range l.rank(c.hot) {
		if e == expertmap.Empty {
			continue
		}
		c.tryDrop(e)
		for r := range l.shape.Ranks {
			if r == c.hot || !l.alive[r] || l.holds(r, e) {
				continue
			}
			c.tryRank(e, r)
		}
	}
	return c.best, c.found
}

// tryDrop gives up the replica of e on the hottest rank.
func (c *chooser) tryDrop(e expertmap.Expert) {
	k := len(c.l.holders[e])
	if k < 2 {
		return
	}
	grown := c.l.share[e]/float64(k-1) - c.l.each(e)
	peak := c.first - c.l.each(e)*c.l.pace[c.hot]
	for _, r := range c.l.holders[e] {
		if r != c.hot {
			peak = max(peak, c.l.load[r]+grown*c.l.pace[r])
		}
	}
	c.offer(step{add: expertmap.Empty, to: -1, from: c.hot, evict: e, back: -1, peak: peak})
}

// tryRank tries the steps that put e, which the hottest rank holds, on rank r.
func (c *chooser) tryRank(e expertmap.Expert, r int) {
	l := c.l
	_, cost, ok := l.find(r, e)
	if !ok {
		return
	}
	each := l.each(e)
	k := float64(len(l.holders[e]))
	shared := l.share[e] / (k + 1)
	none := expertmap.Empty
	slow, slowHot := l.pace[r], l.pace[c.hot]
	if peak := max(c.first-(each-shared)*slowHot, l.load[r]+shared*slow); l.used[r] < l.limit || c.worthLastSlot(peak) {
		c.offer(step{add: e, to: r, from: -1, evict: none, back: -1, cost: cost, peak: peak})
	}
	if peak := max(c.first-each*slowHot, l.load[r]+each*slow); l.used[r] < l.limit || c.worthLastSlot(peak) {
		c.offer(step{add: e, to: r, from: c.hot, evict: none, back: -1, cost: cost, peak: peak})
	}
	for _, b := range l.rank(r) {
		if b == expertmap.Empty {
			continue
		}
		c.trySwap(e, r, b, cost)
		c.tryEvict(e, r, b, cost)
	}
}

// worthLastSlot reports whether a step that leaves the given peak is worth the
// last free slot of a rank.
func (c *chooser) worthLastSlot(peak float64) bool {
	return !c.l.strict && c.first-max(peak, c.second) >= lastSlotGain*c.l.mean
}

// trySwap exchanges e on the hottest rank for b on rank r.
func (c *chooser) trySwap(e expertmap.Expert, r int, b expertmap.Expert, cost float64) {
	l := c.l
	d := l.each(e) - l.each(b)
	peak := max(c.first-d*l.pace[c.hot], l.load[r]+d*l.pace[r])
	if c.hopeless(peak, cost) || l.holds(c.hot, b) {
		return
	}
	_, back, ok := l.find(c.hot, b)
	if !ok {
		return
	}
	c.offer(step{add: e, to: r, from: c.hot, evict: b, back: c.hot, cost: cost + back,
		peak: peak})
}

// tryEvict puts e on rank r in place of a replica of b, once as a further
// replica and once instead of the one on the hottest rank.
func (c *chooser) tryEvict(e expertmap.Expert, r int, b expertmap.Expert, cost float64) {
	l := c.l
	kb := len(l.holders[b])
	if kb < 2 {
		return
	}
	each, eachB := l.each(e), l.each(b)
	shared := l.share[e] / float64(len(l.holders[e])+1)
	grown := l.share[b]/float64(kb-1) - eachB
	others := 0.0
	hot := 0.0
	for _, o := range l.holders[b] {
		switch o {
		case r:
		case c.hot:
			hot = grown
		default:
			others = max(others, l.load[o]+grown*l.pace[o])
		}
	}
	slow, slowHot := l.pace[r], l.pace[c.hot]
	c.offer(step{add: e, to: r, from: -1, evict: b, back: -1, cost: cost,
		peak: max(others, c.first-(each-shared-hot)*slowHot, l.load[r]+(shared-eachB)*slow)})
	c.offer(step{add: e, to: r, from: c.hot, evict: b, back: -1, cost: cost,
		peak: max(others, c.first-(each-hot)*slowHot, l.load[r]+(each-eachB)*slow)})
}

// offer keeps the step if it lowers the hottest rank and is the best so far. A
// peak below the second largest load counts as that load, since the layer gains
// no more than that; the peak itself decides between equals.
func (c *chooser) offer(s step) {
	if c.hopeless(s.peak, s.cost) {
		return
	}
	s.score = c.score(s.peak, s.cost)
	if c.l.crowded(s) {
		s.score += crowdPenalty
	}
	if !c.found || s.score < c.best.score {
		c.best, c.found = s, true
	}
}

// score rates a peak and a cost; less is better.
func (c *chooser) score(peak, cost float64) float64 {
	score := (max(peak, c.second) + peak*loadPenalty) / c.l.mean
	if cost > 0 {
		score += c.price * cost
	}
	return score
}

// hopeless reports whether no step of this peak and at least this cost can be
// kept.
func (c *chooser) hopeless(peak, cost float64) bool {
	if peak >= c.first*(1-1e-9) {
		return true
	}
	return c.found && c.score(peak, cost) >= c.best.score
}

// crowded reports whether the step puts a replica into a failure domain that
// has one already.
func (l *layerState) crowded(s step) bool {
	if s.add != expertmap.Empty && l.crowds(s.to, s.add, s.from) {
		return true
	}
	return s.back >= 0 && l.crowds(s.back, s.evict, s.to)
}

// apply carries the step out.
func (l *layerState) apply(s step) {
	if s.add == expertmap.Empty {
		l.drop(s.from, s.evict)
		return
	}
	slot, _, _ := l.find(s.to, s.add)
	backSlot := -1
	if s.back >= 0 {
		backSlot, _, _ = l.find(s.back, s.evict)
	}
	l.add(s.to, slot, s.add)
	if s.from >= 0 {
		l.drop(s.from, s.add)
	}
	if s.evict != expertmap.Empty {
		l.drop(s.to, s.evict)
	}
	if s.back >= 0 {
		l.add(s.back, backSlot, s.evict)
	}
}
