package rankgroup

import (
	"context"
	"net/http"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/metric"
)

// How long a hold may last.
const (
	// holdLimit is how long a group may stand before a hold, while its leader is
	// silent, until the agent beside the gate ends it; holdLimitLed is the same
	// while the leader is heard, which may be giving lost orders again.
	holdLimit    = 150 * time.Millisecond
	holdLimitLed = 700 * time.Millisecond
	// leaderHeard is the silence from which a leader, heard every spreadPeriod,
	// may have stopped.
	leaderHeard = 2*spreadPeriod + 50*time.Millisecond
	// holdLimitIdle is the same for a group that has not come to the hold.
	holdLimitIdle = 3 * time.Second
)

// watchHold ends a hold that its leader has left.
func (a *Agent) watchHold(ctx context.Context, state State, now time.Time) {
	if state.HoldAt == 0 {
		a.heldSince = time.Time{}
		return
	}
	if a.heldSince.IsZero() {
		a.heldSince, a.standsSince = now, time.Time{}
	}
	if !state.blocked() {
		a.standsSince = time.Time{}
	} else if a.standsSince.IsZero() {
		a.standsSince = now
	}
	if !holdIsLeft(state, now, a.heldSince, a.standsSince, a.leaderSpoke()) || !a.beginRecovery() {
		return
	}
	go func() {
		defer a.endRecovery()
		// The failure is logged; the next look tries again.
		_ = a.endHold(ctx, state)
	}()
}

// endHold ends the hold at the engine beside this agent.
func (a *Agent) endHold(ctx context.Context, state State) error {
	group, err := a.group(state)
	if err == nil {
		err = a.recover(ctx, group, state)
	}
	if err != nil {
		a.log.Warn("hold that was left is still in place", "group", state.Group, "step", state.HoldAt, "error", err.Error())
		return err
	}
	metric.HoldsEnded.Inc()
	a.log.Info("hold that was left has ended", "group", state.Group, "epoch", state.Epoch, "step", state.HoldAt)
	return nil
}

// endAnswer is an agent's answer to a leader that gave a switch up.
type endAnswer struct {
	Failure string `json:"failure,omitempty"`
}

// serveEnd ends a hold that the leader has given up.
func (a *Agent) serveEnd(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), endTimeout)
	defer cancel()
	for !a.beginRecovery() {
		timer := time.NewTimer(pollPeriod)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			writeJSON(w, endAnswer{Failure: ctx.Err().Error()}, a.log)
			return
		}
	}
	defer a.endRecovery()
	state, err := a.keeper.state(ctx)
	if err == nil && state.HoldAt != 0 {
		err = a.endHold(ctx, state)
	}
	writeJSON(w, endAnswer{Failure: errorText(err)}, a.log)
}

// leaderSpoke returns when the group's leader was heard last.
func (a *Agent) leaderSpoke() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.heardAt
}

// stands reports whether the group has come to the hold and has work.
func (s State) blocked() bool { return s.HoldAt != 0 && s.Step+1 >= s.HoldAt && s.Running+s.Queued > 0 }

// holdIsLeft decides whether a hold that began at held, and stops the group
// since stands, was left by a leader that spoke last at spoke.
func holdIsLeft(s State, now, held, stands, spoke time.Time) bool {
	if !s.blocked() || stands.IsZero() {
		return now.Sub(held) >= holdLimitIdle
	}
	if now.Sub(spoke) < leaderHeard {
		return now.Sub(stands) >= holdLimitLed
	}
	return now.Sub(stands) >= holdLimit
}

func (a *Agent) recover(ctx context.Context, group *peers, state State) error {
	known := []uint64{a.keeper.HighestToken(), state.ActiveVersion, state.PreparedVersion}
	return RecoverHold(ctx, group, AbandonedHold{Gate: state.Rank, Leader: a.keeper.leading(), Version: NextVersion(known...), Shape: a.shape(state)})
}

func (a *Agent) beginRecovery() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.recovering {
		return false
	}
	a.recovering = true
	return true
}

func (a *Agent) endRecovery() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recovering = false
}
