package rankgroup

// demand works out from an engine's counts what its running requests ask of the
// experts. The counts hold the choices of prompts and of answers alike, but a
// prompt's tokens are read many at a time: a token of an answer takes about
// twenty times the work, so what counts for the next passes is the mix of the
// running answers. The prompts of 100 ms hold ten times the choices of the
// answers and say next to nothing of them.
//
// A window without a prompt shows the mix of the running answers. One with a
// prompt shows what the request that begins will choose. It belongs to one
// goroutine.
type demand struct {
	layers, experts int
	last            Counts
	running         int
	// perToken is the usual number of choices of an answer's token in a layer.
	perToken float64
	// mix is, by layer and expert, the share of the running answers' choices; nil
	// while it is not known.
	mix []float64
}

const (
	// answerGain weighs the newest window in the mix of the running answers: a
	// window holds some hundred choices of each, and an answer lasts some twenty
	// windows.
	answerGain = 0.5
	// readingRatio is from how many times the choices of the answers a window
	// must have read a prompt. A prompt that is shorter changes little.
	readingRatio = 2.5
	// perTokenRise is how the usual number of choices per token follows windows
	// with more, which may have read a prompt, and perTokenFall how far it falls in
	// a window with fewer. With about half of the windows free of prompts it stays
	// at the lower ones of these.
	perTokenRise = 1.02
	perTokenFall = 0.5
	// demandScale is what a running request asks of a layer in all, as reported.
	demandScale = 1000
)

func newDemand(layers, experts int) *demand {
	return &demand{layers: layers, experts: experts}
}

// observe takes the counts of now, of an engine that runs some requests and
// makes stepsPerPass tokens of each in a pass.
func (d *demand) observe(now Counts, running, stepsPerPass int) {
	last, before := d.last, d.running
	d.last, d.running = now, running
	if len(now.Counts) != d.layers*d.experts || len(last.Counts) != len(now.Counts) || now.Epoch != last.Epoch || now.Step < last.Step {
		return
	}
	window := make([]float64, len(now.Counts))
	// choices are those of the first layer: all layers have as many.
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
	d.learnPerToken(choices / tokens)
	gain := answerGain
	if choices > readingRatio*d.perToken*tokens {
		gain = float64(max(running-before, 1)) / float64(max(running, 1))
	}
	d.blend(window, min(gain, 1))
}

// learnPerToken follows the usual number of choices per token of an answer.
func (d *demand) learnPerToken(ratio float64) {
	if d.perToken == 0 {
		d.perToken = ratio
		return
	}
	d.perToken = min(max(ratio, d.perToken*perTokenFall), d.perToken*perTokenRise)
}

// blend moves the mix towards a window's.
func (d *demand) blend(window []float64, gain float64) {
	if d.mix == nil {
		d.mix, gain = make([]float64, len(window)), 1
	}
	for layer := range d.layers {
		d.blendLayer(d.mix[layer*d.experts:][:d.experts], window[layer*d.experts:][:d.experts], gain)
	}
}

func (d *demand) blendLayer(mix, window []float64, gain float64) {
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

// report returns what the running requests ask of each expert, by layer and
// expert, or nil while that is not known.
func (d *demand) report() []uint32 {
	if d.mix == nil || d.running == 0 {
		return nil
	}
	asked := make([]uint32, len(d.mix))
	for i, share := range d.mix {
		asked[i] = uint32(demandScale*float64(d.running)*share + 0.5)
	}
	return asked
}
