package placement

import "math"

// EWMAEstimator computes LoadEstimates from load reports when demand shifts
// within seconds. The estimate is an exponentially weighted moving average of
// the windows. The noise of the estimate is derived from the differences
// between windows: a window is so short that the requests in successive windows
// differ much more than sampling explains. It is not safe for concurrent use.
type EWMAEstimator struct {
	layers, experts int
	// decay is the factor by which the weight of a window decreases with each
	// new window.
	decay float64
	// counts are the weighted sums of tokens by layer and expert, tokens those
	// by layer.
	counts []float64
	tokens []float64
	// squaredDeviations is the weighted sum of the squared deviations of the
	// windows' shares, and windowWeight the weighted number of windows.
	squaredDeviations []float64
	windowWeight      float64
	pending           []float64
	windows           int64
	age               int64
}

// NewEWMAEstimator returns an estimator in which the weight of a window
// decreases by a factor of e within memory windows.
func NewEWMAEstimator(layers, experts int, memory float64) *EWMAEstimator {
	n := layers * experts
	return &EWMAEstimator{
		layers: layers, experts: experts, decay: math.Exp(-1 / memory),
		counts: make([]float64, n), tokens: make([]float64, layers), squaredDeviations: make([]float64, n), pending: make([]float64, n),
	}
}

// Observe adds the counts of one rank to the window, ordered by layer, then
// expert. It returns a *ReportError if the number of counts does not fit the
// group.
func (e *EWMAEstimator) Observe(rank int, counts []uint32) error {
	if len(counts) != len(e.pending) {
		return &ReportError{Rank: rank, Window: e.windows, Field: "number of counts"}
	}
	for i, n := range counts {
		e.pending[i] += float64(n)
	}
	return nil
}

// CloseWindow ends the window. A window with too few tokens is continued.
func (e *EWMAEstimator) CloseWindow() {
	for layer := range e.layers {
		if total(e.pending[layer*e.experts:(layer+1)*e.experts]) < float64(minTokensPerExpert*e.experts) {
			e.age++
			return
		}
	}
	e.windowWeight = e.decay*e.windowWeight + 1
	for layer := range e.layers {
		e.closeLayer(layer)
	}
	clear(e.pending)
	e.windows++
	e.age = 0
}

func (e *EWMAEstimator) closeLayer(layer int) {
	first, end := layer*e.experts, (layer+1)*e.experts
	tokens := total(e.pending[first:end])
	before := e.tokens[layer]
	e.tokens[layer] = e.decay*before + tokens
	for i := first; i < end; i++ {
		deviation := 0.0
		if before > 0 {
			deviation = e.pending[i]/tokens - e.counts[i]/before
		}
		e.squaredDeviations[i] = e.decay*e.squaredDeviations[i] + deviation*deviation
		e.counts[i] = e.decay*e.counts[i] + e.pending[i]
	}
}

// Estimates returns the current estimates. The caller owns them.
func (e *EWMAEstimator) Estimates() LoadEstimates {
	l := LoadEstimates{
		Share: make([]float64, len(e.counts)), Variance: make([]float64, len(e.counts)),
		Windows: e.windows, Age: e.age,
	}
	// The ratio of the variance of the weighted average to that of one window.
	ratio := (1 - e.decay) / (1 + e.decay)
	for i := range e.counts {
		l.Share[i] = e.counts[i] / max(e.tokens[i/e.experts], 1)
		l.Variance[i] = e.squaredDeviations[i] / max(e.windowWeight, 1) * ratio
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
