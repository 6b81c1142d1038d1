// Package drift generates demand for experts that changes over a day. Tests and
// measurements use it; the same seed gives the same demand.
package drift

import (
	"math"
	"math/rand/v2"
	"time"
)

// Shape is a pattern in which demand changes over a day.
type Shape string

// The shapes of demand.
const (
	// Slow: the mix of four kinds of documents follows a daily cycle.
	Slow Shape = "slow"
	// Sudden: the mix changes abruptly, four times a day.
	Sudden Shape = "sudden"
	// Viral: as Slow, but for four hours one expert of each layer has 1.5 times the
	// mean load of a rank.
	Viral Shape = "viral"
	// Correlated: as Slow, but the load of each block of eight experts also rises
	// and falls with a period of six hours.
	Correlated Shape = "correlated"
	// Noise: the mean is constant. The load of each expert varies around it with a
	// standard deviation of 5%, correlated from window to window.
	Noise Shape = "noise"
	// RankLoss: as Slow, but one rank is lost at RankLossTime and comes back an
	// hour later.
	RankLoss Shape = "lost rank"
)

// Shapes lists all shapes.
var Shapes = []Shape{Slow, Sudden, Viral, Correlated, Noise, RankLoss}

// Parameters of demand.
const (
	// Window is the length of the window that a load report covers.
	Window = 10 * time.Second
	// Day is the length of a simulated day.
	Day = 24 * time.Hour
	// RankLossTime and RankReturnTime are the times of day at which the rank of
	// RankLoss is lost and comes back.
	RankLossTime   = 14 * time.Hour
	RankReturnTime = 15 * time.Hour

	// documentKinds is the number of kinds of documents. Each kind has its own
	// distribution of load over the experts.
	documentKinds = 4
	// shareDeviation is the standard deviation of the logarithm of an expert's
	// share within a kind.
	shareDeviation = 0.5
	// dailyAmplitude is the amplitude of a kind's weight over the day, relative to
	// its mean.
	dailyAmplitude = 0.8
	// blockSize is the number of experts of a block, and blockAmplitude the
	// amplitude of the logarithm of their load.
	blockSize      = 8
	blockAmplitude = 0.3
	// noiseDeviation is the standard deviation of the logarithm of the noise, and
	// noiseCorrelation its correlation between consecutive windows.
	noiseDeviation   = 0.05
	noiseCorrelation = 0.7
	// One expert of each layer has viralLoad times the mean load of a rank from
	// viralStart until viralEnd.
	viralStart = 10 * time.Hour
	viralEnd   = 14 * time.Hour
	viralLoad  = 1.5
	// tokensPerExpert is the mean number of tokens that one expert processes in a
	// window: 7,300 tokens/s in a group of 32 ranks, with 8 experts for each token
	// and 128 experts in each layer.
	tokensPerExpert = 4562
	// reportingRatio is the fraction of the ranks that report in one window.
	reportingRatio = 0.25
)

// Config describes the demand to generate.
type Config struct {
	Shape                  Shape
	Layers, Experts, Ranks int
	// Start is the time of day of the first window.
	Start time.Duration
	Seed  uint64
}

// Demand generates consecutive windows of demand. It is not safe for concurrent
// use.
type Demand struct {
	Config
	random *rand.Rand
	// kindShares holds, for each kind, the shares of all experts of all layers.
	kindShares [documentKinds][]float64
	// kindPhases holds the phase of each kind in the daily cycle.
	kindPhases [documentKinds]float64
	// mixes holds the weights of the kinds before, between and after the step
	// changes of Sudden. Noise uses the first.
	mixes [][documentKinds]float64
	// blockPhases holds the phase of each block, ordered by layer, then block.
	blockPhases []float64
	// viralExperts holds the expert of each layer that has the additional load in
	// Viral.
	viralExperts []int
	// noise holds the logarithm of the noise of each expert in the last window.
	noise []float64
	// at is the time of day of the next window.
	at time.Duration
}

// Load is one window of demand. All slices are ordered by layer, then expert. Next
// reuses them.
type Load struct {
	// At is the time of day at which the window starts.
	At time.Duration
	// Share is each expert's share of the tokens of its layer, including sampling
	// noise.
	Share []float64
	// Counts is the number of tokens of each expert on the ranks that report.
	Counts []uint32
}

// New returns the demand from c.Start on.
func New(c Config) *Demand {
	d := &Demand{Config: c, random: rand.New(rand.NewPCG(c.Seed, 1))}
	n := c.Layers * c.Experts
	for k := range d.kindShares {
		d.kindShares[k] = make([]float64, n)
		for i := range n {
			d.kindShares[k][i] = math.Exp(shareDeviation * d.random.NormFloat64())
		}
		d.normalise(d.kindShares[k])
		d.kindPhases[k] = 2 * math.Pi * float64(k) / documentKinds
	}
	for range 5 {
		var mix [documentKinds]float64
		for k := range mix {
			mix[k] = d.random.ExpFloat64()
		}
		d.mixes = append(d.mixes, mix)
	}
	for range c.Layers * ((c.Experts + blockSize - 1) / blockSize) {
		d.blockPhases = append(d.blockPhases, 2*math.Pi*d.random.Float64())
	}
	for range c.Layers {
		d.viralExperts = append(d.viralExperts, d.random.IntN(c.Experts))
	}
	d.noise = make([]float64, n)
	d.at = c.Start
	return d
}

// StepChanges returns the times at which the demand or the set of ranks changes
// abruptly, with the start of the simulated time first.
func (c Config) StepChanges() []time.Duration {
	out := []time.Duration{c.Start}
	for _, at := range c.scheduledStepChanges() {
		if at > c.Start {
			out = append(out, at)
		}
	}
	return out
}

// scheduledStepChanges returns the times of the whole day at which the demand
// or the set of ranks changes abruptly.
func (c Config) scheduledStepChanges() []time.Duration {
	switch c.Shape {
	case Sudden:
		return []time.Duration{6 * time.Hour, 10 * time.Hour, 14 * time.Hour, 18 * time.Hour}
	case Viral:
		return []time.Duration{viralStart, viralEnd}
	case RankLoss:
		return []time.Duration{RankLossTime, RankReturnTime}
	}
	return nil
}

// Next writes the next window to l.
func (d *Demand) Next(l *Load) {
	n := d.Layers * d.Experts
	if l.Share == nil {
		l.Share = make([]float64, n)
		l.Counts = make([]uint32, n)
	}
	l.At = d.at
	d.shares(l.Share)
	d.sample(l)
	d.at += Window
}

// Expected writes the expected shares at a time of day to out, without sampling
// noise. The next window of d starts at that time. Expected is not meaningful
// for the shape Noise.
func (d *Demand) Expected(at time.Duration, out []float64) {
	d.at = at
	d.shares(out)
}

// shares writes the expected shares of the next window to out.
func (d *Demand) shares(out []float64) {
	mix := d.mix()
	for i := range out {
		out[i] = 0
		for k, w := range mix {
			out[i] += w * d.kindShares[k][i]
		}
	}
	switch d.Shape {
	case Correlated:
		d.applyBlocks(out)
	case Noise:
		d.applyNoise(out)
	}
	d.normalise(out)
	if d.Shape == Viral && d.at >= viralStart && d.at < viralEnd {
		d.applyViral(out)
	}
}

// mix returns the weight of each kind in the next window.
func (d *Demand) mix() [documentKinds]float64 {
	if d.Shape == Noise {
		return d.mixes[0]
	}
	if d.Shape == Sudden {
		i := 0
		for _, at := range d.scheduledStepChanges() {
			if d.at >= at {
				i++
			}
		}
		return d.mixes[i]
	}
	var mix [documentKinds]float64
	for k := range mix {
		mix[k] = 1 + dailyAmplitude*math.Sin(2*math.Pi*d.at.Hours()/24+d.kindPhases[k])
	}
	return mix
}

// applyBlocks multiplies the load of each block by its six-hour cycle.
func (d *Demand) applyBlocks(out []float64) {
	blocks := len(d.blockPhases) / d.Layers
	for i := range out {
		layer, e := i/d.Experts, i%d.Experts
		phase := d.blockPhases[layer*blocks+e/blockSize]
		out[i] *= math.Exp(blockAmplitude * math.Sin(2*math.Pi*d.at.Hours()/6+phase))
	}
}

// applyNoise multiplies each load by noise whose logarithm is a first-order
// autoregressive process.
func (d *Demand) applyNoise(out []float64) {
	innovationDeviation := math.Sqrt(1-noiseCorrelation*noiseCorrelation) * noiseDeviation
	for i := range out {
		d.noise[i] = noiseCorrelation*d.noise[i] + innovationDeviation*d.random.NormFloat64()
		out[i] *= math.Exp(d.noise[i])
	}
}

// applyViral sets the shares of the viral experts and scales the other shares of
// each layer so that they still add up to 1.
func (d *Demand) applyViral(out []float64) {
	viralShare := viralLoad / float64(d.Ranks)
	for layer, e := range d.viralExperts {
		shares := out[layer*d.Experts : (layer+1)*d.Experts]
		scale := (1 - viralShare) / (1 - shares[e])
		for i := range shares {
			shares[i] *= scale
		}
		shares[e] = viralShare
	}
}

// sample replaces the expected shares by those of a random sample of tokens, and
// sets the counts to the tokens of the sample on the ranks that report.
func (d *Demand) sample(l *Load) {
	for i, x := range l.Share {
		mean := x * tokensPerExpert * float64(d.Experts)
		reported := d.poisson(mean * reportingRatio)
		l.Counts[i] = uint32(reported)
		l.Share[i] = reported + d.poisson(mean*(1-reportingRatio))
	}
	d.normalise(l.Share)
}

// poisson draws a number of tokens from the normal approximation of the Poisson
// distribution.
func (d *Demand) poisson(mean float64) float64 {
	return max(0, math.Round(mean+math.Sqrt(mean)*d.random.NormFloat64()))
}

// normalise makes the shares of each layer add up to 1.
func (d *Demand) normalise(share []float64) {
	for layer := range d.Layers {
		s := share[layer*d.Experts : (layer+1)*d.Experts]
		total := 0.0
		for _, x := range s {
			total += x
		}
		for i := range s {
			s[i] /= total
		}
	}
}
