package simulation

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/deployment"
	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
	"github.com/cyclamenpoint/cyclamenpoint/internal/measure/placement/drift"
	"github.com/cyclamenpoint/cyclamenpoint/placement"
)

const expertBytes = 22_000_000

// config is a small group; demand and hours are the test's.
func config(shape drift.Shape, start, length time.Duration) Config {
	return Config{
		Demand:      drift.Config{Shape: shape, Layers: 2, Experts: 64, Ranks: 16, Start: start, Seed: 5},
		Slots:       6,
		ExpertBytes: expertBytes,
		StoreRate:   20e6,
		Length:      length,
		Target:      1.25,
	}
}

func local(skew, move float64) ProductPolicy {
	return ProductPolicy{Policy: placement.NewPolicy(deployment.Group{
		ExpertBytes: expertBytes,
		Objective:   deployment.Objective{Skew: skew, Move: move},
	})}
}

// verdict is what the targets of one run are judged by.
type verdict struct {
	p95   float64
	bytes int64
	late  int
}

func judge(t *testing.T, c Config, d Strategy) verdict {
	t.Helper()
	r, err := Run(c, d)
	assert.NilError(t, err)
	sorted := slices.Sorted(slices.Values(r.Ratio))
	return verdict{p95: sorted[len(sorted)*95/100], bytes: r.Bytes, late: r.ChangesAfterFirstHour}
}

// TestTargets runs some hours of each shape that changes and holds both
// deployments to their targets. The static map shows that the skew target can
// be missed.
func TestTargets(t *testing.T) {
	for _, c := range []struct {
		shape drift.Shape
		begin time.Duration
	}{
		{drift.Slow, 0},
		{drift.Sudden, 5 * time.Hour},
		{drift.Viral, 9 * time.Hour},
		{drift.Correlated, 0},
	} {
		t.Run(string(c.shape), func(t *testing.T) {
			t.Parallel()
			day := config(c.shape, c.begin, 3*time.Hour)
			full := judge(t, day, &PeriodicGreedy{Interval: 10 * time.Minute, StoreShare: 0.5})
			bySkew := judge(t, day, local(1, 0.05))
			byMove := judge(t, day, local(1, 2))
			static := judge(t, day, Static{})
			assert.Assert(t, bySkew.p95 <= 1.05, "skew-weighted: p95 %.3f", bySkew.p95)
			assert.Assert(t, 2*bySkew.bytes <= full.bytes, "skew-weighted: %d of %d bytes", bySkew.bytes, full.bytes)
			assert.Assert(t, byMove.p95 < 1.25, "move-weighted: p95 %.3f", byMove.p95)
			assert.Assert(t, 5*byMove.bytes <= full.bytes, "move-weighted: %d of %d bytes", byMove.bytes, full.bytes)
			assert.Assert(t, static.p95 > 1.05, "the static map meets the target too")
		})
	}
}

// TestNoiseMovesNothing runs a whole day of noise. A policy that trusts its
// estimates blindly shows that the check can fail.
func TestNoiseMovesNothing(t *testing.T) {
	t.Parallel()
	c := config(drift.Noise, 0, drift.Day)
	assert.Equal(t, judge(t, c, local(1, 2)).late, 0)
	c.Length = 2 * time.Hour
	assert.Assert(t, judge(t, c, credulous{local(1, 0)}).late > 0)
}

// credulous takes every estimate for the truth.
type credulous struct{ ProductPolicy }

func (c credulous) Decide(in placement.Input, at time.Duration) (m expertmap.Map, rate float64, err error) {
	in.Loads.Variance = make([]float64, len(in.Loads.Share))
	in.Loads.Steady = nil
	return c.ProductPolicy.Decide(in, at)
}

// TestLostRank loses a rank at the peak while loads are under way and gives it
// back. Run itself fails if a map lacks weights or experts.
func TestLostRank(t *testing.T) {
	t.Parallel()
	c := config(drift.RankLoss, 13*time.Hour+30*time.Minute, 2*time.Hour)
	r, err := Run(c, local(1, 2))
	assert.NilError(t, err)
	assert.Assert(t, r.Downtime > 0)
	assert.Assert(t, r.Downtime <= SettlingTime, "stopped for %s", r.Downtime)
	assert.Equal(t, r.Unrecovered, 0)
}

// TestOutage has the store down when the mix switches.
func TestOutage(t *testing.T) {
	t.Parallel()
	c := config(drift.Sudden, 5*time.Hour, 3*time.Hour)
	c.OutageStart, c.OutageEnd = 6*time.Hour-time.Minute, 7*time.Hour
	r, err := Run(c, local(1, 0.05))
	assert.NilError(t, err)
	assert.Equal(t, r.Unrecovered, 0)
	late := r.Ratio[len(r.Ratio)-100:]
	assert.Assert(t, slices.Max(late) <= 1.1, "skew after the outage: %v", slices.Max(late))
}
