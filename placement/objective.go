package placement

import (
	"container/heap"
	"fmt"
	"math"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
)

// ObjectiveTerms holds the terms of the objective for one map:
//
//	Value = Skew weight * (mean skew + lateWeight * mean share of late steps) over the horizon
//	      + Move weight * (weight loads + Reused/4) / experts of all layers
//
// Until the map comes into force, after Delay, the skew of the previous map
// counts for the mean over the horizon.
type ObjectiveTerms struct {
	// Skew is the skew of a step: the sum over the layers of the largest rank
	// load, divided by the sum of the mean rank loads. It is at least 1.
	Skew float64
	// LowerBound is the lower bound of Skew for the same loads.
	LowerBound float64
	// Bytes is the number of bytes to read from the weight store.
	Bytes int64
	// Reused is the number of slots that are used again with weights that are
	// still loaded.
	Reused int
	// Delay is the time until the map comes into force, at the load rate that
	// the policy grants to the change.
	Delay time.Duration
	// LoadTime is the part of Delay in which weights are loaded.
	LoadTime time.Duration
	// Late is the expected share of late steps over the horizon.
	Late float64
	// Colocated is the number of replicated experts, over all layers, whose
	// replicas are all in one failure domain. It is not part of Value.
	Colocated int
	// Value is the value of the objective; less is better.
	Value float64
}

// String returns the decision as one line for the log.
func (d Decision) String() string {
	return fmt.Sprintf("map %016x, %s: skew %.4f to %.4f, bound %.4f, objective %.4f to %.4f, "+
		"%d loads, %d bytes, %d regained, in force after %s, crowded experts %d to %d",
		d.Map.Hash(), d.Reason, d.Before.Skew, d.After.Skew, d.After.LowerBound,
		d.Before.Value, d.After.Value, len(d.Moves), d.After.Bytes, d.After.Reused,
		d.After.Delay.Round(time.Millisecond), d.Before.Colocated, d.After.Colocated)
}

// changeInfo holds what terms needs besides the map.
type changeInfo struct {
	loads, reused int
	// rankLoads is the largest number of loads of a rank.
	rankLoads int
	// withoutMove is true if the map stays as it is.
	withoutMove bool
	// rate is the load rate of the change, in bytes per second.
	rate float64
	// before is nil for the map in force.
	before *ObjectiveTerms
}

// terms returns the terms of map m.
func (p Policy) terms(m expertmap.Map, in Input, c changeInfo) ObjectiveTerms {
	t := ObjectiveTerms{
		Skew:       Skew(m, in.Loads, in.Ranks),
		LowerBound: SkewLowerBound(m.Shape(), in.Loads, in.Ranks),
		Bytes:      int64(c.loads) * p.ExpertBytes,
		Reused:     c.reused,
		Colocated:  colocated(m, in.Ranks),
	}
	t.Delay = transferTime(t.Bytes, c.rate)
	mean := t.Skew
	t.Late = p.lateShare(t.Skew)
	if c.before != nil {
		mean = p.meanSkew(&t, c)
	}
	shape := m.Shape()
	cost := float64(c.loads) + reuseCost*float64(c.reused)
	t.Value = p.Objective.Skew*(mean+lateWeight*t.Late) + p.Objective.Move*cost/float64(shape.Layers*shape.Experts)
	return t
}

const (
	// lateWeight is the weight of late steps in units of skew. One late step makes
	// all answers late that are being decoded.
	lateWeight = 20
	// lateSpread is the relative deviation of the times of steps with the same skew,
	// which prompts of different sizes cause.
	lateSpread = 0.06
)

// lateShare returns the expected share of late steps at a skew.
func (p Policy) lateShare(skew float64) float64 {
	if p.TargetStep <= 0 {
		return 0
	}
	step := p.StepTime.Seconds() * (1 + p.SkewedPart*(skew-1))
	return 1 / (1 + math.Exp((1-step/p.TargetStep.Seconds())/lateSpread))
}

// slowedSkew returns the skew at which a step takes as long as one with the given
// skew while weights are loaded.
func (p Policy) slowedSkew(skew float64) float64 {
	if p.SkewedPart <= 0 {
		return skew * (1 + p.LoadSlowdown)
	}
	step := (1 + p.SkewedPart*(skew-1)) * (1 + p.LoadSlowdown)
	return 1 + (step-1)/p.SkewedPart
}

// meanSkew returns the mean skew over the horizon and sets the delay of the change
// and its late steps. While weights are loaded, a step takes as long as with a higher
// skew.
func (p Policy) meanSkew(t *ObjectiveTerms, c changeInfo) float64 {
	before, horizon := c.before.Skew, p.Horizon.Seconds()
	t.LoadTime = t.Delay
	if p.LoadTime > 0 {
		t.LoadTime = time.Duration(c.rankLoads) * p.LoadTime
		t.Delay = t.LoadTime + p.SwitchTime
	}
	if c.withoutMove {
		t.Delay, t.LoadTime = 0, 0
	}
	loading := min(1, t.LoadTime.Seconds()/horizon)
	waiting := min(1, t.Delay.Seconds()/horizon) - loading
	after := 1 - loading - waiting
	slowed := p.slowedSkew(before)
	t.Late = loading*p.lateShare(slowed) + waiting*p.lateShare(before) + after*p.lateShare(t.Skew)
	return loading*slowed + waiting*before + after*t.Skew
}

// maxLoadsOfRank returns the largest number of weight loads of one rank.
func maxLoadsOfRank(moves []expertmap.Move, ranks int) int {
	loads, most := make([]int, ranks), 0
	for _, m := range moves {
		loads[m.Rank]++
		most = max(most, loads[m.Rank])
	}
	return most
}

// transferTime returns the time to load bytes at a rate in bytes per second.
func transferTime(bytes int64, rate float64) time.Duration {
	if bytes == 0 || rate <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / rate * float64(time.Second))
}

// Skew returns the skew of a step for the given load estimates: the ratio of the
// step's time to the time with evenly loaded ranks of normal speed. Lost ranks
// are left out. Experts that no rank holds do not count.
func Skew(m expertmap.Map, l LoadEstimates, ranks []Rank) float64 {
	shape := m.Shape()
	if len(l.Share) == 0 {
		// Without requests nothing is known about the demand.
		return 1
	}
	alive := float64(countAlive(ranks))
	total := 0.0
	for layer := range shape.Layers {
		total += maxLoad(m, layer, l.layer(layer, shape.Experts), ranks) * alive
	}
	return max(1, total/float64(shape.Layers))
}

// maxLoad returns the largest load of a rank in a layer, including the ranks'
// slowdown.
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
			load *= ranks[rank].slowdown()
		}
		largest = max(largest, load)
	}
	return largest
}

// SkewLowerBound returns a lower bound of the skew of a step for all maps with
// the same slots. For a layer it is the least load of the hottest replica over
// all choices of replica counts, divided by the mean rank load, and at least 1.
// It is also at least the skew of work that is divided in proportion to the
// speeds of the ranks. The bound of the step is the mean over the layers.
func SkewLowerBound(shape expertmap.Shape, l LoadEstimates, ranks []Rank) float64 {
	alive := countAlive(ranks)
	// If all ranks finish at the same time, each takes work in proportion to
	// its speed.
	totalSpeed := 0.0
	for _, r := range ranks {
		if !r.Lost {
			totalSpeed += 1 / r.slowdown()
		}
	}
	total := 0.0
	for layer := range shape.Layers {
		total += max(layerBound(l.layer(layer, shape.Experts), alive, shape.Slots), float64(alive)/totalSpeed)
	}
	return total / float64(shape.Layers)
}

// layerBound replicates the expert with the largest load per replica until no
// slot is left or no replica is above the mean. This greedy choice minimises
// the largest load per replica.
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
		if h[0].perReplica() <= mean || h[0].replicas == ranks {
			break
		}
		h[0].replicas++
		heap.Fix(&h, 0)
	}
	if len(h) == 0 {
		return 1
	}
	return max(1, h[0].perReplica()/mean)
}

// replicaLoad is the load of an expert and its number of replicas.
type replicaLoad struct {
	load     float64
	replicas int
}

func (r replicaLoad) perReplica() float64 { return r.load / float64(r.replicas) }

// replicaHeap is a max-heap by the load per replica.
type replicaHeap []replicaLoad

func (h replicaHeap) Len() int           { return len(h) }
func (h replicaHeap) Less(i, j int) bool { return h[i].perReplica() > h[j].perReplica() }
func (h replicaHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *replicaHeap) Push(x any)        { *h = append(*h, x.(replicaLoad)) }
func (h *replicaHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// colocated returns the number of replicated experts whose replicas are all in
// one failure domain.
func colocated(m expertmap.Map, ranks []Rank) int {
	shape := m.Shape()
	n := 0
	for layer := range shape.Layers {
		first := make([]int, shape.Experts)
		replicas := make([]int, shape.Experts)
		separated := make([]bool, shape.Experts)
		for rank := range shape.Ranks {
			for _, e := range m.Rank(layer, rank) {
				if e == expertmap.Empty {
					continue
				}
				if replicas[e]++; replicas[e] == 1 {
					first[e] = rank
				} else if ranks[rank].FailureDomain != ranks[first[e]].FailureDomain {
					separated[e] = true
				}
			}
		}
		for e := range replicas {
			if replicas[e] > 1 && !separated[e] {
				n++
			}
		}
	}
	return n
}

func countAlive(ranks []Rank) int {
	n := 0
	for _, r := range ranks {
		if !r.Lost {
			n++
		}
	}
	return n
}
