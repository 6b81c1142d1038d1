package attempt

// Attempt is an attempt that the ledger accepted. Its methods are safe for
// concurrent use. Of concurrent calls of Start and Ledger.Revoke exactly one
// succeeds.
type Attempt struct {
	ledger  *Ledger
	id      ID
	stamp   Stamp
	state   State
	revoked chan struct{}
}

// ID returns the attempt's identifier.
func (a *Attempt) ID() ID { return a.id }

// State returns the present state.
func (a *Attempt) State() State {
	a.ledger.mu.Lock()
	defer a.ledger.mu.Unlock()
	return a.state
}

// Revoked returns a channel that is closed if the attempt is revoked while it is
// queued.
func (a *Attempt) Revoked() <-chan struct{} { return a.revoked }

// Start changes the state from Queued to Running. The agent calls it before it
// sends the first byte to the endpoint. It returns a *RejectedError if the attempt
// is not queued, such as after it was revoked; the attempt must then not be sent
// to the endpoint.
func (a *Attempt) Start() error {
	l := a.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.state != Queued {
		return l.rejectDuplicate(a)
	}
	l.set(a, Running)
	return nil
}

// Refuse changes the state from Queued to Refused and reports whether the attempt
// provably did not run. The agent may answer with a refusal only if it returns
// true.
func (a *Attempt) Refuse() bool {
	l := a.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.state == Queued {
		l.set(a, Refused)
	}
	return a.state.Outcome() == NotRun
}

// Finish records the end of a run. complete reports whether the endpoint gave a
// complete answer. It does nothing unless the attempt is running.
func (a *Attempt) Finish(complete bool) {
	l := a.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.state != Running {
		return
	}
	if complete {
		l.set(a, Finished)
		return
	}
	l.set(a, Failed)
}

// Withdraw changes the state from Running to Refused. The caller must be certain
// that the endpoint has received nothing of the attempt, such as when the
// connection could not be established. Revocations and duplicate deliveries then
// get the proof that it did not run.
func (a *Attempt) Withdraw() {
	l := a.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.state == Running {
		l.set(a, Refused)
	}
}
