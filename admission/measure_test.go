package admission

import (
	"fmt"
	"testing"
	"time"
)

const simulated = 600 * time.Second

// isolationTime gives the small organisation about 2,400 requests.
func isolationTime(slots int) time.Duration { return 24_000 * time.Second / time.Duration(slots) }

// isolation offers a small organisation at a tenth of the capacity and a large
// one at the given multiple of the capacity.
func isolation(slots, reserve int, large float64, o order) scenario {
	capacity, to := float64(slots), isolationTime(slots)
	return scenario{
		slots: slots, reserve: reserve, meanRun: time.Second, deadline: 15 * time.Second,
		order: o, runNoise: 0.3, seed: 1,
		sources: []source{
			{org: "small", perSec: 0.1 * capacity, to: to},
			{org: "large", perSec: large * capacity, to: to},
		},
	}
}

// overload offers ten organisations of unequal demand at a multiple of the
// capacity of 16 slots.
func overload(load float64, o order) scenario {
	s := scenario{slots: 16, meanRun: time.Second, deadline: 8 * time.Second, order: o, runNoise: 0.3, seed: 2}
	for i := range 10 {
		perSec := load * 16 * float64(i+1) / 55
		s.sources = append(s.sources, source{org: fmt.Sprintf("org%d", i), perSec: perSec, to: simulated})
	}
	return s
}

// goodput is the part of the slots' time that went into whole answers in time.
func (tl *tally) goodput(slots int, length time.Duration) float64 {
	return tl.slotTime.Seconds() / (float64(slots) * (length - warmUp).Seconds())
}

func sum(all map[string]*tally) *tally {
	s := &tally{}
	for _, o := range all {
		s.add(o)
	}
	return s
}

// TestIsolation: a burst of four times the capacity raises the p99 of a small
// organisation's whole answers by at most 20%, and none of them is refused.
func TestIsolation(t *testing.T) {
	for _, slots := range []int{4, 16} {
		calm := isolation(slots, 0, 0.5, fair).run(t)["small"]
		burst := isolation(slots, 0, 4, fair).run(t)["small"]
		before, after := quantile(calm.totals, .99), quantile(burst.totals, .99)
		if float64(after) > 1.2*float64(before) || burst.refused > 0 {
			t.Errorf("%d slots: p99 %v -> %v, %d refused", slots, before, after, burst.refused)
		}
	}
	// Planted fault: one queue for all is seen by the same figures.
	burst := isolation(16, 0, 4, fifo).run(t)["small"]
	calm := isolation(16, 0, 0.5, fifo).run(t)["small"]
	if float64(quantile(burst.totals, .99)) <= 1.2*float64(quantile(calm.totals, .99)) {
		t.Error("the check does not see a queue without fairness")
	}
}

// TestOverload: at twice the capacity the goodput is within 5% of its peak, and
// the p99 of refusals is without any wait.
func TestOverload(t *testing.T) {
	peak := 0.0
	for _, load := range []float64{0.8, 0.9, 1} {
		peak = max(peak, sum(overload(load, fair).run(t)).goodput(16, simulated))
	}
	twice := sum(overload(2, fair).run(t))
	if got := twice.goodput(16, simulated); got < 0.95*peak {
		t.Errorf("goodput %.3f of peak %.3f", got, peak)
	}
	if twice.lateRefused*100 > twice.refused {
		t.Errorf("%d of %d refusals came after waiting", twice.lateRefused, twice.refused)
	}
	// Planted fault: without deadlines the same figure collapses.
	if got := sum(overload(2, noDeadline).run(t)).goodput(16, simulated); got >= 0.95*peak {
		t.Errorf("the check does not see a queue without deadlines: %.3f", got)
	}
}

// TestMeasure prints the tables of docs/measurements/admission.md.
func TestMeasure(t *testing.T) {
	if !*measure {
		t.Skip("only with -measure")
	}
	orders := []struct {
		name string
		order
	}{
		{"fifo, no deadline", noDeadline}, {"fifo", fifo}, {"lifo", lifo},
		{"round robin", roundRobin}, {"fair", fair}, {"fair, lifo inside", lifoInside},
	}
	for _, slots := range []int{4, 16, 64} {
		for _, o := range orders {
			printIsolation(t, o.name, slots, 0, o.order)
		}
		for reserve := 1; reserve <= 3; reserve++ {
			printIsolation(t, fmt.Sprintf("fair, reserve %d", reserve), slots, reserve, fair)
		}
	}
	for _, o := range orders {
		for _, load := range []float64{0.5, 0.8, 0.9, 1, 1.5, 2, 4} {
			s := sum(overload(load, o.order).run(t))
			fmt.Printf("| %s | %.1f | %.3f | %.3f | %.3f | %.4f | %v |\n", o.name, load, s.goodput(16, simulated),
				ratio(s.late, s), ratio(s.refused, s), ratio(s.lateRefused, s), ms(quantile(s.totals, .99)))
		}
	}
}

func printIsolation(t *testing.T, name string, slots, reserve int, o order) {
	calm := isolation(slots, reserve, 0.5, o).run(t)["small"]
	all := isolation(slots, reserve, 4, o).run(t)
	burst := all["small"]
	fmt.Printf("| %s | %d | %v → %v | %v → %v | %.3f | %.3f |\n", name, slots,
		ms(quantile(calm.waits, .99)), ms(quantile(burst.waits, .99)),
		ms(quantile(calm.totals, .99)), ms(quantile(burst.totals, .99)),
		ratio(burst.refused, burst), sum(all).goodput(slots, isolationTime(slots)))
}

func ms(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

func ratio(n int, tl *tally) float64 { return float64(n) / float64(tl.offered) }
