package claim

import (
	"time"

	"k8s.io/klog/v2"
)

// Start has to be called right before the endpoint is called. Errors:
// StaleTokenError when the claim was made too long ago, such as after a pause
// of the process; the caller then abandons it.
func (l *Ledger) Start(t Token) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, err := l.run(t)
	if err != nil || l.tooLate(t) {
		return StaleTokenError{Token: t}
	}
	return nil
}

// tooLate tells whether a run may no longer begin. The larger of the monotonic
// and the wall clock's time counts, since the former may stand still while a
// VM is suspended.
func (l *Ledger) tooLate(t Token) bool {
	now := time.Now()
	elapsed := max(now.Sub(t.Since), now.Round(0).Sub(t.Since.Round(0)))
	return elapsed > l.settings.StartTimeout
}

// run returns the running claim of a token. The lock is held.
func (l *Ledger) run(t Token) (*entry, error) {
	e, ok := l.active[t.Row]
	if !ok || e.token != t || e.phase != phaseRunning {
		return nil, StaleTokenError{Token: t}
	}
	return e, nil
}

// Finish records the endpoint's answer. It does not wait for the table: once it
// returns, the answer may go to the caller, waiting calls get it, and it is
// held until it is durable. Should the process die before, the claim's outcome
// is unknown to later calls, and it does not run again. Errors:
// StaleTokenError.
func (l *Ledger) Finish(t Token, answer Answer) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, err := l.run(t)
	if err != nil {
		return err
	}
	e.phase, e.answer = phaseEnding, &answer
	close(e.ended)
	it := &item{kind: itemDone, entry: e, record: l.done(e, answer)}
	if len(answer.Body) <= l.settings.InlineBytes || it.record.Dropped {
		l.queue <- it
		return nil
	}
	l.uploads <- it
	return nil
}

// done returns the record of a finished claim. The lock is held.
func (l *Ledger) done(e *entry, answer Answer) record {
	rec := running(e.claim, e.token)
	rec.State = StateDone
	rec.KeepUntil = time.Now().Add(e.claim.KeepAnswer).Round(0).UTC()
	rec.Status, rec.Headers, rec.Body = answer.Status, answer.Headers, answer.Body
	if l.stats.HeldBytes+len(answer.Body) > l.settings.MaxHeldBytes {
		l.stats.Dropped++
		rec.Body, rec.Dropped = nil, true
		klog.Warningf("claim: answer of key %q of %s not kept, %d bytes are held",
			e.claim.Key, e.claim.Organisation, l.stats.HeldBytes)
	}
	l.stats.HeldBytes += len(rec.Body)
	return rec
}

// Abandon frees a claim whose run provably never began, for the reason given.
// Errors: StaleTokenError.
func (l *Ledger) Abandon(t Token, reason string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, err := l.run(t)
	if err != nil {
		return err
	}
	klog.Infof("claim: abandoned key %q of %s, token %d-%d: %s",
		e.claim.Key, e.claim.Organisation, t.Incarnation, t.Sequence, reason)
	e.phase = phaseEnding
	l.queue <- &item{kind: itemAbandon, entry: e}
	return nil
}

// MarkUnknown gives a run up whose effect can't be known, such as when the
// endpoint broke off. The key never runs again by itself; an operator can
// resolve it. Errors: StaleTokenError.
func (l *Ledger) MarkUnknown(t Token, reason string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, err := l.run(t)
	if err != nil {
		return err
	}
	klog.Warningf("claim: outcome unknown of key %q of %s, token %d-%d: %s",
		e.claim.Key, e.claim.Organisation, t.Incarnation, t.Sequence, reason)
	e.phase, e.unknown = phaseEnding, true
	close(e.ended)
	rec := running(e.claim, e.token)
	rec.State = StateUnknown
	l.queue <- &item{kind: itemUnknown, entry: e, record: rec}
	return nil
}
