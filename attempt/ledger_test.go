package attempt

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func newLedger(t *testing.T, capacity int) *Ledger {
	t.Helper()
	l, err := New(Config{Incarnation: 7, Window: time.Minute, Capacity: capacity})
	assert.NilError(t, err)
	return l
}

// TestDuplicateProof checks that the rejection of a duplicate is proof only if the
// attempt's state shows that it did not run.
func TestDuplicateProof(t *testing.T) {
	cases := []struct {
		state State
		move  func(*Ledger, *Attempt)
		proof Proof
	}{
		{Queued, func(*Ledger, *Attempt) {}, ProofNone},
		{Running, func(_ *Ledger, a *Attempt) { _ = a.Start() }, ProofNone},
		{Finished, func(_ *Ledger, a *Attempt) { _ = a.Start(); a.Finish(true) }, ProofNone},
		{Failed, func(_ *Ledger, a *Attempt) { _ = a.Start(); a.Finish(false) }, ProofNone},
		{Refused, func(_ *Ledger, a *Attempt) { a.Refuse() }, ProofAttempt},
		{Refused, func(_ *Ledger, a *Attempt) { _ = a.Start(); a.Withdraw() }, ProofAttempt},
		{Finished, func(_ *Ledger, a *Attempt) { _ = a.Start(); a.Finish(true); a.Withdraw() }, ProofNone},
		{Revoked, func(l *Ledger, a *Attempt) { l.Revoke(a.id, Target{7, a.stamp}) }, ProofAttempt},
	}
	for _, c := range cases {
		t.Run(c.state.String(), func(t *testing.T) {
			l := newLedger(t, 10)
			id := ID{"r", 1}
			target := l.Target()
			a, err := l.Accept(id, target)
			assert.NilError(t, err)
			c.move(l, a)
			assert.Equal(t, a.State(), c.state)
			_, err = l.Accept(id, target)
			assert.Equal(t, err.(*RejectedError).Proof, c.proof)
			assert.Equal(t, err.(*RejectedError).Outcome(2) == NotRun, c.proof == ProofAttempt)
		})
	}
}

// TestCapacity checks that the number of records stays within the capacity, and
// that an attempt whose record was deleted is still rejected.
func TestCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLedger(t, 8)
		for i := range uint32(1000) {
			time.Sleep(time.Millisecond)
			target := l.Target()
			a, err := l.Accept(ID{"r", i}, target)
			assert.NilError(t, err)
			assert.NilError(t, a.Start())
			a.Finish(true)
			assert.Assert(t, l.Len() <= 8)
		}
		_, err := l.Accept(ID{"r", 3}, Target{7, Stamp(4 * time.Millisecond)})
		assert.Equal(t, err.(*RejectedError).Reason, ReasonStale)
		assert.Equal(t, l.Revoke(ID{"r", 3}, Target{7, Stamp(4 * time.Millisecond)}), Unknown)
	})
}

// TestExpiry checks that records are deleted after the window.
func TestExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLedger(t, 1000)
		for i := range uint32(100) {
			l.Revoke(ID{"r", i}, l.Target())
		}
		assert.Equal(t, l.Len(), 100)
		time.Sleep(time.Minute + time.Second)
		l.Revoke(ID{"other", 1}, Target{Incarnation: 6})
		l.Revoke(ID{"other", 1}, l.Target())
		assert.Equal(t, l.Len(), 1)
	})
}

func BenchmarkAccept(b *testing.B) {
	l, _ := New(Config{Incarnation: 7, Window: DefaultWindow, Capacity: DefaultCapacity})
	b.ReportAllocs()
	for i := range b.N {
		a, err := l.Accept(ID{"request", uint32(i)}, l.Target())
		if err != nil {
			continue
		}
		_ = a.Start()
		a.Finish(true)
	}
}
