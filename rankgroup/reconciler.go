package rankgroup

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
)

// Goal is a state of one engine that a leader requests from the agent beside
// it.
type Goal struct {
	Kind GoalKind `json:"kind"`
	// Token is the leader's fencing token. Agents and engines refuse a token
	// that is older than one that they have seen.
	Token uint64 `json:"token"`
	// Leader is the rank beside which the leader runs, or noRank for a
	// recovery. Only agents of earlier builds read it.
	Leader int    `json:"leader"`
	Epoch  uint64 `json:"epoch"`
	// Version is the version of the map, Step the step of the switch.
	Version uint64 `json:"version,omitempty"`
	Step    uint64 `json:"step,omitempty"`
	// Map is the map for GoalPrepared, as encoded by expertmap.
	Map []byte `json:"map,omitempty"`
	// Base and Change describe the map for GoalPrepared if Map is empty: its change
	// against the map with hash Base, as encoded by expertmap. Base zero is
	// expertmap.InTurn, with which a group forms. MapHash is the hash of the map that
	// results. All three maps are normalized.
	Base    uint64 `json:"base,omitempty"`
	Change  []byte `json:"change,omitempty"`
	MapHash uint64 `json:"map_hash,omitempty"`
	// Shape is the shape of the group's maps, for GoalDisarmed and with Change.
	Shape expertmap.Shape `json:"shape"`
}

// GoalKind is the kind of a goal.
type GoalKind string

// The kinds of goals.
const (
	// GoalNone changes nothing; the agent only returns the engine's state.
	GoalNone GoalKind = "state"
	// GoalFenced makes the agent refuse goals of older leaders before it
	// returns the engine's state.
	GoalFenced GoalKind = "fence"
	// GoalPrepared: the map with the version is loaded.
	GoalPrepared GoalKind = "prepared"
	// GoalHeld: the engine holds the group at the step.
	GoalHeld GoalKind = "held"
	// GoalArmed: the engine switches to the version at the step.
	GoalArmed GoalKind = "armed"
	// GoalDisarmed: the engine is not armed, and no delayed order can arm it,
	// because a newer map with the goal's version has replaced the prepared one.
	GoalDisarmed GoalKind = "void"
	// GoalReleased: the engine does not hold the group at the step.
	GoalReleased GoalKind = "released"
)

const (
	// engineCallTimeout bounds one call to an engine. An engine on the same VM
	// answers within a few milliseconds, or not at all.
	engineCallTimeout = 70 * time.Millisecond
	// goalPollPeriod is the time between two checks whether an order has taken
	// effect.
	goalPollPeriod = 20 * time.Millisecond
	// prepareRetryPeriod is the time that an engine gets to load a map before
	// the order is sent again.
	prepareRetryPeriod = 2 * time.Second
)

// Reconciler brings one engine to the goals of a leader. It is safe for
// concurrent use.
type Reconciler struct {
	engine Engine
	// stateLag is the maximum age of the state that the engine reports; zero
	// for an engine on the same VM.
	stateLag time.Duration

	mu sync.Mutex
	// highestToken is the highest token seen so far.
	highestToken uint64
}

// NewReconciler returns a reconciler of an engine.
func NewReconciler(engine Engine) *Reconciler { return &Reconciler{engine: engine} }

// HighestToken returns the highest token seen so far.
func (r *Reconciler) HighestToken() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.highestToken
}

// abandonedHold describes the hold of an engine's state, with a new version.
func (r *Reconciler) abandonedHold(s State, shape expertmap.Shape) AbandonedHold {
	version := NextVersion(r.HighestToken(), s.InForce, s.PreparedVersion)
	return AbandonedHold{Gate: s.Rank, Leader: leaderOf(s.Rank, s.Size), Version: version, Shape: shape}
}

// raiseToken records a token received from another agent, if it is the highest.
func (r *Reconciler) raiseToken(token uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.highestToken = max(r.highestToken, token)
}

// Ensure brings the engine to a goal and returns the engine's state once the
// goal is reached. It returns a *FencedError, *EpochError, *PassedError,
// *RefusedError or *InvalidOrderError, or, when the context ends, the most recent failure.
func (r *Reconciler) Ensure(ctx context.Context, goal Goal) (State, error) {
	if err := r.admit(goal); err != nil {
		return State{}, err
	}
	var work progress
	var lastErr error
	for {
		state, err := r.tryOnce(ctx, goal, &work)
		if err == nil || isFinal(err) {
			return state, err
		}
		if err == errAccepted {
			// The engine has executed the order, so its state shows the effect
			// at once.
			continue
		}
		if err != errPending {
			lastErr = err
		}
		timer := time.NewTimer(goalPollPeriod)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			if lastErr == nil {
				lastErr = ctx.Err()
			}
			return state, errors.WithMessage(lastErr, string(goal.Kind))
		}
		// A newer leader may have sent a goal in the meantime.
		if err := r.admit(goal); err != nil {
			return state, err
		}
	}
}

// admit refuses goals of a leader that has been replaced.
func (r *Reconciler) admit(goal Goal) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if goal.Kind == GoalNone {
		return nil
	}
	if goal.Token < r.highestToken {
		return &FencedError{Token: goal.Token, Newest: r.highestToken}
	}
	r.highestToken = goal.Token
	return nil
}

func isFinal(err error) bool {
	switch err.(type) {
	case *FencedError, *EpochError, *PassedError, *RefusedError, *InvalidOrderError:
		return true
	}
	return false
}

// pendingError is returned while a goal is not reached yet.
type pendingError struct{}

// Error implements error.
func (pendingError) Error() string { return "not yet" }

var errPending error = pendingError{}

// acceptedError is returned when the engine has just accepted an order.
type acceptedError struct{}

// Error implements error.
func (acceptedError) Error() string { return "order taken" }

var errAccepted error = acceptedError{}

// progress is the progress towards one goal.
type progress struct {
	// fenced is true once the engine refuses orders of older leaders.
	fenced bool
	// prepareSentUntil is the time until which an accepted Prepare order is not
	// sent again.
	prepareSentUntil time.Time
}

// tryOnce reads the engine's state and sends the next order, if one is needed.
func (r *Reconciler) tryOnce(ctx context.Context, goal Goal, progress *progress) (State, error) {
	if !progress.fenced {
		if err := r.fence(ctx, goal); err != nil {
			return State{}, err
		}
		progress.fenced = true
	}
	if err := r.waitForState(ctx); err != nil {
		return State{}, err
	}
	state, err := r.state(ctx)
	if err != nil {
		return state, err
	}
	if goal.Kind == GoalNone || goal.Kind == GoalFenced {
		return state, nil
	}
	if state.Epoch != goal.Epoch {
		return state, &EpochError{Want: goal.Epoch, Got: state.Epoch}
	}
	if done, err := goal.reached(state); done || err != nil {
		return state, err
	}
	if time.Now().Before(progress.prepareSentUntil) {
		return state, errPending
	}
	order, err := r.nextOrder(ctx, goal, state)
	if err != nil {
		return state, err
	}
	if err := r.order(ctx, order); err != nil {
		return state, err
	}
	if order.Kind == Prepare {
		progress.prepareSentUntil = time.Now().Add(prepareRetryPeriod)
		return state, errPending
	}
	return state, errAccepted
}

// unusedVersion is below all versions that NextVersion returns.
const unusedVersion = 1

// fence makes an engine refuse orders of older leaders: it sends an order that
// has no effect, but carries the goal's token. On the engine's own VM this is not
// needed, because the agent refuses goals of older leaders itself.
func (r *Reconciler) fence(ctx context.Context, goal Goal) error {
	if r.stateLag == 0 || goal.Kind == GoalNone {
		return nil
	}
	err := r.order(ctx, Order{Kind: Disarm, Version: unusedVersion, Token: goal.Token})
	if err == errPending {
		return nil
	}
	return err
}

// waitForState waits until the state that the engine reports includes all
// earlier orders.
func (r *Reconciler) waitForState(ctx context.Context) error {
	if r.stateLag == 0 {
		return nil
	}
	timer := time.NewTimer(r.stateLag)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *Reconciler) state(ctx context.Context) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	return r.engine.State(ctx)
}

func (r *Reconciler) order(ctx context.Context, o Order) error {
	ctx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	err := r.engine.Order(ctx, o)
	var refused *RefusedError
	if errors.As(err, &refused) && refused.Fenced {
		return refused
	}
	if refused != nil {
		// The state may have changed since it was read: a copy of this order
		// that was sent earlier has taken effect, or the step has begun. The
		// next check shows which.
		return errPending
	}
	return err
}

// reached reports whether the engine has reached the goal. It returns an error
// if the goal can no longer be reached.
func (goal Goal) reached(s State) (bool, error) {
	armed := ArmedSwitch{Version: goal.Version, Step: goal.Step}
	switch goal.Kind {
	case GoalPrepared:
		return s.PreparedVersion == goal.Version, nil
	case GoalHeld:
		if s.HoldAt == goal.Step {
			return true, nil
		}
		if s.Step >= goal.Step {
			return false, &PassedError{Step: goal.Step, Now: s.Step}
		}
	case GoalArmed:
		if s.armedFor(armed) {
			return true, nil
		}
		if s.Step >= goal.Step {
			return false, &PassedError{Step: goal.Step, Now: s.Step}
		}
	case GoalDisarmed:
		return s.Armed == nil && s.PreparedVersion == goal.Version, nil
	case GoalReleased:
		return s.HoldAt != goal.Step, nil
	}
	return false, nil
}

// nextOrder returns the order that brings the engine closer to the goal.
func (r *Reconciler) nextOrder(ctx context.Context, goal Goal, s State) (Order, error) {
	o := Order{Epoch: goal.Epoch, Version: goal.Version, Step: goal.Step, Token: goal.Token}
	var err error
	switch goal.Kind {
	case GoalPrepared:
		if s.Armed != nil {
			// A switch that is already armed is completed first.
			return o, errPending
		}
		o.Kind = Prepare
		o.Map, err = expertmap.Unmarshal(goal.Map)
	case GoalDisarmed:
		if s.Armed != nil {
			o.Kind, o.Version = Disarm, s.Armed.Version
			return o, nil
		}
		o.Kind = Prepare
		o.Map, err = r.placeholderMap(ctx, goal.Shape, s.Rank)
	case GoalHeld:
		o.Kind = Hold
	case GoalArmed:
		o.Kind = Arm
	case GoalReleased:
		o.Kind = Release
	}
	return o, err
}

// placeholderMap returns a map that the engine can prepare without loading
// weights: the engine's own experts stay as they are, and all others are
// distributed in turn over the other ranks. The map never comes into force. It fits
// wherever a valid map is in force: in that map the other ranks hold at least these
// experts, and evenly distributed they need the fewest slots of a rank.
func (r *Reconciler) placeholderMap(ctx context.Context, shape expertmap.Shape, rank int) (expertmap.Map, error) {
	ctx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	_, own, err := r.engine.Experts(ctx)
	if err != nil {
		return expertmap.Map{}, err
	}
	m, err := expertmap.New(shape)
	if err != nil {
		return m, err
	}
	draft := m.Edit()
	if err := setExperts(draft, shape, rank, own); err != nil {
		return m, err
	}
	for layer := range shape.Layers {
		if err := distributeOthers(draft, shape, layer, rank); err != nil {
			return m, err
		}
	}
	m = draft.Map().Normalize()
	return m, m.Validate()
}

// distributeOthers puts the experts of a layer that a rank does not hold into the slots
// of the other ranks, in turn.
func distributeOthers(draft *expertmap.Draft, shape expertmap.Shape, layer, rank int) error {
	held := make([]bool, shape.Experts)
	for _, e := range draft.Layer(layer) {
		if e == expertmap.Empty {
			continue
		}
		if int(e) >= shape.Experts {
			return &ShapeError{Field: "expert of a layer", Got: int(e), Want: shape.Experts}
		}
		held[e] = true
	}
	others, placed := shape.Ranks-1, 0
	for e := range shape.Experts {
		if held[e] {
			continue
		}
		if placed == others*shape.Slots {
			return &ShapeError{Field: "experts of a layer on other ranks", Got: placed + 1, Want: placed}
		}
		draft.Set(layer, (rank+1+placed%others)%shape.Ranks, placed/others, expertmap.Expert(e))
		placed++
	}
	return nil
}
