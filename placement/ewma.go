package placement

import "math"

// EWMAEstimator turns load reports into Loads where demand shifts within seconds. It
// averages the windows with weights that fade with their age, and takes the
// scatter of the windows for the noise of the estimate: a window holds the
// requests of half a second, whose contents differ much more than sampling
// explains. It belongs to one goroutine.
type EWMAEstimator struct {
	layers, experts int
	// keep is the weight of a window's age of one window.
	keep float64
	// counts are faded sums of tokens by layer and expert, tokens their sum by
	// layer.
	counts []float64
	tokens []float64
	// scatter is the faded sum of squared deviations of windows' shares, weight
	// that of their number.
	scatter []float64
	weight  float64
	pending []float64
	windows int64
	age     int64
}

// NewEWMAEstimator returns a tracker for windows that fade by a factor of e within
// memory windows.
func NewEWMAEstimator(layers, experts int, memory float64) *EWMAEstimator {
	n := layers * experts
	return &EWMAEstimator{
		layers: layers, experts: experts, keep: math.Exp(-1 / memory),
		counts: make([]float64, n), tokens: make([]float64, layers), scatter: make([]float64, n), pending: make([]float64, n),
	}
}

// Observe adds one rank's counts to the window, by layer, then expert. It
// returns a *ReportError for a number of counts that the group does not have.
func (t *EWMAEstimator) Observe(rank int, counts []uint32) error {
	if len(counts) != len(t.pending) {
		return &ReportError{Rank: rank, Window: t.windows, Field: "number of counts"}
	}
	for i, n := range counts {
		t.pending[i] += float64(n)
	}
	return nil
}

// CloseWindow ends the window. One with too few tokens goes on.
func (t *EWMAEstimator) CloseWindow() {
	for layer := range t.layers {
		if total(t.pending[layer*t.experts:(layer+1)*t.experts]) < float64(minTokens*t.experts) {
			t.age++
			return
		}
	}
	t.weight = t.keep*t.weight + 1
	for layer := range t.layers {
		t.closeLayer(layer)
	}
	clear(t.pending)
	t.windows++
	t.age = 0
}

func (t *EWMAEstimator) closeLayer(layer int) {
	first, end := layer*t.experts, (layer+1)*t.experts
	tokens := total(t.pending[first:end])
	before := t.tokens[layer]
	t.tokens[layer] = t.keep*before + tokens
	for i := first; i < end; i++ {
		deviation := 0.0
		if before > 0 {
			deviation = t.pending[i]/tokens - t.counts[i]/before
		}
		t.scatter[i] = t.keep*t.scatter[i] + deviation*deviation
		t.counts[i] = t.keep*t.counts[i] + t.pending[i]
	}
}

// Estimates returns the estimates of now. The caller owns them.
func (t *EWMAEstimator) Estimates() LoadEstimates {
	l := LoadEstimates{
		Share: make([]float64, len(t.counts)), Variance: make([]float64, len(t.counts)),
		Windows: t.windows, Age: t.age,
	}
	// The variance of an average with fading weights, as a part of a window's.
	part := (1 - t.keep) / (1 + t.keep)
	for i := range t.counts {
		l.Share[i] = t.counts[i] / max(t.tokens[i/t.experts], 1)
		l.Variance[i] = t.scatter[i] / max(t.weight, 1) * part
	}
	return l
}

func total(values []float64) float64 {
	sum := 0.0
	for _, x := range values {
		sum += x
	}
	return sum
}
