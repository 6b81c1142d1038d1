// Package lease implements leases with fencing tokens on top of the table service.
// A lease has at most one holder at a time, and each new holder gets a higher
// token. Clocks of different VMs are never compared: a holder measures the lease
// duration from before it sent its write, and another process takes over only
// after the record has remained unchanged on its own clock for longer than the
// holder may consider the lease valid.
package lease

import (
	"context"
	"encoding/json"
	stderrors "errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/cyclamenpoint/cyclamenpoint/table"
)

// Table is the part of the table service that a Lease uses.
type Table interface {
	Get(ctx context.Context, key string) (table.Row, error)
	Write(ctx context.Context, ops []table.Op) ([]string, error)
}

// Holder is the view of a lease for code that must check it before each guarded
// operation.
type Holder interface {
	// Held returns the fencing token. ok is true while the lease is held.
	Held() (token uint64, ok bool)
}

// Settings configures a Lease.
type Settings struct {
	// Name identifies the lease.
	Name string
	// Owner is the name of this process in logs and in the record.
	Owner string
	// Nonce is unique to this process. It also differs from that of an earlier
	// incarnation of the same owner.
	Nonce string
	// Duration is the time until a lease expires if it isn't renewed. Zero selects
	// DefaultDuration.
	Duration time.Duration
	// Drift is the maximum drift of a VM's clock as a fraction of the elapsed time.
	// Zero selects DefaultDrift.
	Drift float64
	// Margin shortens the time for which the holder considers the lease valid, to
	// cover the time between a call of Held and the guarded operation. Zero selects
	// a tenth of Duration.
	Margin time.Duration
}

// Defaults of Settings.
const (
	DefaultDuration = 10 * time.Second
	DefaultDrift    = 0.01
)

// Fractions of the lease duration, as divisors.
const (
	marginDivisor = 10
	renewDivisor  = 3
	watchDivisor  = 4
	retryDivisor  = 10
)

// keyPrefix is the prefix of the keys of lease records.
const keyPrefix = "lease/"

// NotHeldError is returned if the context ended before the lease was acquired.
type NotHeldError struct{ Name string }

// Error implements error.
func (e NotHeldError) Error() string { return fmt.Sprintf("lease: %q is not held", e.Name) }

// record is the content of a lease's row. The row of a released lease is kept, so
// that its token never decreases.
type record struct {
	Owner          string `json:"owner"`
	Nonce          string `json:"nonce"`
	Token          uint64 `json:"token"`
	Sequence       uint64 `json:"sequence"`
	DurationMillis int64  `json:"duration_millis"`
}

// attempt is a write that has been sent and whose outcome may be unknown.
type attempt struct {
	record record
	// etag is the entity tag of the row that the write replaces.
	etag string
	// sentAt is the time just before the write was first sent.
	sentAt time.Time
}

// Lease acquires and renews a lease for one process while Run is running. All other
// methods are safe for concurrent use.
type Lease struct {
	settings Settings
	key      string
	table    Table
	random   *rand.Rand
	acquired chan struct{}

	// The following fields are used only by the goroutine of Run.
	// etag is the entity tag of the row that the next write replaces. current is
	// the latest record of this process that took effect, zero after the lease was
	// lost. owned is true until a conflict or a read shows that it was replaced.
	etag    string
	owned   bool
	current record
	// pending is the write that is in progress or has an unknown outcome, or nil.
	pending *attempt
	// watchedETag is the entity tag of the row as last read, which has remained
	// unchanged since watchedSince.
	watchedETag  string
	watchedSince time.Time

	mu    sync.Mutex
	token uint64
	// sentAt is the time just before the latest successful write was sent, or zero
	// if the lease was lost or released.
	sentAt time.Time
	// minToken is the highest token passed to Observe.
	minToken uint64
}

// New returns a Lease, which is acquired only while Run is running. The random
// source is used to spread the requests of many processes.
func New(settings Settings, t Table, random *rand.Rand) *Lease {
	if settings.Duration == 0 {
		settings.Duration = DefaultDuration
	}
	if settings.Drift == 0 {
		settings.Drift = DefaultDrift
	}
	if settings.Margin == 0 {
		settings.Margin = settings.Duration / marginDivisor
	}
	return &Lease{
		settings: settings, key: keyPrefix + settings.Name, table: t, random: random,
		acquired: make(chan struct{}, 1),
	}
}

// Held returns the fencing token. ok is true while this process may consider itself
// the holder. The elapsed time is the larger one of the monotonic and the wall
// clock, since the monotonic clock may stop while a VM is suspended.
func (l *Lease) Held() (token uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.token == 0 {
		return 0, false
	}
	now := time.Now()
	elapsed := max(now.Sub(l.sentAt), now.Round(0).Sub(l.sentAt.Round(0)))
	return l.token, elapsed < l.validity()
}

// Token returns the latest fencing token that this process was granted, even if the
// lease is no longer held, or zero if it was granted none.
func (l *Lease) Token() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.token
}

// Observe informs the Lease of a fencing token that is in use elsewhere, for example
// at an endpoint. Later acquisitions get a higher token, even if the table has been
// restored from an older backup.
func (l *Lease) Observe(token uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.minToken = max(l.minToken, token)
}

// Acquire waits until the lease is held, while Run is running. Errors: NotHeldError
// if ctx ends before.
func (l *Lease) Acquire(ctx context.Context) (token uint64, err error) {
	for {
		if token, ok := l.Held(); ok {
			return token, nil
		}
		select {
		case <-ctx.Done():
			return 0, NotHeldError{Name: l.settings.Name}
		case <-l.acquired:
		}
	}
}

// validity is the time after the sending of a write for which its holder may
// consider the lease valid.
func (l *Lease) validity() time.Duration {
	return time.Duration(float64(l.settings.Duration)*(1-l.settings.Drift)) - l.settings.Margin
}

// Run acquires and renews the lease until ctx ends, and then releases it.
func (l *Lease) Run(ctx context.Context) {
	for ctx.Err() == nil {
		timer := time.NewTimer(l.step(ctx))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
	l.release()
}

// step executes one read or write and returns the time until the next one.
func (l *Lease) step(ctx context.Context) time.Duration {
	if l.owned && l.pending == nil {
		next := l.current
		next.Sequence++
		return l.write(ctx, next)
	}
	return l.observe(ctx)
}

// observe reads the record, and acquires the lease if that is permitted.
func (l *Lease) observe(ctx context.Context) time.Duration {
	rec, etag, err := l.read(ctx)
	if err != nil {
		klog.V(1).Infof("lease: read of %s by %s failed: %v", l.settings.Name, l.settings.Owner, err)
		return l.retryAfter()
	}
	now := time.Now()
	if l.completesPending(rec, etag) {
		return l.renewAfter()
	}
	if l.pending != nil && l.pending.etag == etag {
		return l.write(ctx, l.pending.record)
	}
	l.pending = nil
	l.handleLoss(rec)
	if etag != l.watchedETag {
		l.watchedETag, l.watchedSince = etag, now
	}
	wait := l.takeoverDelay(rec) - now.Sub(l.watchedSince)
	if wait <= 0 {
		l.etag = etag
		return l.write(ctx, l.acquisition(rec))
	}
	return min(l.jitter(l.settings.Duration/watchDivisor), wait)
}

// takeoverDelay is the time for which a record must remain unchanged before another
// process may take over the lease.
func (l *Lease) takeoverDelay(rec record) time.Duration {
	if rec.Owner == "" {
		return 0
	}
	duration := max(l.settings.Duration, time.Duration(rec.DurationMillis)*time.Millisecond)
	return time.Duration(float64(duration) * (1 + l.settings.Drift))
}

// acquisition returns the record with which this process acquires the lease after
// rec.
func (l *Lease) acquisition(rec record) record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return record{
		Owner: l.settings.Owner, Nonce: l.settings.Nonce,
		Token: max(rec.Token, l.minToken, l.token) + 1, Sequence: 1,
		DurationMillis: l.settings.Duration.Milliseconds(),
	}
}

// write replaces the row at l.etag by rec. After an unknown outcome the same write
// may be sent again, since its condition lets it take effect only once.
func (l *Lease) write(ctx context.Context, rec record) time.Duration {
	if l.pending == nil {
		l.pending = &attempt{record: rec, etag: l.etag, sentAt: time.Now()}
	}
	etags, err := l.table.Write(ctx, []table.Op{put(l.key, rec, l.etag)})
	if err == nil {
		l.completePending(etags[0])
		return l.renewAfter()
	}
	var conflict table.ConflictError
	if stderrors.As(err, &conflict) {
		l.owned = false
		return 0
	}
	klog.V(1).Infof("lease: write of %s by %s failed: %v", l.settings.Name, l.settings.Owner, err)
	return l.retryAfter()
}

// completesPending completes the pending write if the row shows that it took effect.
func (l *Lease) completesPending(rec record, etag string) bool {
	if l.pending == nil || rec != l.pending.record {
		return false
	}
	l.completePending(etag)
	return true
}

// completePending records that the pending write took effect.
func (l *Lease) completePending(etag string) {
	l.etag, l.owned, l.current = etag, true, l.pending.record
	l.mu.Lock()
	if l.token != l.current.Token {
		klog.Infof("lease: %s acquired by %s, token %d", l.settings.Name, l.settings.Owner, l.current.Token)
	}
	l.token, l.sentAt = l.current.Token, l.pending.sentAt
	l.mu.Unlock()
	l.pending = nil
	select {
	case l.acquired <- struct{}{}:
	default:
	}
}

// handleLoss records that another process holds the lease.
func (l *Lease) handleLoss(rec record) {
	if l.current.Token == 0 || rec.Nonce == l.settings.Nonce {
		return
	}
	klog.Infof("lease: %s lost by %s, token %d, to %s, token %d",
		l.settings.Name, l.settings.Owner, l.current.Token, rec.Owner, rec.Token)
	l.owned, l.current = false, record{}
	l.mu.Lock()
	l.sentAt = time.Time{}
	l.mu.Unlock()
}

// release releases the lease, so that another process can acquire it without delay.
// If the write fails, the lease expires.
func (l *Lease) release() {
	l.mu.Lock()
	l.sentAt = time.Time{}
	l.mu.Unlock()
	if !l.owned {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), l.settings.Duration/renewDivisor)
	defer cancel()
	free := record{Token: l.current.Token, Sequence: l.current.Sequence + 1}
	_, err := l.table.Write(ctx, []table.Op{put(l.key, free, l.etag)})
	klog.Infof("lease: %s released by %s, token %d, error %v",
		l.settings.Name, l.settings.Owner, l.current.Token, err)
}

// read returns the record and its entity tag. If the row doesn't exist, it returns
// the zero record.
func (l *Lease) read(ctx context.Context) (record, string, error) {
	row, err := l.table.Get(ctx, l.key)
	if stderrors.As(err, new(table.NotFoundError)) {
		return record{}, "", nil
	}
	if err != nil {
		return record{}, "", err
	}
	var rec record
	if err := json.Unmarshal(row.Value, &rec); err != nil {
		return record{}, "", table.BadAnswerError{Reason: err.Error()}
	}
	return rec, row.ETag, nil
}

// put returns the operation that writes rec if the row's entity tag is etag.
func put(key string, rec record, etag string) table.Op {
	// Encoding a struct of strings and numbers can't fail.
	value, _ := json.Marshal(rec)
	if etag == "" {
		return table.Create(key, value)
	}
	return table.Replace(key, value, etag)
}

// renewAfter returns the time until the next renewal. It is zero if the lease has
// already expired because the latest write was confirmed late.
func (l *Lease) renewAfter() time.Duration {
	if _, ok := l.Held(); !ok {
		return 0
	}
	return l.jitter(l.settings.Duration / renewDivisor)
}

// retryAfter returns the time until the next attempt after a failure.
func (l *Lease) retryAfter() time.Duration { return l.jitter(l.settings.Duration / retryDivisor) }

// jitter returns a random duration between three quarters of d and d.
func (l *Lease) jitter(d time.Duration) time.Duration {
	return d - time.Duration(l.random.Float64()*float64(d)/4)
}
