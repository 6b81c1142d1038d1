package rankgroup

import (
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/deployment"
	"github.com/cyclamenpoint/cyclamenpoint/placement"
	"github.com/cyclamenpoint/cyclamenpoint/route"
)

// What a change of the map is worth and costs, at a group's own rates.
const (
	// copySlowdown is how much longer passes take while experts are copied, by
	// the platform's description of its engines.
	copySlowdown = 0.15
	// horizonCopies is the time over which a change has to pay for itself, in
	// times that a rank takes to fill its spare slots.
	horizonCopies = 2
	// idleBusy is the utilisation of the slots up to which a shorter step serves
	// nobody better, and fullBusy that from which each gain counts in full: the
	// rest is left to the bursts that fill them.
	idleBusy = 0.5
	fullBusy = 0.85
	// calmPass is the mean time of a pass, in parts of the longest pause that callers
	// bear, up to which hardly any pass is late: the longest of a stream's thirty
	// takes up to twice the mean. tensePass is that from which streams are late.
	calmPass  = 0.55
	tensePass = 0.8
	// slowPace is the pace from which a rank counts as slow: passes of a busy group
	// take about two thirds of the longest pause that callers bear (70 to 80 ms of
	// 120 measured on zilina-medreg), so from there on all of them are late.
	slowPace = 1.5
	// horizonBatches bounds the horizon from below, in batchTime: where a copy
	// takes next to nothing, a change still has to outlast its own making.
	horizonBatches = 8
)

// fillTime is how long a rank takes to fill its spare slots.
func fillTime(e *route.Experts) time.Duration {
	copyOne := float64(e.ExpertBytes) / e.LoadBytesPerSecond
	return time.Duration(float64(e.Layers*e.SpareSlots) * copyOne * float64(time.Second))
}

// worth is the part of a gain in step time that counts at a utilisation of the
// slots, from 0 to 1: a shorter step serves callers as far as there is work for
// it, or as a slow rank makes every step late.
func worth(busy float64, ranks []placement.Rank) float64 {
	for _, r := range ranks {
		if r.Slowdown >= slowPace {
			return 1
		}
	}
	return min(max((busy-idleBusy)/(fullBusy-idleBusy), 0), 1)
}

// worthInTime is the part of a gain in step time that counts where the caller
// bears a pause of gap between events, and a pass takes so long on average.
func worthInTime(pass, gap time.Duration) float64 {
	if gap <= 0 {
		return 0
	}
	return min(max((pass.Seconds()/gap.Seconds()-calmPass)/(tensePass-calmPass), 0), 1)
}

// policy returns the placement policy at the group's own rates: what a copy
// takes decides how far ahead a change has to pay, and what it costs. worth is
// the part of a gain in step time that counts, batch the time for the copies of
// one change.
func policy(e *route.Experts, ranks int, worth float64, batch time.Duration) placement.Policy {
	fill := fillTime(e)
	// Copies that take no time to speak of are not divided by.
	copyOne := max(fill/time.Duration(max(e.Layers*e.SpareSlots, 1)), time.Microsecond)
	horizon := max(horizonCopies*fill, horizonBatches*batch)
	// A copy slows the whole group, while all ranks copy side by side.
	move := copySlowdown * copyOne.Seconds() / horizon.Seconds() / float64(ranks) * float64(e.Layers*e.ExpertsPerLayer)
	return placement.Policy{
		Objective: deployment.Objective{Skew: e.WorkShare * worth, Move: move}, ExpertBytes: e.ExpertBytes,
		Horizon: horizon, MaxLoadTime: batch, StoreShare: 1, MaxAge: placement.DefaultMaxAge,
		ReservedSlots: e.SpareSlots, MaxLoadsPerLayer: e.SpareSlots, MaxLoadsPerRank: max(int(batch/copyOne), 1),
	}
}
