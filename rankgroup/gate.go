package rankgroup

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
)

// Ranks reaches the agents beside all engines of a group.
type Ranks interface {
	// Size is the number of ranks.
	Size() int
	// Ensure asks the agent beside a rank's engine to bring a want about. Errors
	// are those of Keeper.Ensure, or say that the agent was not reached, which
	// leaves open what it does.
	Ensure(ctx context.Context, rank int, w Want) (State, error)
}

const (
	// prepareTimeout bounds the loading of a map; a layer's spare slots take
	// about a second.
	prepareTimeout = 6 * time.Second
	// armTimeout bounds the arming of all ranks; an answer takes some ms, and one
	// that gets lost is asked for again after answerTimeout.
	armTimeout = 1200 * time.Millisecond
	// stepsAhead is how many passes lie between now and a switch: about the time
	// that arming takes, so that the gate stops nobody in the usual case.
	stepsAhead = 2
	// stepsSpread parts the steps of two switches that follow each other while
	// the group is idle.
	stepsSpread = 3
	// recoverTimeout bounds one try to end a hold that somebody left.
	recoverTimeout = 2 * time.Second
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
	// InForce is the map of now, which a switch that fails falls back to.
	InForce expertmap.Map
	// Gate is the rank that holds the group.
	Gate int
}

// Switch puts a map in force at all ranks or at none. It returns once all ranks
// will switch at one step, or an error: then the gate was released without a
// switch, or the agent beside the gate ends the hold.
func Switch(ctx context.Context, ranks Ranks, p Plan) error {
	want := Want{Kind: WantPrepared, Token: p.Version, Epoch: p.Epoch, Version: p.Version, Map: p.Map.Marshal()}
	states, err := ensureAll(ctx, ranks, want, prepareTimeout)
	if err != nil {
		return errors.WithMessage(err, "prepare")
	}
	step := newestStep(states) + stepsAhead + rand.Uint64N(stepsSpread)
	want = Want{Kind: WantHeld, Token: p.Version, Epoch: p.Epoch, Version: p.Version, Step: step}
	if _, err := ensure(ctx, ranks, p.Gate, want, armTimeout); err != nil {
		return errors.WithMessage(err, "hold")
	}
	want.Kind = WantArmed
	if _, err := ensureAll(ctx, ranks, want, armTimeout); err != nil {
		// The caller's context may have ended; the gate must not stay closed.
		abort := context.WithoutCancel(ctx)
		return errors.WithMessage(errors.WithMessagef(err, "arm (%v)", Recover(abort, ranks, p.Gate, NextVersion(p.Version), p.InForce)), "switch")
	}
	want.Kind = WantReleased
	if _, err := ensure(ctx, ranks, p.Gate, want, armTimeout); err != nil {
		return errors.WithMessage(err, "release")
	}
	return nil
}

// Recover ends a hold at a gate that its leader did not end: it releases the
// gate once all ranks will switch together, or once none is armed or can become
// so. version is a new one, inForce the map of now.
func Recover(ctx context.Context, ranks Ranks, gate int, version uint64, inForce expertmap.Map) error {
	fence := Want{Kind: WantFence, Token: version}
	if _, err := ensureAll(ctx, ranks, fence, recoverTimeout); err != nil {
		return errors.WithMessage(err, "fence")
	}
	// No older leader changes anything from here on.
	states, err := ensureAll(ctx, ranks, fence, recoverTimeout)
	if err != nil {
		return errors.WithMessage(err, "look")
	}
	held, epoch := states[gate].Held, states[gate].Epoch
	if held == 0 {
		return nil
	}
	if !together(states) {
		void := Want{Kind: WantVoid, Token: version, Epoch: epoch, Version: version, Map: inForce.Marshal()}
		if _, err := ensureAll(ctx, ranks, void, recoverTimeout); err != nil {
			return errors.WithMessage(err, "void")
		}
	}
	release := Want{Kind: WantReleased, Token: version, Epoch: epoch, Step: held}
	_, err = ensure(ctx, ranks, gate, release, recoverTimeout)
	return errors.WithMessage(err, "release")
}

// together reports whether the states allow the group to step on: no rank is
// armed, or all are for the same switch, or have made it already.
func together(states []State) bool {
	var due *Armed
	for i := range states {
		if states[i].Armed == nil {
			continue
		}
		if due != nil && *due != *states[i].Armed {
			return false
		}
		due = states[i].Armed
	}
	if due == nil {
		return true
	}
	for i := range states {
		if states[i].Armed == nil && states[i].Map != due.Version {
			return false
		}
	}
	return true
}

func newestStep(states []State) uint64 {
	step := uint64(0)
	for i := range states {
		step = max(step, states[i].Step)
	}
	return step
}

func ensure(ctx context.Context, ranks Ranks, rank int, w Want, timeout time.Duration) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return ranks.Ensure(ctx, rank, w)
}

// ensureAll asks all agents side by side. The states are by rank; the error is
// the first one.
func ensureAll(ctx context.Context, ranks Ranks, w Want, timeout time.Duration) ([]State, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	states := make([]State, ranks.Size())
	failures := make([]error, ranks.Size())
	var asked sync.WaitGroup
	for rank := range states {
		asked.Go(func() {
			states[rank], failures[rank] = ranks.Ensure(ctx, rank, w)
			if isFinal(failures[rank]) {
				// One rank that cannot is enough.
				cancel()
			}
		})
	}
	asked.Wait()
	var first error
	for rank, err := range failures {
		if err == nil {
			continue
		}
		if err = errors.WithMessagef(err, "rank %d", rank); first == nil || isFinal(errors.Cause(err)) {
			first = err
		}
	}
	return states, first
}
