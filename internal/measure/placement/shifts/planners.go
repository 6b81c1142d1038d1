package shifts

import (
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/deployment"
	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
	"github.com/cyclamenpoint/cyclamenpoint/placement"
	"github.com/cyclamenpoint/cyclamenpoint/rankgroup"
)

// Static keeps the map with which a group forms.
type Static struct{}

// Decide implements Planner.
func (Static) Decide(inForce expertmap.Map, _ Observation) (placement.Decision, error) {
	return placement.Decision{Map: inForce}, nil
}

// Current is the policy of the agents.
type Current struct{ Group Group }

// Decide implements Planner.
func (p Current) Decide(inForce expertmap.Map, o Observation) (placement.Decision, error) {
	return p.Group.decide(p.policy(o), inForce, o.Running)
}

func (p Current) policy(o Observation) placement.Policy {
	return rankgroup.NewPolicy(&p.Group.Experts, p.Group.Ranks, 1, rankgroup.Pace{SwitchTime: SwitchPasses * o.Pass, Pass: p.Group.Pass, TargetGap: TargetGap})
}

// Foreseeing is the policy of the agents with the demand of the time in which the
// map will be in force, as a bound of what a better forecast can bring.
type Foreseeing struct{ Group Group }

// foreseenTime is the time after the switch whose demand Foreseeing knows.
const foreseenTime = 1500 * time.Millisecond

// Decide implements Planner.
func (p Foreseeing) Decide(inForce expertmap.Map, o Observation) (placement.Decision, error) {
	from := SwitchPasses*o.Pass + p.Group.CopyTime()
	return p.Group.decide(Current(p).policy(o), inForce, o.Future(from, from+foreseenTime))
}

// Unlimited solves each window anew and loads as many experts as it needs.
type Unlimited struct{ Group Group }

// Decide implements Planner.
func (p Unlimited) Decide(inForce expertmap.Map, o Observation) (placement.Decision, error) {
	policy := Current(p).policy(o)
	policy.MaxLoadsPerRank, policy.LoadTime, policy.MaxLoadTime, policy.TargetStep = 0, 0, time.Hour, 0
	policy.Objective.Move, policy.StoreShare = 0, 1e9
	return p.Group.decide(policy, inForce, o.Running)
}

// FixedTime gives each change a fixed time for its loads and follows an average of
// the demand.
type FixedTime struct {
	Group Group
	mean  []float64
}

const (
	// fixedLoadTime is the time for the loads of a change of FixedTime.
	fixedLoadTime = 250 * time.Millisecond
	// averageGain is the weight of the newest window in the average of FixedTime.
	averageGain = 0.4
)

// Decide implements Planner.
func (p *FixedTime) Decide(inForce expertmap.Map, o Observation) (placement.Decision, error) {
	if p.mean == nil {
		p.mean = append([]float64(nil), o.Running...)
	}
	for i, x := range o.Running {
		p.mean[i] += averageGain * (x - p.mean[i])
	}
	e, load := &p.Group.Experts, p.Group.CopyTime()
	loads := max(fixedLoadTime, 2*o.Pass)
	horizon := max(2*time.Duration(e.Layers*e.SpareSlots)*load, 8*loads)
	move := copySlowdown * load.Seconds() / horizon.Seconds() / float64(p.Group.Ranks) * float64(e.Layers*e.ExpertsPerLayer)
	policy := placement.Policy{
		Objective: deployment.Objective{Skew: e.WorkShare, Move: move}, ExpertBytes: e.ExpertBytes, Horizon: horizon,
		MaxLoadTime: loads, StoreShare: 1, MaxAge: placement.DefaultMaxAge, ReservedSlots: e.SpareSlots,
		MaxLoadsPerLayer: e.SpareSlots, MaxLoadsPerRank: max(int(loads/load), 1),
	}
	return p.Group.decide(policy, inForce, p.mean)
}

// decide runs a policy for a demand.
func (g Group) decide(p placement.Policy, inForce expertmap.Map, demand []float64) (placement.Decision, error) {
	d, err := p.Decide(placement.Input{
		InForce: inForce, Loaded: inForce, Ranks: make([]placement.Rank, g.Ranks),
		Loads: placement.LoadEstimates{Share: demand, Variance: make([]float64, len(demand)), Windows: 1},
		Store: placement.WeightStore{BytesPerSecond: g.Experts.LoadBytesPerSecond * float64(g.Ranks)},
	})
	if d.Change && !rankgroup.WorthSwitching(d) {
		d.Change = false
	}
	return d, err
}
