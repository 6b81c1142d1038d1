// Package placement decides which ranks of a group hold which experts. It has
// no side effects: Policy.Decide computes a Decision from an immutable Input,
// and the Estimator computes the load estimates of an Input from load reports.
// The package reads no clock, calls no other process and sends no orders to
// engines.
//
// A token passes through every layer, and in each layer all ranks wait for the
// slowest one. So the time of a step is the sum over the layers of the largest
// rank load, and the skew of a step is this sum divided by the sum of the mean
// rank loads. The load of a replicated expert is split evenly between its
// replicas.
//
// A weight load transfers the weights of an expert into a slot. The load of an
// expert or a rank is its share of the computation.
package placement

import (
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/deployment"
	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
)

// Policy holds the parameters of a decision. All deployments use the same
// policy and differ only in the weights of the objective. A Policy is safe for
// concurrent use.
type Policy struct {
	// Objective holds the weights of skew and moves.
	Objective deployment.Objective
	// ExpertBytes is the size of one expert's weights, in bytes.
	ExpertBytes int64
	// Horizon is the time over which a change has to pay for itself.
	Horizon time.Duration
	// MaxLoadTime bounds the time for the weight loads of one decision.
	MaxLoadTime time.Duration
	// StoreShare is the part of the weight store's rate that rebalancing may
	// use, above 0 and up to 1. Repairs use the whole rate.
	StoreShare float64
	// MaxAge is the age, in windows, above which load estimates are not used.
	MaxAge int64
	// ReservedSlots is the number of slots of each rank and layer that no map
	// uses, so that weights can always be loaded into them. If it is zero, one
	// slot is kept free where possible.
	ReservedSlots int
	// MaxLoadsPerLayer bounds the weight loads of one decision for one rank in
	// one layer; zero for no bound.
	MaxLoadsPerLayer int
	// MaxLoadsPerRank bounds the weight loads of one decision for one rank over
	// all layers; zero for no bound. Ranks load concurrently, so the rank with
	// the most loads determines when the map comes into force.
	MaxLoadsPerRank int
	// LoadTime is the time of one weight load at a rank, for groups whose ranks
	// load concurrently, each at its own rate. If it is set, it replaces the
	// rate of the weight store: Decide compares batches with different numbers
	// of loads per rank, up to MaxLoadsPerRank, by the mean skew over Horizon.
	LoadTime time.Duration
	// SwitchTime is the time from the last weight load until the map is in
	// force. It is used with LoadTime.
	SwitchTime time.Duration
	// LoadSlowdown is the relative increase of the step time while weights are
	// loaded. It is used with LoadTime.
	LoadSlowdown float64
	// StepTime is the time of a step without skew, TargetStep the time above which
	// a step is late. SkewedPart is the part of StepTime that grows with the skew.
	// They are used with LoadTime; without a TargetStep no step is late.
	StepTime, TargetStep time.Duration
	SkewedPart           float64
}

// Defaults of a Policy.
const (
	DefaultHorizon     = 10 * time.Minute
	DefaultMaxLoadTime = 10 * time.Second
	DefaultStoreShare  = 0.5
	DefaultMaxAge      = 30 // windows
)

// NewPolicy returns the policy of a configured group.
func NewPolicy(g deployment.Group) Policy {
	return Policy{
		Objective:   g.Objective,
		ExpertBytes: g.ExpertBytes,
		Horizon:     DefaultHorizon,
		MaxLoadTime: DefaultMaxLoadTime,
		StoreShare:  DefaultStoreShare,
		MaxAge:      DefaultMaxAge,
	}
}

// Input is the input of a decision. Decide does not change it.
type Input struct {
	// InForce is the expert map in force.
	InForce expertmap.Map
	// Loaded holds the weights in the memory of each rank by slot, including
	// those that the map in force does not use. It has the shape of InForce.
	Loaded expertmap.Map
	// Ranks holds the group's ranks in order. Their number differs from that of
	// InForce after the group has grown or shrunk.
	Ranks []Rank
	// Loads holds the load estimates.
	Loads LoadEstimates
	// Store is the state of the weight store.
	Store WeightStore
}

// Rank is the state of one rank.
type Rank struct {
	// FailureDomain is the failure domain of the rank's VM.
	FailureDomain string
	// Lost is true if the rank has left the group.
	Lost bool
	// Slowdown is the ratio of this rank's time to that of a normal rank for the
	// same work; values below 1 count as 1. All ranks wait for the slowest, so a
	// slow rank gets fewer experts.
	Slowdown float64
}

// slowdown returns Slowdown, at least 1.
func (r Rank) slowdown() float64 { return max(r.Slowdown, 1) }

// WeightStore is the state of the weight store for the group.
type WeightStore struct {
	// Down is true during an outage, when no weights can be loaded.
	Down bool
	// BytesPerSecond is the rate limit of the group.
	BytesPerSecond float64
}

// Reason is the reason for a Decision.
type Reason string

// The reasons for a Decision.
const (
	// ReasonNoChange: no change is worth its cost.
	ReasonNoChange Reason = "no change is worth its cost"
	// ReasonNoEstimate: there are no load estimates yet.
	ReasonNoEstimate Reason = "no load estimates yet"
	// ReasonOldEstimate: the load estimates are too old.
	ReasonOldEstimate Reason = "load estimates are too old"
	// ReasonRebalance: the change lowers the objective.
	ReasonRebalance Reason = "the change lowers the objective"
	// ReasonStoreDown: only weights that are already loaded could be used.
	ReasonStoreDown Reason = "weight store is down, loaded weights only"
	// ReasonRepair: experts that no rank held had to be placed.
	ReasonRepair Reason = "experts without a rank were placed"
	// ReasonResize: the number of ranks has changed.
	ReasonResize Reason = "the group has another number of ranks"
)

// Decision is the result of Policy.Decide.
type Decision struct {
	// Map is the map to put in force once Moves are loaded. It equals the map
	// in force if Change is false.
	Map expertmap.Map
	// Moves are the weight loads that Map needs, ordered by layer, rank and
	// slot. Move.From is the expert that is loaded in the slot now. Only a
	// repair may load into a slot that the map in force uses.
	Moves []expertmap.Move
	// Change is true if Map differs from the map in force.
	Change bool
	// Before and After are the terms of the objective without and with the
	// change. Before a repair the skew covers only experts that some rank
	// holds.
	Before, After ObjectiveTerms
	// Reason is the reason for the decision.
	Reason Reason
}

// Decide chooses the next map. It returns an *InputError if the fields of the
// Input do not fit together, an *expertmap.NotLoadedError if a live rank lacks
// weights that the map in force uses, and an *UnservableError if no rank holds
// some expert and it cannot be loaded now.
func (p Policy) Decide(in Input) (Decision, error) {
	s, err := newSearch(p, in)
	if err != nil {
		return Decision{}, err
	}
	if err := s.repair(); err != nil {
		return Decision{}, err
	}
	reason := s.reason()
	if reason != ReasonRebalance && reason != ReasonStoreDown {
		return s.decision(reason)
	}
	if p.LoadTime > 0 && p.MaxLoadsPerRank > 0 {
		return s.bestBatch(reason)
	}
	s.rebalance()
	return s.decision(reason)
}

// reason returns the reason that holds before rebalancing. Only ReasonRebalance
// and ReasonStoreDown permit rebalancing.
func (s *search) reason() Reason {
	switch {
	case s.repaired > 0:
		return ReasonRepair
	case s.in.Loads.Windows == 0:
		return ReasonNoEstimate
	case s.in.Loads.Age > s.policy.MaxAge:
		return ReasonOldEstimate
	case s.in.Store.Down:
		return ReasonStoreDown
	}
	return ReasonRebalance
}

// decision returns the result of the search.
func (s *search) decision(reason Reason) (Decision, error) {
	d := Decision{Map: s.draft.Map(), Reason: reason}
	d.Change = !d.Map.Equal(s.base)
	if !d.Change && (reason == ReasonRebalance || reason == ReasonStoreDown) {
		d.Reason = ReasonNoChange
	}
	if s.resized && reason != ReasonRepair {
		d.Reason = ReasonResize
	}
	d.Change = d.Change || s.resized
	moves, err := expertmap.WeightLoads(s.loaded, d.Map)
	if err != nil {
		return Decision{}, err
	}
	d.Moves = moves
	changes, err := expertmap.WeightLoads(s.base, d.Map)
	if err != nil {
		return Decision{}, err
	}
	d.Before = s.policy.terms(s.base, s.in, changeInfo{})
	d.After = s.policy.terms(d.Map, s.in, changeInfo{
		loads:       len(moves),
		reused:      len(changes) - len(moves),
		rankLoads:   maxLoadsOfRank(moves, s.group.shape.Ranks),
		rate:        s.loadRate(),
		before:      &d.Before,
		withoutMove: !d.Change,
	})
	return d, nil
}
