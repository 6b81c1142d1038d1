package rankgroup

import (
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/deployment"
	"github.com/cyclamenpoint/cyclamenpoint/placement"
	"github.com/cyclamenpoint/cyclamenpoint/route"
)

// Parameters for the gain and the cost of a map change, at the rates of a
// group.
const (
	// copySlowdown is the relative increase of the pass time while experts are
	// copied, by the platform's description of its engines.
	copySlowdown = 0.15
	// horizonFills is the time over which a change has to pay for itself, as a
	// multiple of the time that a rank takes to fill its spare slots.
	horizonFills = 2
	// minUsefulUtilisation is the utilisation of the slots up to which a shorter
	// step brings no benefit. From fullUtilisation on, a gain counts in full;
	// the remaining slots are left for bursts.
	minUsefulUtilisation = 0.5
	fullUtilisation      = 0.85
	// onTimePassRatio is the ratio of the mean pass time to the target gap up
	// to which hardly any pass is late: the longest of the thirty passes of a
	// stream takes up to twice the mean. From latePassRatio on, streams are
	// late.
	onTimePassRatio = 0.55
	latePassRatio   = 0.8
	// slowRankSlowdown is the slowdown from which a rank counts as slow. The
	// passes of a busy group take about two thirds of the target gap (70 to 80
	// ms of 120 ms), so from this slowdown on all of them are late.
	slowRankSlowdown = 1.5
	// minHorizonCopyTimes is the minimum horizon, as a multiple of the time for
	// the copies of one change. Even if copies take almost no time, the horizon
	// has to be longer than the switch.
	minHorizonCopyTimes = 8
)

// spareFillTime returns the time that a rank takes to fill its spare slots.
func spareFillTime(e *route.Experts) time.Duration {
	copyOne := float64(e.ExpertBytes) / e.LoadBytesPerSecond
	return time.Duration(float64(e.Layers*e.SpareSlots) * copyOne * float64(time.Second))
}

// utilisationWeight returns the weight of a gain in step time, from 0 to 1, at
// the given utilisation of the slots: a shorter step helps only as far as there
// is work for it. The weight is 1 if a rank is slow, because it delays every
// step.
func utilisationWeight(utilisation float64, ranks []placement.Rank) float64 {
	for _, r := range ranks {
		if r.Slowdown >= slowRankSlowdown {
			return 1
		}
	}
	return min(max((utilisation-minUsefulUtilisation)/(fullUtilisation-minUsefulUtilisation), 0), 1)
}

// latencyWeight returns the weight of a gain in step time, from 0 to 1, at the
// given mean pass time and target gap.
func latencyWeight(pass, gap time.Duration) float64 {
	if gap <= 0 {
		return 0
	}
	return min(max((pass.Seconds()/gap.Seconds()-onTimePassRatio)/(latePassRatio-onTimePassRatio), 0), 1)
}

// newPolicy returns the placement policy for the rates of a group. weight is the
// weight of a gain in step time, copyTime the time for the copies of one change.
// The time of a single copy determines the cost of a change and the horizon over
// which the change has to pay for itself.
func newPolicy(e *route.Experts, ranks int, weight float64, copyTime time.Duration) placement.Policy {
	fillTime := spareFillTime(e)
	// The lower bound avoids a division by zero for copies that take almost no
	// time.
	copyOne := max(fillTime/time.Duration(max(e.Layers*e.SpareSlots, 1)), time.Microsecond)
	horizon := max(horizonFills*fillTime, minHorizonCopyTimes*copyTime)
	// A copy slows the whole group. All ranks copy at the same time, so their
	// copies share this cost.
	move := copySlowdown * copyOne.Seconds() / horizon.Seconds() / float64(ranks) * float64(e.Layers*e.ExpertsPerLayer)
	return placement.Policy{
		Objective: deployment.Objective{Skew: e.WorkShare * weight, Move: move}, ExpertBytes: e.ExpertBytes,
		Horizon: horizon, MaxLoadTime: copyTime, StoreShare: 1, MaxAge: placement.DefaultMaxAge,
		ReservedSlots: e.SpareSlots, MaxLoadsPerLayer: e.SpareSlots, MaxLoadsPerRank: max(int(copyTime/copyOne), 1),
	}
}
