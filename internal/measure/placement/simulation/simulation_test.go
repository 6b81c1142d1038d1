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

// config returns the configuration of a simulation of a small group. start is the
// time of day at which it starts.
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

// policy returns the product's policy with the given weights in its objective.
func policy(skew, move float64) ProductPolicy {
	return ProductPolicy{Policy: placement.NewPolicy(deployment.Group{
		ExpertBytes: expertBytes,
		Objective:   deployment.Objective{Skew: skew, Move: move},
	})}
}

// outcome holds the figures of a run that the tests compare with the targets.
type outcome struct {
	// p95Ratio is the 95th percentile of the ratio of skew to its lower bound.
	p95Ratio float64
	// bytes is the number of bytes read from the store.
	bytes int64
	// lateChanges counts the map changes after the first hour.
	lateChanges int
}

func simulate(t *testing.T, c Config, s Strategy) outcome {
	t.Helper()
	r, err := Run(c, s)
	assert.NilError(t, err)
	sorted := slices.Sorted(slices.Values(r.Ratio))
	return outcome{p95Ratio: sorted[len(sorted)*95/100], bytes: r.Bytes, lateChanges: r.ChangesAfterFirstHour}
}

// TestPolicyMeetsTargets runs three hours of each shape of changing demand and
// checks the targets for skew and loaded bytes of a skew-weighted and a
// move-weighted objective. The static map must miss the skew target, which shows
// that the target is not met trivially.
func TestPolicyMeetsTargets(t *testing.T) {
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
			hours := config(c.shape, c.begin, 3*time.Hour)
			greedy := simulate(t, hours, &PeriodicGreedy{Interval: 10 * time.Minute, StoreShare: 0.5})
			skewWeighted := simulate(t, hours, policy(1, 0.05))
			moveWeighted := simulate(t, hours, policy(1, 2))
			static := simulate(t, hours, Static{})
			assert.Assert(t, skewWeighted.p95Ratio <= 1.05, "skew-weighted: p95 %.3f", skewWeighted.p95Ratio)
			assert.Assert(t, 2*skewWeighted.bytes <= greedy.bytes, "skew-weighted: %d of %d bytes", skewWeighted.bytes, greedy.bytes)
			assert.Assert(t, moveWeighted.p95Ratio < 1.25, "move-weighted: p95 %.3f", moveWeighted.p95Ratio)
			assert.Assert(t, 5*moveWeighted.bytes <= greedy.bytes, "move-weighted: %d of %d bytes", moveWeighted.bytes, greedy.bytes)
			assert.Assert(t, static.p95Ratio > 1.05, "static map: p95 %.3f meets the target of the skew-weighted objective", static.p95Ratio)
		})
	}
}

// TestNoiseCausesNoChanges runs a day of demand with a steady mean. Noise alone
// must not change the map after the first hour, when the estimates have
// settled. A policy that ignores the variance of its estimates must fail the
// same check.
func TestNoiseCausesNoChanges(t *testing.T) {
	t.Parallel()
	c := config(drift.Noise, 0, drift.Day)
	assert.Equal(t, simulate(t, c, policy(1, 2)).lateChanges, 0)
	c.Length = 2 * time.Hour
	assert.Assert(t, simulate(t, c, noVariance{policy(1, 0)}).lateChanges > 0)
}

// noVariance is the product's policy with estimates that have no variance and whose
// layers never count as steady.
type noVariance struct{ ProductPolicy }

func (n noVariance) Decide(in placement.Input, now time.Duration) (m expertmap.Map, rate float64, err error) {
	in.Loads.Variance = make([]float64, len(in.Loads.Share))
	in.Loads.Steady = nil
	return n.ProductPolicy.Decide(in, now)
}

// TestRecoversFromRankLoss loses a rank while weights are being loaded and
// restores it an hour later. The group must have every expert again within the
// settling time and reach the target after both changes. Run panics if weights are
// loaded to the lost rank.
func TestRecoversFromRankLoss(t *testing.T) {
	t.Parallel()
	c := config(drift.RankLoss, 13*time.Hour+30*time.Minute, 2*time.Hour)
	r, err := Run(c, policy(1, 2))
	assert.NilError(t, err)
	assert.Assert(t, r.Downtime > 0)
	assert.Assert(t, r.Downtime <= SettlingTime, "experts without a rank for %s", r.Downtime)
	assert.Equal(t, r.Unrecovered, 0)
}

// TestRecoversFromStoreOutage takes the weight store down from one minute before
// an abrupt change of demand until an hour after it. After the outage the group
// must recover and end close to the lower bound of the skew.
func TestRecoversFromStoreOutage(t *testing.T) {
	t.Parallel()
	c := config(drift.Sudden, 5*time.Hour, 3*time.Hour)
	c.OutageStart, c.OutageEnd = 6*time.Hour-time.Minute, 7*time.Hour
	r, err := Run(c, policy(1, 0.05))
	assert.NilError(t, err)
	assert.Equal(t, r.Unrecovered, 0)
	last := r.Ratio[len(r.Ratio)-100:]
	assert.Assert(t, slices.Max(last) <= 1.1, "ratio of skew to its lower bound after the outage: %v", slices.Max(last))
}
