package rankgroup

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
)

// GroupClient calls the agents of all ranks of a group.
type GroupClient interface {
	// Size returns the number of ranks.
	Size() int
	// Ensure sends a goal to the agent of a rank. It returns an error of
	// Reconciler.Ensure, or one that reports that the agent could not be
	// reached. In that case it is unknown what the agent does.
	Ensure(ctx context.Context, rank int, goal Goal) (State, error)
	// Hold sends an order directly to the engine of a rank.
	Hold(ctx context.Context, rank int, o Order) error
	// EndHold makes the agent of a gate end the hold of an aborted switch, and
	// returns when the hold has ended.
	EndHold(ctx context.Context, gate int) error
}

const (
	// prepareTimeout bounds the loading of a map. Loading the spare slots of
	// one layer takes about one second.
	prepareTimeout = 6 * time.Second
	// armTimeout bounds the arming of all ranks. An answer takes a few
	// milliseconds; a call without an answer is repeated after
	// engineCallTimeout.
	armTimeout = 1200 * time.Millisecond
	// minStepsAhead is the minimum number of steps between the current step and
	// a switch. With one, the group reaches the gate before all ranks are armed, and the
	// pass that waits there makes streams late.
	minStepsAhead = 2
	// maxHoldAttempts bounds the attempts to close the gate. An attempt fails if its
	// step begins before the order arrives, which shows within some milliseconds.
	maxHoldAttempts = 4
	// idleStepJitter spreads the steps of successive switches while the group
	// is idle and its step does not advance.
	idleStepJitter = 3
	// recoverTimeout bounds one attempt to end an abandoned hold.
	recoverTimeout = 2 * time.Second
	// endHoldTimeout bounds the time to end the hold of a failed switch.
	endHoldTimeout = 3 * time.Second
	// absentLeaderTimeout bounds a call to the rank of a leader that has
	// probably stopped.
	absentLeaderTimeout = quickTimeout + engineCallTimeout
)

// versionRange is the range of the random part of a version. The random part
// keeps two leaders from using the same version for different maps.
const versionRange = 1 << 20

// NextVersion returns a version above all known ones.
func NextVersion(known ...uint64) uint64 {
	newest := uint64(0)
	for _, v := range known {
		newest = max(newest, v)
	}
	return (newest/versionRange+1)*versionRange + rand.Uint64N(versionRange)
}

// gateOf returns the rank that holds the group for a leader: the next one.
func gateOf(leader, ranks int) int { return (leader + 1) % ranks }

// leaderOf returns the rank of the leader for which a gate holds the group. This
// need not be the leader with the highest token: a newer one with a gate of its
// own may have sent goals since.
func leaderOf(gate, ranks int) int { return (gate + ranks - 1) % ranks }

// Plan describes a map change.
type Plan struct {
	Epoch   uint64
	Version uint64
	Map     expertmap.Map
	// Gate is the rank that holds the group. Leader is the rank beside which
	// the leader runs. Gate is gateOf(Leader).
	Gate, Leader int
	// ExtraSteps is the number of additional steps between now and the switch.
	// If arming takes no longer than these steps, the gate does not delay the
	// group.
	ExtraSteps uint64
}

// goal returns a goal of the plan.
func (p Plan) goal(kind GoalKind, step uint64) Goal {
	return Goal{Kind: kind, Token: p.Version, Leader: p.Leader, Epoch: p.Epoch, Version: p.Version, Step: step}
}

// Switch puts a map in force at all ranks or at none. It returns nil once all
// ranks are armed to switch at the same step. After an error, either the gate
// was released without a switch, or the agent beside the gate ends the hold.
//
// The leader's own rank is armed last. So if the leader's VM stops and its
// engine can no longer be reached, one other rank that is not armed proves that
// the leader's rank is not armed either.
//
// closed is the time for which the gate was closed.
func Switch(ctx context.Context, group GroupClient, p Plan) (closed time.Duration, err error) {
	states, err := prepare(ctx, group, p)
	if err != nil {
		return 0, err
	}
	return switchPrepared(ctx, group, p, states)
}

// prepare loads the map at all ranks and returns their states. It may be
// cancelled: until a rank is armed, the map in force stays.
func prepare(ctx context.Context, group GroupClient, p Plan) ([]State, error) {
	goal := p.goal(GoalPrepared, 0)
	goal.Map = p.Map.Normalize().Marshal()
	states, err := ensureAll(ctx, group, allRanks(group), goal, prepareTimeout)
	return states, errors.WithMessage(err, "prepare")
}

// switchPrepared is the part of Switch after prepare, which returned the states.
func switchPrepared(ctx context.Context, group GroupClient, p Plan, states []State) (closed time.Duration, err error) {
	began := time.Now()
	step := latestStep(states) + minStepsAhead + p.ExtraSteps
	if idle(states) {
		step += rand.Uint64N(idleStepJitter)
	}
	step, err = holdNext(ctx, group, p, step)
	if err != nil {
		return time.Since(began), errors.WithMessage(err, "hold")
	}
	if err := arm(ctx, group, p, step); err != nil {
		// The caller's context may have ended, but the gate must still be
		// opened.
		endErr := abortSwitch(context.WithoutCancel(ctx), group, AbandonedHold{Gate: p.Gate, Leader: noRank, Version: NextVersion(p.Version), Shape: p.Map.Shape()})
		return time.Since(began), errors.WithMessagef(err, "arm, then end the hold (%v)", endErr)
	}
	_, err = ensure(ctx, group, p.Gate, p.goal(GoalReleased, step), armTimeout)
	return time.Since(began), errors.WithMessage(err, "release")
}

// abortSwitch ends the hold of a failed or abandoned switch. The agent beside
// the gate does this, so that no two agents end the same hold. The leader ends
// it only if that agent cannot be reached.
func abortSwitch(ctx context.Context, group GroupClient, h AbandonedHold) error {
	ctx, cancel := context.WithTimeout(ctx, endHoldTimeout)
	defer cancel()
	err := group.EndHold(ctx, h.Gate)
	if err == nil || ctx.Err() != nil || errors.As(err, new(*GoalError)) {
		return err
	}
	return RecoverHold(ctx, group, h)
}

// holdNext closes the gate at a step, or at a later one if that step has begun. It
// returns the step. An order for a step that has begun has no effect, also if it
// arrives late.
func holdNext(ctx context.Context, group GroupClient, p Plan, step uint64) (uint64, error) {
	for attempt := 1; ; attempt++ {
		err := hold(ctx, group, p, step)
		var passed *PassedError
		if attempt == maxHoldAttempts || !errors.As(err, &passed) {
			return step, err
		}
		step = max(step, passed.Now) + minStepsAhead + p.ExtraSteps
	}
}

// hold closes the gate. The leader sends the order directly to the engine, so
// that the agent beside the gate can end the hold if the leader's VM stops.
func hold(ctx context.Context, group GroupClient, p Plan, step uint64) error {
	callCtx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	// An order without an answer may or may not have been executed. The agent
	// checks the state, and sends the order again if necessary.
	_ = group.Hold(callCtx, p.Gate, Order{Kind: Hold, Epoch: p.Epoch, Step: step, Token: p.Version})
	_, err := ensure(ctx, group, p.Gate, p.goal(GoalHeld, step), armTimeout)
	return err
}

// arm arms all ranks: first the others, then the gate, and the leader's rank
// last. If the leader stops, the state of the gate shows whether all other
// ranks were armed.
func arm(ctx context.Context, group GroupClient, p Plan, step uint64) error {
	goal := p.goal(GoalArmed, step)
	others := slices.DeleteFunc(allRanks(group), func(rank int) bool { return rank == p.Leader || rank == p.Gate })
	if _, err := ensureAll(ctx, group, others, goal, armTimeout); err != nil {
		return err
	}
	if _, err := ensure(ctx, group, p.Gate, goal, armTimeout); err != nil {
		return err
	}
	_, err := ensure(ctx, group, p.Leader, goal, armTimeout)
	return err
}

// AbandonedHold is a hold that its leader did not end.
type AbandonedHold struct {
	// Gate is the rank that holds the group.
	Gate int
	// Leader is the rank of that leader, whose engine may have stopped too, or
	// noRank. Its rank alone may be missing during the recovery, because it is
	// armed last.
	Leader int
	// Version is a new version, above all known ones.
	Version uint64
	// Shape is the shape of the group's maps.
	Shape expertmap.Shape
}

// noRank is the rank value for no rank.
const noRank = -1

// RecoverHold ends an abandoned hold. It releases the gate once all ranks are
// armed for the same switch, or once no rank is armed or can still become
// armed.
func RecoverHold(ctx context.Context, group GroupClient, h AbandonedHold) error {
	fence := Goal{Kind: GoalFenced, Token: h.Version, Leader: noRank}
	reached, err := fenceRanks(ctx, group, fence, h.Leader)
	if err != nil {
		return errors.WithMessage(err, "fence")
	}
	// From here on no older leader can change anything at these ranks.
	states, err := ensureAll(ctx, group, reached, fence, recoverTimeout)
	if err != nil {
		return errors.WithMessage(err, "look")
	}
	held, epoch := states[h.Gate].HoldAt, states[h.Gate].Epoch
	if held == 0 {
		return nil
	}
	complete := allArmed(states, reached)
	if complete && len(reached) < group.Size() {
		return errors.WithStack(&UnreachableRankError{Rank: h.Leader})
	}
	if !complete {
		// This is needed even if no rank is armed, because an order may still
		// be in transit.
		disarm := Goal{Kind: GoalDisarmed, Token: h.Version, Leader: noRank, Epoch: epoch, Version: h.Version, Shape: h.Shape}
		if _, err := ensureAll(ctx, group, reached, disarm, recoverTimeout); err != nil {
			return errors.WithMessage(err, "void")
		}
	}
	release := Goal{Kind: GoalReleased, Token: h.Version, Leader: noRank, Epoch: epoch, Step: held}
	_, err = ensure(ctx, group, h.Gate, release, recoverTimeout)
	return errors.WithMessage(err, "release")
}

// UnreachableRankError is returned when a rank that may be armed cannot be
// reached.
type UnreachableRankError struct{ Rank int }

// Error implements error.
func (e *UnreachableRankError) Error() string {
	return "rank " + strconv.Itoa(e.Rank) + " may be armed and cannot be reached"
}

// fenceRanks fences all ranks and returns the ranks that it reached. Only the
// rank beside which the leader ran may be missing.
func fenceRanks(ctx context.Context, group GroupClient, fence Goal, leader int) ([]int, error) {
	others := slices.DeleteFunc(allRanks(group), func(rank int) bool { return rank == leader })
	if leader == noRank {
		_, err := ensureAll(ctx, group, others, fence, recoverTimeout)
		return others, err
	}
	reached := others
	var leaderCall sync.WaitGroup
	leaderCall.Go(func() {
		if _, err := ensure(ctx, group, leader, fence, absentLeaderTimeout); err == nil {
			reached = allRanks(group)
		}
	})
	_, err := ensureAll(ctx, group, others, fence, recoverTimeout)
	leaderCall.Wait()
	return reached, err
}

// allArmed reports whether all given ranks are armed for the same switch or
// have already made it.
func allArmed(states []State, ranks []int) bool {
	due := armed(states, ranks)
	if due == nil {
		return false
	}
	for _, rank := range ranks {
		s := &states[rank]
		if s.Armed != nil && *s.Armed != *due || s.Armed == nil && s.InForce != due.Version {
			return false
		}
	}
	return true
}

// armed returns a switch for which one of the ranks is armed, or nil.
func armed(states []State, ranks []int) *ArmedSwitch {
	for _, rank := range ranks {
		if states[rank].Armed != nil {
			return states[rank].Armed
		}
	}
	return nil
}

func latestStep(states []State) uint64 {
	step := uint64(0)
	for i := range states {
		step = max(step, states[i].Step)
	}
	return step
}

// idle reports whether no rank has work. The step of an idle group does not
// advance.
func idle(states []State) bool {
	return !slices.ContainsFunc(states, func(s State) bool { return s.Running+s.Queued > 0 })
}

func allRanks(group GroupClient) []int {
	all := make([]int, group.Size())
	for rank := range all {
		all[rank] = rank
	}
	return all
}

func ensure(ctx context.Context, group GroupClient, rank int, goal Goal, timeout time.Duration) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return group.Ensure(ctx, rank, goal)
}

// ensureAll sends a goal to the agents of some ranks concurrently. The states
// are indexed by rank. Of several errors it returns a final one, if there is
// one, or else the first.
func ensureAll(ctx context.Context, group GroupClient, ranks []int, goal Goal, timeout time.Duration) ([]State, error) {
	states := make([]State, group.Size())
	var first error
	for rank, err := range ensureEach(ctx, group, ranks, goal, states, timeout) {
		if err == nil {
			continue
		}
		if first == nil || isFinal(err) {
			first = errors.WithMessagef(err, "rank %d", rank)
		}
	}
	return states, first
}

// ensureEach sends a goal to the agents of some ranks concurrently and returns
// the errors by rank. A final error of one rank cancels the calls to the
// others.
func ensureEach(ctx context.Context, group GroupClient, ranks []int, goal Goal, states []State, timeout time.Duration) []error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	errs := make([]error, group.Size())
	var calls sync.WaitGroup
	for _, rank := range ranks {
		calls.Go(func() {
			states[rank], errs[rank] = group.Ensure(ctx, rank, goal)
			if isFinal(errs[rank]) {
				cancel()
			}
		})
	}
	calls.Wait()
	return errs
}
