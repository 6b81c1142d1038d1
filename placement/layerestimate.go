package placement

import "math"

// Parameters of the estimate of a layer.
const (
	// slowGain and fastGain are the weights of the newest window in the two
	// averages.
	slowGain = 0.0025
	fastGain = 0.1
	// varianceGain is the weight of the newest window in the variance and the
	// correlation of windows.
	varianceGain = 0.02
	// priorWindows is the weight, in windows, of the initial estimate of the
	// noise, which assumes sampling noise only.
	priorWindows = 4
	// jumpLimit and driftLimit are limits of the mean squared deviation, in
	// units of its variance. Above jumpLimit a window, and above driftLimit the
	// fast average, shows that the mix has changed.
	jumpLimit  = 6
	driftLimit = 4
	// repeatedDriftWindows is the number of windows between two drifts below
	// which the mix counts as changing. A single drift may be noise: it refreshes the
	// estimate, but the layer stays steady.
	repeatedDriftWindows = 360
	// fastWindows is the number of windows that the fast average is based on.
	fastWindows = 19
	// maxCorrelation bounds the estimated correlation of windows.
	maxCorrelation = 0.8
)

// layerEstimate is the estimate of one layer. All slices are by expert.
type layerEstimate struct {
	slow, fast, variance []float64
	// lastDeviation is the deviation of the last window from fast.
	lastDeviation []float64
	// correlation is the correlation of the deviations of successive windows.
	correlation float64
	// slowWindows is the number of windows that slow is based on, at most
	// 2/slowGain-1.
	slowWindows float64
	// noiseWindows is the number of windows in variance and correlation, which
	// are kept when the mix changes.
	noiseWindows float64
	// sinceDrift is the number of windows since the last drift.
	sinceDrift int64
	// steady is the number of windows since the mix changed.
	steady int64
}

// update adds the counts of one window.
func (l *layerEstimate) update(counts []uint64) {
	tokens := float64(sum(counts))
	if l.slowWindows == 0 {
		l.restart(counts, tokens)
		return
	}
	if l.deviation(counts, tokens) > jumpLimit {
		l.restart(counts, tokens)
		return
	}
	l.steady++
	l.sinceDrift++
	l.slowWindows = min(l.slowWindows+1, 2/slowGain-1)
	slow := max(slowGain, 1/l.slowWindows)
	fast := max(fastGain, 1/l.slowWindows)
	l.noiseWindows++
	noiseGain := max(varianceGain, 1/(l.noiseWindows+priorWindows))
	product := 0.0
	for i, n := range counts {
		x := float64(n) / tokens
		d := x - l.fast[i]
		product += d * l.lastDeviation[i] / max(l.variance[i], math.SmallestNonzeroFloat32)
		l.lastDeviation[i] = d
		floor := x * (1 - x) / tokens
		l.variance[i] = max(floor, l.variance[i]+noiseGain*(d*d-l.variance[i]))
		l.slow[i] += slow * (x - l.slow[i])
		l.fast[i] += fast * d
	}
	l.correlation += noiseGain * (product/float64(len(counts)) - l.correlation)
	if l.drift() > driftLimit {
		copy(l.slow, l.fast)
		l.slowWindows = min(l.slowWindows, fastWindows)
		if l.sinceDrift < repeatedDriftWindows {
			l.steady = 0
		}
		l.sinceDrift = 0
	}
}

// restart replaces the estimate by the window. The variance of a window is kept
// if there is one, because noise does not change with the mix.
func (l *layerEstimate) restart(counts []uint64, tokens float64) {
	l.slowWindows = 1
	l.steady = 0
	for i, n := range counts {
		x := float64(n) / tokens
		relative := 0.0
		if l.slow[i] > 0 {
			relative = l.variance[i] / (l.slow[i] * l.slow[i])
		}
		l.slow[i], l.fast[i], l.lastDeviation[i] = x, x, 0
		l.variance[i] = max(x*(1-x)/tokens, relative*x*x, 1/(tokens*tokens))
	}
}

// varianceInflation returns the factor by which the correlation of windows
// increases the variance of their mean.
func (l *layerEstimate) varianceInflation() float64 {
	c := min(max(l.correlation, 0), maxCorrelation)
	return (1 + c) / (1 - c)
}

// deviation returns the mean squared deviation of the window from the slow
// average, in units of its variance.
func (l *layerEstimate) deviation(counts []uint64, tokens float64) float64 {
	total := 0.0
	for i, n := range counts {
		x := float64(n) / tokens
		floor := (x + l.slow[i]) / 2 / tokens
		v := max(l.variance[i], floor) * (1 + 1/l.slowWindows)
		total += square(x-l.slow[i]) / max(v, math.SmallestNonzeroFloat32)
	}
	return total / float64(len(counts))
}

// drift returns the mean squared deviation of the fast average from the slow
// one, in units of its variance.
func (l *layerEstimate) drift() float64 {
	scale := (fastGain/(2-fastGain) + 1/l.slowWindows) * l.varianceInflation()
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
