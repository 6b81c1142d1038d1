// Package lease keeps leases in the table service, for whatever needs one
// owner. Each owner gets a fencing token that only grows. No wall clocks are
// compared between VMs: a holder counts the lease from before it sent its
// write, and an observer takes a lease over only after it has watched the same
// record, on its own clock, for longer than the holder could believe in it.
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

// Table is what a lease needs of the table service.
type Table interface {
	Get(ctx context.Context, key string) (table.Row, error)
	Write(ctx context.Context, ops []table.Op) ([]string, error)
}

// Holder is what a user of a lease asks before each guarded step.
type Holder interface {
	// Held returns the fencing token while the lease is held.
	Held() (token uint64, ok bool)
}

// Settings configure a Lease.
type Settings struct {
	// Name identifies what is owned.
	Name string
	// Owner names the process in logs and in the record.
	Owner string
	// Nonce tells this process from every other one, also from an earlier
	// incarnation of the same owner.
	Nonce string
	// Duration is how long an unrenewed lease lasts. Zero takes
	// DefaultDuration.
	Duration time.Duration
	// Drift bounds how much faster or slower than true time a VM's clock
	// may run, as a fraction. Zero takes DefaultDrift.
	Drift float64
	// Margin is taken off the holder's view, for the time between asking Held
	// and acting. Zero takes a tenth of Duration.
	Margin time.Duration
}

// Defaults of Settings.
const (
	DefaultDuration = 10 * time.Second
	DefaultDrift    = 0.01
)

// Parts of the lease's duration.
const (
	marginParts = 10
	renewParts  = 3
	watchParts  = 4
	retryParts  = 10
)

// keyPrefix begins the keys of lease records.
const keyPrefix = "lease/"

// NotHeldError says that the context ended before the lease was acquired.
type NotHeldError struct{ Name string }

// Error implements error.
func (e NotHeldError) Error() string { return fmt.Sprintf("lease: %q is not held", e.Name) }

// record is the content of a lease's row. A released lease keeps its row, so
// that the token never starts again.
type record struct {
	Owner          string `json:"owner"`
	Nonce          string `json:"nonce"`
	Token          uint64 `json:"token"`
	Sequence       uint64 `json:"sequence"`
	DurationMillis int64  `json:"duration_millis"`
}

// attempt is a write whose outcome may be unknown.
type attempt struct {
	record record
	// etag is the version of the row that the write replaces.
	etag string
	// sent is taken before the first try.
	sent time.Time
}

// Lease is one process's part in a lease. Run drives it; all other methods may
// be called concurrently.
type Lease struct {
	settings Settings
	key      string
	table    Table
	random   *rand.Rand
	acquired chan struct{}

	// What follows belongs to Run.
	etag    string
	mine    bool
	current record
	pending *attempt
	watched string
	since   time.Time

	mu    sync.Mutex
	token uint64
	sent  time.Time
	floor uint64
}

// New returns a Lease. Run has to be called for it to be acquired. The random
// source spreads the requests of many processes.
func New(settings Settings, t Table, random *rand.Rand) *Lease {
	if settings.Duration == 0 {
		settings.Duration = DefaultDuration
	}
	if settings.Drift == 0 {
		settings.Drift = DefaultDrift
	}
	if settings.Margin == 0 {
		settings.Margin = settings.Duration / marginParts
	}
	return &Lease{
		settings: settings, key: keyPrefix + settings.Name, table: t, random: random,
		acquired: make(chan struct{}, 1),
	}
}

// Held returns the fencing token while this process may believe that it owns
// the lease. Elapsed time is the larger of the monotonic and the wall clock's,
// since the former may stand still while a VM is suspended.
func (l *Lease) Held() (token uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.token == 0 {
		return 0, false
	}
	now := time.Now()
	elapsed := max(now.Sub(l.sent), now.Round(0).Sub(l.sent.Round(0)))
	return l.token, elapsed < l.believes()
}

// Token returns the newest fencing token that this process was given, held or
// not; zero if it had none.
func (l *Lease) Token() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.token
}

// Observe tells the lease of a fencing token seen elsewhere, such as one that
// an endpoint knows. A later acquisition gets a larger one, also if the table
// was restored from an older copy.
func (l *Lease) Observe(token uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.floor = max(l.floor, token)
}

// Acquire waits until the lease is held. Run has to be running. Errors:
// NotHeldError when ctx ends first.
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

// believes is how long after a write was sent its holder may count on it.
func (l *Lease) believes() time.Duration {
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

// step does one read or write and returns how long to wait for the next.
func (l *Lease) step(ctx context.Context) time.Duration {
	if l.mine && l.pending == nil {
		next := l.current
		next.Sequence++
		return l.write(ctx, next)
	}
	return l.observe(ctx)
}

// observe reads the record and takes it if that is allowed.
func (l *Lease) observe(ctx context.Context) time.Duration {
	rec, etag, err := l.read(ctx)
	if err != nil {
		klog.V(1).Infof("lease: %s not read by %s: %v", l.settings.Name, l.settings.Owner, err)
		return l.retryAfter()
	}
	now := time.Now()
	if l.settles(rec, etag) {
		return l.renewAfter()
	}
	if l.pending != nil && l.pending.etag == etag {
		return l.write(ctx, l.pending.record)
	}
	l.pending = nil
	l.lose(rec)
	if etag != l.watched {
		l.watched, l.since = etag, now
	}
	wait := l.mustWatch(rec) - now.Sub(l.since)
	if wait <= 0 {
		l.etag = etag
		return l.write(ctx, l.claim(rec))
	}
	return min(l.jitter(l.settings.Duration/watchParts), wait)
}

// mustWatch is how long a record has to stay unchanged before it may be taken.
func (l *Lease) mustWatch(rec record) time.Duration {
	if rec.Owner == "" {
		return 0
	}
	duration := max(l.settings.Duration, time.Duration(rec.DurationMillis)*time.Millisecond)
	return time.Duration(float64(duration) * (1 + l.settings.Drift))
}

// claim returns the record that follows rec in this process's name.
func (l *Lease) claim(rec record) record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return record{
		Owner: l.settings.Owner, Nonce: l.settings.Nonce,
		Token: max(rec.Token, l.floor, l.token) + 1, Sequence: 1,
		DurationMillis: l.settings.Duration.Milliseconds(),
	}
}

// write sends rec in place of the row at l.etag. The same write may be sent
// again after an unknown outcome: its condition lets only one take effect.
func (l *Lease) write(ctx context.Context, rec record) time.Duration {
	if l.pending == nil {
		l.pending = &attempt{record: rec, etag: l.etag, sent: time.Now()}
	}
	etags, err := l.table.Write(ctx, []table.Op{put(l.key, rec, l.etag)})
	if err == nil {
		l.adopt(etags[0])
		return l.renewAfter()
	}
	var conflict table.ConflictError
	if stderrors.As(err, &conflict) {
		l.mine = false
		return 0
	}
	klog.V(1).Infof("lease: %s not written by %s: %v", l.settings.Name, l.settings.Owner, err)
	return l.retryAfter()
}

// settles adopts the pending write if the row shows that it took effect.
func (l *Lease) settles(rec record, etag string) bool {
	if l.pending == nil || rec != l.pending.record {
		return false
	}
	l.adopt(etag)
	return true
}

// adopt makes the pending write the state in force.
func (l *Lease) adopt(etag string) {
	l.etag, l.mine, l.current = etag, true, l.pending.record
	l.mu.Lock()
	if l.token != l.current.Token {
		klog.Infof("lease: %s acquired by %s, token %d", l.settings.Name, l.settings.Owner, l.current.Token)
	}
	l.token, l.sent = l.current.Token, l.pending.sent
	l.mu.Unlock()
	l.pending = nil
	select {
	case l.acquired <- struct{}{}:
	default:
	}
}

// lose notes that another process owns the lease.
func (l *Lease) lose(rec record) {
	if l.current.Token == 0 || rec.Nonce == l.settings.Nonce {
		return
	}
	klog.Infof("lease: %s lost by %s, token %d, to %s with token %d",
		l.settings.Name, l.settings.Owner, l.current.Token, rec.Owner, rec.Token)
	l.mine, l.current = false, record{}
	l.mu.Lock()
	l.sent = time.Time{}
	l.mu.Unlock()
}

// release gives the lease up, so that the next owner need not wait. Nothing is
// lost if the write fails: the lease then lapses.
func (l *Lease) release() {
	l.mu.Lock()
	l.sent = time.Time{}
	l.mu.Unlock()
	if !l.mine {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), l.settings.Duration/renewParts)
	defer cancel()
	free := record{Token: l.current.Token, Sequence: l.current.Sequence + 1}
	_, err := l.table.Write(ctx, []table.Op{put(l.key, free, l.etag)})
	klog.Infof("lease: %s released by %s, token %d, error %v",
		l.settings.Name, l.settings.Owner, l.current.Token, err)
}

// read returns the record and its entity tag; an absent row is a zero record.
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

// put returns the write of a record over the row at etag.
func put(key string, rec record, etag string) table.Op {
	// A record of strings and numbers can always be encoded.
	value, _ := json.Marshal(rec)
	if etag == "" {
		return table.Create(key, value)
	}
	return table.Replace(key, value, etag)
}

// renewAfter is how long to wait for the next renewal. A write that was found
// to have taken effect long after it was sent is renewed at once.
func (l *Lease) renewAfter() time.Duration {
	if _, ok := l.Held(); !ok {
		return 0
	}
	return l.jitter(l.settings.Duration / renewParts)
}

// retryAfter spreads the tries that follow a failure.
func (l *Lease) retryAfter() time.Duration { return l.jitter(l.settings.Duration / retryParts) }

// jitter returns a duration between three quarters of d and d.
func (l *Lease) jitter(d time.Duration) time.Duration {
	return d - time.Duration(l.random.Float64()*float64(d)/4)
}
