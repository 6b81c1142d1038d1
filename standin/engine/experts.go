package engine

import (
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/engine"
)

const (
	// tokensPerStep is the number of tokens that a rank routes in each layer in one
	// step while the load of every expert is at its median.
	tokensPerStep = 512
	// loadLogAmplitude is the amplitude of the sine by which the natural logarithm
	// of an expert's load varies.
	loadLogAmplitude = 1.2
	// windowsPerLoss is the mean number of ended windows of which one is lost, at
	// random.
	windowsPerLoss = 8
	// maxWindows is the number of ended windows that a rank keeps.
	maxWindows = 64
)

// expertCounts counts the tokens routed to each expert in windows of steps. The
// demand for an expert varies periodically with the step number, in the same way
// on all ranks; noise is added on each rank separately.
type expertCounts struct {
	opts Options
	// rng generates the noise and selects the windows that are lost.
	rng *rand.Rand
	// phases holds each expert's position in the period, from 0 to 1.
	phases  []float64
	current engine.ExpertWindow
	ended   []endedWindow
}

// endedWindow is a window with the time of its end.
type endedWindow struct {
	engine.ExpertWindow
	endedAt time.Time
}

func newExpertCounts(opts Options, index int) expertCounts {
	c := expertCounts{opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, uint64(index)+1))}
	phaseRNG := rand.New(rand.NewPCG(opts.Seed, 0))
	for range opts.Shape.Layers * opts.Shape.Experts {
		c.phases = append(c.phases, phaseRNG.Float64())
	}
	c.current.Counts = make([]uint32, len(c.phases))
	return c
}

// addStep adds the tokens of one step.
func (c *expertCounts) addStep(epoch, step uint64) {
	if len(c.phases) == 0 {
		return
	}
	window := int64(step / c.opts.WindowSteps)
	if window != c.current.Window || epoch != c.current.Epoch {
		c.nextWindow(epoch, window)
	}
	periods := float64(step) / float64(c.opts.DriftSteps)
	for i, phase := range c.phases {
		weight := math.Exp(loadLogAmplitude * math.Sin(2*math.Pi*(periods+phase)))
		c.current.Counts[i] += uint32(tokensPerStep*weight/float64(c.opts.Shape.Experts) + c.rng.Float64())
	}
}

// nextWindow ends the current window, which may be lost, and starts the given
// one.
func (c *expertCounts) nextWindow(epoch uint64, window int64) {
	if c.current.Epoch > 0 && c.rng.IntN(windowsPerLoss) > 0 {
		c.ended = append(c.ended, endedWindow{c.current, time.Now()})
	}
	if len(c.ended) > maxWindows {
		c.ended = c.ended[1:]
	}
	c.current = engine.ExpertWindow{Epoch: epoch, Window: window, Counts: make([]uint32, len(c.phases))}
}

// windowsAfter returns the windows of an epoch that follow window after and
// ended at least Options.ReportLag ago.
func (c *expertCounts) windowsAfter(epoch uint64, after int64) []engine.ExpertWindow {
	out := []engine.ExpertWindow{}
	visibleBefore := time.Now().Add(-c.opts.ReportLag)
	for _, w := range c.ended {
		if w.Epoch == epoch && w.Window > after && w.endedAt.Before(visibleBefore) {
			out = append(out, w.ExpertWindow)
		}
	}
	return out
}

func (r *Rank) experts(w http.ResponseWriter, req *http.Request) {
	after, _ := strconv.ParseInt(req.URL.Query().Get("after"), 10, 64)
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	s := &r.state
	report := engine.ExpertReport{
		Engine: s.status.Engine, Epoch: s.status.Epoch, Step: s.status.Step, InForce: s.status.InForce,
		Windows: s.counts.windowsAfter(s.status.Epoch, after),
	}
	if m, ok := s.maps[s.status.InForce]; ok {
		report.Map = m.Marshal()
	}
	for _, row := range s.memory {
		for _, expert := range row {
			report.Loaded = append(report.Loaded, uint16(expert))
		}
	}
	writeJSON(w, report)
}
