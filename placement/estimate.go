package placement

import "math"

// LoadEstimates are load estimates: for each layer the share of each expert in the
// layer's load. The shares of a layer add up to 1. Skew depends on shares only,
// so that the total load, and with it a rank's missing report, does not matter.
type LoadEstimates struct {
	// Share is ordered by layer, then expert.
	Share []float64
	// Variance is that of the estimate in Share, in the same order.
	Variance []float64
	// Steady is, for each layer, the number of windows since its mix was last
	// seen to change. It may be nil: then no layer counts as steady.
	Steady []int64
	// Windows is the number of windows that the estimates rest on.
	Windows int64
	// Age is the number of windows since the last one that had reports.
	Age int64
}

// layer returns the shares of one layer.
func (l LoadEstimates) layer(layer, experts int) []float64 {
	return l.Share[layer*experts : (layer+1)*experts]
}

// Report is what one rank has counted in one window. All ranks step together, so
// that a window is a range of step numbers and needs no clock. A rank counts
// the tokens that its own router sends to each expert, wherever the expert is;
// so each report is a sample of the same mix, and any number of reports of a
// window will do.
type Report struct {
	Rank   int
	Window int64
	// Counts are tokens, ordered by layer, then expert.
	Counts []uint32
}

// Parameters of the Estimator.
const (
	// AllowedLateness is the number of windows that a report may come late.
	AllowedLateness = 2
	// minTokens is the least number of tokens for each expert of a layer, on
	// average, that make a window; fewer are added to the next window.
	minTokens = 16
)

// Estimator turns load reports that come late, twice or not at all into Loads.
// It keeps a slow average, which noise hardly moves, and starts it afresh when a
// layer's mix changes by more than noise explains. It belongs to one goroutine.
type Estimator struct {
	layers, experts int
	// ended is the last window that has ended.
	ended int64
	// seen holds for each rank the windows whose reports were taken, each at its
	// number modulo the ring's size.
	seen [][seenWindows]int64
	// pending are the counts since the last window was closed.
	pending []uint64
	layer   []layerEstimate
	windows int64
	age     int64
	dropped int64
}

// seenWindows covers every window that Observe accepts.
const seenWindows = AllowedLateness + 2

// NewEstimator returns an estimator for a group; ended is the last window that
// has ended by now.
func NewEstimator(layers, experts, ranks int, ended int64) *Estimator {
	e := &Estimator{layers: layers, experts: experts, ended: ended}
	e.Resize(ranks)
	e.pending = make([]uint64, layers*experts)
	e.layer = make([]layerEstimate, layers)
	for i := range e.layer {
		e.layer[i] = layerEstimate{
			slow:     make([]float64, experts),
			fast:     make([]float64, experts),
			variance: make([]float64, experts),
			last:     make([]float64, experts),
		}
	}
	return e
}

// Resize begins a group epoch with another set of ranks. The estimates stay, but
// no layer counts as steady, since the placement has to be looked at again.
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

// Observe takes a report. A report that comes a second time, or more than
// Lateness windows late, counts for nothing. It returns a *ReportError for a
// rank, a number of counts or a window that the group does not have.
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

// Dropped returns how many reports came twice or too late.
func (e *Estimator) Dropped() int64 { return e.dropped }

// CloseWindow says that the given window has ended and moves the reports that have
// come since the last call into the estimates. Reports that come later count
// with the next window: they are samples of nearly the same mix.
func (e *Estimator) CloseWindow(ended int64) {
	if ended <= e.ended {
		return
	}
	e.age += ended - e.ended
	e.ended = ended
	if !e.enough() {
		return
	}
	for i := range e.layer {
		e.layer[i].update(e.pending[i*e.experts : (i+1)*e.experts])
	}
	clear(e.pending)
	e.windows++
	e.age = 0
}

// enough reports whether every layer has enough tokens for a window.
func (e *Estimator) enough() bool {
	for i := range e.layers {
		if sum(e.pending[i*e.experts:(i+1)*e.experts]) < uint64(minTokens*e.experts) {
			return false
		}
	}
	return true
}

// Estimates returns the estimates of now. The caller owns them.
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
			l.Variance = append(l.Variance, v*e.layer[i].inflation()/max(1, e.layer[i].samples))
		}
	}
	return l
}
