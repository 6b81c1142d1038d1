package attempt

// Attempt is one attempt that the ledger took. Its methods are safe for
// concurrent use; Start competes with Revoke, and one of them wins.
type Attempt struct {
	ledger  *Ledger
	id      ID
	stamp   Stamp
	state   State
	revoked chan struct{}
}

// ID returns the attempt's identifier.
func (a *Attempt) ID() ID { return a.id }

// State returns the state now.
func (a *Attempt) State() State {
	a.ledger.mu.Lock()
	defer a.ledger.mu.Unlock()
	return a.state
}

// Revoked is closed when the attempt is revoked while it is queued.
func (a *Attempt) Revoked() <-chan struct{} { return a.revoked }

// Start moves the attempt from Queued to Running. The agent calls it before the
// first byte goes to the endpoint. It returns a *RejectedError if the attempt
// was revoked or refused before; the endpoint must not see it then.
func (a *Attempt) Start() error {
	l := a.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.state != Queued {
		return l.repeated(a)
	}
	l.set(a, Running)
	return nil
}

// Refuse moves the attempt from Queued to Refused and reports whether it is
// proved that it did not run. Only if it returns true may the agent answer with
// a refusal.
func (a *Attempt) Refuse() bool {
	l := a.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.state == Queued {
		l.set(a, Refused)
	}
	return a.state.Outcome() == NotRun
}

// Finish records the end of a run: whole tells whether the endpoint gave its
// whole answer. It does nothing unless the attempt is running.
func (a *Attempt) Finish(whole bool) {
	l := a.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.state != Running {
		return
	}
	if whole {
		l.set(a, Finished)
		return
	}
	l.set(a, Failed)
}

// Withdraw moves the attempt from Running to Refused. The caller vouches that
// the endpoint has seen nothing of it, such as when no connection came about.
// A revocation or a second delivery is then answered with the proof.
func (a *Attempt) Withdraw() {
	l := a.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.state == Running {
		l.set(a, Refused)
	}
}
