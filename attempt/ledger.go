package attempt

import (
	"container/heap"
	"expvar"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

// Defaults of Config.
const (
	// DefaultWindow is the default maximum age of a stamp.
	DefaultWindow = 5 * time.Minute
	// DefaultCapacity is the default maximum number of records.
	DefaultCapacity = 65536
)

// counts holds the counters of all ledgers of the process. Its keys are "taken",
// "rejected " followed by the reason and "revoked " followed by the outcome.
var counts = expvar.NewMap("attempt")

// Config configures a Ledger.
type Config struct {
	// Incarnation identifies this process of the agent. It is unique among the
	// agent's processes and not zero.
	Incarnation uint64
	// Window is the maximum age of a stamp. Records are kept for that time.
	Window time.Duration
	// Capacity is the maximum number of records. When it is reached, the ledger
	// deletes the terminal records with the oldest stamps, and from then on
	// rejects attempts with such stamps.
	Capacity int
}

// Ledger records attempts. It is safe for concurrent use.
type Ledger struct {
	cfg   Config
	start time.Time

	mu      sync.Mutex
	records map[ID]*Attempt
	// terminal orders the terminal records by stamp, oldest first.
	terminal stampHeap
	// floor is the newest stamp of a deleted record. Invariant: every record
	// that was created with a stamp above floor is in records.
	floor Stamp
}

// New returns an empty Ledger whose stamps count from now.
func New(cfg Config) (*Ledger, error) {
	if cfg.Incarnation == 0 {
		return nil, &ConfigError{Field: "incarnation"}
	}
	if cfg.Window <= 0 {
		return nil, &ConfigError{Field: "window", Value: int64(cfg.Window)}
	}
	if cfg.Capacity <= 0 {
		return nil, &ConfigError{Field: "capacity", Value: int64(cfg.Capacity)}
	}
	return &Ledger{
		cfg:     cfg,
		start:   time.Now(),
		records: make(map[ID]*Attempt),
		floor:   -1,
	}, nil
}

// Target returns the incarnation and the present stamp. The agent includes them in
// every probe response, and in every refusal of an attempt.
func (l *Ledger) Target() Target {
	return Target{Incarnation: l.cfg.Incarnation, Stamp: l.stamp()}
}

// Len returns the number of records.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records)
}

// Accept records the delivery of an attempt. It returns the attempt in state
// Queued, or a *RejectedError if the delivery must not run.
func (l *Ledger) Accept(id ID, target Target) (*Attempt, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire()
	a, err := l.accept(id, target)
	if err != nil {
		counts.Add("rejected "+err.Reason.String(), 1)
		klog.Infof("attempt: rejected %s: %s, proof %d", id, err.Reason, err.Proof)
		return nil, err
	}
	counts.Add("taken", 1)
	return a, nil
}

func (l *Ledger) accept(id ID, target Target) (*Attempt, *RejectedError) {
	if target.Incarnation != l.cfg.Incarnation {
		return nil, l.reject(id, ReasonIncarnation)
	}
	if a, ok := l.records[id]; ok {
		return nil, l.rejectDuplicate(a)
	}
	if !l.retained(target.Stamp) {
		return nil, l.reject(id, ReasonStale)
	}
	if !l.makeRoom() {
		return nil, l.reject(id, ReasonFull)
	}
	// makeRoom may have deleted records with stamps as old as this one.
	if !l.retained(target.Stamp) {
		return nil, l.reject(id, ReasonStale)
	}
	a := &Attempt{ledger: l, id: id, stamp: target.Stamp, revoked: make(chan struct{})}
	l.records[id] = a
	return a, nil
}

// Revoke revokes an attempt that was sent with the given target. It returns NotRun
// only if the attempt provably did not run; a tombstone then rejects the attempt
// if it is delivered later.
func (l *Ledger) Revoke(id ID, target Target) Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire()
	outcome := l.revoke(id, target)
	counts.Add("revoked "+outcome.String(), 1)
	klog.Infof("attempt: revocation of %s: outcome %s", id, outcome)
	return outcome
}

func (l *Ledger) revoke(id ID, target Target) Outcome {
	if target.Incarnation != l.cfg.Incarnation {
		// An earlier incarnation may have run it; this one has no record of that.
		return Unknown
	}
	if a, ok := l.records[id]; ok {
		if a.state == Queued {
			close(a.revoked)
			l.set(a, Revoked)
		}
		return revokeOutcome(a.state)
	}
	if !l.retained(target.Stamp) || !l.makeRoom() || !l.retained(target.Stamp) {
		// It may have run and its record may be deleted, or there is no room for
		// a tombstone.
		return Unknown
	}
	a := &Attempt{ledger: l, id: id, stamp: target.Stamp}
	l.records[id] = a
	l.set(a, Revoked)
	return NotRun
}

// revokeOutcome returns the outcome of revoking an attempt in the given state:
// Unknown, NotRun or Done.
func revokeOutcome(s State) Outcome {
	if s == Failed {
		return Unknown
	}
	return s.Outcome()
}

func (l *Ledger) stamp() Stamp { return Stamp(time.Since(l.start)) }

// retained reports whether every record with this stamp is still present.
func (l *Ledger) retained(s Stamp) bool {
	now := l.stamp()
	return s >= 0 && s <= now && s > l.floor && now-s <= Stamp(l.cfg.Window)
}

func (l *Ledger) reject(id ID, r Reason) *RejectedError {
	return &RejectedError{
		ID:          id,
		Reason:      r,
		Proof:       ProofDelivery,
		Incarnation: l.cfg.Incarnation,
		Stamp:       l.stamp(),
	}
}

// rejectDuplicate rejects another delivery of a recorded attempt. It contains
// proof only if the attempt's state proves that it did not run.
func (l *Ledger) rejectDuplicate(a *Attempt) *RejectedError {
	e := l.reject(a.id, ReasonDuplicate)
	e.State = a.state
	e.Proof = ProofNone
	if a.state == Revoked {
		e.Reason = ReasonRevoked
	}
	if a.state.Outcome() == NotRun {
		e.Proof = ProofAttempt
	}
	return e
}

// set sets the state of an attempt and makes it eligible for deletion if the
// state is terminal.
func (l *Ledger) set(a *Attempt, s State) {
	a.state = s
	if s.Terminal() {
		heap.Push(&l.terminal, a)
	}
}

// expire deletes the terminal records whose stamps are too old to be accepted.
func (l *Ledger) expire() {
	for len(l.terminal) > 0 && !l.retained(l.terminal[0].stamp) {
		l.deleteOldest()
	}
}

// makeRoom deletes terminal records, oldest stamp first, until there is room for
// another record. It returns false if no record is terminal.
func (l *Ledger) makeRoom() bool {
	for len(l.records) >= l.cfg.Capacity {
		if len(l.terminal) == 0 {
			return false
		}
		l.deleteOldest()
	}
	return true
}

// deleteOldest deletes the terminal record with the oldest stamp and raises the
// floor to that stamp, so that deliveries with it are rejected.
func (l *Ledger) deleteOldest() {
	a := heap.Pop(&l.terminal).(*Attempt)
	l.floor = max(l.floor, a.stamp)
	delete(l.records, a.id)
}

// stampHeap is a heap of attempts, oldest stamp first.
type stampHeap []*Attempt

func (h stampHeap) Len() int           { return len(h) }
func (h stampHeap) Less(i, j int) bool { return h[i].stamp < h[j].stamp }
func (h stampHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *stampHeap) Push(x any) { *h = append(*h, x.(*Attempt)) }

// Pop implements heap.Interface.
func (h *stampHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
