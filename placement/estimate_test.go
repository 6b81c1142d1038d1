package placement_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/internal/measure/placement/drift"
	"github.com/cyclamenpoint/cyclamenpoint/placement"
)

// counts draws the token counts of one layer, with the given weights.
func counts(r *rand.Rand, weights ...float64) []uint32 {
	out := make([]uint32, len(weights))
	for i, w := range weights {
		mean := 1000 * w
		out[i] = uint32(max(0, mean+math.Sqrt(mean)*r.NormFloat64()))
	}
	return out
}

// TestEstimateConvergesToDrawnShares adds reports, some of which are lost, late or
// duplicated, and compares the estimate with the shares from which the reports
// were drawn.
func TestEstimateConvergesToDrawnShares(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	weights := []float64{1, 2, 3, 4}
	e := placement.NewEstimator(1, 4, 3, -1)
	var late []placement.Report
	for w := range int64(200) {
		for _, l := range late {
			assert.NilError(t, e.Observe(l))
		}
		late = late[:0]
		for rank := range 3 {
			report := placement.Report{Rank: rank, Window: w, Counts: counts(r, weights...)}
			switch r.IntN(4) {
			case 0:
			case 1:
				late = append(late, report)
			case 2:
				assert.NilError(t, e.Observe(report))
				report.Counts = []uint32{1 << 20, 0, 0, 0}
				assert.NilError(t, e.Observe(report))
			default:
				assert.NilError(t, e.Observe(report))
			}
		}
		e.CloseWindow(w)
	}
	l := e.Estimates()
	assert.Assert(t, e.Dropped() > 0)
	assert.Assert(t, l.Steady[0] > 150, "noise does not count as a change")
	for i, w := range weights {
		limit := 5 * math.Sqrt(l.Variance[i])
		assert.Assert(t, math.Abs(l.Share[i]-w/10) < limit, "share %v of expert %d", l.Share[i], i)
		assert.Assert(t, limit < 0.01)
	}
}

func TestEstimateFollowsChange(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 3))
	e := placement.NewEstimator(1, 4, 1, -1)
	for w := range int64(100) {
		mix := []float64{1, 2, 3, 4}
		if w >= 98 {
			mix = []float64{4, 3, 2, 1}
		}
		assert.NilError(t, e.Observe(placement.Report{Window: w, Counts: counts(r, mix...)}))
		e.CloseWindow(w)
	}
	l := e.Estimates()
	assert.Assert(t, l.Steady[0] < 2)
	assert.Assert(t, math.Abs(l.Share[0]-0.4) < 0.05, "share %v", l.Share[0])
}

func TestMissingWindowsIncreaseAge(t *testing.T) {
	e := placement.NewEstimator(1, 2, 1, -1)
	assert.NilError(t, e.Observe(placement.Report{Window: 0, Counts: []uint32{500, 500}}))
	e.CloseWindow(0)
	assert.NilError(t, e.Observe(placement.Report{Window: 1, Counts: []uint32{3, 3}}))
	e.CloseWindow(1)
	e.CloseWindow(4)
	e.CloseWindow(4)
	l := e.Estimates()
	assert.Equal(t, l.Windows, int64(1))
	assert.Equal(t, l.Age, int64(4))
	assert.NilError(t, e.Observe(placement.Report{Window: 5, Counts: []uint32{50, 50}}))
	e.CloseWindow(5)
	assert.Equal(t, e.Estimates().Age, int64(0))
}

func TestInvalidReports(t *testing.T) {
	e := placement.NewEstimator(1, 2, 2, 9)
	for _, c := range []struct {
		report placement.Report
		field  string
	}{
		{placement.Report{Rank: 2, Window: 10, Counts: make([]uint32, 2)}, "rank"},
		{placement.Report{Rank: -1, Window: 10, Counts: make([]uint32, 2)}, "rank"},
		{placement.Report{Rank: 0, Window: 10, Counts: make([]uint32, 3)}, "number of counts"},
		{placement.Report{Rank: 0, Window: 11, Counts: make([]uint32, 2)}, "window"},
		{placement.Report{Rank: 0, Window: -1, Counts: make([]uint32, 2)}, "window"},
	} {
		var wrong *placement.ReportError
		assert.Assert(t, assertAs(e.Observe(c.report), &wrong))
		assert.Equal(t, wrong.Field, c.field)
	}
	assert.NilError(t, e.Observe(placement.Report{Rank: 0, Window: 9 - placement.AllowedLateness, Counts: make([]uint32, 2)}))
	assert.Equal(t, e.Dropped(), int64(1))
	assert.NilError(t, e.Observe(placement.Report{Rank: 0, Window: 10 - placement.AllowedLateness, Counts: make([]uint32, 2)}))
	assert.Equal(t, e.Dropped(), int64(1))
}

func TestResizeResetsSteady(t *testing.T) {
	c := drift.Config{Shape: drift.Noise, Layers: 2, Experts: 8, Ranks: 4, Seed: 1}
	demand := drift.New(c)
	e := placement.NewEstimator(2, 8, 4, -1)
	var load drift.Load
	for w := range int64(60) {
		demand.Next(&load)
		assert.NilError(t, e.Observe(placement.Report{Window: w, Counts: load.Counts}))
		e.CloseWindow(w)
	}
	before := e.Estimates()
	assert.Assert(t, before.Steady[0] > 0)
	e.Resize(5)
	assert.Equal(t, e.Estimates().Steady[0], int64(0))
	assert.DeepEqual(t, e.Estimates().Share, before.Share)
	assert.NilError(t, e.Observe(placement.Report{Rank: 4, Window: 60, Counts: load.Counts}))
}
