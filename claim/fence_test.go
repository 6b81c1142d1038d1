package claim

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPausedRunnerStartsNothing has a process sleep between its claim and the
// call of the endpoint, while an operator frees the key and another one runs it.
func TestPausedRunnerStartsNothing(t *testing.T) {
	virtually(t, func(s *site) {
		paused, stopPaused := s.open("a", nil)
		defer stopPaused()
		b, stopB := s.open("b", nil)
		defer stopB()
		old, err := paused.Begin(context.Background(), keyed("k", "b"))
		assert.NilError(t, err)
		time.Sleep(DefaultMaxRun + DefaultStartTimeout + time.Second)
		operator := NewAdmin(s.store, 0)
		assert.NilError(t, operator.Retire(context.Background(), "a"))
		assert.NilError(t, operator.Resolve(context.Background(), old.Run.Row, VerdictNotRun))
		fresh, err := b.Begin(context.Background(), keyed("k", "b"))
		assert.NilError(t, err)
		assert.NilError(t, b.Start(*fresh.Run))
		assert.ErrorType(t, paused.Start(*old.Run), StaleTokenError{}, "it would run twice")
		assert.NilError(t, paused.Abandon(*old.Run, "too late"))
		time.Sleep(time.Second)
		_, err = b.Begin(canceled(), keyed("k", "b"))
		assert.ErrorType(t, err, InFlightError{}, "the late end of the old run frees nothing")
	})
}

// canceled returns a context that has ended.
func canceled() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// TestFencedRunnerClaimsNothing retires a process that lives on.
func TestFencedRunnerClaimsNothing(t *testing.T) {
	virtually(t, func(s *site) {
		a, stopA := s.open("a", nil)
		defer stopA()
		b, stopB := s.open("b", nil)
		defer stopB()
		run, err := a.Begin(context.Background(), keyed("open", "b"))
		assert.NilError(t, err)
		assert.NilError(t, NewAdmin(s.store, 0).Retire(context.Background(), "a"))
		_, err = a.Begin(context.Background(), keyed("new", "b"))
		assert.ErrorType(t, err, FencedError{})
		time.Sleep(time.Second)
		d, err := b.Begin(context.Background(), keyed("new", "b"))
		assert.NilError(t, err)
		assert.Assert(t, d.Run != nil, "the fenced process left no claim")
		_, err = b.Begin(context.Background(), keyed("open", "b"))
		assert.ErrorType(t, err, UnknownOutcomeError{})
		assert.NilError(t, a.Finish(*run.Run, Answer{Status: 201}))
		time.Sleep(time.Second)
		d, err = b.Begin(context.Background(), keyed("open", "b"))
		assert.NilError(t, err)
		assert.Equal(t, d.Replay.Status, 201, "a fenced process still tells how its runs ended")
	})
}
