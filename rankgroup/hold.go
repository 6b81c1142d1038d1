package rankgroup

import (
	"context"
	"net/http"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/metric"
)

// Limits of the duration of a hold.
const (
	// holdTimeout is how long a hold may block the group before the agent beside
	// the gate ends it. It applies if the leader has stopped sending messages.
	// Otherwise holdTimeoutLed applies, because the leader may be repeating lost
	// orders.
	holdTimeout    = 150 * time.Millisecond
	holdTimeoutLed = 700 * time.Millisecond
	// leaderSilenceLimit is the time without a message after which the leader
	// may have stopped. A leader sends a message every broadcastPeriod.
	leaderSilenceLimit = 2*broadcastPeriod + 50*time.Millisecond
	// holdTimeoutNotReached applies while the group has not reached the step of
	// the hold.
	holdTimeoutNotReached = 3 * time.Second
)

// watchHold ends a hold that its leader has abandoned.
func (a *Agent) watchHold(ctx context.Context, state State, now time.Time) {
	if state.HoldAt == 0 {
		a.holdSince = time.Time{}
		return
	}
	if a.holdSince.IsZero() {
		a.holdSince, a.blockedSince = now, time.Time{}
	}
	if !state.blocked() {
		a.blockedSince = time.Time{}
	} else if a.blockedSince.IsZero() {
		a.blockedSince = now
	}
	if !holdAbandoned(state, now, a.holdSince, a.blockedSince, a.leaderLastSeen()) || !a.beginRecovery() {
		return
	}
	go func() {
		defer a.endRecovery()
		// endHold logs the error, and the next poll tries again.
		_ = a.endHold(ctx, state)
	}()
}

// endHold ends the hold of the engine beside this agent.
func (a *Agent) endHold(ctx context.Context, state State) error {
	group, err := a.groupClient(state)
	if err == nil {
		err = a.recoverHold(ctx, group, state)
	}
	if err != nil {
		a.log.Warn("hold that was left is still in place", "group", state.Group, "step", state.HoldAt, "error", err.Error())
		return err
	}
	metric.HoldsEnded.Inc()
	a.log.Info("hold that was left has ended", "group", state.Group, "epoch", state.Epoch, "step", state.HoldAt)
	return nil
}

// endHoldResponse is the response to a leader that has aborted a switch.
type endHoldResponse struct {
	Failure string `json:"failure,omitempty"`
}

// serveEndHold ends the hold of a switch that the leader has aborted.
func (a *Agent) serveEndHold(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), endHoldTimeout)
	defer cancel()
	for !a.beginRecovery() {
		timer := time.NewTimer(goalPollPeriod)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			writeJSON(w, endHoldResponse{Failure: ctx.Err().Error()}, a.log)
			return
		}
	}
	defer a.endRecovery()
	state, err := a.reconciler.state(ctx)
	if err == nil && state.HoldAt != 0 {
		err = a.endHold(ctx, state)
	}
	writeJSON(w, endHoldResponse{Failure: errorText(err)}, a.log)
}

// leaderLastSeen returns the time of the last message of the group's leader.
func (a *Agent) leaderLastSeen() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.leaderSeenAt
}

// blocked reports whether the group has work and has reached the hold.
func (s State) blocked() bool { return s.HoldAt != 0 && s.Step+1 >= s.HoldAt && s.Running+s.Queued > 0 }

// holdAbandoned reports whether the leader has abandoned a hold that began at
// heldSince. blockedSince is when the hold began to block the group, leaderSeen
// the time of the leader's last message.
func holdAbandoned(s State, now, heldSince, blockedSince, leaderSeen time.Time) bool {
	if !s.blocked() || blockedSince.IsZero() {
		return now.Sub(heldSince) >= holdTimeoutNotReached
	}
	if now.Sub(leaderSeen) < leaderSilenceLimit {
		return now.Sub(blockedSince) >= holdTimeoutLed
	}
	return now.Sub(blockedSince) >= holdTimeout
}

func (a *Agent) recoverHold(ctx context.Context, group *httpGroupClient, state State) error {
	return RecoverHold(ctx, group, a.reconciler.abandonedHold(state, a.shape(state)))
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
