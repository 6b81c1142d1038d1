package placement

import "math"

// LoadEstimates holds estimates of the load of the experts: for each layer the
// share of each expert in the layer's load. The shares of a layer add up to 1.
// The skew depends only on shares, so that the total load does not matter, and
// neither does the missing report of a rank.
type LoadEstimates struct {
	// Share is ordered by layer, then expert.
	Share []float64
	// Variance is the variance of the estimates in Share, in the same order.
	Variance []float64
	// Steady is the number of windows since the mix of each layer last changed.
	// It may be nil; then no layer counts as steady.
	Steady []int64
	// Windows is the number of windows that the estimates are based on.
	Windows int64
	// Age is the number of windows since the last one with reports.
	Age int64
}

// layer returns the shares of one layer.
func (l LoadEstimates) layer(layer, experts int) []float64 {
	return l.Share[layer*experts : (layer+1)*experts]
}

// Report holds the token counts of one rank in one window. All ranks step
// together, so that a window is a range of step numbers and needs no clock. A
// rank counts the tokens that its own router sends to each expert, on whichever
// rank the expert is. So every report is a sample of the same mix, and any
// number of reports of a window is sufficient.
type Report struct {
	Rank   int
	Window int64
	// Counts are numbers of tokens, ordered by layer, then expert.
	Counts []uint32
}

// Parameters of the Estimator.
const (
	// AllowedLateness is the number of windows by which a report may be late.
	AllowedLateness = 2
	// minTokensPerExpert is the least mean number of tokens per expert of a
	// layer in a window. The tokens of a window with fewer are added to the
	// next one.
	minTokensPerExpert = 16
)

// Estimator computes LoadEstimates from load reports, which may be late,
// duplicated or missing. It maintains a slow average that noise hardly changes,
// and restarts the average when the mix of a layer changes by more than noise
// explains. It is not safe for concurrent use.
type Estimator struct {
	layers, experts int
	// ended is the last window that has ended.
	ended int64
	// seen holds, for each rank, the windows with a report. A window is stored
	// at its number modulo seenWindows.
	seen [][seenWindows]int64
	// pending are the counts since the last window was closed.
	pending []uint64
	layer   []layerEstimate
	windows int64
	age     int64
	dropped int64
}

// seenWindows is the number of windows for which Observe accepts reports.
const seenWindows = AllowedLateness + 2

// NewEstimator returns an estimator for a group. ended is the last window that
// has ended so far.
func NewEstimator(layers, experts, ranks int, ended int64) *Estimator {
	e := &Estimator{layers: layers, experts: experts, ended: ended}
	e.Resize(ranks)
	e.pending = make([]uint64, layers*experts)
	e.layer = make([]layerEstimate, layers)
	for i := range e.layer {
		e.layer[i] = layerEstimate{
			slow:          make([]float64, experts),
			fast:          make([]float64, experts),
			variance:      make([]float64, experts),
			lastDeviation: make([]float64, experts),
		}
	}
	return e
}

// Resize starts a group epoch with another set of ranks. The estimates are
// kept, but no layer counts as steady, since every placement has to be
// reconsidered.
func (e *Estimator) Resize(ranks int) {
	e.seen = make([][seenWindows]int64, ranks)
	for rank := range e.seen {
		for i := range e.seen[rank] {
			e.seen[rank][i] = math.MinInt64
		}
	}
	for i := range e.layer {
		e.layer[i].steady = 0
	}
}

// Observe adds a report. It ignores a duplicate, and a report that is more than
// AllowedLateness windows late. It returns a *ReportError if the rank, the
// number of counts or the window does not fit the group.
func (e *Estimator) Observe(r Report) error {
	switch {
	case r.Rank < 0 || r.Rank >= len(e.seen):
		return &ReportError{Rank: r.Rank, Window: r.Window, Field: "rank"}
	case len(r.Counts) != e.layers*e.experts:
		return &ReportError{Rank: r.Rank, Window: r.Window, Field: "number of counts"}
	case r.Window < 0 || r.Window > e.ended+1:
		return &ReportError{Rank: r.Rank, Window: r.Window, Field: "window"}
	}
	seen := &e.seen[r.Rank][r.Window%seenWindows]
	if r.Window <= e.ended-AllowedLateness || *seen == r.Window {
		e.dropped++
		return nil
	}
	*seen = r.Window
	for i, n := range r.Counts {
		e.pending[i] += uint64(n)
	}
	return nil
}

// Dropped returns the number of reports that were duplicates or too late.
func (e *Estimator) Dropped() int64 { return e.dropped }

// CloseWindow ends the given window and adds the reports since the last call to
// the estimates. Reports that arrive later count for the next window, as they
// are samples of nearly the same mix.
func (e *Estimator) CloseWindow(ended int64) {
	if ended <= e.ended {
		return
	}
	e.age += ended - e.ended
	e.ended = ended
	if !e.hasEnoughTokens() {
		return
	}
	for i := range e.layer {
		e.layer[i].update(e.pending[i*e.experts : (i+1)*e.experts])
	}
	clear(e.pending)
	e.windows++
	e.age = 0
}

// hasEnoughTokens reports whether every layer has enough tokens for a window.
func (e *Estimator) hasEnoughTokens() bool {
	for i := range e.layers {
		if sum(e.pending[i*e.experts:(i+1)*e.experts]) < uint64(minTokensPerExpert*e.experts) {
			return false
		}
	}
	return true
}

// Estimates returns the current estimates. The caller owns them.
func (e *Estimator) Estimates() LoadEstimates {
	l := LoadEstimates{
		Share:    make([]float64, 0, e.layers*e.experts),
		Variance: make([]float64, 0, e.layers*e.experts),
		Windows:  e.windows,
		Age:      e.age,
	}
	for i := range e.layer {
		l.Steady = append(l.Steady, e.layer[i].steady)
		l.Share = append(l.Share, e.layer[i].slow...)
		for _, v := range e.layer[i].variance {
			l.Variance = append(l.Variance, v*e.layer[i].varianceInflation()/max(1, e.layer[i].slowWindows))
		}
	}
	return l
}
