package picker

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fleetSim simulates many entry nodes that choose from the same outdated reports.
type fleetSim struct {
	rng *rand.Rand
	// running counts the requests of each endpoint, ends holds when each of them
	// ends.
	running  []int
	ends     [][]time.Duration
	reported []float64
	// overflow counts the requests that found no free slot.
	overflow int
	// maxRunning is the highest number of requests at one endpoint.
	maxRunning int
}

// choiceFunc chooses an endpoint; unreported is the number of requests that all entry
// nodes send between two reports.
type choiceFunc func(endpoints []ReportedEndpoint, unreported float64, rng *rand.Rand) int

// runFleet sends perSecond requests of the given mean length for one minute to
// endpoints whose load is reported once per lag, and returns the fleet.
func runFleet(pick choiceFunc, endpoints, slots int, perSecond float64, length, lag time.Duration) *fleetSim {
	f := &fleetSim{rng: rand.New(rand.NewPCG(5, 6)), running: make([]int, endpoints), ends: make([][]time.Duration, endpoints), reported: make([]float64, endpoints)}
	const tick = time.Millisecond
	for now := time.Duration(0); now < time.Minute; now += tick {
		f.finish(now)
		if now%lag == 0 {
			for i, n := range f.running {
				f.reported[i] = float64(n)
			}
		}
		if f.rng.Float64() >= perSecond*tick.Seconds() {
			continue
		}
		candidates := make([]ReportedEndpoint, endpoints)
		for i := range candidates {
			candidates[i] = ReportedEndpoint{Slots: slots, Load: f.reported[i]}
		}
		i := pick(candidates, perSecond*lag.Seconds(), f.rng)
		if i < 0 || f.running[i] >= slots {
			f.overflow++
		}
		if i < 0 {
			continue
		}
		f.running[i]++
		f.maxRunning = max(f.maxRunning, f.running[i])
		f.ends[i] = append(f.ends[i], now+length/2+time.Duration(f.rng.Int64N(int64(length))))
	}
	return f
}

func (f *fleetSim) finish(now time.Duration) {
	for i, ends := range f.ends {
		kept := ends[:0]
		for _, end := range ends {
			if end > now {
				kept = append(kept, end)
				continue
			}
			f.running[i]--
		}
		f.ends[i] = kept
	}
}

func leastLoaded(candidates []ReportedEndpoint, _ float64, _ *rand.Rand) int {
	best := 0
	for i := range candidates {
		if candidates[i].Load < candidates[best].Load {
			best = i
		}
	}
	return best
}

func random(list []ReportedEndpoint, _ float64, rng *rand.Rand) int { return rng.IntN(len(list)) }

func reportPolicy(endpoints []ReportedEndpoint, unreported float64, rng *rand.Rand) int {
	return DefaultReportPolicy.Choose(endpoints, Work{Unreported: unreported}, rng).Index
}

// TestStaleReports simulates the normal load of 16 endpoints with 12 slots: 75
// requests per second of 1 s each, with load reports every 250 ms. The policy always
// finds a free slot at the first endpoint that it chooses. Choosing the least loaded
// endpoint overloads it, and a random endpoint is full at times.
func TestStaleReports(t *testing.T) {
	const endpoints, slots = 16, 12
	policyRun := runFleet(reportPolicy, endpoints, slots, 75, time.Second, 250*time.Millisecond)
	leastRun := runFleet(leastLoaded, endpoints, slots, 75, time.Second, 250*time.Millisecond)
	randomRun := runFleet(random, endpoints, slots, 75, time.Second, 250*time.Millisecond)
	assert.Equal(t, policyRun.overflow, 0, "up to %d requests at one endpoint", policyRun.maxRunning)
	assert.Assert(t, leastRun.overflow > 100, "least loaded: %d", leastRun.overflow)
	assert.Assert(t, policyRun.maxRunning < randomRun.maxRunning, "up to %d requests at one endpoint, random %d", policyRun.maxRunning, randomRun.maxRunning)
}

// TestHeavyLoad checks that with nine tenths of the slots in use the policy chooses a
// full endpoint less often than a random choice or the least loaded endpoint does.
func TestHeavyLoad(t *testing.T) {
	const endpoints, slots = 16, 12
	policyRun := runFleet(reportPolicy, endpoints, slots, 170, time.Second, 250*time.Millisecond)
	randomRun := runFleet(random, endpoints, slots, 170, time.Second, 250*time.Millisecond)
	leastRun := runFleet(leastLoaded, endpoints, slots, 170, time.Second, 250*time.Millisecond)
	assert.Assert(t, policyRun.overflow < min(randomRun.overflow, leastRun.overflow), "%d, random %d, least loaded %d found no free slot", policyRun.overflow, randomRun.overflow, leastRun.overflow)
}

// TestMissingReports stops one of 16 endpoints, and its reports with it: it gets no
// requests. If most reports stop, as when the reporting processes are killed, all
// endpoints stay in use.
func TestMissingReports(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	fleet := func(reporting int) []ReportedEndpoint {
		candidates := make([]ReportedEndpoint, 16)
		for i := range candidates {
			candidates[i] = ReportedEndpoint{Slots: 12, Stale: i >= reporting}
			if i < reporting {
				candidates[i].Load, candidates[i].Reported = 6, true
			}
		}
		return candidates
	}
	chosen := func(reporting int) map[int]int {
		count := make(map[int]int)
		for range 1600 {
			count[DefaultReportPolicy.Choose(fleet(reporting), Work{Unreported: 20}, rng).Index]++
		}
		return count
	}
	assert.Equal(t, chosen(15)[15], 0)
	starting := fleet(15)
	starting[15].Stale = false
	assert.Assert(t, !Unresponsive(starting, 15), "an endpoint that has not reported yet counts as unresponsive")
	few := chosen(4)
	for i := range 16 {
		assert.Assert(t, few[i] > 50 && few[i] < 200, "endpoint %d got %d of 1600", i, few[i])
	}
}

func TestChoose(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	full := ReportedEndpoint{Slots: 2, Load: 4}
	free := ReportedEndpoint{Slots: 2}
	unhealthy := ReportedEndpoint{Slots: 2, Unhealthy: true}
	tried := ReportedEndpoint{Slots: 2, Tried: true}
	excluded := ReportedEndpoint{Slots: 2, Excluded: true}
	for _, c := range []struct {
		name       string
		candidates []ReportedEndpoint
		want       Choice
	}{
		{"none", nil, Choice{Index: -1}},
		{"the free one", []ReportedEndpoint{full, tried, excluded, unhealthy, free}, Choice{Index: 4, Usable: 2, Full: 1}},
		{"all full", []ReportedEndpoint{full, full}, Choice{Index: -1, Usable: 2, Full: 2}},
		{"an unhealthy one if no other is left", []ReportedEndpoint{tried, excluded, unhealthy}, Choice{Index: 2, Usable: 1, Unhealthy: true}},
		{"no unhealthy one while others are only full", []ReportedEndpoint{full, unhealthy}, Choice{Index: -1, Usable: 1, Full: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, DefaultReportPolicy.Choose(c.candidates, Work{}, rng), c.want)
		})
	}
}

// runSlowGroup simulates 30 s of streams on two groups of 8 endpoints; a pass of the
// second group takes 0.6 s instead of 70 ms. The policy gets the pass times if
// withPassTime is set. It returns the number of streams that arrived, that finished
// without a pause above the limit, that finished at all, and that were refused.
func runSlowGroup(perSecond float64, withPassTime bool, rng *rand.Rand) (arrived, onTime, served, refused int) {
	const (
		tick, events, slots = 10 * time.Millisecond, 28, 12
		gap, timeout        = 120 * time.Millisecond, 8 * time.Second
		reportEvery         = 15 // ticks
	)
	pass := [2]time.Duration{70 * time.Millisecond, 600 * time.Millisecond}
	type stream struct{ ends time.Duration }
	var running [16][]stream
	var reported [16]float64
	for at := time.Duration(0); at < 30*time.Second; at += tick {
		for i := range running {
			running[i] = slices.DeleteFunc(running[i], func(s stream) bool { return at >= s.ends })
			if at/tick%reportEvery == 0 {
				reported[i] = float64(len(running[i]))
			}
		}
		for range int(perSecond*tick.Seconds() + rng.Float64()) {
			arrived++
			candidates := make([]ReportedEndpoint, 16)
			for i := range candidates {
				candidates[i] = ReportedEndpoint{Slots: slots, Load: reported[i], Reported: true}
				if withPassTime {
					candidates[i].PassTime = pass[i/8]
				}
			}
			work := Work{Unreported: perSecond * 0.15, Passes: events, MaxGap: gap, Remaining: timeout}
			chosen := DefaultReportPolicy.Choose(candidates, work, rng).Index
			if chosen < 0 || len(running[chosen]) >= slots+2 {
				refused++
				continue
			}
			duration := events * pass[chosen/8]
			running[chosen] = append(running[chosen], stream{ends: at + min(duration, timeout)})
			if duration <= timeout {
				served++
				if pass[chosen/8] <= gap {
					onTime++
				}
			}
		}
	}
	return arrived, onTime, served, refused
}

// TestSlowGroup makes one of two groups so slow that no request finishes there in
// time. The other group must be fully used and the remaining requests refused at
// once; without the pass times many requests would go to the slow group and miss
// their deadline.
func TestSlowGroup(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	// The healthy group finishes 96 streams in 2 s.
	for _, perSecond := range []float64{30, 45} {
		arrived, onTime, served, refused := runSlowGroup(perSecond, true, rng)
		assert.Assert(t, onTime > arrived*95/100 && refused <= arrived/20, "%g per second: %d of %d on time, %d refused", perSecond, onTime, arrived, refused)
		assert.Equal(t, served, onTime)
		_, withoutTimes, _, _ := runSlowGroup(perSecond, false, rng)
		assert.Assert(t, withoutTimes < arrived*85/100, "%g per second, without pass times: %d of %d on time", perSecond, withoutTimes, arrived)
	}
	arrived, onTime, served, refused := runSlowGroup(75, true, rng)
	assert.Assert(t, onTime > 48*30*95/100, "slots of the healthy group are unused: %d of %d on time", onTime, arrived)
	assert.Equal(t, served+refused, arrived, "requests missed their deadline")
}

// TestSlowEndpointsAreLastChoice checks that a group with slow passes is chosen only
// if the faster ones are full, and that an endpoint that is slower than expected gets
// fewer requests.
func TestSlowEndpointsAreLastChoice(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	work := Work{Unreported: 5, Passes: 10, MaxGap: 100 * time.Millisecond, Remaining: 8 * time.Second}
	slowPasses := ReportedEndpoint{Slots: 4, PassTime: 300 * time.Millisecond}
	stalled := ReportedEndpoint{Slots: 4, PassTime: 50 * time.Millisecond, PassElapsed: 300 * time.Millisecond}
	fast := ReportedEndpoint{Slots: 4, PassTime: 90 * time.Millisecond}
	full := fast
	full.Load = 6
	cannotFinish := ReportedEndpoint{Slots: 4, PassTime: 2 * time.Second}
	for range 50 {
		assert.Equal(t, DefaultReportPolicy.Choose([]ReportedEndpoint{slowPasses, stalled, fast, cannotFinish}, work, rng).Index, 2)
	}
	assert.Equal(t, DefaultReportPolicy.Choose([]ReportedEndpoint{slowPasses, full, cannotFinish}, work, rng).Index, 0)
	assert.DeepEqual(t, DefaultReportPolicy.Choose([]ReportedEndpoint{full, cannotFinish}, work, rng), Choice{Index: -1, Usable: 2, Full: 1, TooSlow: 1})
	endless := work
	endless.Passes = 1e300
	assert.DeepEqual(t, DefaultReportPolicy.Choose([]ReportedEndpoint{fast}, endless, rng), Choice{Index: -1, Usable: 1, TooSlow: 1})
	slow := fast
	slow.Slowdown = 9
	taken := 0
	for range 1000 {
		taken += DefaultReportPolicy.Choose([]ReportedEndpoint{fast, slow}, work, rng).Index
	}
	assert.Assert(t, taken > 50 && taken < 200, "slow endpoint got %d of 1000, expected about 100", taken)
}

// TestColdEndpoints checks that an endpoint that is cold gets about half as many requests as
// a warm one with the same load, and still more than one that is much fuller.
func TestColdEndpoints(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	share := func(warmLoad float64) float64 {
		const draws = 20000
		cold := 0
		for range draws {
			endpoints := []ReportedEndpoint{{Slots: 10, Cold: true}, {Slots: 10, Load: warmLoad}}
			if DefaultReportPolicy.Choose(endpoints, Work{Unreported: 6}, rng).Index == 0 {
				cold++
			}
		}
		return float64(cold) / float64(draws)
	}
	assert.Assert(t, math.Abs(share(0)-1.0/3) < 0.02, "%g", share(0))
	assert.Assert(t, share(5) > 0.7, "%g", share(5))
}
