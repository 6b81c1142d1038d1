package placement

import "math"

// Parameters of a layer's estimate.
const (
	// slowGain and fastGain weigh the newest window in the two averages.
	slowGain = 0.0025
	fastGain = 0.1
	// varianceGain weighs the newest window in the variance and the correlation of
	// windows.
	varianceGain = 0.02
	// priorWindows is the number of windows that the first guess of the noise,
	// sampling alone, is worth.
	priorWindows = 4
	// jumpLimit and driftLimit are the mean squared deviations, in units of
	// their variance, from which a window or the fast average shows that the
	// mix has changed.
	jumpLimit  = 6
	driftLimit = 4
	// pairWindows is the time between two drifts that shows that the mix keeps
	// changing. A single one may be noise: it refreshes the estimate, but the
	// layer stays steady.
	pairWindows = 360
	// driftWindows is the number of windows that the fast average rests on.
	driftWindows = 19
	// maxCorrelation bounds what is believed of the correlation of windows.
	maxCorrelation = 0.8
)

// layerEstimate is the state of one layer; all slices are by expert.
type layerEstimate struct {
	slow, fast, variance []float64
	// last is the deviation of the last window from fast.
	last []float64
	// correlation is that of deviations in successive windows.
	correlation float64
	// samples is the number of windows that slow is worth, at most 2/slowGain-1.
	samples float64
	// modelled is the number of windows in variance and correlation, which
	// outlast a change of the mix.
	modelled float64
	// sinceDrift is the number of windows since the last drift.
	sinceDrift int64
	// steady is the number of windows since the mix changed.
	steady int64
}

// update takes one window's counts of the layer.
func (l *layerEstimate) update(counts []uint64) {
	tokens := float64(sum(counts))
	if l.samples == 0 {
		l.restart(counts, tokens)
		return
	}
	if l.deviation(counts, tokens) > jumpLimit {
		l.restart(counts, tokens)
		return
	}
	l.steady++
	l.sinceDrift++
	l.samples = min(l.samples+1, 2/slowGain-1)
	slow := max(slowGain, 1/l.samples)
	fast := max(fastGain, 1/l.samples)
	l.modelled++
	model := max(varianceGain, 1/(l.modelled+priorWindows))
	product := 0.0
	for i, n := range counts {
		x := float64(n) / tokens
		d := x - l.fast[i]
		product += d * l.last[i] / max(l.variance[i], math.SmallestNonzeroFloat32)
		l.last[i] = d
		floor := x * (1 - x) / tokens
		l.variance[i] = max(floor, l.variance[i]+model*(d*d-l.variance[i]))
		l.slow[i] += slow * (x - l.slow[i])
		l.fast[i] += fast * d
	}
	l.correlation += model * (product/float64(len(counts)) - l.correlation)
	if l.drift() > driftLimit {
		copy(l.slow, l.fast)
		l.samples = min(l.samples, driftWindows)
		if l.sinceDrift < pairWindows {
			l.steady = 0
		}
		l.sinceDrift = 0
	}
}

// restart makes the window the whole estimate. The variance of a window is kept
// if there is one: noise does not change with the mix.
func (l *layerEstimate) restart(counts []uint64, tokens float64) {
	l.samples = 1
	l.steady = 0
	for i, n := range counts {
		x := float64(n) / tokens
		relative := 0.0
		if l.slow[i] > 0 {
			relative = l.variance[i] / (l.slow[i] * l.slow[i])
		}
		l.slow[i], l.fast[i], l.last[i] = x, x, 0
		l.variance[i] = max(x*(1-x)/tokens, relative*x*x, 1/(tokens*tokens))
	}
}

// inflation is the factor by which correlation between windows raises the
// variance of their mean.
func (l *layerEstimate) inflation() float64 {
	c := min(max(l.correlation, 0), maxCorrelation)
	return (1 + c) / (1 - c)
}

// deviation is the mean squared deviation of the window from the slow average,
// in units of its variance.
func (l *layerEstimate) deviation(counts []uint64, tokens float64) float64 {
	total := 0.0
	for i, n := range counts {
		x := float64(n) / tokens
		floor := (x + l.slow[i]) / 2 / tokens
		v := max(l.variance[i], floor) * (1 + 1/l.samples)
		total += square(x-l.slow[i]) / max(v, math.SmallestNonzeroFloat32)
	}
	return total / float64(len(counts))
}

// drift is the mean squared deviation of the fast average from the slow one, in
// units of its variance.
func (l *layerEstimate) drift() float64 {
	scale := (fastGain/(2-fastGain) + 1/l.samples) * l.inflation()
	total := 0.0
	for i := range l.slow {
		v := max(l.variance[i]*scale, math.SmallestNonzeroFloat32)
		total += square(l.fast[i]-l.slow[i]) / v
	}
	return total / float64(len(l.slow))
}

func square(x float64) float64 { return x * x }

func sum(counts []uint64) uint64 {
	total := uint64(0)
	for _, n := range counts {
		total += n
	}
	return total
}
