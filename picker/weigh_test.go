package picker_test

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/picker/internal/queuefake"
)

const (
	warm     = 45 * time.Second
	measured = 30 * time.Second
	seed     = 7
	// maxOfAllKnowing bounds the default's p95 against the all-knowing router's.
	maxOfAllKnowing = 1.25
	// maxOfExcess bounds its excess over that router against round robin's.
	maxOfExcess = 0.5
)

func ms(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}

func weigh(t *testing.T, c queuefake.Case, way queuefake.Way) queuefake.Result {
	t.Helper()
	r, err := queuefake.Run(c, way)
	assert.NilError(t, err)
	t.Logf("| %d | %d | %d%% | %s | %.0f | %.0f | %.0f | %.1f%% | %.2f | %.1f | %.0f |",
		c.Entries, c.Endpoints, c.LoadPercent, way.Name, ms(r.P50), ms(r.P95), ms(r.P99),
		r.HitPercent, r.Spread, r.ProbesPerSecond, r.BytesPerSecond)
	return r
}

// TestWeigh prints the comparison of all ways: entries, endpoints, load, way,
// p50, p95 and p99 of the first token in ms, prefix hits, busiest endpoint over
// the mean, probes and bytes a second for one entry.
func TestWeigh(t *testing.T) {
	if !testing.Verbose() {
		t.Skip("prints a table; run with -run Weigh -v")
	}
	for _, endpoints := range []int{16, 600} {
		for _, entries := range []int{1, 10, 350} {
			for _, load := range []int{80, 95} {
				c := queuefake.Case{Entries: entries, Endpoints: endpoints, LoadPercent: load, Warm: warm, Measured: measured, Seed: seed}
				for _, way := range queuefake.Ways {
					weigh(t, c, way)
				}
			}
		}
	}
}

// misses lists the targets that a way does not meet.
func misses(way, roundRobin, allKnowing queuefake.Result) []string {
	var missed []string
	if ms(way.P95) > maxOfAllKnowing*ms(allKnowing.P95) {
		missed = append(missed, "p95 "+strconv.FormatFloat(ms(way.P95)/ms(allKnowing.P95), 'f', 2, 64)+" of the all-knowing router's")
	}
	if ms(way.P95-allKnowing.P95) > maxOfExcess*ms(roundRobin.P95-allKnowing.P95) {
		missed = append(missed, "more than half of round robin's excess")
	}
	return missed
}

// TestTargets checks the targets at the full size, and that the check can fail.
func TestTargets(t *testing.T) {
	c := queuefake.Case{Entries: 350, Endpoints: 600, LoadPercent: 80, Warm: warm, Measured: measured, Seed: seed}
	ways := []queuefake.Way{queuefake.ProbeDefault, queuefake.RoundRobin, queuefake.AllKnowing}
	results := make([]queuefake.Result, len(ways))
	t.Run("runs", func(t *testing.T) {
		for i, way := range ways {
			t.Run(way.Name, func(t *testing.T) {
				t.Parallel()
				results[i] = weigh(t, c, way)
			})
		}
	})
	assert.DeepEqual(t, misses(results[0], results[1], results[2]), []string(nil))
	assert.Assert(t, len(misses(results[1], results[1], results[2])) == 2, "round robin passed the check")
}

// TestRunIsDeterministic guards the comparison: equal seeds give equal results.
func TestRunIsDeterministic(t *testing.T) {
	c := queuefake.Case{Entries: 10, Endpoints: 16, LoadPercent: 80, Warm: time.Second, Measured: 10 * time.Second, Seed: seed}
	first, err := queuefake.Run(c, queuefake.ProbeDefault)
	assert.NilError(t, err)
	second, err := queuefake.Run(c, queuefake.ProbeDefault)
	assert.NilError(t, err)
	assert.Equal(t, first, second)
}
