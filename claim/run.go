package claim

import (
	"time"

	"k8s.io/klog/v2"
)

// Start must be called immediately before the endpoint is called. It returns
// StaleTokenError if the claim was made longer than StartTimeout ago, such as
// after a pause of the process. The caller must then call Abandon.
func (l *Ledger) Start(t Token) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, err := l.runningEntry(t)
	if err != nil || l.tooLate(t) {
		return StaleTokenError{Token: t}
	}
	return nil
}

// tooLate reports whether StartTimeout has passed. It uses the larger of the
// monotonic and the wall clock time, because the monotonic clock may stop while
// a VM is suspended.
func (l *Ledger) tooLate(t Token) bool {
	now := time.Now()
	elapsed := max(now.Sub(t.Since), now.Round(0).Sub(t.Since.Round(0)))
	return elapsed > l.settings.StartTimeout
}

// runningEntry returns the running claim of a token. The lock is held.
func (l *Ledger) runningEntry(t Token) (*entry, error) {
	e, ok := l.active[t.Row]
	if !ok || e.token != t || e.phase != phaseRunning {
		return nil, StaleTokenError{Token: t}
	}
	return e, nil
}

// Finish records the endpoint's answer. It does not wait for the table: once it
// returns, the answer can be sent to the caller. Waiting calls receive it, and it
// is kept in memory until it is durable. If the process dies before that, later
// calls get UnknownOutcomeError and do not run. Errors: StaleTokenError.
func (l *Ledger) Finish(t Token, answer Answer) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, err := l.runningEntry(t)
	if err != nil {
		return err
	}
	e.phase, e.answer = phaseEnding, &answer
	close(e.ended)
	it := &item{kind: itemDone, entry: e, record: l.doneRecord(e, answer)}
	if len(answer.Body) <= l.settings.InlineBytes || it.record.Dropped {
		l.queue <- it
		return nil
	}
	l.uploads <- it
	return nil
}

// doneRecord returns the record of a finished claim. The lock is held.
func (l *Ledger) doneRecord(e *entry, answer Answer) record {
	rec := runningRecord(e.claim, e.token)
	rec.State = StateDone
	rec.KeepUntil = time.Now().Add(e.claim.KeepAnswer).Round(0).UTC()
	rec.Status, rec.Headers, rec.Body = answer.Status, answer.Headers, answer.Body
	if l.stats.HeldBytes+len(answer.Body) > l.settings.MaxHeldBytes {
		l.stats.Dropped++
		rec.Body, rec.Dropped = nil, true
		klog.Warningf("claim: answer of key %q of %s not stored, %d bytes are waiting to be written",
			e.claim.Key, e.claim.Organisation, l.stats.HeldBytes)
	}
	l.stats.HeldBytes += len(rec.Body)
	return rec
}

// Abandon frees a claim whose run provably did not start. The reason is logged.
// Errors: StaleTokenError.
func (l *Ledger) Abandon(t Token, reason string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, err := l.runningEntry(t)
	if err != nil {
		return err
	}
	klog.Infof("claim: abandoned key %q of %s, token %d-%d: %s",
		e.claim.Key, e.claim.Organisation, t.Incarnation, t.Sequence, reason)
	e.phase = phaseEnding
	l.queue <- &item{kind: itemAbandon, entry: e}
	return nil
}

// MarkUnknown ends a run whose outcome cannot be determined, such as after the
// endpoint closed the connection early. The key is not run again unless an
// operator resolves the claim as not run. Errors: StaleTokenError.
func (l *Ledger) MarkUnknown(t Token, reason string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, err := l.runningEntry(t)
	if err != nil {
		return err
	}
	klog.Warningf("claim: outcome of key %q of %s is unknown, token %d-%d: %s",
		e.claim.Key, e.claim.Organisation, t.Incarnation, t.Sequence, reason)
	e.phase, e.unknown = phaseEnding, true
	close(e.ended)
	rec := runningRecord(e.claim, e.token)
	rec.State = StateUnknown
	l.queue <- &item{kind: itemUnknown, entry: e, record: rec}
	return nil
}
