// Package follow keeps a copy of tables of the platform's store: it reads a
// table once, waits for its changes, and takes newer copies from peers while
// the store turns this process away. Copies are immutable.
package follow

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/cyclamenpoint/cyclamenpoint/metric"
)

// Row is one row of a table.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Version is that of the transaction that wrote the row.
	Version uint64 `json:"version"`
}

// Change is a row that was written or removed.
type Change struct {
	Row
	Removed bool
}

// Copy is a table as of one moment.
type Copy struct {
	Rows map[string]Row `json:"rows"`
	// AsOf is the store's version at that moment.
	AsOf uint64 `json:"as_of"`
	// Changed is the version of the newest change that is known; unlike AsOf it
	// is the same for all copies with the same content.
	Changed uint64 `json:"changed"`
}

// newest returns the version of the newest row.
func (c Copy) newest() uint64 {
	newest := uint64(0)
	for _, row := range c.Rows {
		newest = max(newest, row.Version)
	}
	return newest
}

// Source reads tables.
type Source interface {
	// Read returns the whole table.
	Read(ctx context.Context, table string) (Copy, error)
	// Changes returns the changes after a version, waiting up to wait for the
	// first one, and the version to go on from. It returns a *LostHistoryError
	// if the store no longer has them.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]Change, uint64, error)
}

// LostHistoryError says that changes are no longer kept, so that the table has
// to be read again.
type LostHistoryError struct{ Table string }

// Error implements error.
func (e *LostHistoryError) Error() string { return "the changes of table " + e.Table + " are gone" }

// Timing holds a Follower's periods.
type Timing struct {
	// PollTimeout is how long the store holds a call for changes open.
	PollTimeout time.Duration
	// MinInterval is the least time between two calls, so that changes in quick
	// succession come as one.
	MinInterval time.Duration
	// Backoff is the time before a call that follows a failed one; it doubles up
	// to BackoffMost with each further failure.
	Backoff time.Duration
	// FastStart makes the pauses short in the first seconds.
	FastStart bool
}

// MaxBackoff is the longest time between two calls to a store that does not
// answer: what changes meanwhile is in force late by as much.
const MaxBackoff = time.Second

const (
	// eagerFor is how long after its start a follower pauses no more than
	// eagerPause: after a loss of power everything changes at once.
	eagerFor   = 3 * time.Second
	eagerPause = 100 * time.Millisecond
)

// Follower keeps the copy of one table. Current, Adopt and Contact may be
// called from any goroutine.
type Follower struct {
	table  string
	source Source
	timing Timing
	// started is closed once there is a copy.
	started chan struct{}
	log     *slog.Logger
	current atomic.Pointer[Copy]
	changed func(Copy)

	// installing orders the copies.
	installing sync.Mutex

	mu sync.Mutex
	// lostAt is when the store stopped answering, zero while it answers; backAt is
	// when it last came back after it had answered before.
	lostAt, backAt time.Time
	// met is true once the store has answered.
	met bool
}

// New returns a follower; changed is called with each newer copy, one call at a
// time.
func New(table string, source Source, timing Timing, log *slog.Logger, changed func(Copy)) *Follower {
	f := &Follower{started: make(chan struct{}), table: table, source: source, timing: timing, log: log, changed: changed, lostAt: time.Now()}
	f.current.Store(&Copy{})
	return f
}

// Current returns the newest copy.
func (f *Follower) Current() Copy { return *f.current.Load() }

// MinOutage is the shortest time without an answer that counts as an outage:
// no entry of a live process lapses in less.
const MinOutage = time.Second

// OutageTimes tells since when the store has not answered, zero while it does, and
// when it last came back from an outage, zero if it had none.
func (f *Follower) OutageTimes() (lostAt, backAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lostAt, f.backAt
}

// InstallIfNewer takes a peer's copy if it is newer.
func (f *Follower) InstallIfNewer(c Copy) bool {
	f.installing.Lock()
	defer f.installing.Unlock()
	return f.install(c)
}

// hasCopy reports whether there is a copy, which may be one of an empty store.
func (f *Follower) hasCopy() bool {
	select {
	case <-f.started:
		return true
	default:
		return false
	}
}

// AwaitCopy waits for the first copy, at most for the given time, and reports
// whether there is one.
func (f *Follower) AwaitCopy(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-f.started:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// Renotify tells the consumer of the newest copy once more.
func (f *Follower) Renotify() {
	f.installing.Lock()
	defer f.installing.Unlock()
	f.changed(f.Current())
}

// Table returns the name of the table.
func (f *Follower) Table() string { return f.table }

// Run follows the table until the context ends.
func (f *Follower) Run(ctx context.Context) {
	backoff, began := f.timing.Backoff, time.Now()
	for ctx.Err() == nil {
		err := f.once(ctx)
		pause := f.timing.MinInterval
		if err != nil {
			pause = backoff
			backoff = min(2*backoff, MaxBackoff)
		} else {
			backoff = f.timing.Backoff
			if f.timing.FastStart && time.Since(began) < eagerFor {
				pause = min(pause, eagerPause)
			}
		}
		if ctx.Err() == nil {
			f.note(err)
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

// once makes one call.
func (f *Follower) once(ctx context.Context) error {
	cur := f.Current()
	if !f.hasCopy() {
		return f.read(ctx)
	}
	changes, asOf, err := f.source.Changes(ctx, f.table, cur.AsOf, f.timing.PollTimeout)
	var lost *LostHistoryError
	if errors.As(err, &lost) {
		f.log.Info("history of the table is gone, reading it again", "table", f.table, "as_of", cur.AsOf)
		return f.read(ctx)
	}
	if err != nil {
		return err
	}
	f.installing.Lock()
	defer f.installing.Unlock()
	f.install(apply(f.Current(), changes, asOf))
	return nil
}

func (f *Follower) read(ctx context.Context) error {
	c, err := f.source.Read(ctx, f.table)
	if err != nil {
		return err
	}
	c.Changed = max(c.Changed, c.newest())
	f.installing.Lock()
	defer f.installing.Unlock()
	f.install(c)
	return nil
}

// install makes a copy current unless it is older, and tells of it if its
// content is another one. The caller holds installing.
func (f *Follower) install(c Copy) bool {
	now := f.Current()
	first := !f.hasCopy()
	if c.AsOf <= now.AsOf && !first {
		return false
	}
	f.current.Store(&c)
	if first {
		close(f.started)
	}
	if first || c.Changed != now.Changed {
		f.changed(c)
	}
	return true
}

// note logs when the store stops or starts answering.
func (f *Follower) note(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case err != nil && f.lostAt.IsZero():
		f.lostAt = time.Now()
		metric.StoreLost.Inc()
		f.log.Warn("store does not answer", "table", f.table, "error", err.Error(), "as_of", f.Current().AsOf)
	case err == nil && !f.lostAt.IsZero():
		now := time.Now()
		if f.met && now.Sub(f.lostAt) >= MinOutage {
			f.backAt = now
		}
		f.met = true
		metric.StoreBack.Inc()
		f.log.Info("store answers", "table", f.table, "away", now.Sub(f.lostAt).String(), "as_of", f.Current().AsOf)
		f.lostAt = time.Time{}
	}
}

// apply returns the copy that follows from c and the changes after it. Changes
// that c already contains have no effect.
func apply(c Copy, changes []Change, asOf uint64) Copy {
	if asOf <= c.AsOf {
		return c
	}
	rows, changed := c.Rows, c.Changed
	if len(changes) > 0 {
		rows = make(map[string]Row, len(c.Rows)+len(changes))
		for key, row := range c.Rows {
			rows[key] = row
		}
	}
	for _, ch := range changes {
		if ch.Version <= c.AsOf {
			continue
		}
		changed = max(changed, ch.Version)
		if ch.Removed {
			delete(rows, ch.Key)
			continue
		}
		rows[ch.Key] = ch.Row
	}
	return Copy{Rows: rows, AsOf: asOf, Changed: changed}
}
