package placement

import (
	"slices"

	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
)

// group holds the state that all layers of a search share.
type group struct {
	shape expertmap.Shape
	// domain is the number of each rank's failure domain.
	domain []int
	alive  []bool
	// slowdown is the Slowdown of each rank, at least 1.
	slowdown []float64
	// meanLoad is the mean load of a rank: one over the number of live ranks.
	meanLoad float64
	// slotLimit is the number of slots of a rank that the map uses normally. It
	// is one less than there are if possible, so that the next expert can be
	// loaded.
	slotLimit int
	// strictLimit forbids the use of more slots than slotLimit.
	// maxLoadsPerLayer bounds the weight loads of a rank, zero for no bound.
	strictLimit      bool
	maxLoadsPerLayer int
	// loadsLeft is the number of weight loads that each rank may still make in
	// this decision, nil for no bound.
	loadsLeft []int
	// canLoad is false while the weight store is down.
	canLoad bool
}

// layerState is the placement of one layer during the search. Its slices are
// reused for the next layer.
type layerState struct {
	*group
	share, variance []float64
	// base is the map in force and loaded are the weights that the ranks have,
	// both by rank, then slot. use is the placement under search.
	base, loaded, use []expertmap.Expert
	// holders lists the ranks that hold each expert in use.
	holders [][]int
	// load and used are by rank. The load of a rank includes its slowdown.
	load []float64
	used []int
	// loads is the number of slots in use whose weights have to be loaded.
	// reused is the number of slots that differ from base but still have the
	// right weights from an earlier use.
	loads, reused int
	// overwrite permits loading into slots that base uses. It is set only while
	// the group cannot step.
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

// reuseCost is the cost of using weights again that are still loaded, in weight
// loads. It prevents changes back and forth for small gains.
const reuseCost = 0.25

// reset starts the search of a layer from the map in force.
func (l *layerState) reset(base, loaded []expertmap.Expert, share, variance []float64) {
	l.base, l.loaded, l.share, l.variance = base, loaded, share, variance
	l.setUse(base)
	l.overwrite = false
}

// setUse copies the given placement to use and recomputes the other fields.
func (l *layerState) setUse(use []expertmap.Expert) {
	copy(l.use, use)
	for e := range l.holders {
		l.holders[e] = l.holders[e][:0]
	}
	clear(l.load)
	clear(l.used)
	l.loads, l.reused = 0, 0
	for i, e := range l.use {
		if e == expertmap.Empty {
			continue
		}
		l.holders[e] = append(l.holders[e], i/l.shape.Slots)
		l.used[i/l.shape.Slots]++
		l.countLoad(i, e, 1)
	}
	for e, holders := range l.holders {
		for _, rank := range holders {
			l.load[rank] += l.share[e] / float64(len(holders)) * l.slowdown[rank]
		}
	}
}

// rankSlots returns the slots of a rank in the placement under search.
func (l *layerState) rankSlots(rank int) []expertmap.Expert {
	return l.use[rank*l.shape.Slots : (rank+1)*l.shape.Slots]
}

// perReplica returns the load of one replica of e.
func (l *layerState) perReplica(e expertmap.Expert) float64 {
	return l.share[e] / float64(len(l.holders[e]))
}

// holds reports whether the rank holds e.
func (l *layerState) holds(rank int, e expertmap.Expert) bool {
	return slices.Contains(l.holders[e], rank)
}

// findSlot returns the best free slot of a rank for e and its cost in weight
// loads, or false if there is none. It prefers a slot that has e loaded. Among
// the others it chooses the one whose unused weights have the least load,
// because they are the least likely to be needed again.
func (l *layerState) findSlot(rank int, e expertmap.Expert) (slot int, cost float64, ok bool) {
	slot = -1
	coldest := 0.0
	canLoad := l.canLoad && l.mayLoad(rank)
	for s := range l.shape.Slots {
		i := rank*l.shape.Slots + s
		if l.use[i] != expertmap.Empty {
			continue
		}
		if l.base[i] == e {
			return s, 0, true
		}
		if l.loaded[i] == e {
			return s, reuseCost, true
		}
		if !canLoad || l.base[i] != expertmap.Empty && !l.overwrite {
			continue
		}
		if x := l.unusedShare(i); slot < 0 || x < coldest {
			slot, coldest = s, x
		}
	}
	return slot, 1, slot >= 0
}

// mayLoad reports whether the rank may load another expert of the layer.
func (l *layerState) mayLoad(rank int) bool {
	if l.maxLoadsPerLayer == 0 && l.loadsLeft == nil {
		return true
	}
	loads := l.rankLoads(rank)
	if l.loadsLeft != nil && loads >= l.loadsLeft[rank] {
		return false
	}
	return l.maxLoadsPerLayer == 0 || loads < l.maxLoadsPerLayer
}

// rankLoads returns the number of slots of a rank that have to be loaded.
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

// unusedShare returns the load share of the unused weights in a free slot, or
// -1 if it has none.
func (l *layerState) unusedShare(i int) float64 {
	if e := l.loaded[i]; e != expertmap.Empty {
		return l.share[e]
	}
	return -1
}

// add puts e into a free slot of a rank.
func (l *layerState) add(rank, slot int, e expertmap.Expert) {
	l.addLoad(e, -1)
	l.holders[e] = append(l.holders[e], rank)
	l.addLoad(e, 1)
	i := rank*l.shape.Slots + slot
	l.use[i] = e
	l.used[rank]++
	l.countLoad(i, e, 1)
}

// countLoad adds n to loads or reused if e in slot i counts as either.
func (l *layerState) countLoad(i int, e expertmap.Expert, n int) {
	switch e {
	case l.base[i]:
	case l.loaded[i]:
		l.reused += n
	default:
		l.loads += n
	}
}

// cost returns the cost of the placement under search, in weight loads.
func (l *layerState) cost() float64 {
	return float64(l.loads) + reuseCost*float64(l.reused)
}

// remove removes e from a rank that holds it.
func (l *layerState) remove(rank int, e expertmap.Expert) {
	l.addLoad(e, -1)
	at := slices.Index(l.holders[e], rank)
	l.holders[e] = slices.Delete(l.holders[e], at, at+1)
	l.addLoad(e, 1)
	i := rank*l.shape.Slots + slices.Index(l.rankSlots(rank), e)
	l.use[i] = expertmap.Empty
	l.used[rank]--
	l.countLoad(i, e, -1)
}

// addLoad adds the load of e, times sign, to the ranks that hold it.
func (l *layerState) addLoad(e expertmap.Expert, sign float64) {
	if len(l.holders[e]) == 0 {
		return
	}
	each := sign * l.perReplica(e)
	for _, rank := range l.holders[e] {
		l.load[rank] += each * l.slowdown[rank]
	}
}

// hottest returns the rank with the largest load, and the two largest loads.
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

// loadVariance returns the variance of the estimated load of a rank.
func (l *layerState) loadVariance(rank int) float64 {
	total := 0.0
	for _, e := range l.rankSlots(rank) {
		if e != expertmap.Empty {
			k := float64(len(l.holders[e]))
			total += l.variance[e] / (k * k)
		}
	}
	return total * l.slowdown[rank] * l.slowdown[rank]
}

// sharesDomain reports whether a replica of e on the rank would share its
// failure domain with another replica. skip is a rank that loses its replica,
// or -1.
func (l *layerState) sharesDomain(rank int, e expertmap.Expert, skip int) bool {
	for _, r := range l.holders[e] {
		if r != skip && l.domain[r] == l.domain[rank] {
			return true
		}
	}
	return false
}

// releaseSlots removes replicas from ranks without a free slot, if the load of no
// rank then exceeds peak. It reports whether it removed any.
func (l *layerState) releaseSlots(peak float64) bool {
	released := false
	for r, used := range l.used {
		if used <= l.slotLimit {
			continue
		}
		for _, e := range l.rankSlots(r) {
			if e != expertmap.Empty && l.canDrop(r, e, peak) {
				l.remove(r, e)
				released = true
				break
			}
		}
	}
	return released
}

// canDrop reports whether the other holders of e can take over the load of the
// rank's replica without exceeding peak.
func (l *layerState) canDrop(rank int, e expertmap.Expert, peak float64) bool {
	k := len(l.holders[e])
	if k < 2 {
		return false
	}
	added := l.share[e]/float64(k-1) - l.perReplica(e)
	for _, o := range l.holders[e] {
		if o != rank && l.load[o]+added*l.slowdown[o] > peak {
			return false
		}
	}
	return true
}
