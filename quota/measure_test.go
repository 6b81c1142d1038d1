package quota

import (
	"fmt"
	"testing"
	"time"
)

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// burst is half of the limit, and ten times the limit from a minute on.
func burst(limit float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at < time.Minute {
			return limit / 2
		}
		return 10 * limit
	}
}

// overshoot is what came through above the limit, in seconds of the limit, in
// the stretch after the burst began.
func overshoot(s seen, limit float64, stretch int) float64 {
	sum := 0.0
	for _, n := range s.admitted[60 : 60+stretch] {
		sum += float64(n) - limit
	}
	return sum / limit
}

// TestMeasure prints the tables of docs/measurements/quota.md.
func TestMeasure(t *testing.T) {
	if !*measure {
		t.Skip("only with -measure")
	}
	for _, n := range []int{2, 10, 350} {
		for _, limit := range []float64{5, 100} {
			ways := []func() way{
				func() way { return newStatic(n, limit) },
				func() way { return newDemandSplit(t, n, limit) },
				func() way { return newLimiters(t, n, limit, DefaultWindow) },
				func() way { return newLimiters(t, n, limit, 2*time.Second) },
			}
			for _, skew := range []float64{0, 1.5} {
				for _, load := range []float64{0.9, 1, 1.2, 2, 10} {
					r := run{entries: n, skew: skew, length: 330 * time.Second, demand: steady(load * limit), seed: 3}
					line := fmt.Sprintf("| %d | %g | %g | %.1f |", n, limit, load, skew)
					for _, mk := range ways {
						s := r.play(t, mk)
						line += fmt.Sprintf(" %.3f, %.2f |", mean(s.admitted)/min(mean(s.offered), limit), most(s.admitted, 10)/limit)
					}
					fmt.Println(line)
				}
				r := run{entries: n, skew: skew, length: 100 * time.Second, demand: burst(limit), seed: 4}
				line := fmt.Sprintf("| %d | %g | burst | %.1f |", n, limit, skew)
				for _, mk := range ways {
					s := r.play(t, mk)
					line += fmt.Sprintf(" %.1f s, %.1f s |", overshoot(s, limit, 5), overshoot(s, limit, 30))
				}
				fmt.Println(line)
			}
		}
	}
}
