// Package baseline has the two simple placement algorithms that the product's
// policy is compared with: a static contiguous map, and greedy replication and
// packing of all layers. Neither considers the cost of a change.
package baseline

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
)

// Static returns the map that assigns contiguous ranges of experts to the ranks
// that are alive, without replicas.
func Static(shape expertmap.Shape, alive []bool) expertmap.Map {
	m := empty(shape)
	d := m.Edit()
	ranks := aliveIndexes(alive)
	for layer := range shape.Layers {
		for e := range shape.Experts {
			i := e * len(ranks) / shape.Experts
			first := (i*shape.Experts + len(ranks) - 1) / len(ranks)
			d.Set(layer, ranks[i], e-first, expertmap.Expert(e))
		}
	}
	return d.Map()
}

// GreedyPacking recomputes the placement of every layer. It adds replicas one
// at a time to the expert with the largest load per replica, until all slots are
// used or that expert has a replica on every rank. Then it assigns each
// replica to the least loaded rank with a free slot: first one replica of every
// expert, then the others, both in descending order of the load per replica. share
// is ordered by layer, then expert. An expert that a rank already holds in held
// stays in its slot.
func GreedyPacking(held expertmap.Map, share []float64, alive []bool) expertmap.Map {
	shape := held.Shape()
	d := empty(shape).Edit()
	for layer := range shape.Layers {
		loads := share[layer*shape.Experts : (layer+1)*shape.Experts]
		for rank, experts := range packLayer(shape, loads, aliveIndexes(alive)) {
			assignSlots(d, held, layer, rank, experts)
		}
	}
	return d.Map()
}

// replicaCounts returns the number of replicas of each expert of one layer.
func replicaCounts(shape expertmap.Shape, loads []float64, ranks int) []int {
	h := make(byLoadPerReplica, len(loads))
	for e, x := range loads {
		h[e] = item{expert: e, load: x, replicas: 1}
	}
	heap.Init(&h)
	for spare := ranks*shape.Slots - len(loads); spare > 0; spare-- {
		if h[0].replicas == ranks {
			break
		}
		h[0].replicas++
		heap.Fix(&h, 0)
	}
	out := make([]int, len(loads))
	for _, it := range h {
		out[it.expert] = it.replicas
	}
	return out
}

// packLayer returns the experts that each rank holds in one layer.
func packLayer(shape expertmap.Shape, loads []float64, ranks []int) [][]expertmap.Expert {
	replicas := replicaCounts(shape, loads, len(ranks))
	order := make([]int, len(loads))
	for e := range order {
		order[e] = e
	}
	loadPerReplica := func(e int) float64 { return loads[e] / float64(replicas[e]) }
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(loadPerReplica(b), loadPerReplica(a)) })
	out := make([][]expertmap.Expert, shape.Ranks)
	rankLoads := make([]float64, shape.Ranks)
	// The first replica of every expert is assigned before any other replica, so
	// that each expert has a rank.
	for _, e := range order {
		assignReplica(out, rankLoads, ranks, shape.Slots, expertmap.Expert(e), loadPerReplica(e))
	}
	for _, e := range order {
		for range replicas[e] - 1 {
			assignReplica(out, rankLoads, ranks, shape.Slots, expertmap.Expert(e), loadPerReplica(e))
		}
	}
	return out
}

// assignReplica assigns a replica of e to the least loaded rank that has a free
// slot and does not hold e. If there is no such rank, the replica is dropped.
func assignReplica(assigned [][]expertmap.Expert, rankLoads []float64, ranks []int, slots int, e expertmap.Expert, load float64) {
	best := -1
	for _, r := range ranks {
		if len(assigned[r]) == slots || slices.Contains(assigned[r], e) {
			continue
		}
		if best < 0 || rankLoads[r] < rankLoads[best] {
			best = r
		}
	}
	if best >= 0 {
		assigned[best] = append(assigned[best], e)
		rankLoads[best] += load
	}
}

// assignSlots assigns a rank's experts to slots. Those that the rank held stay in
// their slots.
func assignSlots(d *expertmap.Draft, held expertmap.Map, layer, rank int, experts []expertmap.Expert) {
	old := held.Rank(layer, rank)
	var free []int
	for slot, e := range old {
		if e != expertmap.Empty && slices.Contains(experts, e) {
			d.Set(layer, rank, slot, e)
		} else {
			free = append(free, slot)
		}
	}
	for _, e := range experts {
		if !slices.Contains(old, e) {
			d.Set(layer, rank, free[0], e)
			free = free[1:]
		}
	}
}

// empty returns a map without experts. It panics if the shape is not valid.
func empty(shape expertmap.Shape) expertmap.Map {
	m, err := expertmap.New(shape)
	if err != nil {
		panic(err)
	}
	return m
}

// aliveIndexes returns the indexes of the ranks that are alive.
func aliveIndexes(alive []bool) []int {
	var out []int
	for i, ok := range alive {
		if ok {
			out = append(out, i)
		}
	}
	return out
}

// item is an expert with its load and number of replicas.
type item struct {
	expert   int
	load     float64
	replicas int
}

// byLoadPerReplica is a heap with the largest load per replica at the top. Of
// equal loads, that of the expert with the lower index comes first.
type byLoadPerReplica []item

func (h byLoadPerReplica) Len() int { return len(h) }
func (h byLoadPerReplica) Less(i, j int) bool {
	a, b := h[i].load/float64(h[i].replicas), h[j].load/float64(h[j].replicas)
	return a > b || a == b && h[i].expert < h[j].expert
}
func (h byLoadPerReplica) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *byLoadPerReplica) Push(x any)   { *h = append(*h, x.(item)) }
func (h *byLoadPerReplica) Pop() any     { panic("baseline: items are never removed from the heap") }
