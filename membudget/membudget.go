// Package membudget limits the memory that a process uses for its callers: heads and
// bodies of requests, and answers that callers read slowly. Memory is reserved as bytes
// arrive, never by a declared length. While the budget is exhausted, requests wait unread
// for a short time, reservations without progress are revoked, and then requests are
// refused. Small requests have a part of the budget for themselves and don't wait behind
// large ones, no single caller can reserve all of it, and one of the large requests that
// wait can always be completed.
package membudget

import (
	"context"
	"net/netip"
	"strconv"
	"sync"
	"time"
)

const (
	// SmallBytes is the size up to which a reservation counts as small.
	SmallBytes = 32 << 10
	// smallShare is the share of the budget that only small reservations can use.
	smallShare = 0.25
	// callerShare is the share of the rest that large reservations of one caller can use.
	// It leaves a quarter to others, and suffices if all callers share one address.
	callerShare = 0.75
	// completionBytes is reserved for completing one large request, so that large requests
	// cannot block each other. It holds a body of the largest legal size, 4 MiB, and the
	// unused end of its last piece.
	completionBytes = 4<<20 + 128<<10
	// minBytes is the least size of a budget. It holds two requests of the largest legal
	// size beside small ones.
	minBytes = 16 << 20
	// progressBytes is the number of bytes that have to arrive for a reservation to count
	// as progressing, so that single bytes don't.
	progressBytes = 4 << 10
)

// Config holds the limits of a Budget.
type Config struct {
	// Bytes is the size of the budget; at least minBytes are used.
	Bytes int64
	// MaxWait is how long a request waits for memory.
	MaxWait time.Duration
	// PressureStall is the time without progress after which a reservation is revoked
	// while others wait, MaxStall that while none does.
	PressureStall, MaxStall time.Duration
}

// Defaults of Config. A body on a slow link that delivers progressBytes within
// DefaultMaxStall, some 270 bytes per second, is never revoked while memory is left.
const (
	DefaultMaxWait       = time.Second
	DefaultPressureStall = 500 * time.Millisecond
	DefaultMaxStall      = 15 * time.Second
)

// DefaultConfig returns the default limits for a budget of a size.
func DefaultConfig(size int64) Config {
	return Config{Bytes: size, MaxWait: DefaultMaxWait, PressureStall: DefaultPressureStall, MaxStall: DefaultMaxStall}
}

const (
	// pollInterval is the time between two checks for stalled reservations while requests
	// wait, sweepInterval that while none does.
	pollInterval  = 100 * time.Millisecond
	sweepInterval = time.Second
)

// FullError reports that no memory became free within the time that a request may wait.
type FullError struct {
	// Size is that of the budget.
	Size int64
}

// Error implements error.
func (e *FullError) Error() string {
	return "requests use all " + strconv.FormatInt(e.Size, 10) + " bytes of their memory"
}

// Budget is a limit on memory. It is safe for concurrent use.
type Budget struct {
	cfg                    Config
	largeBytes, callerPart int64

	mu   sync.Mutex
	used int64
	// large and byCaller are the bytes of the large reservations.
	large    int64
	byCaller map[netip.Addr]int64
	// completing is the reservation that may use completionBytes; nil if none does.
	completing *Reservation
	// oldest and newest are the ends of the list of the revocable reservations, ordered by
	// the time of their last progress.
	oldest, newest *Reservation
	// waiting is the number of requests that wait for memory. freed is closed and replaced
	// when memory is released while some wait.
	waiting int
	freed   chan struct{}
	// full and revoked count refusals and revocations.
	full, revoked uint64
}

// New returns a Budget.
func New(cfg Config) *Budget {
	cfg.Bytes = max(cfg.Bytes, minBytes)
	large := int64((1-smallShare)*float64(cfg.Bytes)) - completionBytes
	return &Budget{
		cfg: cfg, largeBytes: large, callerPart: int64(callerShare * float64(large)),
		byCaller: make(map[netip.Addr]int64), freed: make(chan struct{}),
	}
}

// Reservation is the memory of one request or connection. Its methods must not be called
// concurrently with each other.
type Reservation struct {
	budget *Budget
	caller netip.Addr

	// The fields below are guarded by the lock of budget.
	held int64
	// revoke ends the request; nil while the reservation is not revocable.
	revoke  func()
	revoked bool
	// progressAt is the time of the last progress, progressed the bytes since then.
	progressAt   time.Time
	progressed   int64
	listed       bool
	older, newer *Reservation
}

// Open returns an empty reservation for a caller.
func (b *Budget) Open(caller netip.Addr) *Reservation {
	return &Reservation{budget: b, caller: caller}
}

// SetRevocable sets the function that ends a request which makes no progress, or nil for a
// request that must not be ended. The function is called without locks, once at most, and
// after Revoked has become true. It must not block.
func (r *Reservation) SetRevocable(revoke func()) {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unlist(r)
	r.revoke, r.progressed = revoke, 0
	b.listProgress(r)
}

// Revoked reports whether the reservation was revoked.
func (r *Reservation) Revoked() bool {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	return r.revoked
}

// Progress records that n bytes have arrived or were delivered.
func (r *Reservation) Progress(n int) {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.progressed += int64(n); r.progressed < progressBytes || !r.listed {
		return
	}
	b.unlist(r)
	r.progressed = 0
	b.listProgress(r)
}

// TryGrow reserves n more bytes if they are free.
func (r *Reservation) TryGrow(n int64) bool {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	return r.budget.tryGrow(r, n)
}

// ForceGrow reserves n more bytes even if they are not free. It is for memory whose use
// cannot be avoided; others get that much less.
func (r *Reservation) ForceGrow(n int64) {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.budget.add(r, n)
}

// Grow reserves n more bytes and waits for them for a limited time. The error is a
// *FullError or that of the context.
func (r *Reservation) Grow(ctx context.Context, n int64) error {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tryGrow(r, n) {
		return nil
	}
	// A request that waits for memory cannot make progress.
	b.unlist(r)
	b.waiting++
	err := b.wait(ctx, r, n)
	b.waiting--
	b.listProgress(r)
	if err != nil {
		b.full++
	}
	return err
}

// wait waits until n bytes are reserved. The caller holds the lock, which is released
// meanwhile.
func (b *Budget) wait(ctx context.Context, r *Reservation, n int64) error {
	limit := time.NewTimer(b.cfg.MaxWait)
	defer limit.Stop()
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for {
		if b.completing == nil && r.held+n <= completionBytes {
			b.completing = r
			if b.tryGrow(r, n) {
				return nil
			}
		}
		freed, stalled := b.freed, b.takeStalled(b.cfg.PressureStall, maxRevocations)
		b.mu.Unlock()
		revokeAll(stalled)
		var err error
		select {
		case <-freed:
		case <-poll.C:
		case <-limit.C:
			err = &FullError{Size: b.cfg.Bytes}
		case <-ctx.Done():
			err = ctx.Err()
		}
		b.mu.Lock()
		if err == nil && b.tryGrow(r, n) {
			return nil
		}
		if err != nil {
			b.endCompletion(r)
			return err
		}
	}
}

// tryGrow reserves n more bytes if they are free. The caller holds the lock.
func (b *Budget) tryGrow(r *Reservation, n int64) bool {
	if b.used+n > b.cfg.Bytes {
		return false
	}
	if large := r.largePart(r.held+n) - r.largePart(r.held); large > 0 {
		limit, callerLimit := b.largeBytes, b.callerPart
		if b.completing == r {
			limit, callerLimit = limit+completionBytes, callerLimit+completionBytes
		}
		if b.large+large > limit || b.byCaller[r.caller]+large > callerLimit {
			return false
		}
	}
	b.add(r, n)
	return true
}

// largePart returns the bytes of a reservation of some size that count as large.
func (r *Reservation) largePart(held int64) int64 {
	if held <= SmallBytes {
		return 0
	}
	return held
}

// add adds n bytes, which may be negative, to a reservation. The caller holds the lock.
func (b *Budget) add(r *Reservation, n int64) {
	if large := r.largePart(r.held+n) - r.largePart(r.held); large != 0 {
		b.large += large
		if b.byCaller[r.caller] += large; b.byCaller[r.caller] == 0 {
			delete(b.byCaller, r.caller)
		}
	}
	b.used += n
	r.held += n
	if n < 0 && b.waiting > 0 {
		close(b.freed)
		b.freed = make(chan struct{})
	}
}

// endCompletion makes completionBytes available to another request. The caller holds the
// lock.
func (b *Budget) endCompletion(r *Reservation) {
	if b.completing == r {
		b.completing = nil
	}
}

// Shrink returns n of the reserved bytes.
func (r *Reservation) Shrink(n int64) {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.budget.add(r, -min(n, r.held))
}

// Release returns all bytes and makes the reservation irrevocable. It may be used again
// unless it was revoked.
func (r *Reservation) Release() {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unlist(r)
	b.endCompletion(r)
	r.revoke = nil
	if r.held > 0 {
		b.add(r, -r.held)
	}
}

// Run revokes reservations that make no progress until the context ends.
func (b *Budget) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			b.revokeStalled(b.cfg.MaxStall, maxRevocations)
		case <-ctx.Done():
			return
		}
	}
}

// maxRevocations is the number of reservations that are revoked at once at most.
const maxRevocations = 1 << 20

// revocationBatch is the number of reservations that RevokeOldest revokes. Callers that
// stall come in great numbers, and one at a time would make others wait long.
const revocationBatch = 16

// RevokeOldest revokes reservations that have been without progress for the longest time, if
// that is PressureStall at least. It reports whether there are any.
func (b *Budget) RevokeOldest() bool { return b.revokeStalled(b.cfg.PressureStall, revocationBatch) }

func (b *Budget) revokeStalled(stall time.Duration, limit int) bool {
	b.mu.Lock()
	stalled := b.takeStalled(stall, limit)
	b.mu.Unlock()
	revokeAll(stalled)
	return len(stalled) > 0
}

// takeStalled marks reservations without progress for a time as revoked and returns their
// functions. The caller holds the lock.
func (b *Budget) takeStalled(stall time.Duration, limit int) []func() {
	if b.oldest == nil {
		return nil
	}
	var stalled []func()
	now := time.Now()
	for r := b.oldest; r != nil && len(stalled) < limit && now.Sub(r.progressAt) >= stall; r = b.oldest {
		b.unlist(r)
		r.revoked = true
		b.revoked++
		stalled = append(stalled, r.revoke)
	}
	return stalled
}

func revokeAll(functions []func()) {
	for _, f := range functions {
		f()
	}
}

// listProgress adds a revocable reservation to the list as the one with the latest
// progress. The caller holds the lock.
func (b *Budget) listProgress(r *Reservation) {
	if r.revoke == nil || r.revoked {
		return
	}
	r.progressAt = time.Now()
	r.listed, r.older, r.newer = true, b.newest, nil
	if b.newest == nil {
		b.oldest = r
	} else {
		b.newest.newer = r
	}
	b.newest = r
}

// unlist removes a reservation from the list. The caller holds the lock.
func (b *Budget) unlist(r *Reservation) {
	if !r.listed {
		return
	}
	if r.older == nil {
		b.oldest = r.newer
	} else {
		r.older.newer = r.newer
	}
	if r.newer == nil {
		b.newest = r.older
	} else {
		r.newer.older = r.older
	}
	r.listed, r.older, r.newer = false, nil, nil
}

// Stats are figures of a Budget.
type Stats struct {
	// Size and Used are the bytes of the budget and those reserved.
	Size, Used int64
	// Waiting is the number of requests that wait for memory.
	Waiting int
	// Full counts the requests that got no memory, Revoked those that made no progress.
	Full, Revoked uint64
}

// Stats returns the current figures.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Stats{Size: b.cfg.Bytes, Used: b.used, Waiting: b.waiting, Full: b.full, Revoked: b.revoked}
}
