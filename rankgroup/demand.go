package rankgroup

// demandEstimator estimates the demand of an engine's running requests for each
// expert, from the engine's counts. The counts contain the choices of prefill
// and decode alike. Prefill processes many tokens at once, while a decoded
// token takes about twenty times the work of a prompt token. So the mix of the
// decoding requests determines the load of the next passes. The prefills within
// 100 ms make ten times as many choices as decoding does, but they show almost
// nothing of that mix.
//
// A window without a prefill shows the mix of the decoding requests. A window
// with a prefill shows what the new request will choose when it decodes.
//
// A demandEstimator is not safe for concurrent use.
type demandEstimator struct {
	layers, experts int
	last            Counts
	running         int
	// perToken is the usual number of expert choices for one decoded token in a
	// layer.
	perToken float64
	// mix is the share of each expert in the choices for decoded tokens, by
	// layer, then expert; nil if it is unknown.
	mix []float64
}

const (
	// decodeGain is the weight of the newest window in the decode mix. A window
	// holds some hundred choices of each request, and a request decodes for
	// about twenty windows.
	decodeGain = 0.5
	// prefillRatio is how many times the usual number of choices a window must
	// have to count as one with a prefill. A shorter prefill changes little.
	prefillRatio = 2.5
	// perTokenRise limits how fast the usual number of choices per token rises
	// in windows with more choices, which may contain a prefill. perTokenFall
	// limits how far it falls in a window with fewer. If about half of the
	// windows have no prefill, it stays at the level of these.
	perTokenRise = 1.02
	perTokenFall = 0.5
	// demandScale is the demand of one running request in each layer, summed
	// over the experts.
	demandScale = 1000
)

func newDemandEstimator(layers, experts int) *demandEstimator {
	return &demandEstimator{layers: layers, experts: experts}
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
	}
	d.blend(window, min(gain, 1))
}

// updatePerToken updates the usual number of choices per decoded token.
func (d *demandEstimator) updatePerToken(ratio float64) {
	if d.perToken == 0 {
		d.perToken = ratio
		return
	}
	d.perToken = min(max(ratio, d.perToken*perTokenFall), d.perToken*perTokenRise)
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
