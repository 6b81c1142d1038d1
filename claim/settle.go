package claim

import (
	"context"
	stderrors "errors"
	"slices"

	"k8s.io/klog/v2"

	"github.com/cyclamenpoint/cyclamenpoint/table"
)

// register makes this process the newest incarnation of its runner. Claims that
// the previous incarnation left open are listed in a separate row.
func (f *flusher) register(ctx context.Context) error {
	l := f.ledger
	key := runnerKey(l.settings.Runner)
	row, err := f.table.Get(ctx, key)
	absent := stderrors.As(err, new(table.NotFoundError))
	if err != nil && !absent {
		return err
	}
	var old runnerRecord
	if !absent {
		if old, err = decode[runnerRecord](row); err != nil {
			return err
		}
	}
	if old.Nonce == l.settings.Nonce {
		f.setRegistered(old, row.ETag)
		return nil
	}
	next := runnerRecord{Runner: l.settings.Runner, Incarnation: old.Incarnation + 1, Nonce: l.settings.Nonce}
	etags, err := f.table.Write(ctx, replaceRunner(next, old, row.ETag))
	if err != nil {
		return err
	}
	f.setRegistered(next, etags[0])
	return nil
}

// replaceRunner returns the transaction that replaces the runner record old by
// next.
func replaceRunner(next, old runnerRecord, etag string) []table.Op {
	key := runnerKey(next.Runner)
	if etag == "" {
		return []table.Op{table.Create(key, encode(next))}
	}
	ops := []table.Op{table.Replace(key, encode(next), etag)}
	if len(old.Open) > 0 {
		left := orphanedRecord{Runner: old.Runner, Incarnation: old.Incarnation, Open: old.Open}
		ops = append(ops, table.Op{
			Kind: table.KindPut, Key: orphanedKey(old.Runner, old.Incarnation), Value: encode(left)})
	}
	return ops
}

// setRegistered stores the incarnation and the ETag of the runner's row.
func (f *flusher) setRegistered(rec runnerRecord, etag string) {
	f.registered, f.etag = true, etag
	f.ledger.mu.Lock()
	f.ledger.incarnation = rec.Incarnation
	f.ledger.mu.Unlock()
	klog.Infof("claim: %s registered as incarnation %d", rec.Runner, rec.Incarnation)
}

// readBack reads the runner's row to determine whether the writes of unknown
// outcome took effect and whether this incarnation is still the newest.
func (f *flusher) readBack(ctx context.Context) error {
	row, err := f.table.Get(ctx, runnerKey(f.ledger.settings.Runner))
	if stderrors.As(err, new(table.NotFoundError)) {
		f.fence(runnerRecord{})
		return nil
	}
	if err != nil {
		return err
	}
	rec, err := decode[runnerRecord](row)
	if err != nil {
		return err
	}
	if rec.Nonce != f.ledger.settings.Nonce {
		f.fence(rec)
		return nil
	}
	if row.ETag == f.etag {
		return nil
	}
	f.etag = row.ETag
	for _, b := range f.sent {
		if b.number == rec.Flush {
			f.applied(b, nil)
			return nil
		}
	}
	klog.Errorf("claim: row of %s has unexpected flush %d", rec.Runner, rec.Flush)
	return nil
}

// applied settles the items of a batch that took effect. If the response was
// lost, etags is nil and ETags are read when needed. The other batches can no
// longer take effect, so items that only they contain are sent again.
func (f *flusher) applied(b batch, etags []string) {
	l := f.ledger
	others := f.sent
	f.sent, f.uncertain = nil, false
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, it := range b.items {
		etag := ""
		if etags != nil {
			etag = etags[i]
		}
		if it.kind == itemClaim {
			f.onClaimed(it, etag)
			continue
		}
		f.onEnded(it, etag)
	}
	for _, other := range others {
		f.resend(other.items)
	}
}

// resend appends items that are not settled to unsent.
func (f *flusher) resend(items []*item) {
	for _, it := range items {
		if !it.settled && !slices.Contains(f.unsent, it) {
			f.unsent = append(f.unsent, it)
		}
	}
}

// onClaimed settles a durable claim. A claim that was refused, cancelled or is
// too late to start is abandoned. The lock is held.
func (f *flusher) onClaimed(it *item, etag string) {
	e, l := it.entry, f.ledger
	f.open[e.row] = struct{}{}
	e.etag = etag
	refused := it.settled
	it.settled = true
	if !refused && !e.cancelled && !l.tooLate(e.token) {
		e.phase = phaseRunning
		close(e.ready)
		return
	}
	f.unsent = append(f.unsent, &item{kind: itemAbandon, entry: e})
	if refused {
		return
	}
	e.phase = phaseEnding
	e.claimErr = StoreDownError{Key: e.claim.Key, Reason: "claimed too late"}
	close(e.ready)
}

// onEnded settles a claim whose end is durable. The lock is held.
func (f *flusher) onEnded(it *item, etag string) {
	if it.settled {
		return
	}
	it.settled = true
	e, l := it.entry, f.ledger
	delete(f.open, e.row)
	if it.kind == itemDone {
		l.stats.HeldBytes -= len(it.record.Body)
		l.finished.Add(e.row, it.record)
		if etag != "" {
			f.expiring = append(f.expiring, expiring{Row: e.row, ETag: etag, Object: it.record.Object})
		}
	}
	l.remove(e)
}

// remove removes an open claim. Calls that wait for it start again. The lock is
// held.
func (l *Ledger) remove(e *entry) {
	if l.active[e.row] == e {
		delete(l.active, e.row)
	}
	if e.answer == nil {
		select {
		case <-e.ended:
		default:
			close(e.ended)
		}
	}
}

// refuse settles a claim that was not made. Its callers receive claimErr. The lock
// is held.
func (l *Ledger) refuse(it *item, claimErr error) {
	if it.settled {
		return
	}
	it.settled = true
	it.entry.claimErr = claimErr
	close(it.entry.ready)
	l.remove(it.entry)
}

// onConflict handles a write that had no effect because of a conflict. A
// conflict on the runner's row means that an earlier attempt took effect, or that
// a newer incarnation exists. Other conflicts concern single claims: those are
// refused or looked up, and the rest is sent again.
func (f *flusher) onConflict(b batch, conflict table.ConflictError) {
	l := f.ledger
	if conflict.Has(runnerKey(l.settings.Runner)) {
		f.uncertain = true
		return
	}
	f.expiring = append(f.expiring, b.expiring...)
	if !f.uncertain {
		f.sent = f.sent[:len(f.sent)-1]
	}
	f.uncertain = false
	l.mu.Lock()
	defer l.mu.Unlock()
	f.resetTokens(b.items)
	rest := make([]*item, 0, len(b.items))
	for _, it := range b.items {
		switch {
		case !conflict.Has(it.entry.row):
			rest = append(rest, it)
		case it.kind == itemClaim:
			l.refuse(it, rowExistsError{})
		default:
			it.entry.etag = ""
			rest = append(rest, it)
		}
	}
	f.unsent = append(rest, f.unsent...)
}

// lookUp reads the row of a claim that this process ends. It stores the row's
// ETag if the claim is still running, and otherwise settles the item. It reports
// whether the item has to be written.
func (f *flusher) lookUp(ctx context.Context, it *item) (pending bool, err error) {
	e := it.entry
	row, err := f.table.Get(ctx, e.row)
	absent := stderrors.As(err, new(table.NotFoundError))
	if err != nil && !absent {
		return false, err
	}
	var rec record
	if !absent {
		if rec, err = decode[record](row); err != nil {
			return false, err
		}
	}
	if rec.belongsTo(e.token) && rec.State == StateRunning {
		e.etag = row.ETag
		return true, nil
	}
	etag := ""
	if rec.belongsTo(e.token) && rec.State == StateDone {
		etag = row.ETag
	}
	lost := it.kind == itemDone && etag == "" || it.kind == itemUnknown && !rec.belongsTo(e.token)
	if lost {
		klog.Errorf("claim: end of key %q of %s not recorded, the state of the claim is %q",
			e.claim.Key, e.claim.Organisation, rec.State)
	}
	f.ledger.mu.Lock()
	defer f.ledger.mu.Unlock()
	f.onEnded(it, etag)
	return false, nil
}

// fence stops new claims because a newer incarnation of the runner exists.
// Claims that are not confirmed are refused; those that may be durable are looked
// up and freed.
func (f *flusher) fence(newer runnerRecord) {
	l := f.ledger
	klog.Errorf("claim: %s incarnation %d is fenced by incarnation %d",
		l.settings.Runner, l.incarnation, newer.Incarnation)
	pending := f.unsent
	f.unsent = nil
	for _, b := range f.sent {
		pending = append(pending, b.items...)
	}
	f.sent, f.uncertain = nil, false
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fenced = true
	seen := map[*item]bool{}
	for _, it := range pending {
		if !seen[it] && !it.settled {
			seen[it] = true
			f.fenceItem(it)
		}
	}
}

// fenceItem keeps an item that ends a claim and refuses a new claim. The lock is
// held.
func (f *flusher) fenceItem(it *item) {
	if it.kind != itemClaim {
		it.entry.etag = ""
		f.unsent = append(f.unsent, it)
		return
	}
	f.ledger.refuse(it, FencedError{Runner: f.ledger.settings.Runner})
	if it.entry.token.Sequence > 0 {
		f.unsent = append(f.unsent, &item{kind: itemAbandon, entry: it.entry})
	}
}

// flushFenced writes the ends of this incarnation's claims one by one, each on
// condition that its row is unchanged.
func (f *flusher) flushFenced(ctx context.Context) error {
	f.fill()
	items := f.unsent
	f.unsent = nil
	for i, it := range items {
		if err := f.endFenced(ctx, it); err != nil {
			f.unsent = append(f.unsent, items[i:]...)
			return err
		}
	}
	return nil
}

// endFenced reads the ETag of an item's row and writes the item.
func (f *flusher) endFenced(ctx context.Context, it *item) error {
	if it.kind == itemClaim {
		f.ledger.mu.Lock()
		defer f.ledger.mu.Unlock()
		f.fenceItem(it)
		return nil
	}
	pending, err := f.lookUp(ctx, it)
	if err != nil || !pending {
		return err
	}
	etags, err := f.table.Write(ctx, []table.Op{it.operation()})
	if err != nil {
		return err
	}
	f.ledger.mu.Lock()
	defer f.ledger.mu.Unlock()
	f.onEnded(it, etags[0])
	return nil
}

// refuseQueued refuses the claims that are not durable when the ledger stops, and
// releases the calls that wait for open claims.
func (f *flusher) refuseQueued() {
	l := f.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.active {
		if e.phase == phaseClaiming && e.claimErr == nil {
			e.claimErr = ClosedError{Runner: l.settings.Runner}
			close(e.ready)
		}
		l.remove(e)
	}
}
