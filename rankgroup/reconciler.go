package rankgroup

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
)

// Goal is a condition of one engine that a leader asks its agent to bring
// about.
type Goal struct {
	Kind GoalKind `json:"kind"`
	// Token is the leader's: agents and engines refuse an older one.
	Token uint64 `json:"token"`
	// Leader is the rank beside which the leader runs, noRank for a recovery.
	Leader int    `json:"leader"`
	Epoch  uint64 `json:"epoch"`
	// Version is the map's, Step the pass of the switch.
	Version uint64 `json:"version,omitempty"`
	Step    uint64 `json:"step,omitempty"`
	// Map is the content for WantPrepared, as expertmap encodes it.
	Map []byte `json:"map,omitempty"`
	// Shape is that of the group's maps, for WantVoid.
	Shape expertmap.Shape `json:"shape"`
}

// GoalKind is a condition of an engine.
type GoalKind string

// The conditions.
const (
	// GoalNone asks for the state only.
	GoalNone GoalKind = "state"
	// GoalFenced asks for the state after older leaders' wants are refused.
	GoalFenced GoalKind = "fence"
	// GoalPrepared: the map with the version is loaded.
	GoalPrepared GoalKind = "prepared"
	// GoalHeld: the group is held at the step.
	GoalHeld GoalKind = "held"
	// GoalArmed: the engine switches to the version at the step.
	GoalArmed GoalKind = "armed"
	// GoalDisarmed: the engine is not armed, and no order that is still on its way
	// can arm it, since a newer map with the version is the one prepared.
	GoalDisarmed GoalKind = "void"
	// GoalReleased: the group is not held at the step.
	GoalReleased GoalKind = "released"
)

const (
	// answerTimeout bounds the wait for an engine's answer to an order or a
	// question: beside the engine it comes within some ms, or not at all.
	answerTimeout = 70 * time.Millisecond
	// pollPeriod is the time between two looks whether an order has taken effect.
	pollPeriod = 20 * time.Millisecond
	// loadTime is how long an engine may take to load a map before it is asked
	// again.
	loadTime = 2 * time.Second
)

// Reconciler carries out wants beside one engine. It is safe for concurrent use.
type Reconciler struct {
	engine Engine
	// lag is how old the engine's state may be, zero beside the engine.
	lag time.Duration

	mu sync.Mutex
	// newest is the highest token that was seen, and leader the rank of its
	// leader.
	newest uint64
	leader int
}

// NewReconciler returns a keeper of an engine.
func NewReconciler(engine Engine) *Reconciler { return &Reconciler{engine: engine, leader: noRank} }

// HighestToken returns the highest token that was seen.
func (k *Reconciler) HighestToken() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.newest
}

// leading returns the rank of the leader with the highest token.
func (k *Reconciler) leading() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.leader
}

// raise notes a token that was heard of elsewhere.
func (k *Reconciler) raise(token uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if token > k.newest {
		k.newest, k.leader = token, noRank
	}
}

// Ensure brings about a want and returns the engine's state, in which it holds.
// Errors are *FencedError, *EpochError, *PassedError, *RefusedError, or that of
// the context with the newest failure.
func (k *Reconciler) Ensure(ctx context.Context, w Goal) (State, error) {
	if err := k.admit(w); err != nil {
		return State{}, err
	}
	var work work
	var last error
	for {
		state, err := k.try(ctx, w, &work)
		if err == nil || isFinal(err) {
			return state, err
		}
		if err == errTaken {
			// The engine has carried the order out: its state tells at once.
			continue
		}
		if err != errPending {
			last = err
		}
		timer := time.NewTimer(pollPeriod)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			if last == nil {
				last = ctx.Err()
			}
			return state, errors.WithMessage(last, string(w.Kind))
		}
		// A newer leader may have come while this one waited.
		if err := k.admit(w); err != nil {
			return state, err
		}
	}
}

// admit refuses wants of a leader that has been replaced.
func (k *Reconciler) admit(w Goal) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if w.Kind == GoalNone {
		return nil
	}
	if w.Token < k.newest {
		return &FencedError{Token: w.Token, Newest: k.newest}
	}
	if w.Token > k.newest {
		k.newest, k.leader = w.Token, w.Leader
	}
	return nil
}

func isFinal(err error) bool {
	switch err.(type) {
	case *FencedError, *EpochError, *PassedError, *RefusedError:
		return true
	}
	return false
}

// pendingError says that a condition does not hold yet.
type pendingError struct{}

// Error implements error.
func (pendingError) Error() string { return "not yet" }

var errPending error = pendingError{}

// takenError says that the engine has just taken an order.
type takenError struct{}

// Error implements error.
func (takenError) Error() string { return "order taken" }

var errTaken error = takenError{}

// work is the progress on one want.
type work struct {
	// fenced is true once the engine refuses older leaders' orders.
	fenced bool
	// loading is until when an order to prepare that was taken needs no other.
	loading time.Time
}

// try looks at the engine and gives the order that is due, if any.
func (k *Reconciler) try(ctx context.Context, w Goal, progress *work) (State, error) {
	if !progress.fenced {
		if err := k.fence(ctx, w); err != nil {
			return State{}, err
		}
		progress.fenced = true
	}
	if err := k.settle(ctx); err != nil {
		return State{}, err
	}
	state, err := k.state(ctx)
	if err != nil {
		return state, err
	}
	if w.Kind == GoalNone || w.Kind == GoalFenced {
		return state, nil
	}
	if state.Epoch != w.Epoch {
		return state, &EpochError{Want: w.Epoch, Got: state.Epoch}
	}
	if done, err := w.holds(state); done || err != nil {
		return state, err
	}
	if time.Now().Before(progress.loading) {
		return state, errPending
	}
	order, err := k.due(ctx, w, state)
	if err != nil {
		return state, err
	}
	if err := k.order(ctx, order); err != nil {
		return state, err
	}
	if order.Kind == Prepare {
		progress.loading = time.Now().Add(loadTime)
		return state, errPending
	}
	return state, errTaken
}

// unusedVersion is below all versions that NextVersion gives.
const unusedVersion = 1

// fence makes an engine refuse the orders of older leaders, by an order without
// effect. Beside the engine the agent itself refuses them.
func (k *Reconciler) fence(ctx context.Context, w Goal) error {
	if k.lag == 0 || w.Kind == GoalNone {
		return nil
	}
	err := k.order(ctx, Order{Kind: Disarm, Version: unusedVersion, Token: w.Token})
	if err == errPending {
		return nil
	}
	return err
}

// settle waits until the engine's report shows all earlier orders.
func (k *Reconciler) settle(ctx context.Context) error {
	if k.lag == 0 {
		return nil
	}
	timer := time.NewTimer(k.lag)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (k *Reconciler) state(ctx context.Context) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	return k.engine.State(ctx)
}

func (k *Reconciler) order(ctx context.Context, o Order) error {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	err := k.engine.Order(ctx, o)
	var refused *RefusedError
	if errors.As(err, &refused) && refused.Fenced {
		return refused
	}
	if refused != nil {
		// The state may have changed since it was read, by this very order sent
		// earlier, or the step has begun: the next look tells.
		return errPending
	}
	return err
}

// holds reports whether the want is fulfilled; an error says that it cannot be
// any more.
func (w Goal) holds(s State) (bool, error) {
	armed := ArmedSwitch{Version: w.Version, Step: w.Step}
	switch w.Kind {
	case GoalPrepared:
		return s.PreparedVersion == w.Version, nil
	case GoalHeld:
		if s.HoldAt == w.Step {
			return true, nil
		}
		if s.Step >= w.Step {
			return false, &PassedError{Step: w.Step, Now: s.Step}
		}
	case GoalArmed:
		if s.armedFor(armed) {
			return true, nil
		}
		if s.Step >= w.Step {
			return false, &PassedError{Step: w.Step, Now: s.Step}
		}
	case GoalDisarmed:
		return s.Armed == nil && s.PreparedVersion == w.Version, nil
	case GoalReleased:
		return s.HoldAt != w.Step, nil
	}
	return false, nil
}

// due returns the order that brings the want about.
func (k *Reconciler) due(ctx context.Context, w Goal, s State) (Order, error) {
	o := Order{Epoch: w.Epoch, Version: w.Version, Step: w.Step, Token: w.Token}
	var err error
	switch w.Kind {
	case GoalPrepared:
		if s.Armed != nil {
			// A switch that is under way ends first.
			return o, errPending
		}
		o.Kind = Prepare
		o.Map, err = expertmap.Unmarshal(w.Map)
	case GoalDisarmed:
		if s.Armed != nil {
			o.Kind, o.Version = Disarm, s.Armed.Version
			return o, nil
		}
		o.Kind = Prepare
		o.Map, err = k.voidMap(ctx, w.Shape, s.Rank)
	case GoalHeld:
		o.Kind = Hold
	case GoalArmed:
		o.Kind = Arm
	case GoalReleased:
		o.Kind = Release
	}
	return o, err
}

// voidMap returns a map that the engine can prepare without a load: its own
// experts as they are, and all others in turn at the other ranks. It never comes
// into force.
func (k *Reconciler) voidMap(ctx context.Context, shape expertmap.Shape, rank int) (expertmap.Map, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	_, own, err := k.engine.Experts(ctx)
	if err != nil {
		return expertmap.Map{}, err
	}
	m, err := expertmap.New(shape)
	if err != nil {
		return m, err
	}
	draft := m.Edit()
	if err := fill(draft, shape, rank, own); err != nil {
		return m, err
	}
	for layer := range shape.Layers {
		used := make([]int, shape.Ranks)
		next := rank
		for e := range shape.Experts {
			at := e % shape.Ranks
			if at == rank {
				next = (next + 1) % shape.Ranks
				if next == rank {
					next = (next + 1) % shape.Ranks
				}
				at = next
			}
			draft.Set(layer, at, used[at], expertmap.Expert(e))
			used[at]++
		}
	}
	return draft.Map(), nil
}
