// Package placement decides which ranks of a group hold which experts. It is
// pure: Policy.Decide reads an immutable Input and returns a Decision, and the
// Estimator beside it turns load reports into the estimates of an Input. Nothing
// here reads a clock, talks to another process or orders an engine.
//
// A token passes every layer, and all ranks wait for one another in each layer.
// So the step time is the sum over the layers of the largest rank load, and the
// skew of a step is that sum over the sum of the mean rank loads. The load of a
// replicated expert is split evenly over its replicas.
package placement

import (
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/deployment"
	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
)

// Policy holds what a decision depends on besides its Input. The same policy
// serves every deployment; only the weights differ. It is a value and safe for
// concurrent use.
type Policy struct {
	// Objective weighs skew against moves.
	Objective deployment.Objective
	// ExpertBytes is the size of one expert's weights, in bytes.
	ExpertBytes int64
	// Horizon is the time over which a change has to pay for itself.
	Horizon time.Duration
	// MaxLoadTime bounds the time that the loads of one decision may take.
	MaxLoadTime time.Duration
	// StoreShare is the part of the weight store's rate that rebalancing may
	// use, above 0 and up to 1. Repairs use the whole rate.
	StoreShare float64
	// MaxAge is the age in windows from which estimates are too old to act on.
	MaxAge int64
	// ReservedSlots is the number of slots of each rank and layer that no map uses:
	// they only take loads. Zero leaves it to the policy, which keeps one free
	// where it can.
	ReservedSlots int
	// MaxLoadsPerLayer bounds the loads of one rank in one layer and decision; zero sets
	// no bound.
	MaxLoadsPerLayer int
	// MaxLoadsPerRank bounds the loads of one rank in one decision, over all layers;
	// zero sets no bound. Ranks load side by side, so the one with the most loads
	// decides when the map is in force.
	MaxLoadsPerRank int
}

// Defaults of a Policy.
const (
	DefaultHorizon     = 10 * time.Minute
	DefaultMaxLoadTime = 10 * time.Second
	DefaultStoreShare  = 0.5
	DefaultMaxAge      = 30
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

// Input is the snapshot that a decision is made from. Decide does not change it.
type Input struct {
	// InForce is the expert map in force.
	InForce expertmap.Map
	// Loaded is what each rank has in its memory, slot by slot, weights that the
	// map in force does not use included. It has the shape of InForce.
	Loaded expertmap.Map
	// Ranks are the group's ranks in order. Their number may differ from that of
	// InForce when the group has grown or shrunk.
	Ranks []Rank
	// Loads are the load estimates.
	Loads LoadEstimates
	// Store is the state of the weight store.
	Store WeightStore
}

// Rank is what a decision needs to know of one rank.
type Rank struct {
	// FailureDomain is the failure domain of the rank's VM.
	FailureDomain string
	// Lost is true when the rank takes no part in the group any more.
	Lost bool
	// Slowdown is how many times as long as a usual rank it takes for the same work;
	// what is below 1 counts as 1. All ranks wait for a slow one, so it gets the
	// fewer experts.
	Slowdown float64
}

// pace is the rank's pace, at least 1.
func (r Rank) pace() float64 { return max(r.Slowdown, 1) }

// WeightStore is the state of the weight store as the group sees it.
type WeightStore struct {
	// Down is true during an outage: nothing can be loaded.
	Down bool
	// BytesPerSecond is the rate limit for the group.
	BytesPerSecond float64
}

// Reason says why a Decision is what it is.
type Reason string

// The reasons of a Decision.
const (
	// ReasonNoChange: no change is worth its cost.
	ReasonNoChange Reason = "no change is worth its cost"
	// ReasonNoEstimate: there are no load estimates yet.
	ReasonNoEstimate Reason = "no load estimates yet"
	// ReasonOldEstimate: the load estimates are too old to act on.
	ReasonOldEstimate Reason = "load estimates are too old"
	// ReasonRebalance: the change lowers the objective.
	ReasonRebalance Reason = "the change lowers the objective"
	// ReasonStoreDown: only weights that are already loaded could be used.
	ReasonStoreDown Reason = "weight store is down, loaded weights only"
	// ReasonRepair: experts that no rank held had to be placed.
	ReasonRepair Reason = "experts without a rank were placed"
	// ReasonResize: the group has another number of ranks.
	ReasonResize Reason = "the group has another number of ranks"
)

// Decision is the outcome of Policy.Decide.
type Decision struct {
	// Map is the map to put in force once Moves are loaded. It equals the map in
	// force when Change is false.
	Map expertmap.Map
	// Moves are the loads that Map needs, by layer, rank and slot. From is what
	// the slot has loaded now. Except after a repair no move touches a slot that
	// the map in force uses.
	Moves []expertmap.Move
	// Change is true when Map differs from the map in force.
	Change bool
	// Before and After are the terms of the objective without and with the
	// change. Before a repair the skew is that of the experts that are held.
	Before, After ObjectiveTerms
	// Reason says why.
	Reason Reason
}

// Decide chooses the next map. It returns an *InputError for an Input that does
// not fit together, an *expertmap.NotLoadedError if a rank that is not lost
// lacks weights that the map in force uses, and an *UnservableError if some
// expert is held by no rank and cannot be loaded now.
func (p Policy) Decide(in Input) (Decision, error) {
	s, err := newSearch(p, in)
	if err != nil {
		return Decision{}, err
	}
	if err := s.repair(); err != nil {
		return Decision{}, err
	}
	reason := s.reason()
	if reason == ReasonRebalance || reason == ReasonStoreDown {
		s.rebalance()
	}
	return s.decision(reason)
}

// reason says what the search may do, before it has found anything.
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

// decision puts the search's outcome together.
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
	d.Before = s.policy.terms(s.base, s.in, change{})
	d.After = s.policy.terms(d.Map, s.in, change{
		loads:    len(moves),
		regained: len(changes) - len(moves),
		rate:     s.rate(),
		before:   &d.Before,
	})
	return d, nil
}
