package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
)

const (
	// batchStep is the factor between the numbers of loads per rank of two batches
	// that are compared.
	batchStep = 2
	// shortLoadShare is the part of the switch time below which the time of a batch's
	// loads hardly matters, so that smaller batches are not tried.
	shortLoadShare = 0.25
)

// bestBatch returns the decision with the least objective among batches with
// different limits of weight loads per rank. A small batch is in force sooner, a
// large one lowers the skew further. Small batches are tried first: they take the
// least processor time, and after a shift of demand, when the decision is urgent, the
// objective soon rises with the size of the batch.
func (s *search) bestBatch(reason Reason) (Decision, error) {
	var best Decision
	for _, limit := range s.batchLimits() {
		s.draft = s.base.Edit()
		s.rebalanceWithin(limit)
		d, err := s.decision(reason)
		if err != nil {
			return Decision{}, err
		}
		if best.Change && d.After.Value > best.After.Value {
			break
		}
		if best.Reason == "" || d.After.Value < best.After.Value {
			best = d
		}
	}
	if best.Change && !s.resized && best.After.Value >= best.Before.Value {
		best = unchanged(best, s.base)
	}
	return best, nil
}

// batchLimits returns the limits of weight loads per rank of the batches that are
// compared, the least first.
func (s *search) batchLimits() []int {
	var limits []int
	for limit := s.policy.MaxLoadsPerRank; ; limit /= batchStep {
		limits = append(limits, limit)
		loading := time.Duration(limit) * s.policy.LoadTime
		if limit <= 1 || loading.Seconds() < shortLoadShare*s.policy.SwitchTime.Seconds() {
			break
		}
	}
	slices.Reverse(limits)
	return limits
}

// unchanged returns the decision to keep the map.
func unchanged(d Decision, base expertmap.Map) Decision {
	return Decision{Map: base, Before: d.Before, After: d.Before, Reason: ReasonNoChange}
}

// layerRounds is the number of times that each layer is searched for one batch.
// In the first round no layer may use more than its part of the loads, so that
// the first layers do not use up the loads of all ranks.
const layerRounds = 2

// rebalanceWithin improves the layers one after the other, the most skewed first.
// No rank makes more than limit weight loads in all layers together.
func (s *search) rebalanceWithin(limit int) {
	shape := s.group.shape
	s.batchLimit = limit
	s.group.loadsLeft = slices.Repeat([]int{limit}, shape.Ranks)
	defer func() { s.group.loadsLeft = nil }()
	total := limit * shape.Ranks
	for round := range layerRounds {
		part := total
		if round == 0 {
			part = (total + shape.Layers - 1) / shape.Layers
		}
		for _, layer := range s.layersBySkew() {
			s.improveFurther(layer, part)
		}
	}
}

// layersBySkew returns the layers of the draft, those with the largest rank load
// first.
func (s *search) layersBySkew() []int {
	shape := s.group.shape
	layers := make([]int, shape.Layers)
	peaks := make([]float64, shape.Layers)
	for layer := range layers {
		layers[layer] = layer
		s.resumeLayer(layer)
		_, peaks[layer], _ = s.layer.hottest()
	}
	slices.SortStableFunc(layers, func(a, b int) int { return cmp.Compare(peaks[b], peaks[a]) })
	return layers
}

// resumeLayer starts the search of one layer from the draft.
func (s *search) resumeLayer(layer int) {
	s.startLayer(layer)
	s.layer.setUse(s.draft.Layer(layer))
}

// improveFurther searches a layer from its placement in the draft. It makes at
// most part weight loads for the layer, and no more than loadsLeft at each rank.
func (s *search) improveFurther(layer, part int) {
	s.resumeLayer(layer)
	// The loads of this layer that the draft contains count again.
	for rank := range s.group.loadsLeft {
		s.group.loadsLeft[rank] += s.layer.rankLoads(rank)
	}
	if p, ok := s.improveLayer(layer, part); ok {
		s.setLayer(layer, p.use)
	}
	s.resumeLayer(layer)
	for rank := range s.group.loadsLeft {
		s.group.loadsLeft[rank] -= s.layer.rankLoads(rank)
	}
}
