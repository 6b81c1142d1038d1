package claim

import (
	"context"
	stderrors "errors"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/cyclamenpoint/cyclamenpoint/table"
)

// kind is the kind of change that an item writes.
type kind int

const (
	itemClaim kind = iota
	itemDone
	itemAbandon
	itemUnknown
)

// item is one change of a claim that has to be written to the table.
type item struct {
	kind  kind
	entry *entry
	// record is the new content of the row, for itemDone and itemUnknown.
	record record
	// settled is set when the item no longer has to be written: its effect is
	// durable, or the claim was refused.
	settled bool
}

// batch is the content of one write, with a unique number.
type batch struct {
	number   uint64
	items    []*item
	expiring []expiring
}

// flusher writes claims and answers to the table. It runs in one goroutine and
// has at most one write in progress.
type flusher struct {
	ledger *Ledger
	table  Table
	random *rand.Rand

	registered bool
	// etag is the ETag of the runner's row.
	etag string
	// number is the number of the last batch, sequence the Sequence of the last
	// token.
	number   uint64
	sequence uint64
	// open holds the rows of the durable claims whose end is not durable.
	open map[string]struct{}
	// expiring holds finished claims that the next batch lists in an expiry row.
	expiring []expiring
	// unsent holds items that are sent before those in the queue.
	unsent []*item
	// sent holds the batches that may still take effect. The last one is sent
	// again until its outcome is known.
	sent []batch
	// uncertain is set while the outcome of the last batch is unknown.
	uncertain bool
	// backoff is the present limit of the backoff, zero after a success.
	backoff time.Duration
	// last is when the last write began.
	last time.Time
}

// Limits of the backoff between two attempts after a failure.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// newFlusher returns the flusher of a ledger.
func newFlusher(l *Ledger, random *rand.Rand) *flusher {
	return &flusher{ledger: l, table: l.counted(), random: random, open: map[string]struct{}{}}
}

// run writes batches until ctx ends.
func (f *flusher) run(ctx context.Context) {
	for f.waitForWork(ctx) && f.waitInterval(ctx) {
		f.last = time.Now()
		if err := f.flush(ctx); err != nil {
			f.recordFailure(err)
			continue
		}
		f.recordSuccess()
	}
	f.refuseQueued()
}

// waitForWork waits until there is something to write or read. It returns false
// if ctx ends.
func (f *flusher) waitForWork(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	hasWork := f.uncertain || len(f.unsent) > 0 || !f.registered || f.backoff > 0
	if hasWork && !f.ledger.isFenced() || len(f.unsent) > 0 {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case it := <-f.ledger.queue:
		f.unsent = append(f.unsent, it)
		return true
	}
}

// waitInterval waits until FlushInterval has passed since the last write, or the
// backoff with jitter if that is longer. It returns false if ctx ends.
func (f *flusher) waitInterval(ctx context.Context) bool {
	wait := f.ledger.settings.FlushInterval
	if f.backoff > 0 {
		wait = max(wait, f.backoff/2+time.Duration(f.random.Float64()*float64(f.backoff)/2))
	}
	timer := time.NewTimer(wait - time.Since(f.last))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// recordFailure increases the backoff after a failed read or write.
func (f *flusher) recordFailure(err error) {
	f.backoff = min(maxBackoff, max(minBackoff, 2*f.backoff))
	f.ledger.mu.Lock()
	defer f.ledger.mu.Unlock()
	if f.ledger.failingSince.IsZero() {
		f.ledger.failingSince = time.Now()
		klog.Warningf("claim: %s cannot access the table: %v", f.ledger.settings.Runner, err)
	}
}

// recordSuccess resets the backoff.
func (f *flusher) recordSuccess() {
	f.backoff = 0
	f.ledger.mu.Lock()
	defer f.ledger.mu.Unlock()
	if !f.ledger.failingSince.IsZero() {
		klog.Infof("claim: %s can access the table again after %s",
			f.ledger.settings.Runner, time.Since(f.ledger.failingSince).Round(time.Millisecond))
		f.ledger.failingSince = time.Time{}
	}
}

// flush does one step: it registers the runner, reads back the outcome of a
// write, or writes one batch.
func (f *flusher) flush(ctx context.Context) error {
	if f.ledger.isFenced() {
		return f.flushFenced(ctx)
	}
	if !f.registered {
		return f.register(ctx)
	}
	if f.uncertain || f.backoff > 0 {
		if err := f.readBack(ctx); err != nil {
			return err
		}
	}
	if f.ledger.isFenced() {
		return nil
	}
	if !f.uncertain {
		if err := f.collect(ctx); err != nil || !f.prepare() {
			return err
		}
	}
	return f.send(ctx)
}

// send writes the last batch.
func (f *flusher) send(ctx context.Context) error {
	b := f.sent[len(f.sent)-1]
	etags, err := f.table.Write(ctx, f.operations(b))
	if err == nil {
		f.etag = etags[0]
		f.applied(b, etags[1:])
		return nil
	}
	var conflict table.ConflictError
	if stderrors.As(err, &conflict) {
		f.onConflict(b, conflict)
		return nil
	}
	if stderrors.As(err, new(table.UnknownOutcomeError)) {
		f.uncertain = true
		return err
	}
	if !f.uncertain {
		f.requeue(b)
	}
	return err
}

// requeue moves the items of a batch that provably had no effect back to unsent,
// except claims whose callers no longer wait.
func (f *flusher) requeue(b batch) {
	f.sent = f.sent[:len(f.sent)-1]
	f.expiring = append(f.expiring, b.expiring...)
	f.ledger.mu.Lock()
	defer f.ledger.mu.Unlock()
	f.resetTokens(b.items)
	for _, it := range b.items {
		if it.kind == itemClaim && it.entry.cancelled {
			f.ledger.remove(it.entry)
			continue
		}
		f.unsent = append(f.unsent, it)
	}
}

// resetTokens removes the tokens of claims if no sent batch can take effect any
// more. The claims then get new tokens, whose StartTimeout starts anew. The lock
// is held.
func (f *flusher) resetTokens(items []*item) {
	if len(f.sent) > 0 {
		return
	}
	for _, it := range items {
		if it.kind == itemClaim {
			it.entry.token = Token{}
		}
	}
}

// collect fills unsent from the queue up to MaxBatch and reads the rows whose
// ETag is unknown because the response of a write was lost.
func (f *flusher) collect(ctx context.Context) error {
	f.fill()
	items := f.unsent
	f.unsent = nil
	for i, it := range items {
		pending, err := f.ensureETag(ctx, it)
		if err != nil {
			f.unsent = append(f.unsent, items[i:]...)
			return err
		}
		if pending {
			f.unsent = append(f.unsent, it)
		}
	}
	return nil
}

// ensureETag reports whether an item has to be written, and reads the ETag of its
// row if that is needed and unknown.
func (f *flusher) ensureETag(ctx context.Context, it *item) (pending bool, err error) {
	if it.settled || it.kind == itemClaim || it.entry.etag != "" {
		return !it.settled, nil
	}
	return f.lookUp(ctx, it)
}

// fill moves items from the queue to unsent, up to MaxBatch.
func (f *flusher) fill() {
	for len(f.unsent) < f.ledger.settings.MaxBatch {
		select {
		case it := <-f.ledger.queue:
			f.unsent = append(f.unsent, it)
		default:
			return
		}
	}
}

// prepare makes the next batch of the unsent items and assigns a token to each
// claim. It returns false if there is nothing to send.
func (f *flusher) prepare() bool {
	l := f.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	count := min(len(f.unsent), l.settings.MaxBatch)
	candidates := f.unsent[:count]
	f.unsent = slices.Clone(f.unsent[count:])
	items := make([]*item, 0, count)
	for _, it := range candidates {
		if it.kind == itemClaim {
			if it.entry.cancelled {
				l.remove(it.entry)
				continue
			}
			f.assignToken(it.entry)
		}
		items = append(items, it)
	}
	if len(items) == 0 {
		return false
	}
	f.addBatch(items)
	return true
}

// assignToken gives a claim a token, unless it has one that may still take
// effect. The lock is held.
func (f *flusher) assignToken(e *entry) {
	if e.token.Sequence > 0 {
		return
	}
	f.sequence++
	e.token = Token{
		Row: e.row, Runner: f.ledger.settings.Runner, Incarnation: f.ledger.incarnation,
		Sequence: f.sequence, Since: time.Now(),
	}
}

// addBatch appends a batch with the next number.
func (f *flusher) addBatch(items []*item) {
	f.number++
	f.sent = append(f.sent, batch{number: f.number, items: items, expiring: f.expiring})
	f.expiring = nil
}

// operations returns the transaction of a batch. The runner's row comes first;
// its condition fences the other operations.
func (f *flusher) operations(b batch) []table.Op {
	l := f.ledger
	open := maps.Clone(f.open)
	var unknown []string
	ops := make([]table.Op, 1, len(b.items)+3)
	for _, it := range b.items {
		ops = append(ops, it.operation())
		if it.kind == itemClaim {
			open[it.entry.row] = struct{}{}
		} else {
			delete(open, it.entry.row)
		}
		if it.kind == itemUnknown {
			unknown = append(unknown, it.entry.row)
		}
	}
	rec := runnerRecord{
		Runner: l.settings.Runner, Incarnation: l.incarnation, Nonce: l.settings.Nonce,
		Flush: b.number, Open: slices.Sorted(maps.Keys(open)),
	}
	ops[0] = table.Replace(runnerKey(l.settings.Runner), encode(rec), f.etag)
	if len(unknown) > 0 {
		key := unknownKey(l.settings.Runner, l.incarnation, b.number)
		left := orphanedRecord{Runner: l.settings.Runner, Incarnation: l.incarnation, Open: unknown}
		ops = append(ops, table.Op{Kind: table.KindPut, Key: key, Value: encode(left)})
	}
	if len(b.expiring) > 0 {
		at := time.Now().Add(l.settings.KeepClaim)
		key := expiryKey(at, l.settings.Runner, l.incarnation, b.number)
		ops = append(ops, table.Op{Kind: table.KindPut, Key: key, Value: encode(expiryRecord{Claims: b.expiring})})
	}
	return ops
}

// operation returns the table operation of one item.
func (it *item) operation() table.Op {
	e := it.entry
	switch it.kind {
	case itemClaim:
		return table.Create(e.row, encode(runningRecord(e.claim, e.token)))
	case itemDone, itemUnknown:
		return table.Replace(e.row, encode(it.record), e.etag)
	}
	return table.Delete(e.row, e.etag)
}

// isFenced reports whether a newer incarnation of the runner exists.
func (l *Ledger) isFenced() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fenced
}
