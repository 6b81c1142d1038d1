package placement

import (
	"container/heap"
	"fmt"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
)

// ObjectiveTerms are the terms of the objective for one map:
//
//	Value = Skew weight * mean skew over the horizon
//	      + Move weight * (loads + Regained/4) / experts of all layers
//
// Until the map is in force, for Delay, the skew over the horizon is that of the
// map in force before.
type ObjectiveTerms struct {
	// Skew is the skew of a step: the sum over the layers of the largest rank
	// load over the sum of the mean rank loads. It is at least 1.
	Skew float64
	// LowerBound is the physical bound of Skew for the same loads.
	LowerBound float64
	// Bytes go through the weight store.
	Bytes int64
	// Reused counts the slots that are taken into use again with weights that
	// are still loaded.
	Reused int
	// Delay is the time until the map is in force, at the rate that the policy
	// leaves to the change.
	Delay time.Duration
	// Colocated counts the replicated experts, over all layers, whose replicas
	// share one failure domain. It is not part of Value.
	Colocated int
	// Value is the objective.
	Value float64
}

// String gives the decision as one line for the log.
func (d Decision) String() string {
	return fmt.Sprintf("map %016x, %s: skew %.4f to %.4f, bound %.4f, objective %.4f to %.4f, "+
		"%d loads, %d bytes, %d regained, in force after %s, crowded experts %d to %d",
		d.Map.Hash(), d.Reason, d.Before.Skew, d.After.Skew, d.After.LowerBound,
		d.Before.Value, d.After.Value, len(d.Moves), d.After.Bytes, d.After.Reused,
		d.After.Delay.Round(time.Millisecond), d.Before.Colocated, d.After.Colocated)
}

// change is what terms needs to know of a change besides its map.
type change struct {
	loads, regained int
	// rate is what the loads may take of the store, in bytes per second.
	rate float64
	// before is nil for the map in force.
	before *ObjectiveTerms
}

// terms works out the terms of map m.
func (p Policy) terms(m expertmap.Map, in Input, c change) ObjectiveTerms {
	t := ObjectiveTerms{
		Skew:       Skew(m, in.Loads, in.Ranks),
		LowerBound: SkewLowerBound(m.Shape(), in.Loads, in.Ranks),
		Bytes:      int64(c.loads) * p.ExpertBytes,
		Reused:     c.regained,
		Colocated:  crowded(m, in.Ranks),
	}
	t.Delay = delay(t.Bytes, c.rate)
	mean := t.Skew
	if c.before != nil {
		late := min(1, t.Delay.Seconds()/p.Horizon.Seconds())
		mean = late*c.before.Skew + (1-late)*t.Skew
	}
	shape := m.Shape()
	cost := float64(c.loads) + regainCost*float64(c.regained)
	t.Value = p.Objective.Skew*mean + p.Objective.Move*cost/float64(shape.Layers*shape.Experts)
	return t
}

// delay is the time that bytes need at a rate in bytes per second.
func delay(bytes int64, rate float64) time.Duration {
	if bytes == 0 || rate <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / rate * float64(time.Second))
}

// Skew returns the skew of a step in which the experts have the given shares,
// over the ranks that are not lost: how many times as long the step takes as with
// evenly loaded ranks of usual pace. Experts that no rank holds count for
// nothing.
func Skew(m expertmap.Map, l LoadEstimates, ranks []Rank) float64 {
	shape := m.Shape()
	alive := float64(aliveRanks(ranks))
	total := 0.0
	for layer := range shape.Layers {
		total += maxLoad(m, layer, l.layer(layer, shape.Experts), ranks) * alive
	}
	return max(1, total/float64(shape.Layers))
}

// maxLoad is the largest rank load of a layer, each times the rank's pace.
func maxLoad(m expertmap.Map, layer int, share []float64, ranks []Rank) float64 {
	replicas := m.Replicas(layer)
	largest := 0.0
	for rank := range m.Shape().Ranks {
		load := 0.0
		for _, e := range m.Rank(layer, rank) {
			if e != expertmap.Empty {
				load += share[e] / float64(replicas[e])
			}
		}
		if rank < len(ranks) {
			load *= ranks[rank].pace()
		}
		largest = max(largest, load)
	}
	return largest
}

// SkewLowerBound returns the physical bound of the skew of a step: no map with the same
// slots does better. In each layer it is the larger of 1 and the least that any
// choice of replica counts leaves on the hottest replica, over the mean rank
// load; the bound of the step is the mean over the layers.
func SkewLowerBound(shape expertmap.Shape, l LoadEstimates, ranks []Rank) float64 {
	alive := aliveRanks(ranks)
	// Ranks that all finish at once share the work as their paces allow.
	fast := 0.0
	for _, r := range ranks {
		if !r.Lost {
			fast += 1 / r.pace()
		}
	}
	total := 0.0
	for layer := range shape.Layers {
		total += max(layerBound(l.layer(layer, shape.Experts), alive, shape.Slots), float64(alive)/fast)
	}
	return total / float64(shape.Layers)
}

// layerBound replicates the hottest expert until no slot is left or nothing is
// above the mean. This greedy choice minimises the largest load per replica.
func layerBound(share []float64, ranks, slots int) float64 {
	h := make(replicaHeap, 0, len(share))
	mean := 1 / float64(ranks)
	for _, x := range share {
		if x > mean {
			h = append(h, replicaLoad{load: x, replicas: 1})
		}
	}
	heap.Init(&h)
	for spare := ranks*slots - len(share); spare > 0 && len(h) > 0; spare-- {
		if h[0].each() <= mean || h[0].replicas == ranks {
			break
		}
		h[0].replicas++
		heap.Fix(&h, 0)
	}
	if len(h) == 0 {
		return 1
	}
	return max(1, h[0].each()/mean)
}

// replicaLoad is an expert's load with its number of replicas.
type replicaLoad struct {
	load     float64
	replicas int
}

func (r replicaLoad) each() float64 { return r.load / float64(r.replicas) }

// replicaHeap has the largest load per replica on top.
type replicaHeap []replicaLoad

func (h replicaHeap) Len() int           { return len(h) }
func (h replicaHeap) Less(i, j int) bool { return h[i].each() > h[j].each() }
func (h replicaHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *replicaHeap) Push(x any)        { *h = append(*h, x.(replicaLoad)) }
func (h *replicaHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// crowded counts the replicated experts whose replicas share a failure domain.
func crowded(m expertmap.Map, ranks []Rank) int {
	shape := m.Shape()
	n := 0
	for layer := range shape.Layers {
		first := make([]int, shape.Experts)
		replicas := make([]int, shape.Experts)
		spread := make([]bool, shape.Experts)
		for rank := range shape.Ranks {
			for _, e := range m.Rank(layer, rank) {
				if e == expertmap.Empty {
					continue
				}
				if replicas[e]++; replicas[e] == 1 {
					first[e] = rank
				} else if ranks[rank].FailureDomain != ranks[first[e]].FailureDomain {
					spread[e] = true
				}
			}
		}
		for e := range replicas {
			if replicas[e] > 1 && !spread[e] {
				n++
			}
		}
	}
	return n
}

func aliveRanks(ranks []Rank) int {
	n := 0
	for _, r := range ranks {
		if !r.Lost {
			n++
		}
	}
	return n
}
