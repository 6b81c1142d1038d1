package rankgroup

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// answering plays an engine: each of its running answers chooses perPass experts
// of each layer in a pass, by its own mix; a prompt chooses perPrompt at once.
type answering struct {
	rng     *rand.Rand
	layers  int
	experts int
	mixes   [][]float64
	counts  Counts
}

const (
	perPass   = 200
	perPrompt = 36_000
)

func (a *answering) choose(mix []float64, n int) {
	for layer := range a.layers {
		for e, share := range mix {
			expected := share * float64(n)
			noisy := expected + a.rng.NormFloat64()*expected/10
			a.counts.Counts[layer*a.experts+e] += uint64(max(noisy, 0))
		}
	}
}

// begin reads the prompt of a request with a mix of its own, and pass makes a pass.
func (a *answering) begin(mix []float64) {
	a.choose(mix, perPrompt)
	a.mixes = append(a.mixes, mix)
}

func (a *answering) pass() {
	a.counts.Step++
	for _, mix := range a.mixes {
		a.choose(mix, perPass)
	}
}

func (a *answering) now() Counts {
	now := a.counts
	now.Counts = append([]uint64(nil), a.counts.Counts...)
	return now
}

// hot is a mix that chooses one expert for half of its choices.
func hot(experts, one int) []float64 {
	mix := make([]float64, experts)
	for e := range mix {
		mix[e] = 0.5 / float64(experts-1)
	}
	mix[one] = 0.5
	return mix
}

// TestDemandFollowsAnswers: ten answers that choose expert 0 decide what is asked,
// whatever prompts are read between; of those that begin, each counts for one, at
// once.
func TestDemandFollowsAnswers(t *testing.T) {
	const experts = 8
	a := &answering{rng: rand.New(rand.NewPCG(1, 2)), layers: 2, experts: experts, counts: Counts{Epoch: 1, Counts: make([]uint64, 2*experts)}}
	d := newDemand(2, experts)
	look := func() { d.observe(a.now(), len(a.mixes), 5) }
	share := func(expert int) float64 {
		asked := d.report()
		assert.Equal(t, len(asked), 2*experts)
		total := uint32(0)
		for _, n := range asked[experts:] {
			total += n
		}
		assert.Assert(t, total > demandScale*uint32(len(a.mixes))*99/100 && total < demandScale*uint32(len(a.mixes))*101/100)
		return float64(asked[experts+expert]) / float64(total)
	}
	look()
	assert.Assert(t, d.report() == nil, "nothing is known yet")
	for range 10 {
		a.begin(hot(experts, 0))
	}
	for range 30 {
		a.pass()
		look()
	}
	assert.Assert(t, share(0) > 0.47 && share(0) < 0.53, "%g", share(0))
	// A prompt holds eighteen times the choices that ten answers make in a pass.
	a.begin(hot(experts, 3))
	a.pass()
	look()
	assert.Assert(t, share(3) > 0.07 && share(3) < 0.15, "one of eleven answers: %g", share(3))
	a.mixes = a.mixes[10:]
	for range 8 {
		a.pass()
		look()
	}
	assert.Assert(t, share(3) > 0.45, "the others have ended: %g", share(3))
	a.mixes = nil
	a.pass()
	look()
	assert.Assert(t, d.report() == nil)
}

// TestDemandAfterRestart: counts that start anew are no demand.
func TestDemandAfterRestart(t *testing.T) {
	d := newDemand(1, 2)
	d.observe(Counts{Epoch: 1, Step: 1, Counts: []uint64{0, 0}}, 2, 5)
	d.observe(Counts{Epoch: 1, Step: 2, Counts: []uint64{300, 100}}, 2, 5)
	assert.DeepEqual(t, d.report(), []uint32{1500, 500})
	d.observe(Counts{Epoch: 1, Step: 3, Counts: []uint64{10, 10}}, 2, 5)
	assert.Assert(t, d.report() == nil)
	d.observe(Counts{Epoch: 1, Step: 3, Counts: []uint64{10}}, 2, 5)
	assert.Assert(t, d.report() == nil, "another number of experts")
}
