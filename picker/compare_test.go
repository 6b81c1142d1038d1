package picker_test

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/picker/internal/queuesim"
)

const (
	warmUp   = 45 * time.Second
	measured = 30 * time.Second
	seed     = 7
	// maxP95Ratio limits the p95 of the default policy relative to the oracle's.
	maxP95Ratio = 1.25
	// maxExcessRatio limits the excess of its p95 over the oracle's, relative to the
	// excess of round robin.
	maxExcessRatio = 0.5
)

// ms returns d in milliseconds.
func ms(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}

// compare runs a case with a policy and logs a row of the comparison.
func compare(t *testing.T, c queuesim.Case, policy queuesim.Policy) queuesim.Result {
	t.Helper()
	r, err := queuesim.Run(c, policy)
	assert.NilError(t, err)
	t.Logf("| %d | %d | %d%% | %s | %.0f | %.0f | %.0f | %.1f%% | %.2f | %.1f | %.0f |",
		c.Entries, c.Endpoints, c.LoadPercent, policy.Name, ms(r.P50), ms(r.P95), ms(r.P99),
		r.HitPercent, r.Spread, r.ProbesPerSecond, r.BytesPerSecond)
	return r
}

// TestPrintComparison prints a table that compares all policies. Its columns are
// entry nodes, endpoints, load, policy, p50, p95 and p99 of the time to the first
// token in ms, prefix cache hits, requests at the busiest endpoint relative to the
// mean, and probes and bytes per second for one entry node.
func TestPrintComparison(t *testing.T) {
	if !testing.Verbose() {
		t.Skip("prints a table; run with -run PrintComparison -v")
	}
	for _, endpoints := range []int{16, 600} {
		for _, entries := range []int{1, 10, 350} {
			for _, load := range []int{80, 95} {
				c := queuesim.Case{Entries: entries, Endpoints: endpoints, LoadPercent: load, WarmUp: warmUp, Measured: measured, Seed: seed}
				for _, policy := range queuesim.Policies {
					compare(t, c, policy)
				}
			}
		}
	}
}

// missedTargets lists the targets that a policy does not meet.
func missedTargets(policy, roundRobin, oracle queuesim.Result) []string {
	var missed []string
	if ms(policy.P95) > maxP95Ratio*ms(oracle.P95) {
		missed = append(missed, "p95 "+strconv.FormatFloat(ms(policy.P95)/ms(oracle.P95), 'f', 2, 64)+" of the oracle's")
	}
	if ms(policy.P95-oracle.P95) > maxExcessRatio*ms(roundRobin.P95-oracle.P95) {
		missed = append(missed, "more than half of round robin's excess")
	}
	return missed
}

// TestTargets checks that the default policy meets the targets at full size, and that
// the check itself can fail.
func TestTargets(t *testing.T) {
	c := queuesim.Case{Entries: 350, Endpoints: 600, LoadPercent: 80, WarmUp: warmUp, Measured: measured, Seed: seed}
	policies := []queuesim.Policy{queuesim.ProbeDefault, queuesim.RoundRobin, queuesim.Oracle}
	results := make([]queuesim.Result, len(policies))
	t.Run("runs", func(t *testing.T) {
		for i, policy := range policies {
			t.Run(policy.Name, func(t *testing.T) {
				t.Parallel()
				results[i] = compare(t, c, policy)
			})
		}
	})
	assert.DeepEqual(t, missedTargets(results[0], results[1], results[2]), []string(nil))
	assert.Assert(t, len(missedTargets(results[1], results[1], results[2])) == 2, "round robin passed the check")
}

// TestRunIsDeterministic checks that equal seeds give equal results, so that policies
// can be compared.
func TestRunIsDeterministic(t *testing.T) {
	c := queuesim.Case{Entries: 10, Endpoints: 16, LoadPercent: 80, WarmUp: time.Second, Measured: 10 * time.Second, Seed: seed}
	first, err := queuesim.Run(c, queuesim.ProbeDefault)
	assert.NilError(t, err)
	second, err := queuesim.Run(c, queuesim.ProbeDefault)
	assert.NilError(t, err)
	assert.Equal(t, first, second)
}
