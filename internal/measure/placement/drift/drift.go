// Package drift makes demand on experts that changes through a day, from fixed
// seeds, for tests and measurements.
package drift

import (
	"math"
	"math/rand/v2"
	"time"
)

// Shape is a way in which demand changes.
type Shape string

// The shapes of demand.
const (
	// Slow: the mix of four document kinds goes through one cycle a day.
	Slow Shape = "slow"
	// Sudden: the mix is another one from one moment to the next, four times.
	Sudden Shape = "sudden"
	// Viral: as Slow, and for four hours one expert of each layer has one and a
	// half times the mean load of a rank.
	Viral Shape = "viral"
	// Correlated: as Slow, and blocks of eight experts rise and fall together
	// over hours.
	Correlated Shape = "correlated"
	// Noise: a steady mean, and every expert's load varies around it by 5%,
	// correlated from window to window.
	Noise Shape = "noise"
	// RankLoss: as Slow; one rank is lost at the peak and comes back an hour later.
	RankLoss Shape = "lost rank"
)

// Shapes lists all shapes.
var Shapes = []Shape{Slow, Sudden, Viral, Correlated, Noise, RankLoss}

// Parameters of demand.
const (
	// Window is the time between two load reports.
	Window = 10 * time.Second
	// Day is a simulated day.
	Day = 24 * time.Hour
	// RankLossTime is when the rank is lost and RankReturnTime when it is back.
	RankLossTime   = 14 * time.Hour
	RankReturnTime = 15 * time.Hour

	kinds          = 4
	spread         = 0.5
	swing          = 0.8
	blockSize      = 8
	blockSpread    = 0.3
	noiseDeviation = 0.05
	noiseMemory    = 0.7
	viralBegin     = 10 * time.Hour
	viralEnd       = 14 * time.Hour
	viralLoad      = 1.5
	// tokensPerExpert is the mean number of tokens of one expert in a window:
	// 7,300 tokens/s for 32 ranks, 8 experts each, 128 experts a layer.
	tokensPerExpert = 4562
	// reporting is the part of the ranks that report in one window.
	reporting = 0.25
)

// Config says what demand to make.
type Config struct {
	Shape                  Shape
	Layers, Experts, Ranks int
	// Start is the time of day at which the demand begins.
	Start time.Duration
	Seed  uint64
}

// Demand makes one window after the other. It belongs to one goroutine.
type Demand struct {
	Config
	random *rand.Rand
	// kind holds for each kind the shares of all experts of all layers.
	kind  [kinds][]float64
	phase [kinds]float64
	mixes [][kinds]float64
	block []float64
	viral []int
	noise []float64
	at    time.Duration
}

// Load is one window of demand; all slices are ordered by layer, then expert.
// They are used again for the next window.
type Load struct {
	// At is the begin of the window since the begin of the day.
	At time.Duration
	// Share is what really ran, sampling noise included.
	Share []float64
	// Counts are the tokens that the reporting ranks have counted.
	Counts []uint32
}

// New returns the demand from c.Start on.
func New(c Config) *Demand {
	d := &Demand{Config: c, random: rand.New(rand.NewPCG(c.Seed, 1))}
	n := c.Layers * c.Experts
	for k := range d.kind {
		d.kind[k] = make([]float64, n)
		for i := range n {
			d.kind[k][i] = math.Exp(spread * d.random.NormFloat64())
		}
		d.normalise(d.kind[k])
		d.phase[k] = 2 * math.Pi * float64(k) / kinds
	}
	for range 5 {
		var mix [kinds]float64
		for k := range mix {
			mix[k] = d.random.ExpFloat64()
		}
		d.mixes = append(d.mixes, mix)
	}
	for range c.Layers * ((c.Experts + blockSize - 1) / blockSize) {
		d.block = append(d.block, 2*math.Pi*d.random.Float64())
	}
	for range c.Layers {
		d.viral = append(d.viral, d.random.IntN(c.Experts))
	}
	d.noise = make([]float64, n)
	d.at = c.Start
	return d
}

// StepChanges returns the moments at which demand or the ranks change at once, the
// begin of the simulated time first.
func (c Config) StepChanges() []time.Duration {
	out := []time.Duration{c.Start}
	for _, at := range c.scheduledStepChanges() {
		if at > c.Start {
			out = append(out, at)
		}
	}
	return out
}

// scheduledStepChanges returns the moments of the whole day at which demand or the ranks
// change at once.
func (c Config) scheduledStepChanges() []time.Duration {
	switch c.Shape {
	case Sudden:
		return []time.Duration{6 * time.Hour, 10 * time.Hour, 14 * time.Hour, 18 * time.Hour}
	case Viral:
		return []time.Duration{viralBegin, viralEnd}
	case RankLoss:
		return []time.Duration{RankLossTime, RankReturnTime}
	}
	return nil
}

// Next returns the next window.
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

// Expected writes the expected shares of a moment, without sampling noise. It is
// of no use for the Noise shape and moves d to that moment.
func (d *Demand) Expected(at time.Duration, out []float64) {
	d.at = at
	d.shares(out)
}

// shares writes the expected shares of the window.
func (d *Demand) shares(out []float64) {
	mix := d.mix()
	for i := range out {
		out[i] = 0
		for k, w := range mix {
			out[i] += w * d.kind[k][i]
		}
	}
	switch d.Shape {
	case Correlated:
		d.applyBlocks(out)
	case Noise:
		d.applyNoise(out)
	}
	d.normalise(out)
	if d.Shape == Viral && d.at >= viralBegin && d.at < viralEnd {
		d.applyViral(out)
	}
}

// mix returns the weight of each kind now.
func (d *Demand) mix() [kinds]float64 {
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
	var mix [kinds]float64
	for k := range mix {
		mix[k] = 1 + swing*math.Sin(2*math.Pi*d.at.Hours()/24+d.phase[k])
	}
	return mix
}

// applyBlocks lets each block of experts follow its own wave of six hours.
func (d *Demand) applyBlocks(out []float64) {
	blocks := len(d.block) / d.Layers
	for i := range out {
		layer, e := i/d.Experts, i%d.Experts
		phase := d.block[layer*blocks+e/blockSize]
		out[i] *= math.Exp(blockSpread * math.Sin(2*math.Pi*d.at.Hours()/6+phase))
	}
}

func (d *Demand) applyNoise(out []float64) {
	fresh := math.Sqrt(1-noiseMemory*noiseMemory) * noiseDeviation
	for i := range out {
		d.noise[i] = noiseMemory*d.noise[i] + fresh*d.random.NormFloat64()
		out[i] *= math.Exp(d.noise[i])
	}
}

func (d *Demand) applyViral(out []float64) {
	hot := viralLoad / float64(d.Ranks)
	for layer, e := range d.viral {
		shares := out[layer*d.Experts : (layer+1)*d.Experts]
		scale := (1 - hot) / (1 - shares[e])
		for i := range shares {
			shares[i] *= scale
		}
		shares[e] = hot
	}
}

// sample replaces the expected shares by those of a random sample of tokens, of
// which the reporting ranks have counted a part.
func (d *Demand) sample(l *Load) {
	for i, x := range l.Share {
		mean := x * tokensPerExpert * float64(d.Experts)
		reported := d.count(mean * reporting)
		l.Counts[i] = uint32(reported)
		l.Share[i] = reported + d.count(mean*(1-reporting))
	}
	d.normalise(l.Share)
}

// count draws a number of tokens by the normal approximation of Poisson's law.
func (d *Demand) count(mean float64) float64 {
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
