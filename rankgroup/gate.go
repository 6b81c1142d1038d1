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

// GroupClient reaches the agents beside all engines of a group.
type GroupClient interface {
	// Size is the number of ranks.
	Size() int
	// Ensure asks the agent beside a rank's engine to bring a want about. Errors
	// are those of Keeper.Ensure, or say that the agent was not reached, which
	// leaves open what it does.
	Ensure(ctx context.Context, rank int, w Goal) (State, error)
	// Hold gives an order to a rank's engine itself.
	Hold(ctx context.Context, rank int, o Order) error
	// EndHold asks the agent beside a gate to end its hold, whose leader has given
	// up, and waits for that.
	EndHold(ctx context.Context, gate int) error
}

const (
	// prepareTimeout bounds the loading of a map; a layer's spare slots take
	// about a second.
	prepareTimeout = 6 * time.Second
	// armTimeout bounds the arming of all ranks; an answer takes some ms, and one
	// that gets lost is asked for again after answerTimeout.
	armTimeout = 1200 * time.Millisecond
	// stepsAhead is how many passes lie at least between now and a switch.
	stepsAhead = 2
	// stepsSpread parts the steps of two switches that follow each other while
	// the group is idle.
	stepsSpread = 3
	// recoverTimeout bounds one try to end a hold that somebody left.
	recoverTimeout = 2 * time.Second
	// endTimeout bounds the end of a hold of a switch that failed.
	endTimeout = 3 * time.Second
	// absentTimeout bounds the search for a leader that has probably stopped.
	absentTimeout = quickTimeout + answerTimeout
)

// versionSpread is the room for a random part in versions, so that two leaders
// never give the same one to different maps.
const versionSpread = 1 << 20

// NextVersion returns a version above all that are known of.
func NextVersion(known ...uint64) uint64 {
	newest := uint64(0)
	for _, v := range known {
		newest = max(newest, v)
	}
	return (newest/versionSpread+1)*versionSpread + rand.Uint64N(versionSpread)
}

// Plan is a map to put in force.
type Plan struct {
	Epoch   uint64
	Version uint64
	Map     expertmap.Map
	// Gate is the rank that holds the group, Leader the rank beside which the
	// leader runs; they differ.
	Gate, Leader int
	// ExtraSteps is how many more passes lie between now and the switch: as many as
	// fit into the time that arming takes, so that the gate stops nobody.
	ExtraSteps uint64
}

// want is a want of the plan.
func (p Plan) want(kind GoalKind, step uint64) Goal {
	return Goal{Kind: kind, Token: p.Version, Leader: p.Leader, Epoch: p.Epoch, Version: p.Version, Step: step}
}

// Switch puts a map in force at all ranks or at none. It returns once all ranks
// will switch at one step, or an error: then the gate was released without a
// switch, or the agent beside the gate ends the hold.
//
// The leader's own rank is armed last. So if the leader's VM stops, and its
// engine can be reached no more, a rank that is not armed proves that the
// leader's is not either.
//
// closed is how long the gate was closed.
func Switch(ctx context.Context, ranks GroupClient, p Plan) (closed time.Duration, err error) {
	prepare := p.want(GoalPrepared, 0)
	prepare.Map = p.Map.Marshal()
	states, err := ensureAll(ctx, ranks, everyRank(ranks), prepare, prepareTimeout)
	if err != nil {
		return 0, errors.WithMessage(err, "prepare")
	}
	began := time.Now()
	step := newestStep(states) + stepsAhead + p.ExtraSteps
	if idle(states) {
		step += rand.Uint64N(stepsSpread)
	}
	if err := hold(ctx, ranks, p, step); err != nil {
		return time.Since(began), errors.WithMessage(err, "hold")
	}
	if err := arm(ctx, ranks, p, step); err != nil {
		// The caller's context may have ended; the gate must not stay closed.
		failed := giveUp(context.WithoutCancel(ctx), ranks, AbandonedHold{Gate: p.Gate, Leader: noRank, Version: NextVersion(p.Version), Shape: p.Map.Shape()})
		return time.Since(began), errors.WithMessagef(err, "arm, then end the hold (%v)", failed)
	}
	_, err = ensure(ctx, ranks, p.Gate, p.want(GoalReleased, step), armTimeout)
	return time.Since(began), errors.WithMessage(err, "release")
}

// giveUp ends the hold of a switch that failed. The agent beside the gate does
// it, so that there are not two who do; the leader only where that agent has
// gone.
func giveUp(ctx context.Context, ranks GroupClient, l AbandonedHold) error {
	ctx, cancel := context.WithTimeout(ctx, endTimeout)
	defer cancel()
	err := ranks.EndHold(ctx, l.Gate)
	if err == nil || ctx.Err() != nil || errors.As(err, new(*GoalError)) {
		return err
	}
	return RecoverHold(ctx, ranks, l)
}

// hold closes the gate. The leader gives the order to the engine itself, so
// that the agent beside the gate can end the hold if the leader's VM stops.
func hold(ctx context.Context, ranks GroupClient, p Plan, step uint64) error {
	quick, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	// An order without an answer may have been carried out or not: the agent
	// looks, and gives it again if it has to.
	_ = ranks.Hold(quick, p.Gate, Order{Kind: Hold, Epoch: p.Epoch, Step: step, Token: p.Version})
	_, err := ensure(ctx, ranks, p.Gate, p.want(GoalHeld, step), armTimeout)
	return err
}

// arm arms all ranks, then the gate, and the leader's rank last: whoever ends
// the hold sees by the gate how far a leader that stopped had come.
func arm(ctx context.Context, ranks GroupClient, p Plan, step uint64) error {
	want := p.want(GoalArmed, step)
	others := slices.DeleteFunc(everyRank(ranks), func(rank int) bool { return rank == p.Leader || rank == p.Gate })
	if _, err := ensureAll(ctx, ranks, others, want, armTimeout); err != nil {
		return err
	}
	if _, err := ensure(ctx, ranks, p.Gate, want, armTimeout); err != nil {
		return err
	}
	_, err := ensure(ctx, ranks, p.Leader, want, armTimeout)
	return err
}

// AbandonedHold is a hold that its leader did not end.
type AbandonedHold struct {
	// Gate is the rank that holds the group.
	Gate int
	// Leader is the rank of that leader, which may have stopped with its engine,
	// or noRank.
	Leader int
	// Version is a new one.
	Version uint64
	// Shape is that of the group's maps.
	Shape expertmap.Shape
}

// noRank stands for no rank.
const noRank = -1

// RecoverHold ends a hold that was left: it releases the gate once all ranks will
// switch together, or once none is armed or can become so.
func RecoverHold(ctx context.Context, ranks GroupClient, l AbandonedHold) error {
	fence := Goal{Kind: GoalFenced, Token: l.Version, Leader: noRank}
	reached, err := reach(ctx, ranks, fence, l.Leader)
	if err != nil {
		return errors.WithMessage(err, "fence")
	}
	// No older leader changes anything at these ranks from here on.
	states, err := ensureAll(ctx, ranks, reached, fence, recoverTimeout)
	if err != nil {
		return errors.WithMessage(err, "look")
	}
	held, epoch := states[l.Gate].HoldAt, states[l.Gate].Epoch
	if held == 0 {
		return nil
	}
	complete := allArmed(states, reached)
	if complete && len(reached) < ranks.Size() {
		return errors.WithStack(&UnreachableRankError{Rank: l.Leader})
	}
	if !complete {
		// Also where no rank is armed: an order may still be on its way.
		void := Goal{Kind: GoalDisarmed, Token: l.Version, Leader: noRank, Epoch: epoch, Version: l.Version, Shape: l.Shape}
		if _, err := ensureAll(ctx, ranks, reached, void, recoverTimeout); err != nil {
			return errors.WithMessage(err, "void")
		}
	}
	release := Goal{Kind: GoalReleased, Token: l.Version, Leader: noRank, Epoch: epoch, Step: held}
	_, err = ensure(ctx, ranks, l.Gate, release, recoverTimeout)
	return errors.WithMessage(err, "release")
}

// UnreachableRankError says that a rank that may be armed cannot be reached.
type UnreachableRankError struct{ Rank int }

// Error implements error.
func (e *UnreachableRankError) Error() string {
	return "rank " + strconv.Itoa(e.Rank) + " may be armed and cannot be reached"
}

// reach fences all ranks. The one beside which the leader ran may be missing.
func reach(ctx context.Context, ranks GroupClient, fence Goal, leader int) ([]int, error) {
	others := slices.DeleteFunc(everyRank(ranks), func(rank int) bool { return rank == leader })
	if leader == noRank {
		_, err := ensureAll(ctx, ranks, others, fence, recoverTimeout)
		return others, err
	}
	reached := others
	var missing sync.WaitGroup
	missing.Go(func() {
		if _, err := ensure(ctx, ranks, leader, fence, absentTimeout); err == nil {
			reached = everyRank(ranks)
		}
	})
	_, err := ensureAll(ctx, ranks, others, fence, recoverTimeout)
	missing.Wait()
	return reached, err
}

// allArmed reports whether all of the ranks are armed for one switch or have
// made it.
func allArmed(states []State, ranks []int) bool {
	due := armed(states, ranks)
	if due == nil {
		return false
	}
	for _, rank := range ranks {
		s := &states[rank]
		if s.Armed != nil && *s.Armed != *due || s.Armed == nil && s.ActiveVersion != due.Version {
			return false
		}
	}
	return true
}

// armed returns a switch for which some rank is armed, or nil.
func armed(states []State, ranks []int) *ArmedSwitch {
	for _, rank := range ranks {
		if states[rank].Armed != nil {
			return states[rank].Armed
		}
	}
	return nil
}

func newestStep(states []State) uint64 {
	step := uint64(0)
	for i := range states {
		step = max(step, states[i].Step)
	}
	return step
}

// idle reports whether no rank has work: then the group's step stays.
func idle(states []State) bool {
	return !slices.ContainsFunc(states, func(s State) bool { return s.Running+s.Queued > 0 })
}

func everyRank(ranks GroupClient) []int {
	all := make([]int, ranks.Size())
	for rank := range all {
		all[rank] = rank
	}
	return all
}

func ensure(ctx context.Context, ranks GroupClient, rank int, w Goal, timeout time.Duration) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return ranks.Ensure(ctx, rank, w)
}

// ensureAll asks the agents of some ranks side by side. The states are by rank;
// the error is one that ends the matter if there is one, else the first.
func ensureAll(ctx context.Context, ranks GroupClient, some []int, w Goal, timeout time.Duration) ([]State, error) {
	states := make([]State, ranks.Size())
	var first error
	for rank, err := range each(ctx, ranks, some, w, states, timeout) {
		if err == nil {
			continue
		}
		if first == nil || isFinal(err) {
			first = errors.WithMessagef(err, "rank %d", rank)
		}
	}
	return states, first
}

// each asks the agents of some ranks side by side, and returns the errors by
// rank. One rank that cannot ends the work of the others.
func each(ctx context.Context, ranks GroupClient, some []int, w Goal, states []State, timeout time.Duration) []error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	failures := make([]error, ranks.Size())
	var asked sync.WaitGroup
	for _, rank := range some {
		asked.Go(func() {
			states[rank], failures[rank] = ranks.Ensure(ctx, rank, w)
			if isFinal(failures[rank]) {
				cancel()
			}
		})
	}
	asked.Wait()
	return failures
}
