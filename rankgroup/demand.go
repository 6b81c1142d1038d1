package rankgroup

import "slices"

// demandEstimator estimates the demand of an engine's running requests for each
// expert. It uses the engine's counts of expert choices, from prefill and decode
// together. Decoding determines the load of the next passes: a decoded token
// takes about twenty times the work of a prompt token, because prefill processes
// many tokens at once. But within 100 ms prefills make ten times as many choices
// as decoding, and these say almost nothing about the mix of the decoding
// requests, which is the share of each expert in their choices.
//
// A window is the time between two observed counts. Without a prefill it shows
// the mix of the decoding requests. With a prefill it shows what the new request
// will choose when it decodes.
//
// A demandEstimator is not safe for concurrent use.
type demandEstimator struct {
	layers, experts int
	last            Counts
	running         int
	// perToken is the usual number of expert choices for one decoded token in a
	// layer.
	perToken float64
	// usualDistance is the mean distance between the mix and a window with a prefill
	// while the demand does not change.
	usualDistance float64
	// mix is the share of each expert in the choices for decoded tokens, by
	// layer, then expert; nil if it is unknown.
	mix []float64
}

const (
	// decodeGain is the weight of the newest window in the mix. A window has a
	// few hundred choices of each request, and the demand of all requests may
	// change from one pass to the next.
	decodeGain = 0.9
	// changedRatio is the multiple of the usual distance between the mix and a window
	// with a prefill from which the demand of all requests has probably changed. A single
	// request differs less from the others; how much less depends on the number of
	// experts and their popularity: shifts were seen with distances from 0.3 to 0.5,
	// requests with 0.1 to 0.25. changedGain is the weight of a window of a changed demand.
	changedRatio = 1.4
	changedGain  = 0.8
	// firstUsualDistance is the usual distance before there are windows, and
	// usualDistanceGain the weight of the newest window in it.
	firstUsualDistance = 0.32
	usualDistanceGain  = 0.2
	// prefillRatio is the multiple of the usual number of choices above which a
	// window counts as one with a prefill. Shorter prefills change little.
	prefillRatio = 2.5
	// perTokenRise is the largest factor by which one window raises perToken,
	// because a window with more choices may contain a prefill. perTokenFall is
	// the smallest factor by which one window lowers it. If about half of the
	// windows have no prefill, perToken stays at their level.
	perTokenRise = 1.02
	perTokenFall = 0.5
	// demandScale is the demand of one running request in each layer, summed
	// over the experts.
	demandScale = 1000
)

func newDemandEstimator(layers, experts int) *demandEstimator {
	return &demandEstimator{layers: layers, experts: experts, usualDistance: firstUsualDistance}
}

// observe adds the current counts of an engine. The engine has the given number
// of running requests and decodes stepsPerPass tokens of each in a pass.
func (d *demandEstimator) observe(now Counts, running, stepsPerPass int) {
	last, before := d.last, d.running
	d.last, d.running = now, running
	if len(now.Counts) != d.layers*d.experts || len(last.Counts) != len(now.Counts) || now.Epoch != last.Epoch || now.Step < last.Step {
		return
	}
	window := make([]float64, len(now.Counts))
	// choices is the number of choices in the first layer; all layers have the
	// same number.
	choices := 0.0
	for i, n := range now.Counts {
		if n < last.Counts[i] {
			d.mix = nil
			return
		}
		window[i] = float64(n - last.Counts[i])
		if i < d.experts {
			choices += window[i]
		}
	}
	tokens := float64(now.Step-last.Step) * float64(stepsPerPass) * float64(before+running) / 2
	if tokens == 0 || choices == 0 {
		return
	}
	d.updatePerToken(choices / tokens)
	gain := decodeGain
	if choices > prefillRatio*d.perToken*tokens {
		gain = float64(max(running-before, 1)) / float64(max(running, 1))
		if d.changed(window) {
			gain = max(gain, changedGain)
		}
	}
	d.blend(window, min(gain, 1))
}

// changed reports whether a window with a prefill shows that the demand of all requests
// has changed, and updates the usual distance if it does not.
func (d *demandEstimator) changed(window []float64) bool {
	if d.mix == nil {
		return false
	}
	distance := d.distance(window)
	if distance > changedRatio*d.usualDistance {
		return true
	}
	d.usualDistance += usualDistanceGain * (distance - d.usualDistance)
	return false
}

// updatePerToken updates the usual number of choices per decoded token.
func (d *demandEstimator) updatePerToken(ratio float64) {
	if d.perToken == 0 {
		d.perToken = ratio
		return
	}
	d.perToken = min(max(ratio, d.perToken*perTokenFall), d.perToken*perTokenRise)
}

// distance returns the share of the choices by which a window differs from the
// mix, as the mean over the layers.
func (d *demandEstimator) distance(window []float64) float64 {
	different := 0.0
	for layer := range d.layers {
		share := slices.Clone(window[layer*d.experts:][:d.experts])
		if normalise(share) {
			different += shareDistance(d.mix[layer*d.experts:][:d.experts], share)
		}
	}
	return different / float64(d.layers)
}

// blend moves the mix towards the mix of a window.
func (d *demandEstimator) blend(window []float64, gain float64) {
	if d.mix == nil {
		d.mix, gain = make([]float64, len(window)), 1
	}
	for layer := range d.layers {
		d.blendLayer(d.mix[layer*d.experts:][:d.experts], window[layer*d.experts:][:d.experts], gain)
	}
}

func (d *demandEstimator) blendLayer(mix, window []float64, gain float64) {
	total := 0.0
	for _, n := range window {
		total += n
	}
	if total == 0 {
		return
	}
	for e := range mix {
		mix[e] += gain * (window[e]/total - mix[e])
	}
}

// report returns the demand of the running requests for each expert, by layer,
// then expert, or nil if it is unknown.
func (d *demandEstimator) report() []uint32 {
	if d.mix == nil || d.running == 0 {
		return nil
	}
	demand := make([]uint32, len(d.mix))
	for i, share := range d.mix {
		demand[i] = uint32(demandScale*float64(d.running)*share + 0.5)
	}
	return demand
}
