// Package follow maintains local copies of tables of the platform's store. A
// Follower reads a table once and then receives its changes by long polling. While
// the store is unavailable to this process, the copy can be updated with newer
// copies of peers. Copies are immutable.
package follow

import (
	"context"
	"encoding/binary"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/cyclamenpoint/cyclamenpoint/metric"
)

// Row is one row of a table.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Version is the version of the transaction that wrote the row.
	Version uint64 `json:"version"`
}

// Change is the writing or removal of a row.
type Change struct {
	Row
	Removed bool
}

// Copy is the content of a table at one version of the store.
type Copy struct {
	Rows map[string]Row `json:"rows"`
	// AsOf is the state of the store.
	AsOf Position `json:"as_of"`
	// Changed orders copies by their content: of two copies with different contents
	// the newer one has the higher value. It is the position of the latest change of the
	// table as far as that is known, and never above AsOf.
	Changed Position `json:"changed"`
	// Retained holds the rows that the store has lost in a restore, until they are written
	// again, or until the first answer of the store after Timing.RetainLost. Copies for
	// peers do not contain it.
	Retained map[string]Row `json:"-"`
	// digest identifies the content of Rows, zero if it is not known. Changed does not
	// identify it: the removal of a row leaves no version behind for those who have not
	// received it as a change.
	digest uint64
}

// WithRetained returns a copy whose Rows include those of Retained.
func (c Copy) WithRetained() Copy {
	if len(c.Retained) == 0 {
		return c
	}
	rows := maps.Clone(c.Retained)
	maps.Copy(rows, c.Rows)
	return Copy{Rows: rows, AsOf: c.AsOf, Changed: c.Changed}
}

// lost returns the rows of c, and those retained in it that are missing from rows.
func (c Copy) lost(rows map[string]Row) map[string]Row {
	var missing map[string]Row
	for _, known := range []map[string]Row{c.Retained, c.Rows} {
		for key, row := range known {
			if _, ok := rows[key]; ok {
				continue
			}
			if missing == nil {
				missing = make(map[string]Row)
			}
			missing[key] = row
		}
	}
	return missing
}

// contentDigest returns a hash of the rows, the same for all copies with the same
// content. It includes the values, because versions are given out again after a restore.
func (c Copy) contentDigest() uint64 {
	var number [8]byte
	sum, hash := uint64(0), xxhash.New()
	for key, row := range c.Rows {
		hash.Reset()
		binary.BigEndian.PutUint64(number[:], row.Version)
		// Write never fails.
		_, _ = hash.Write(number[:])
		binary.BigEndian.PutUint64(number[:], uint64(len(key)))
		_, _ = hash.Write(number[:])
		_, _ = hash.WriteString(key)
		_, _ = hash.Write(row.Value)
		sum += hash.Sum64()
	}
	return sum
}

// newestVersion returns the version of the newest row.
func (c Copy) newestVersion() uint64 {
	newest := uint64(0)
	for _, row := range c.Rows {
		newest = max(newest, row.Version)
	}
	return newest
}

// Source is the access to tables of the store.
type Source interface {
	// Read returns the whole table.
	Read(ctx context.Context, table string) (Copy, error)
	// Changes returns the changes after a version and the state up to which they
	// are complete. If there are none, it waits for the first one up to wait. It
	// returns a *LostHistoryError if the store does not have these changes. If the
	// era of that state is another one than that of the version, they are no changes of
	// the content at that version.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]Change, Position, error)
	// Eras returns the eras that answers to any call have shown.
	Eras() *Eras
}

// LostHistoryError is returned if the store does not have the requested changes, because it has
// discarded them or has been restored. The whole table must then be read.
type LostHistoryError struct{ Table string }

// Error implements error.
func (e *LostHistoryError) Error() string { return "changes of table " + e.Table + " have expired" }

// OutdatedError is returned for an answer of the store that is older than an earlier one.
type OutdatedError struct {
	Table string
	// AsOf is the state in the answer, Known the newest known one.
	AsOf, Known Position
}

// Error implements error.
func (e *OutdatedError) Error() string {
	return fmt.Sprintf("answer about table %s is outdated: as of %s after %s", e.Table, e.AsOf, e.Known)
}

// Timing holds the intervals and timeouts of a Follower.
type Timing struct {
	// PollTimeout is the time for which the store keeps a call of Changes open.
	PollTimeout time.Duration
	// MinInterval is the minimum time between two calls, so that changes in quick
	// succession are received together.
	MinInterval time.Duration
	// Backoff is the delay after a failed call. It doubles with each further failure
	// up to MaxBackoff.
	Backoff time.Duration
	// FastStart shortens the interval in the first seconds.
	FastStart bool
	// VerifyInterval is the maximum time for which the copy is used without an answer
	// of the store. A store or a connection that falls silent leaves a call of Changes
	// unanswered, and nothing shows that changes are missing. With zero only the
	// timeout of the call ends this.
	VerifyInterval time.Duration
	// RetainLost is the time for which rows that the store has lost in a restore stay in
	// Copy.Retained. Their writers write them again, but not all at once.
	RetainLost time.Duration
}

// MaxBackoff is the maximum delay after a failed call. Changes during an outage are
// received up to this time after its end.
const MaxBackoff = time.Second

const (
	// verifyTimeout bounds the first call that verifies a copy. Later calls, after it
	// has failed, have the timeout of the Source.
	verifyTimeout = 1500 * time.Millisecond
	// minVerifyPart is the shortest time between two verifications as a part of
	// VerifyInterval. The times are random, so that not all processes call at once.
	minVerifyPart = 0.7
	// For fastStartPeriod after the start the interval is at most fastStartInterval:
	// after a power failure all processes start, and all tables change, at once.
	fastStartPeriod   = 3 * time.Second
	fastStartInterval = 100 * time.Millisecond
	// maxRestoreDelay bounds the random delay after which a process reads its tables again
	// once the store has been restored, so that not all processes read at once.
	maxRestoreDelay = 200 * time.Millisecond
)

// Follower maintains the copy of one table. All methods but Run may be called from
// any goroutine.
type Follower struct {
	table  string
	source Source
	timing Timing
	// firstCopy is closed once there is a copy.
	firstCopy chan struct{}
	log       *slog.Logger
	current   atomic.Pointer[Copy]
	onChange  func(Copy)

	// installMu serializes the installation of copies.
	installMu sync.Mutex
	// retainUntil is the end of the retention of lost rows. installMu guards it.
	retainUntil time.Time

	mu sync.Mutex
	// lostAt is the time when the store stopped responding, or zero while it
	// responds. backAt is the time when the latest outage ended, or zero.
	lostAt, backAt time.Time
	// responded is true once the store has responded.
	responded bool
	// answeredAt is the time of the latest response, verifiedAt that of the latest
	// response to this process or a peer with the same content.
	answeredAt, verifiedAt time.Time
	// answered is closed and replaced with each response.
	answered chan struct{}
	// interruptPoll ends the pending call for changes, nil if there is none.
	interruptPoll context.CancelFunc
	// verifyNow holds a value while the copy has to be verified at once.
	verifyNow chan struct{}
	// onVerified is called after the store has verified the copy.
	onVerified func(Confirmation)
}

// Confirmation says that a copy was complete when the store answered a process.
type Confirmation struct {
	Table string `cbor:"table"`
	// AsOf is the state of the store in its answer.
	AsOf Position `cbor:"as_of"`
	// Digest identifies the content of the copy.
	Digest uint64 `cbor:"digest"`
}

// New returns a Follower. onChange is called with each copy that has another content or
// another era than the previous one, one call at a time.
func New(table string, source Source, timing Timing, log *slog.Logger, onChange func(Copy)) *Follower {
	f := &Follower{
		firstCopy: make(chan struct{}), answered: make(chan struct{}), verifyNow: make(chan struct{}, 1),
		table: table, source: source, timing: timing, log: log, onChange: onChange, lostAt: time.Now(),
		onVerified: func(Confirmation) {},
	}
	f.current.Store(&Copy{})
	return f
}

// Current returns the latest copy, or an empty one if there is none.
func (f *Follower) Current() Copy { return *f.current.Load() }

// MinOutage is the minimum time without a response that counts as an outage. In a
// shorter interruption no table entry of a running process expires.
const MinOutage = time.Second

// OutageTimes returns the time since when the store has not responded, or zero while
// it responds, and the time when the latest outage ended, or zero if there was none.
func (f *Follower) OutageTimes() (lostAt, backAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lostAt, f.backAt
}

// InstallIfNewer installs a copy of the store or of a peer if its content is newer than the
// current one, and reports whether it did.
func (f *Follower) InstallIfNewer(c Copy) bool {
	f.installMu.Lock()
	defer f.installMu.Unlock()
	c.Retained = f.Current().Retained
	return f.install(c)
}

// hasCopy reports whether there is a copy, which may be empty.
func (f *Follower) hasCopy() bool {
	select {
	case <-f.firstCopy:
		return true
	default:
		return false
	}
}

// AwaitCopy waits for the first copy, at most for the given time, and reports whether
// there is one.
func (f *Follower) AwaitCopy(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-f.firstCopy:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// Renotify calls onChange again with the current copy.
func (f *Follower) Renotify() {
	f.installMu.Lock()
	defer f.installMu.Unlock()
	f.onChange(f.Current())
}

// Table returns the name of the table.
func (f *Follower) Table() string { return f.table }

// Run keeps the copy up to date until the context ends.
func (f *Follower) Run(ctx context.Context) {
	f.source.Eras().OnRestore(func(era uint64) {
		time.AfterFunc(rand.N(maxRestoreDelay), func() { f.catchUp(ctx, era) })
	})
	var verify sync.WaitGroup
	if f.timing.VerifyInterval > 0 {
		verify.Go(func() { f.verify(ctx) })
	}
	f.poll(ctx)
	verify.Wait()
}

// poll reads the table and then receives its changes until the context ends.
func (f *Follower) poll(ctx context.Context) {
	backoff, began := f.timing.Backoff, time.Now()
	for ctx.Err() == nil {
		verified := f.timing.VerifyInterval > 0 && f.hasCopy()
		err := f.pollOnce(ctx)
		pause := f.timing.MinInterval
		switch {
		case err == nil:
			backoff = f.timing.Backoff
			if f.timing.FastStart && time.Since(began) < fastStartPeriod {
				pause = min(pause, fastStartInterval)
			}
		case errors.As(err, new(*interruptedError)):
			pause, backoff = 0, f.timing.Backoff
		default:
			if verified {
				// Whether the store is lost is shown by a call that is answered at once.
				f.requestVerification()
			} else {
				f.recordLoss(ctx, time.Now(), err)
			}
			pause = backoff
			backoff = min(2*backoff, MaxBackoff)
		}
		sleep(ctx, pause)
		if verified {
			f.awaitStore(ctx)
		}
	}
}

// awaitStore waits while the store is lost, until the context ends.
func (f *Follower) awaitStore(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.Lock()
		lost, answered := !f.lostAt.IsZero(), f.answered
		f.mu.Unlock()
		if !lost {
			return
		}
		select {
		case <-answered:
		case <-ctx.Done():
		}
	}
}

// sleep waits for some time, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// interruptedError is returned for a call for changes that was ended because it would
// probably get no answer.
type interruptedError struct{}

// Error implements error.
func (*interruptedError) Error() string { return "call for changes interrupted" }

// catchUp makes the table be read again if the copy is not of the given era yet. The restored
// store may leave the pending call for changes unanswered.
func (f *Follower) catchUp(ctx context.Context, era uint64) {
	switch {
	case ctx.Err() != nil || f.Current().AsOf.Era >= era:
	case f.timing.VerifyInterval > 0:
		f.requestVerification()
	default:
		f.interrupt()
	}
}

// pollOnce makes one call to the store, which verify may interrupt.
func (f *Follower) pollOnce(ctx context.Context) error {
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.setInterrupt(cancel)
	defer f.setInterrupt(nil)
	err := f.fetch(callCtx, f.timing.PollTimeout)
	if err != nil && callCtx.Err() != nil && ctx.Err() == nil {
		return &interruptedError{}
	}
	return err
}

func (f *Follower) setInterrupt(cancel context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.interruptPoll = cancel
}

// interrupt ends the pending call for changes.
func (f *Follower) interrupt() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.interruptPoll != nil {
		f.interruptPoll()
	}
}

// requestVerification makes verify call the store at once.
func (f *Follower) requestVerification() {
	select {
	case f.verifyNow <- struct{}{}:
	default:
	}
}

// OnVerified sets a function that is called each time the store has verified the copy, for
// the peers. It must be called before Run.
func (f *Follower) OnVerified(notify func(Confirmation)) { f.onVerified = notify }

// Confirm uses the answer that the store has just given to a peer. If the peer has the
// same content, this copy needs no answer of its own; otherwise it is verified at once. The
// message of a peer that was frozen in between can delay the next verification once.
func (f *Follower) Confirm(c Confirmation) {
	f.installMu.Lock()
	defer f.installMu.Unlock()
	cur := f.Current()
	if !f.hasCopy() || cur.AsOf.After(c.AsOf) {
		return
	}
	if c.Digest != cur.digest {
		f.requestVerification()
		return
	}
	f.mu.Lock()
	f.verifiedAt = time.Now()
	f.mu.Unlock()
	f.confirm(cur, c.AsOf)
}

// verify makes sure that the store has answered this process, or a peer with the same
// content, within VerifyInterval, until the context ends. It requests changes without
// waiting for one. If there are some, or the store does not answer, the pending call for
// changes is interrupted: it will probably get no answer, even when the store is back.
func (f *Follower) verify(ctx context.Context) {
	select {
	case <-f.firstCopy:
	case <-ctx.Done():
		return
	}
	backoff, lost := f.timing.Backoff, false
	for ctx.Err() == nil {
		if !lost && !f.awaitDue(ctx) {
			return
		}
		before, began := f.Current(), time.Now()
		err := f.verifyOnce(ctx, lost)
		if err == nil {
			backoff, lost = f.timing.Backoff, false
			cur := f.Current()
			if cur.digest != before.digest || cur.AsOf.Era != before.AsOf.Era {
				f.interrupt()
			}
			f.onVerified(Confirmation{Table: f.table, AsOf: cur.AsOf, Digest: cur.digest})
			continue
		}
		lost = true
		f.recordLoss(ctx, began, err)
		f.interrupt()
		sleep(ctx, backoff)
		backoff = min(2*backoff, MaxBackoff)
	}
}

// verifyOnce requests the changes without waiting for one.
func (f *Follower) verifyOnce(ctx context.Context, lost bool) error {
	if !lost {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, verifyTimeout)
		defer cancel()
	}
	return f.fetch(ctx, 0)
}

// awaitDue waits until the copy has to be verified. It returns false if the context
// ends before.
func (f *Follower) awaitDue(ctx context.Context) bool {
	part := minVerifyPart + (1-minVerifyPart)*rand.Float64()
	interval := time.Duration(part * float64(f.timing.VerifyInterval))
	for {
		f.mu.Lock()
		left := time.Until(f.verifiedAt.Add(interval))
		f.mu.Unlock()
		if left <= 0 {
			return true
		}
		timer := time.NewTimer(left)
		select {
		case <-timer.C:
		case <-f.verifyNow:
			timer.Stop()
			return true
		case <-ctx.Done():
			timer.Stop()
			return false
		}
	}
}

// fetch makes one call to the store, to read the table or its changes.
func (f *Follower) fetch(ctx context.Context, wait time.Duration) error {
	cur := f.Current()
	if !f.hasCopy() || cur.AsOf.Era < f.source.Eras().Newest() {
		return f.read(ctx)
	}
	changes, asOf, err := f.source.Changes(ctx, f.table, cur.AsOf.Version, wait)
	var lost *LostHistoryError
	if errors.As(err, &lost) {
		f.log.Info("table changes not available, reading the whole table", "table", f.table, "as_of", cur.AsOf)
		return f.read(ctx)
	}
	if err != nil {
		return err
	}
	if err := f.checkEra(asOf); err != nil {
		return err
	}
	if asOf.Era > cur.AsOf.Era {
		f.log.Info("changes are of another era, reading the whole table", "table", f.table, "as_of", cur.AsOf, "era", asOf.Era)
		return f.read(ctx)
	}
	f.recordAnswer()
	f.installMu.Lock()
	defer f.installMu.Unlock()
	f.install(apply(f.Current(), changes, asOf))
	return nil
}

// checkEra returns an *OutdatedError if an answer is of an era that is over. It may be late, on
// another connection than that of the answer that has shown the newer era.
func (f *Follower) checkEra(asOf Position) error {
	known := newer(f.Current().AsOf, Position{Era: f.source.Eras().Newest()})
	if asOf.Era < known.Era {
		return &OutdatedError{Table: f.table, AsOf: asOf, Known: known}
	}
	return nil
}

func (f *Follower) read(ctx context.Context) error {
	held := f.Current().AsOf
	c, err := f.source.Read(ctx, f.table)
	if err != nil {
		return err
	}
	if err := f.checkEra(c.AsOf); err != nil {
		return err
	}
	if f.hasCopy() && held.After(c.AsOf) {
		// Versions of one era never fall.
		return &OutdatedError{Table: f.table, AsOf: c.AsOf, Known: held}
	}
	f.recordAnswer()
	c.Changed = newer(c.Changed, Position{Era: c.AsOf.Era, Version: c.newestVersion()})
	f.InstallIfNewer(c)
	return nil
}

// install makes c the current copy if it is newer, and calls onChange if its content
// differs. It reports whether the content differs. The caller must hold installMu.
func (f *Follower) install(c Copy) bool {
	cur := f.Current()
	first := !f.hasCopy()
	if c.digest == 0 {
		c.digest = c.contentDigest()
	}
	if !first && c.digest == cur.digest {
		// Both positions of the latest change are bounds for the same content.
		cur.Changed = newer(cur.Changed, c.Changed)
		f.confirm(cur, newer(cur.AsOf, c.AsOf))
		return false
	}
	if !c.AsOf.After(cur.AsOf) && !first {
		f.log.Info("copy of a table not used, it is not newer", "table", f.table, "as_of", c.AsOf, "held", cur.AsOf)
		return false
	}
	if !c.Changed.After(cur.Changed) {
		// The table was read after changes that are no longer available. The latest one
		// removed a row, and its version is unknown.
		c.Changed = c.AsOf
	}
	if !first {
		f.recordRestore(cur.AsOf, c.AsOf)
		f.retainLost(cur, &c)
	}
	f.current.Store(&c)
	if first {
		close(f.firstCopy)
	}
	f.onChange(c)
	return true
}

// retainLost sets the retained rows of the next copy. Rows that are missing from a later copy of
// the same era have been removed. The caller must hold installMu.
func (f *Follower) retainLost(cur Copy, next *Copy) {
	if next.AsOf.Era == cur.AsOf.Era {
		next.Retained = Copy{Rows: next.Retained}.lost(next.Rows)
		if f.retentionOver() {
			next.Retained = nil
		}
		return
	}
	next.Retained = nil
	if f.timing.RetainLost > 0 {
		next.Retained = cur.lost(next.Rows)
	}
	f.log.Warn("using the table of the restored store", "table", f.table, "as_of", next.AsOf, "held", cur.AsOf, "rows", len(next.Rows), "retained", len(next.Retained))
}

// confirm records that cur is still complete at a later position. It ends the retention of lost
// rows if that is over. It calls onChange if rows are no longer retained, or for another era. The
// caller must hold installMu.
func (f *Follower) confirm(cur Copy, asOf Position) {
	restored := f.recordRestore(cur.AsOf, asOf)
	cur.AsOf = asOf
	over := len(cur.Retained) > 0 && f.retentionOver()
	if over {
		f.log.Warn("lost rows have not been written again", "table", f.table, "rows", len(cur.Retained))
		cur.Retained = nil
	}
	f.current.Store(&cur)
	if restored || over {
		f.onChange(cur)
	}
}

// retentionOver reports whether the store has answered since the end of the retention. A process
// without access to the store cannot know what has been written again.
func (f *Follower) retentionOver() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.verifiedAt.After(f.retainUntil)
}

// recordRestore records that the store has been restored, if the next position is of another
// era, and reports whether it is. Like an outage, a restore may have removed entries of running
// processes. The caller must hold installMu.
func (f *Follower) recordRestore(held, next Position) bool {
	if next.Era <= held.Era {
		return false
	}
	f.retainUntil = time.Now().Add(f.timing.RetainLost)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.backAt = time.Now()
	return true
}

// recordLoss records that a call that began at the given time has failed, and logs that
// the store is lost.
func (f *Follower) recordLoss(ctx context.Context, began time.Time, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ctx.Err() != nil || !f.lostAt.IsZero() || f.answeredAt.After(began) {
		return
	}
	f.lostAt = began
	metric.StoreLost.Inc()
	f.log.Warn("store does not answer", "table", f.table, "error", err.Error(), "as_of", f.Current().AsOf)
}

// recordAnswer records that the store has answered. It is called before the answer is
// installed, so that the consumer of the copy sees the end of an outage.
func (f *Follower) recordAnswer() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.answeredAt, f.verifiedAt = now, now
	close(f.answered)
	f.answered = make(chan struct{})
	if f.lostAt.IsZero() {
		return
	}
	if f.responded && now.Sub(f.lostAt) >= MinOutage {
		f.backAt = now
	}
	f.responded = true
	metric.StoreBack.Inc()
	f.log.Info("store answers", "table", f.table, "away", now.Sub(f.lostAt).String(), "as_of", f.Current().AsOf)
	f.lostAt = time.Time{}
}

// apply returns the copy that results from applying changes to c. Changes that c
// already contains have no effect, nor have those of an earlier era.
func apply(c Copy, changes []Change, asOf Position) Copy {
	if !asOf.After(c.AsOf) {
		return c
	}
	if len(changes) == 0 {
		c.AsOf = asOf
		return c
	}
	rows, retained, changed := maps.Clone(c.Rows), maps.Clone(c.Retained), c.Changed
	if rows == nil {
		rows = make(map[string]Row, len(changes))
	}
	for _, ch := range changes {
		if ch.Version <= c.AsOf.Version {
			continue
		}
		changed = newer(changed, Position{Era: asOf.Era, Version: ch.Version})
		if ch.Removed {
			delete(rows, ch.Key)
			delete(retained, ch.Key)
			continue
		}
		rows[ch.Key] = ch.Row
	}
	return Copy{Rows: rows, AsOf: asOf, Changed: changed, Retained: retained}
}
