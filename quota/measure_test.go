package quota

import (
	"fmt"
	"testing"
	"time"
)

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// burst returns a demand of half the limit in the first minute and ten times the
// limit after that.
func burst(limit float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at < time.Minute {
			return limit / 2
		}
		return 10 * limit
	}
}

// overshoot returns the number of requests admitted above the limit, divided by
// the limit, in the given number of seconds after the start of the burst.
func overshoot(s series, limit float64, seconds int) float64 {
	sum := 0.0
	for _, n := range s.admitted[60 : 60+seconds] {
		sum += float64(n) - limit
	}
	return sum / limit
}

// TestMeasure prints the tables in docs/measurements/quota.md.
func TestMeasure(t *testing.T) {
	if !*measure {
		t.Skip("only with -measure")
	}
	for _, n := range []int{2, 10, 350} {
		for _, limit := range []float64{5, 100} {
			policies := []func() policy{
				func() policy { return newStaticSplit(n, limit) },
				func() policy { return newDemandSplit(t, n, limit) },
				func() policy { return newLimiterPolicy(t, n, limit, DefaultWindow) },
				func() policy { return newLimiterPolicy(t, n, limit, 2*time.Second) },
			}
			for _, skew := range []float64{0, 1.5} {
				for _, load := range []float64{0.9, 1, 1.2, 2, 10} {
					r := scenario{entries: n, skew: skew, length: 330 * time.Second, demand: steady(load * limit), seed: 3}
					line := fmt.Sprintf("| %d | %g | %g | %.1f |", n, limit, load, skew)
					for _, newPolicy := range policies {
						s := r.simulate(t, newPolicy)
						line += fmt.Sprintf(" %.3f, %.2f |", mean(s.admitted)/min(mean(s.offered), limit), maxMean(s.admitted, 10)/limit)
					}
					fmt.Println(line)
				}
				r := scenario{entries: n, skew: skew, length: 100 * time.Second, demand: burst(limit), seed: 4}
				line := fmt.Sprintf("| %d | %g | burst | %.1f |", n, limit, skew)
				for _, newPolicy := range policies {
					s := r.simulate(t, newPolicy)
					line += fmt.Sprintf(" %.1f s, %.1f s |", overshoot(s, limit, 5), overshoot(s, limit, 30))
				}
				fmt.Println(line)
			}
		}
	}
}
