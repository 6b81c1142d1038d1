package engine

import (
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/engine"
)

// Terms of the expert load counters.
const (
	// tokensPerStep is how many tokens a rank routes in a layer in one step.
	tokensPerStep = 512
	// spread is the logarithm of how far a hot expert's load lies above the mean.
	spread = 1.2
	// gapOdds is one over the share of windows whose report is lost.
	gapOdds     = 8
	keptWindows = 64
)

// expertCounts counts the tokens for each expert in windows of steps. Demand
// drifts with the step number; the seed is the same for all ranks, the noise is
// not.
type expertCounts struct {
	opts   Options
	noise  *rand.Rand
	phases []float64
	now    engine.ExpertWindow
	done   []doneWindow
}

// doneWindow is a window that has ended.
type doneWindow struct {
	engine.ExpertWindow
	at time.Time
}

func newExpertCounts(opts Options, index int) expertCounts {
	c := expertCounts{opts: opts, noise: rand.New(rand.NewPCG(opts.Seed, uint64(index)+1))}
	mix := rand.New(rand.NewPCG(opts.Seed, 0))
	for range opts.Shape.Layers * opts.Shape.Experts {
		c.phases = append(c.phases, mix.Float64())
	}
	c.now.Counts = make([]uint32, len(c.phases))
	return c
}

// step counts one step's tokens.
func (c *expertCounts) step(epoch, step uint64) {
	if len(c.phases) == 0 {
		return
	}
	window := int64(step / c.opts.WindowSteps)
	if window != c.now.Window || epoch != c.now.Epoch {
		c.end(epoch, window)
	}
	turn := float64(step) / float64(c.opts.DriftSteps)
	for i, phase := range c.phases {
		weight := math.Exp(spread * math.Sin(2*math.Pi*(turn+phase)))
		c.now.Counts[i] += uint32(tokensPerStep*weight/float64(c.opts.Shape.Experts) + c.noise.Float64())
	}
}

// end closes the current window, whose report may get lost.
func (c *expertCounts) end(epoch uint64, window int64) {
	if c.now.Epoch > 0 && c.noise.IntN(gapOdds) > 0 {
		c.done = append(c.done, doneWindow{c.now, time.Now()})
	}
	if len(c.done) > keptWindows {
		c.done = c.done[1:]
	}
	c.now = engine.ExpertWindow{Epoch: epoch, Window: window, Counts: make([]uint32, len(c.phases))}
}

// reports returns the windows of an epoch after the given one that ended at
// least lag ago.
func (c *expertCounts) reports(epoch uint64, after int64) []engine.ExpertWindow {
	out := []engine.ExpertWindow{}
	old := time.Now().Add(-c.opts.ReportLag)
	for _, d := range c.done {
		if d.Epoch == epoch && d.Window > after && d.at.Before(old) {
			out = append(out, d.ExpertWindow)
		}
	}
	return out
}

func (r *Rank) experts(w http.ResponseWriter, req *http.Request) {
	after, _ := strconv.ParseInt(req.URL.Query().Get("after"), 10, 64)
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	b := &r.orders
	e := engine.ExpertReport{
		Engine: b.st.Engine, Epoch: b.st.Epoch, Step: b.st.Step, InForce: b.st.InForce,
		Windows: b.counts.reports(b.st.Epoch, after),
	}
	if m, ok := b.maps[b.st.InForce]; ok {
		e.Map = m.Marshal()
	}
	for _, row := range b.memory {
		for _, expert := range row {
			e.Loaded = append(e.Loaded, uint16(expert))
		}
	}
	writeJSON(w, e)
}
