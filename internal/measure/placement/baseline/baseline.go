// Package baseline holds the two plain ways of placing experts that the product's
// policy is compared with: the static contiguous map and a full re-solve by
// greedy replication and packing. Neither looks at the cost of a change.
package baseline

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
)

// Static returns the contiguous map over the ranks that are alive.
func Static(shape expertmap.Shape, alive []bool) expertmap.Map {
	m := empty(shape)
	d := m.Edit()
	ranks := indexes(alive)
	for layer := range shape.Layers {
		for e := range shape.Experts {
			i := e * len(ranks) / shape.Experts
			first := (i*shape.Experts + len(ranks) - 1) / len(ranks)
			d.Set(layer, ranks[i], e-first, expertmap.Expert(e))
		}
	}
	return d.Map()
}

// GreedyPacking places every layer anew: it gives each slot to the expert with the
// largest load per replica, then puts the replicas, largest first, on the rank
// with the least load that has room. share is ordered by layer, then expert.
// What a rank held already in held stays in its slot.
func GreedyPacking(held expertmap.Map, share []float64, alive []bool) expertmap.Map {
	shape := held.Shape()
	d := empty(shape).Edit()
	for layer := range shape.Layers {
		loads := share[layer*shape.Experts : (layer+1)*shape.Experts]
		for rank, experts := range pack(shape, loads, indexes(alive)) {
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

// pack returns the experts of each rank.
func pack(shape expertmap.Shape, loads []float64, ranks []int) [][]expertmap.Expert {
	replicas := replicate(shape, loads, len(ranks))
	order := make([]int, len(loads))
	for e := range order {
		order[e] = e
	}
	each := func(e int) float64 { return loads[e] / float64(replicas[e]) }
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(each(b), each(a)) })
	out := make([][]expertmap.Expert, shape.Ranks)
	total := make([]float64, shape.Ranks)
	// A first replica of every expert is placed before the others, so that none
	// is left without a rank.
	for _, e := range order {
		put(out, total, ranks, shape.Slots, expertmap.Expert(e), each(e))
	}
	for _, e := range order {
		for range replicas[e] - 1 {
			put(out, total, ranks, shape.Slots, expertmap.Expert(e), each(e))
		}
	}
	return out
}

// put adds e to the least loaded rank with room that does not hold it. A replica
// for which there is none is left out.
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

// place writes a rank's experts; those that it held stay in their slots.
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

// empty returns a map without experts. The shape is that of a valid map.
func empty(shape expertmap.Shape) expertmap.Map {
	m, err := expertmap.New(shape)
	if err != nil {
		panic(err)
	}
	return m
}

func indexes(alive []bool) []int {
	var out []int
	for i, ok := range alive {
		if ok {
			out = append(out, i)
		}
	}
	return out
}

// item is an expert with its load and its number of replicas.
type item struct {
	expert   int
	load     float64
	replicas int
}

// byLoad has the largest load per replica on top, the lower expert first.
type byLoad []item

func (h byLoad) Len() int { return len(h) }
func (h byLoad) Less(i, j int) bool {
	a, b := h[i].load/float64(h[i].replicas), h[j].load/float64(h[j].replicas)
	return a > b || a == b && h[i].expert < h[j].expert
}
func (h byLoad) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *byLoad) Push(x any)   { *h = append(*h, x.(item)) }
func (h *byLoad) Pop() any     { panic("items are never taken out") }
