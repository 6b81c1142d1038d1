package placement

import "github.com/cyclamenpoint/cyclamenpoint/expertmap"

// adjustment is one change of a layer's placement that lowers the load of the
// hottest rank. Fields that do not apply are Empty or -1.
type adjustment struct {
	// add is the expert that is added to rank to.
	add expertmap.Expert
	to  int
	// from is the rank that loses its replica of add, or -1.
	from int
	// evict is removed from rank to, and added to rank back if back is not -1.
	evict expertmap.Expert
	back  int
	// peak is the largest load after the adjustment, among the hottest rank and
	// the ranks whose load increases.
	peak float64
	// cost is in weight loads.
	cost float64
	// score compares adjustments; less is better.
	score float64
}

// Preferences between adjustments, in units of the mean rank load.
const (
	// colocationPenalty is added to the score of an adjustment that puts two
	// replicas of an expert into one failure domain. It is the largest gain that
	// is forgone to avoid that.
	colocationPenalty = 0.01
	// loadPenalty is the least gain that an additional weight load must bring.
	loadPenalty = 0.001
	// minLastSlotGain is the least gain for which the last free slot of a rank
	// is used. Without a free slot no weights can be loaded to the rank.
	minLastSlotGain = 0.05
)

// adjustmentSearch finds the best adjustment of a placement.
type adjustmentSearch struct {
	l *layerState
	// hot is the hottest rank and hotLoad its load. secondLoad is the second
	// largest load.
	hot                 int
	hotLoad, secondLoad float64
	// price is the price of one weight load in the objective, in units of the
	// mean rank load.
	price float64
	best  adjustment
	found bool
}

// chooseAdjustment returns the best adjustment that lowers the load of the
// hottest rank and does not raise another one to that load, or false if there
// is none.
func chooseAdjustment(l *layerState, price float64) (adjustment, bool) {
	c := adjustmentSearch{l: l, price: max(price, loadPenalty)}
	c.hot, c.hotLoad, c.secondLoad = l.hottest()
	for _, e := range l.rankSlots(c.hot) {
		if e == expertmap.Empty {
			continue
		}
		c.tryDrop(e)
		for r := range l.shape.Ranks {
			if r == c.hot || !l.alive[r] || l.holds(r, e) {
				continue
			}
			c.tryAdd(e, r)
		}
	}
	return c.best, c.found
}

// tryDrop tries to remove the replica of e from the hottest rank.
func (c *adjustmentSearch) tryDrop(e expertmap.Expert) {
	k := len(c.l.holders[e])
	if k < 2 {
		return
	}
	added := c.l.share[e]/float64(k-1) - c.l.perReplica(e)
	peak := c.hotLoad - c.l.perReplica(e)*c.l.slowdown[c.hot]
	for _, r := range c.l.holders[e] {
		if r != c.hot {
			peak = max(peak, c.l.load[r]+added*c.l.slowdown[r])
		}
	}
	c.offer(adjustment{add: expertmap.Empty, to: -1, from: c.hot, evict: e, back: -1, peak: peak})
}

// tryAdd tries the adjustments that put e, which the hottest rank holds, on
// rank r.
func (c *adjustmentSearch) tryAdd(e expertmap.Expert, r int) {
	l := c.l
	_, cost, ok := l.findSlot(r, e)
	if !ok {
		return
	}
	load := l.perReplica(e)
	k := float64(len(l.holders[e]))
	shared := l.share[e] / (k + 1)
	none := expertmap.Empty
	slowdown, hotSlowdown := l.slowdown[r], l.slowdown[c.hot]
	if peak := max(c.hotLoad-(load-shared)*hotSlowdown, l.load[r]+shared*slowdown); l.used[r] < l.slotLimit || c.worthLastSlot(peak) {
		c.offer(adjustment{add: e, to: r, from: -1, evict: none, back: -1, cost: cost, peak: peak})
	}
	if peak := max(c.hotLoad-load*hotSlowdown, l.load[r]+load*slowdown); l.used[r] < l.slotLimit || c.worthLastSlot(peak) {
		c.offer(adjustment{add: e, to: r, from: c.hot, evict: none, back: -1, cost: cost, peak: peak})
	}
	for _, b := range l.rankSlots(r) {
		if b == expertmap.Empty {
			continue
		}
		c.trySwap(e, r, b, cost)
		c.tryEvict(e, r, b, cost)
	}
}

// worthLastSlot reports whether an adjustment that results in the given peak is
// worth the last free slot of a rank.
func (c *adjustmentSearch) worthLastSlot(peak float64) bool {
	return !c.l.strictLimit && c.hotLoad-max(peak, c.secondLoad) >= minLastSlotGain*c.l.meanLoad
}

// trySwap tries to exchange e on the hottest rank for b on rank r.
func (c *adjustmentSearch) trySwap(e expertmap.Expert, r int, b expertmap.Expert, cost float64) {
	l := c.l
	d := l.perReplica(e) - l.perReplica(b)
	peak := max(c.hotLoad-d*l.slowdown[c.hot], l.load[r]+d*l.slowdown[r])
	if c.cannotImprove(peak, cost) || l.holds(c.hot, b) {
		return
	}
	_, back, ok := l.findSlot(c.hot, b)
	if !ok {
		return
	}
	c.offer(adjustment{add: e, to: r, from: c.hot, evict: b, back: c.hot, cost: cost + back,
		peak: peak})
}

// tryEvict tries to put e on rank r in place of a replica of b, as an
// additional replica and instead of the one on the hottest rank.
func (c *adjustmentSearch) tryEvict(e expertmap.Expert, r int, b expertmap.Expert, cost float64) {
	l := c.l
	kb := len(l.holders[b])
	if kb < 2 {
		return
	}
	load, loadB := l.perReplica(e), l.perReplica(b)
	shared := l.share[e] / float64(len(l.holders[e])+1)
	added := l.share[b]/float64(kb-1) - loadB
	others := 0.0
	hotAdded := 0.0
	for _, o := range l.holders[b] {
		switch o {
		case r:
		case c.hot:
			hotAdded = added
		default:
			others = max(others, l.load[o]+added*l.slowdown[o])
		}
	}
	slowdown, hotSlowdown := l.slowdown[r], l.slowdown[c.hot]
	c.offer(adjustment{add: e, to: r, from: -1, evict: b, back: -1, cost: cost,
		peak: max(others, c.hotLoad-(load-shared-hotAdded)*hotSlowdown, l.load[r]+(shared-loadB)*slowdown)})
	c.offer(adjustment{add: e, to: r, from: c.hot, evict: b, back: -1, cost: cost,
		peak: max(others, c.hotLoad-(load-hotAdded)*hotSlowdown, l.load[r]+(load-loadB)*slowdown)})
}

// offer records the adjustment if it lowers the load of the hottest rank and is
// the best so far. A peak below the second largest load counts as that load,
// since the layer gains no more. Between adjustments that are otherwise equal
// the peak itself decides.
func (c *adjustmentSearch) offer(a adjustment) {
	if c.cannotImprove(a.peak, a.cost) {
		return
	}
	a.score = c.score(a.peak, a.cost)
	if c.l.colocates(a) {
		a.score += colocationPenalty
	}
	if !c.found || a.score < c.best.score {
		c.best, c.found = a, true
	}
}

// score returns the score of a peak and a cost; less is better.
func (c *adjustmentSearch) score(peak, cost float64) float64 {
	score := (max(peak, c.secondLoad) + peak*loadPenalty) / c.l.meanLoad
	if cost > 0 {
		score += c.price * cost
	}
	return score
}

// cannotImprove reports whether no adjustment with this peak and at least this
// cost can become the best.
func (c *adjustmentSearch) cannotImprove(peak, cost float64) bool {
	if peak >= c.hotLoad*(1-1e-9) {
		return true
	}
	return c.found && c.score(peak, cost) >= c.best.score
}

// colocates reports whether the adjustment puts a replica into a failure domain
// that has one already.
func (l *layerState) colocates(a adjustment) bool {
	if a.add != expertmap.Empty && l.sharesDomain(a.to, a.add, a.from) {
		return true
	}
	return a.back >= 0 && l.sharesDomain(a.back, a.evict, a.to)
}

// apply makes the adjustment.
func (l *layerState) apply(a adjustment) {
	if a.add == expertmap.Empty {
		l.remove(a.from, a.evict)
		return
	}
	slot, _, _ := l.findSlot(a.to, a.add)
	backSlot := -1
	if a.back >= 0 {
		backSlot, _, _ = l.findSlot(a.back, a.evict)
	}
	l.add(a.to, slot, a.add)
	if a.from >= 0 {
		l.remove(a.from, a.add)
	}
	if a.evict != expertmap.Empty {
		l.remove(a.to, a.evict)
	}
	if a.back >= 0 {
		l.add(a.back, backSlot, a.evict)
	}
}
