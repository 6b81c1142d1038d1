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
// at a time to the expert with the largest load per replica until all slots are
// used. Then it assigns the replicas, largest first, to the least loaded rank
// with a free slot. share is ordered by layer, then expert. Experts that a rank
// holds in held already stay in their slots.
func GreedyPacking(held expertmap.Map, share []float64, alive []bool) expertmap.Map {
	shape := held.Shape()
	d := empty(shape).Edit()
	for layer := range shape.Layers {
		loads := share[layer*shape.Experts : (layer+1)*shape.Experts]
		for rank, experts := range pack(shape, loads, aliveIndexes(alive)) {
			place(d, held, layer, rank, experts)
		}
	}
	return d.Map()
}

// replicate returns the number of replicas of each expert.
func replicate(shape expertmap.Shape, loads []float64, ranks int) []int {
	h := make(byLoad, len(loads))
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

// pack returns the experts of each rank in one layer.
func pack(shape expertmap.Shape, loads []float64, ranks []int) [][]expertmap.Expert {
	replicas := replicate(shape, loads, len(ranks))
	order := make([]int, len(loads))
	for e := range order {
		order[e] = e
	}
	loadPerReplica := func(e int) float64 { return loads[e] / float64(replicas[e]) }
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(loadPerReplica(b), loadPerReplica(a)) })
	out := make([][]expertmap.Expert, shape.Ranks)
	total := make([]float64, shape.Ranks)
	// The first replica of every expert is assigned before any other replica, so
	// that each expert has a rank.
	for _, e := range order {
		put(out, total, ranks, shape.Slots, expertmap.Expert(e), loadPerReplica(e))
	}
	for _, e := range order {
		for range replicas[e] - 1 {
			put(out, total, ranks, shape.Slots, expertmap.Expert(e), loadPerReplica(e))
		}
	}
	return out
}

// put adds e to the least loaded rank that has a free slot and does not hold e. If
// there is no such rank, the replica is dropped.
func put(out [][]expertmap.Expert, total []float64, ranks []int, slots int, e expertmap.Expert, load float64) {
	best := -1
	for _, r := range ranks {
		if len(out[r]) == slots || slices.Contains(out[r], e) {
			continue
		}
		if best < 0 || total[r] < total[best] {
			best = r
		}
	}
	if best >= 0 {
		out[best] = append(out[best], e)
		total[best] += load
	}
}

// place assigns a rank's experts to slots. Those that it held stay in their slots.
func place(d *expertmap.Draft, held expertmap.Map, layer, rank int, experts []expertmap.Expert) {
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

// empty returns a map without experts. The shape must be that of a valid map.
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

// byLoad is a heap with the largest load per replica at the top. Of equal
// loads, the lower expert comes first.
type byLoad []item

func (h byLoad) Len() int { return len(h) }
func (h byLoad) Less(i, j int) bool {
	a, b := h[i].load/float64(h[i].replicas), h[j].load/float64(h[j].replicas)
	return a > b || a == b && h[i].expert < h[j].expert
}
func (h byLoad) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *byLoad) Push(x any)   { *h = append(*h, x.(item)) }
func (h *byLoad) Pop() any     { panic("baseline: items are never removed from the heap") }
