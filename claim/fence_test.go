package claim

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPausedRunnerCannotStart pauses a process between its claim and the call to
// the endpoint, while an operator frees the key and another process runs it. If
// the paused process could start, the request would run twice.
func TestPausedRunnerCannotStart(t *testing.T) {
	withFakeTime(t, func(s *testEnv) {
		paused, stopPaused := s.open("a", nil)
		defer stopPaused()
		b, stopB := s.open("b", nil)
		defer stopB()
		old, err := paused.Begin(context.Background(), testClaim("k", "b"))
		assert.NilError(t, err)
		time.Sleep(DefaultMaxRun + DefaultStartTimeout + time.Second)
		operator := NewAdmin(s.store, 0)
		assert.NilError(t, operator.Retire(context.Background(), "a"))
		assert.NilError(t, operator.Resolve(context.Background(), old.Run.Row, VerdictNotRun))
		fresh, err := b.Begin(context.Background(), testClaim("k", "b"))
		assert.NilError(t, err)
		assert.NilError(t, b.Start(*fresh.Run))
		assert.ErrorType(t, paused.Start(*old.Run), StaleTokenError{}, "it would run twice")
		assert.NilError(t, paused.Abandon(*old.Run, "too late"))
		time.Sleep(time.Second)
		_, err = b.Begin(canceled(), testClaim("k", "b"))
		assert.ErrorType(t, err, InFlightError{}, "the late end of the old run does not free the new claim")
	})
}

// canceled returns a cancelled context.
func canceled() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// TestFencedRunnerCannotClaim retires a runner whose process is still alive.
func TestFencedRunnerCannotClaim(t *testing.T) {
	withFakeTime(t, func(s *testEnv) {
		a, stopA := s.open("a", nil)
		defer stopA()
		b, stopB := s.open("b", nil)
		defer stopB()
		run, err := a.Begin(context.Background(), testClaim("open", "b"))
		assert.NilError(t, err)
		assert.NilError(t, NewAdmin(s.store, 0).Retire(context.Background(), "a"))
		_, err = a.Begin(context.Background(), testClaim("new", "b"))
		assert.ErrorType(t, err, FencedError{})
		time.Sleep(time.Second)
		d, err := b.Begin(context.Background(), testClaim("new", "b"))
		assert.NilError(t, err)
		assert.Assert(t, d.Run != nil, "the fenced process made no claim")
		_, err = b.Begin(context.Background(), testClaim("open", "b"))
		assert.ErrorType(t, err, UnknownOutcomeError{})
		assert.NilError(t, a.Finish(*run.Run, Answer{Status: 201}))
		time.Sleep(time.Second)
		d, err = b.Begin(context.Background(), testClaim("open", "b"))
		assert.NilError(t, err)
		assert.Equal(t, d.Replay.Status, 201, "a fenced process still records the ends of its runs")
	})
}
