package placement

import (
	"slices"

	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
)

// group is what all layers of a search have in common.
type group struct {
	shape expertmap.Shape
	// domain numbers each rank's failure domain.
	domain []int
	alive  []bool
	// pace is how many times as long as usual each rank takes.
	pace []float64
	// mean is the mean rank load: one over the number of live ranks.
	mean float64
	// limit is the number of slots that the map uses on one rank without need.
	// One slot less than there are keeps room to load the next expert.
	limit int
	// strict forbids a rank to use more slots than limit, and loadsEach bounds
	// the loads of a rank, zero for no bound.
	strict    bool
	loadsEach int
	// canLoad is false while the weight store is down.
	canLoad bool
}

// layerState is the placement of one layer under search. Its arrays are used
// again for the next layer.
type layerState struct {
	*group
	share, variance []float64
	// base is the map in force and loaded is what the ranks have, both by rank
	// and slot. use is the placement under search.
	base, loaded, use []expertmap.Expert
	// holders lists the ranks that hold each expert in use.
	holders [][]int
	// load and used are by rank. A load is what the rank holds times its pace.
	load []float64
	used []int
	// loads is the number of slots in which use differs from loaded, and regains
	// that of the other slots in which use differs from base: their weights are
	// still there from an earlier use.
	loads, regains int
	// overwrite lets loads take slots that base uses. It is set while the group
	// cannot step anyway.
	overwrite bool
}

func newLayerState(g *group) *layerState {
	n := g.shape.Ranks * g.shape.Slots
	return &layerState{
		group:   g,
		use:     make([]expertmap.Expert, n),
		holders: make([][]int, g.shape.Experts),
		load:    make([]float64, g.shape.Ranks),
		used:    make([]int, g.shape.Ranks),
	}
}

// regainCost is the cost of taking weights into use that are still loaded, in
// loads. It keeps small gains from switching the map to and fro.
const regainCost = 0.25

// reset starts the search of a layer from the map in force.
func (l *layerState) reset(base, loaded []expertmap.Expert, share, variance []float64) {
	l.base, l.loaded, l.share, l.variance = base, loaded, share, variance
	l.setUse(base)
	l.overwrite = false
}

// setUse makes use a copy of the given placement and works the rest out anew.
func (l *layerState) setUse(use []expertmap.Expert) {
	copy(l.use, use)
	for e := range l.holders {
		l.holders[e] = l.holders[e][:0]
	}
	clear(l.load)
	clear(l.used)
	l.loads, l.regains = 0, 0
	for i, e := range l.use {
		if e == expertmap.Empty {
			continue
		}
		l.holders[e] = append(l.holders[e], i/l.shape.Slots)
		l.used[i/l.shape.Slots]++
		l.count(i, e, 1)
	}
	for e, holders := range l.holders {
		for _, rank := range holders {
			l.load[rank] += l.share[e] / float64(len(holders)) * l.pace[rank]
		}
	}
}

// rank returns the slots in use on a rank.
func (l *layerState) rank(rank int) []expertmap.Expert {
	return l.use[rank*l.shape.Slots : (rank+1)*l.shape.Slots]
}

// each is the load of one replica of e.
func (l *layerState) each(e expertmap.Expert) float64 {
	return l.share[e] / float64(len(l.holders[e]))
}

// holds reports whether the rank holds e.
func (l *layerState) holds(rank int, e expertmap.Expert) bool {
	return slices.Contains(l.holders[e], rank)
}

// find returns the best slot of a rank for e and its cost in loads, or false if
// there is none. A slot that has e loaded comes first. Among the others it takes the one whose unused weights have the least load, for these
// are the least likely to be wanted back.
func (l *layerState) find(rank int, e expertmap.Expert) (slot int, cost float64, ok bool) {
	slot = -1
	coldest := 0.0
	canLoad := l.canLoad && (l.loadsEach == 0 || l.rankLoads(rank) < l.loadsEach)
	for s := range l.shape.Slots {
		i := rank*l.shape.Slots + s
		if l.use[i] != expertmap.Empty {
			continue
		}
		if l.base[i] == e {
			return s, 0, true
		}
		if l.loaded[i] == e {
			return s, regainCost, true
		}
		if !canLoad || l.base[i] != expertmap.Empty && !l.overwrite {
			continue
		}
		if x := l.unused(i); slot < 0 || x < coldest {
			slot, coldest = s, x
		}
	}
	return slot, 1, slot >= 0
}

// rankLoads is the number of slots of a rank that have to be loaded.
func (l *layerState) rankLoads(rank int) int {
	n := 0
	for s := range l.shape.Slots {
		i := rank*l.shape.Slots + s
		if e := l.use[i]; e != expertmap.Empty && e != l.base[i] && e != l.loaded[i] {
			n++
		}
	}
	return n
}

// unused is the share of the weights that are loaded in a slot without use.
func (l *layerState) unused(i int) float64 {
	if e := l.loaded[i]; e != expertmap.Empty {
		return l.share[e]
	}
	return -1
}

// add puts e into a free slot of a rank.
func (l *layerState) add(rank, slot int, e expertmap.Expert) {
	l.spread(e, -1)
	l.holders[e] = append(l.holders[e], rank)
	l.spread(e, 1)
	i := rank*l.shape.Slots + slot
	l.use[i] = e
	l.used[rank]++
	l.count(i, e, 1)
}

// count adds n to loads or regains if e in slot i is either.
func (l *layerState) count(i int, e expertmap.Expert, n int) {
	switch e {
	case l.base[i]:
	case l.loaded[i]:
		l.regains += n
	default:
		l.loads += n
	}
}

// cost is that of the placement under search, in loads.
func (l *layerState) cost() float64 {
	return float64(l.loads) + regainCost*float64(l.regains)
}

// drop takes e from a rank that holds it.
func (l *layerState) drop(rank int, e expertmap.Expert) {
	l.spread(e, -1)
	at := slices.Index(l.holders[e], rank)
	l.holders[e] = slices.Delete(l.holders[e], at, at+1)
	l.spread(e, 1)
	i := rank*l.shape.Slots + slices.Index(l.rank(rank), e)
	l.use[i] = expertmap.Empty
	l.used[rank]--
	l.count(i, e, -1)
}

// spread adds the load of e, times sign, to the ranks that hold it.
func (l *layerState) spread(e expertmap.Expert, sign float64) {
	if len(l.holders[e]) == 0 {
		return
	}
	each := sign * l.each(e)
	for _, rank := range l.holders[e] {
		l.load[rank] += each * l.pace[rank]
	}
}

// hottest returns the rank with the largest load and the two largest loads.
func (l *layerState) hottest() (rank int, first, second float64) {
	rank = -1
	for r, load := range l.load {
		switch {
		case rank < 0 || load > first:
			rank, first, second = r, load, first
		case load > second:
			second = load
		}
	}
	return rank, first, second
}

// loadVariance is the variance of the estimate of a rank's load.
func (l *layerState) loadVariance(rank int) float64 {
	total := 0.0
	for _, e := range l.rank(rank) {
		if e != expertmap.Empty {
			k := float64(len(l.holders[e]))
			total += l.variance[e] / (k * k)
		}
	}
	return total * l.pace[rank] * l.pace[rank]
}

// crowds reports whether a replica of e on the rank would share its failure
// domain with another one. skip is a rank that gives its replica up, or -1.
func (l *layerState) crowds(rank int, e expertmap.Expert, skip int) bool {
	for _, r := range l.holders[e] {
		if r != skip && l.domain[r] == l.domain[rank] {
			return true
		}
	}
	return false
}

// release drops replicas from ranks without a free slot where no rank's load
// then exceeds peak, and reports whether it dropped any.
func (l *layerState) release(peak float64) bool {
	released := false
	for r, used := range l.used {
		if used <= l.limit {
			continue
		}
		for _, e := range l.rank(r) {
			if e != expertmap.Empty && l.spare(r, e, peak) {
				l.drop(r, e)
				released = true
				break
			}
		}
	}
	return released
}

// spare reports whether the other holders of e can take over the load of the
// rank's replica without exceeding peak.
func (l *layerState) spare(rank int, e expertmap.Expert, peak float64) bool {
	k := len(l.holders[e])
	if k < 2 {
		return false
	}
	grown := l.share[e]/float64(k-1) - l.each(e)
	for _, o := range l.holders[e] {
		if o != rank && l.load[o]+grown*l.pace[o] > peak {
			return false
		}
	}
	return true
}
