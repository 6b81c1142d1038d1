package attempt

import (
	"container/heap"
	"expvar"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

// Default bounds of a ledger.
const (
	// DefaultWindow is how old a stamp may be.
	DefaultWindow = 5 * time.Minute
	// DefaultCapacity is the number of attempts that a ledger remembers.
	DefaultCapacity = 65536
)

// counts are the counters of all ledgers of the process: "taken", "rejected "
// with the reason, "revoked " with the outcome.
var counts = expvar.NewMap("attempt")

// Config bounds a ledger.
type Config struct {
	// Incarnation identifies this run of the agent. Two runs of an agent never
	// share one; zero is not allowed.
	Incarnation uint64
	// Window is how old a stamp may be. Records are kept that long.
	Window time.Duration
	// Capacity bounds the records. At the bound the ledger forgets the records
	// with the oldest stamps and from then on rejects such stamps.
	Capacity int
}

// Ledger remembers attempts. It is safe for concurrent use.
type Ledger struct {
	cfg   Config
	start time.Time

	mu      sync.Mutex
	records map[ID]*Attempt
	// terminal orders the terminal records by stamp, oldest first.
	terminal stampHeap
	// floor is the youngest stamp of which something may have been forgotten.
	// Invariant: no record that was ever made with a stamp above floor is
	// missing from records.
	floor Stamp
}

// New returns an empty ledger whose clock starts now.
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

// Target returns the incarnation and the stamp of now. The agent puts it into
// every probe answer, refusal and heartbeat.
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
func (l *Ledger) Accept(id ID, addr Target) (*Attempt, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire()
	a, err := l.arrive(id, addr)
	if err != nil {
		counts.Add("rejected "+err.Reason.String(), 1)
		klog.Infof("attempt: rejected %s: %s, proof %d", id, err.Reason, err.Proof)
		return nil, err
	}
	counts.Add("taken", 1)
	return a, nil
}

func (l *Ledger) arrive(id ID, addr Target) (*Attempt, *RejectedError) {
	if addr.Incarnation != l.cfg.Incarnation {
		return nil, l.reject(id, ReasonIncarnation)
	}
	if a, ok := l.records[id]; ok {
		return nil, l.repeated(a)
	}
	if !l.remembered(addr.Stamp) {
		return nil, l.reject(id, ReasonStale)
	}
	if !l.makeRoom() {
		return nil, l.reject(id, ReasonFull)
	}
	// Making room may have forgotten stamps as old as this one.
	if !l.remembered(addr.Stamp) {
		return nil, l.reject(id, ReasonStale)
	}
	a := &Attempt{ledger: l, id: id, stamp: addr.Stamp, revoked: make(chan struct{})}
	l.records[id] = a
	return a, nil
}

// Revoke asks that an attempt never run. addr is the address that the attempt
// was sent with. NotRun is returned only with proof; a tombstone then rejects
// the attempt if it arrives later.
func (l *Ledger) Revoke(id ID, addr Target) Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire()
	out := l.revoke(id, addr)
	counts.Add("revoked "+out.String(), 1)
	klog.Infof("attempt: revoke %s: %s", id, out)
	return out
}

func (l *Ledger) revoke(id ID, addr Target) Outcome {
	if addr.Incarnation != l.cfg.Incarnation {
		// A former incarnation may have run it, and nothing of that is known.
		return Unknown
	}
	if a, ok := l.records[id]; ok {
		if a.state == Queued {
			close(a.revoked)
			l.set(a, Revoked)
		}
		return revokeOutcome(a.state)
	}
	if !l.remembered(addr.Stamp) || !l.makeRoom() || !l.remembered(addr.Stamp) {
		// It may have run and been forgotten, or no tombstone can be left.
		return Unknown
	}
	a := &Attempt{ledger: l, id: id, stamp: addr.Stamp}
	l.records[id] = a
	l.set(a, Revoked)
	return NotRun
}

// revokeOutcome narrows an outcome to the three that a revocation may give.
func revokeOutcome(s State) Outcome {
	if s == Failed {
		return Unknown
	}
	return s.Outcome()
}

func (l *Ledger) stamp() Stamp { return Stamp(time.Since(l.start)) }

// remembered reports whether every record with this stamp is still present.
func (l *Ledger) remembered(s Stamp) bool {
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

// repeated rejects a second delivery. Only a state that never runs is proof.
func (l *Ledger) repeated(a *Attempt) *RejectedError {
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

// set moves an attempt to a state and files it for expiry when terminal.
func (l *Ledger) set(a *Attempt, s State) {
	a.state = s
	if s.Terminal() {
		heap.Push(&l.terminal, a)
	}
}

// expire drops the terminal records whose deliveries are rejected by age.
func (l *Ledger) expire() {
	for len(l.terminal) > 0 && !l.remembered(l.terminal[0].stamp) {
		l.drop()
	}
}

// makeRoom forgets terminal records, oldest stamp first, until there is room
// for one more. It reports false when all records are live.
func (l *Ledger) makeRoom() bool {
	for len(l.records) >= l.cfg.Capacity {
		if len(l.terminal) == 0 {
			return false
		}
		l.drop()
	}
	return true
}

// drop forgets the terminal record with the oldest stamp and raises the floor
// to it, so that no delivery with that stamp is taken again.
func (l *Ledger) drop() {
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
