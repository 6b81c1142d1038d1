package admission

import (
	"fmt"
	"testing"
	"time"
)

const simulatedTime = 600 * time.Second

// isolationTime returns the simulated time in which the small organisation sends
// about 2,400 requests.
func isolationTime(slots int) time.Duration { return 24_000 * time.Second / time.Duration(slots) }

// isolation returns a scenario with a small organisation that sends a tenth of
// the capacity and a large one that sends the given multiple of the capacity.
func isolation(slots, reserve int, large float64, o discipline) scenario {
	capacity, duration := float64(slots), isolationTime(slots)
	return scenario{
		slots: slots, reserve: reserve, meanRun: time.Second, deadline: 15 * time.Second,
		discipline: o, runNoise: 0.3, seed: 1,
		sources: []source{
			{org: "small", requestsPerSecond: 0.1 * capacity, duration: duration},
			{org: "large", requestsPerSecond: large * capacity, duration: duration},
		},
	}
}

// overload returns a scenario with ten organisations of unequal demand that send
// the given multiple of the capacity of 16 slots.
func overload(load float64, o discipline) scenario {
	s := scenario{slots: 16, meanRun: time.Second, deadline: 8 * time.Second, discipline: o, runNoise: 0.3, seed: 2}
	for i := range 10 {
		requestsPerSecond := load * 16 * float64(i+1) / 55
		s.sources = append(s.sources, source{org: fmt.Sprintf("org%d", i), requestsPerSecond: requestsPerSecond, duration: simulatedTime})
	}
	return s
}

// goodput returns the fraction of the slot time that was used by requests that
// finished before their deadline.
func (res *results) goodput(slots int, length time.Duration) float64 {
	return res.slotTime.Seconds() / (float64(slots) * (length - warmUp).Seconds())
}

func sum(all map[string]*results) *results {
	s := &results{}
	for _, o := range all {
		s.add(o)
	}
	return s
}

// TestIsolation checks that a burst of four times the capacity raises the p99
// latency of a small organisation by at most 20%, and that none of its requests
// is refused.
func TestIsolation(t *testing.T) {
	for _, slots := range []int{4, 16} {
		calm := isolation(slots, 0, 0.5, fair).run(t)["small"]
		burst := isolation(slots, 0, 4, fair).run(t)["small"]
		before, after := quantile(calm.latencies, .99), quantile(burst.latencies, .99)
		if float64(after) > 1.2*float64(before) || burst.refused > 0 {
			t.Errorf("%d slots: p99 %v -> %v, %d refused", slots, before, after, burst.refused)
		}
	}
	// Injected fault: with one queue for all organisations the check fails.
	burst := isolation(16, 0, 4, fifo).run(t)["small"]
	calm := isolation(16, 0, 0.5, fifo).run(t)["small"]
	if float64(quantile(burst.latencies, .99)) <= 1.2*float64(quantile(calm.latencies, .99)) {
		t.Error("the check does not detect a queue without fairness")
	}
}

// TestOverload checks that at twice the capacity the goodput is within 5% of its
// peak, and that 99% of refusals come without any wait.
func TestOverload(t *testing.T) {
	peak := 0.0
	for _, load := range []float64{0.8, 0.9, 1} {
		peak = max(peak, sum(overload(load, fair).run(t)).goodput(16, simulatedTime))
	}
	twice := sum(overload(2, fair).run(t))
	if got := twice.goodput(16, simulatedTime); got < 0.95*peak {
		t.Errorf("goodput %.3f of peak %.3f", got, peak)
	}
	if twice.lateRefused*100 > twice.refused {
		t.Errorf("%d of %d refusals came after waiting", twice.lateRefused, twice.refused)
	}
	// Injected fault: without deadlines the goodput drops and the check fails.
	if got := sum(overload(2, noDeadline).run(t)).goodput(16, simulatedTime); got >= 0.95*peak {
		t.Errorf("the check does not detect a queue without deadlines: %.3f", got)
	}
}

// TestMeasure prints the tables in docs/measurements/admission.md.
func TestMeasure(t *testing.T) {
	if !*measure {
		t.Skip("only with -measure")
	}
	disciplines := []struct {
		name string
		discipline
	}{
		{"fifo, no deadline", noDeadline}, {"fifo", fifo}, {"lifo", lifo},
		{"round robin", roundRobin}, {"fair", fair}, {"fair, lifo inside", lifoPerOrganisation},
	}
	for _, slots := range []int{4, 16, 64} {
		for _, o := range disciplines {
			printIsolation(t, o.name, slots, 0, o.discipline)
		}
		for reserve := 1; reserve <= 3; reserve++ {
			printIsolation(t, fmt.Sprintf("fair, reserve %d", reserve), slots, reserve, fair)
		}
	}
	for _, o := range disciplines {
		for _, load := range []float64{0.5, 0.8, 0.9, 1, 1.5, 2, 4} {
			s := sum(overload(load, o.discipline).run(t))
			fmt.Printf("| %s | %.1f | %.3f | %.3f | %.3f | %.4f | %v |\n", o.name, load, s.goodput(16, simulatedTime),
				ratio(s.late, s), ratio(s.refused, s), ratio(s.lateRefused, s), ms(quantile(s.latencies, .99)))
		}
	}
}

func printIsolation(t *testing.T, name string, slots, reserve int, o discipline) {
	calm := isolation(slots, reserve, 0.5, o).run(t)["small"]
	all := isolation(slots, reserve, 4, o).run(t)
	burst := all["small"]
	fmt.Printf("| %s | %d | %v → %v | %v → %v | %.3f | %.3f |\n", name, slots,
		ms(quantile(calm.waits, .99)), ms(quantile(burst.waits, .99)),
		ms(quantile(calm.latencies, .99)), ms(quantile(burst.latencies, .99)),
		ratio(burst.refused, burst), sum(all).goodput(slots, isolationTime(slots)))
}

func ms(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

func ratio(n int, res *results) float64 { return float64(n) / float64(res.offered) }
