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

// kind says what an item writes.
type kind int

const (
	itemClaim kind = iota
	itemDone
	itemAbandon
	itemUnknown
)

// item is one change of a claim that waits to be written.
type item struct {
	kind  kind
	entry *entry
	// record is what itemDone and itemUnknown write.
	record record
	// settled is set when the item needs no more writing: its effect is
	// durable, or the claim was refused.
	settled bool
}

// variant is one content of a write, under a number of its own.
type variant struct {
	number   uint64
	items    []*item
	expiring []expiring
}

// flusher is the duty that writes claims and answers. One goroutine runs it;
// one write is under way at a time.
type flusher struct {
	ledger *Ledger
	table  Table
	random *rand.Rand

	registered bool
	etag       string
	number     uint64
	sequence   uint64
	open       map[string]struct{}
	expiring   []expiring
	// carry holds items that are to be sent before those of the queue.
	carry []*item
	// sent are the contents that may take effect; the last one is sent again
	// until its outcome is known.
	sent []variant
	// uncertain is set while the last one's outcome is unknown.
	uncertain bool
	backoff   time.Duration
	last      time.Time
}

// Bounds of the time between two tries after a failure.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// newFlusher returns the flusher of a ledger.
func newFlusher(l *Ledger, random *rand.Rand) *flusher {
	return &flusher{ledger: l, table: l.counted(), random: random, open: map[string]struct{}{}}
}

// run writes until ctx ends.
func (f *flusher) run(ctx context.Context) {
	for f.waitForWork(ctx) && f.pace(ctx) {
		f.last = time.Now()
		if err := f.flush(ctx); err != nil {
			f.failed(err)
			continue
		}
		f.succeeded()
	}
	f.refuseQueued()
}

// waitForWork waits until there is something to do. It returns false when ctx
// has ended.
func (f *flusher) waitForWork(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	busy := f.uncertain || len(f.carry) > 0 || !f.registered || f.backoff > 0
	if busy && !f.ledger.isFenced() || len(f.carry) > 0 {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case it := <-f.ledger.queue:
		f.carry = append(f.carry, it)
		return true
	}
}

// pace keeps the least time between writes, longer after failures.
func (f *flusher) pace(ctx context.Context) bool {
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

// failed notes that a write or read failed.
func (f *flusher) failed(err error) {
	f.backoff = min(maxBackoff, max(minBackoff, 2*f.backoff))
	f.ledger.mu.Lock()
	defer f.ledger.mu.Unlock()
	if f.ledger.failingSince.IsZero() {
		f.ledger.failingSince = time.Now()
		klog.Warningf("claim: %s can't write: %v", f.ledger.settings.Runner, err)
	}
}

// succeeded notes that the table works.
func (f *flusher) succeeded() {
	f.backoff = 0
	f.ledger.mu.Lock()
	defer f.ledger.mu.Unlock()
	if !f.ledger.failingSince.IsZero() {
		klog.Infof("claim: %s writes again after %s",
			f.ledger.settings.Runner, time.Since(f.ledger.failingSince).Round(time.Millisecond))
		f.ledger.failingSince = time.Time{}
	}
}

// flush does one step: it registers, or reads back, or writes one batch.
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

// send writes the last variant.
func (f *flusher) send(ctx context.Context) error {
	v := f.sent[len(f.sent)-1]
	etags, err := f.table.Write(ctx, f.operations(v))
	if err == nil {
		f.etag = etags[0]
		f.applied(v, etags[1:])
		return nil
	}
	var conflict table.ConflictError
	if stderrors.As(err, &conflict) {
		f.conflicted(v, conflict)
		return nil
	}
	if stderrors.As(err, new(table.UnknownOutcomeError)) {
		f.uncertain = true
		return err
	}
	if !f.uncertain {
		f.takeBack(v)
	}
	return err
}

// takeBack returns a variant that provably had no effect to the carry, without
// the claims whose callers have gone.
func (f *flusher) takeBack(v variant) {
	f.sent = f.sent[:len(f.sent)-1]
	f.expiring = append(f.expiring, v.expiring...)
	f.ledger.mu.Lock()
	defer f.ledger.mu.Unlock()
	f.renew(v.items)
	for _, it := range v.items {
		if it.kind == itemClaim && it.entry.cancelled {
			f.ledger.remove(it.entry)
			continue
		}
		f.carry = append(f.carry, it)
	}
}

// renew takes the tokens back from claims that can't take effect any more, so
// that their time to start begins anew. The lock is held.
func (f *flusher) renew(items []*item) {
	if len(f.sent) > 0 {
		return
	}
	for _, it := range items {
		if it.kind == itemClaim {
			it.entry.token = Token{}
		}
	}
}

// collect fills the carry from the queue up to a batch and looks up the rows
// whose entity tag was lost with an answer.
func (f *flusher) collect(ctx context.Context) error {
	f.fill()
	items := f.carry
	f.carry = nil
	for i, it := range items {
		pending, err := f.ready(ctx, it)
		if err != nil {
			f.carry = append(f.carry, items[i:]...)
			return err
		}
		if pending {
			f.carry = append(f.carry, it)
		}
	}
	return nil
}

// ready tells whether an item has to be written, and sees to it that it can be.
func (f *flusher) ready(ctx context.Context, it *item) (pending bool, err error) {
	if it.settled || it.kind == itemClaim || it.entry.etag != "" {
		return !it.settled, nil
	}
	return f.lookUp(ctx, it)
}

// fill takes items from the queue up to a batch.
func (f *flusher) fill() {
	for len(f.carry) < f.ledger.settings.MaxBatch {
		select {
		case it := <-f.ledger.queue:
			f.carry = append(f.carry, it)
		default:
			return
		}
	}
}

// prepare makes the carry the next variant. It returns false when there is
// nothing to send. Each claim gets its token here.
func (f *flusher) prepare() bool {
	l := f.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	count := min(len(f.carry), l.settings.MaxBatch)
	batch := f.carry[:count]
	f.carry = slices.Clone(f.carry[count:])
	items := make([]*item, 0, count)
	for _, it := range batch {
		if it.kind == itemClaim {
			if it.entry.cancelled {
				l.remove(it.entry)
				continue
			}
			f.nameRun(it.entry)
		}
		items = append(items, it)
	}
	if len(items) == 0 {
		return false
	}
	f.addVariant(items)
	return true
}

// nameRun gives a claim its token, unless it has one that may take effect. The
// lock is held.
func (f *flusher) nameRun(e *entry) {
	if e.token.Sequence > 0 {
		return
	}
	f.sequence++
	e.token = Token{
		Row: e.row, Runner: f.ledger.settings.Runner, Incarnation: f.ledger.incarnation,
		Sequence: f.sequence, Since: time.Now(),
	}
}

// addVariant numbers a new content.
func (f *flusher) addVariant(items []*item) {
	f.number++
	f.sent = append(f.sent, variant{number: f.number, items: items, expiring: f.expiring})
	f.expiring = nil
}

// operations returns the transaction of a variant. The runner's row comes
// first: its condition fences all others.
func (f *flusher) operations(v variant) []table.Op {
	l := f.ledger
	open := maps.Clone(f.open)
	var unknown []string
	ops := make([]table.Op, 1, len(v.items)+3)
	for _, it := range v.items {
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
		Flush: v.number, Open: slices.Sorted(maps.Keys(open)),
	}
	ops[0] = table.Replace(runnerKey(l.settings.Runner), encode(rec), f.etag)
	if len(unknown) > 0 {
		key := unknownKey(l.settings.Runner, l.incarnation, v.number)
		left := vanishedRecord{Runner: l.settings.Runner, Incarnation: l.incarnation, Open: unknown}
		ops = append(ops, table.Op{Kind: table.KindPut, Key: key, Value: encode(left)})
	}
	if len(v.expiring) > 0 {
		at := time.Now().Add(l.settings.KeepClaim)
		key := expiryKey(at, l.settings.Runner, l.incarnation, v.number)
		ops = append(ops, table.Op{Kind: table.KindPut, Key: key, Value: encode(expiryRecord{Claims: v.expiring})})
	}
	return ops
}

// operation returns the write of one item.
func (it *item) operation() table.Op {
	e := it.entry
	switch it.kind {
	case itemClaim:
		return table.Create(e.row, encode(running(e.claim, e.token)))
	case itemDone, itemUnknown:
		return table.Replace(e.row, encode(it.record), e.etag)
	}
	return table.Delete(e.row, e.etag)
}

// isFenced tells whether a newer incarnation of the runner exists.
func (l *Ledger) isFenced() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fenced
}
