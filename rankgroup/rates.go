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
	// loadSlowdown is the relative increase of the pass time while experts are
	// copied, by the platform's description of its engines.
	loadSlowdown = 0.15
	// planningHorizon is the time over which a change has to pay for itself: the
	// demand shifts every three to four seconds. It is at least
	// horizonChanges times the duration of a change of one load.
	planningHorizon = 3 * time.Second
	horizonChanges  = 3
	// maxBatchTime bounds the time for the weight loads of one change, maxBatchLoads
	// their number, which determines the processor time of a decision.
	maxBatchTime  = 900 * time.Millisecond
	maxBatchLoads = 400
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
)

// loadTime returns the time in which a rank loads one expert. The lower bound
// avoids a division by zero for loads that take almost no time.
func loadTime(e *route.Experts) time.Duration {
	seconds := float64(e.ExpertBytes) / e.LoadBytesPerSecond
	return max(time.Duration(seconds*float64(time.Second)), time.Microsecond)
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

// Pace holds the times of a group's passes and switches.
type Pace struct {
	// SwitchTime is the time from the last weight load until a new map is in force.
	SwitchTime time.Duration
	// Pass is the time of a pass without skew, zero if it is unknown. TargetGap is
	// the target for the pause between two events of an answer, zero for none.
	Pass, TargetGap time.Duration
}

// skewFactor returns the ratio of the time of a pass with the given skew to that of
// one without. All of the experts' work grows with the skew: passes were measured to
// take 0.15 + 0.85 x skew of the even time at a WorkShare of 0.85.
func skewFactor(e *route.Experts, skew float64) float64 {
	return 1 + e.WorkShare*(skew-1)
}

// NewPolicy returns the placement policy for the rates of a group. weight is the
// weight of a gain in step time.
func NewPolicy(e *route.Experts, ranks int, weight float64, pace Pace) placement.Policy {
	load := loadTime(e)
	horizon := max(planningHorizon, horizonChanges*(pace.SwitchTime+load))
	loads := min(max(int(maxBatchTime/load), 1), max(maxBatchLoads/ranks, 1), e.Layers*e.SpareSlots)
	// A load slows the whole group. All ranks load at the same time, so their
	// loads share this cost.
	move := loadSlowdown * load.Seconds() / horizon.Seconds() / float64(ranks) * float64(e.Layers*e.ExpertsPerLayer)
	return placement.Policy{
		Objective: deployment.Objective{Skew: e.WorkShare * weight, Move: move}, ExpertBytes: e.ExpertBytes,
		Horizon: horizon, MaxLoadTime: time.Duration(loads) * load, StoreShare: 1, MaxAge: placement.DefaultMaxAge,
		ReservedSlots: e.SpareSlots, MaxLoadsPerLayer: e.SpareSlots, MaxLoadsPerRank: loads,
		LoadTime: load, SwitchTime: pace.SwitchTime, LoadSlowdown: loadSlowdown,
		StepTime: pace.Pass, TargetStep: pace.targetStep(), SkewedPart: e.WorkShare,
	}
}

// targetStep returns the target for the time of a pass, zero while the time of a pass
// is unknown.
func (p Pace) targetStep() time.Duration {
	if p.Pass <= 0 {
		return 0
	}
	return p.TargetGap
}
