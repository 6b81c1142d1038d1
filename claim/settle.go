package claim

import (
	"context"
	stderrors "errors"
	"slices"

	"k8s.io/klog/v2"

	"github.com/cyclamenpoint/cyclamenpoint/table"
)

// register makes this process the newest incarnation of its runner. What the
// incarnation before left open is listed in a row of its own.
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
		f.registeredAs(old, row.ETag)
		return nil
	}
	next := runnerRecord{Runner: l.settings.Runner, Incarnation: old.Incarnation + 1, Nonce: l.settings.Nonce}
	etags, err := f.table.Write(ctx, succession(next, old, row.ETag))
	if err != nil {
		return err
	}
	f.registeredAs(next, etags[0])
	return nil
}

// succession returns the transaction that puts next in place of old.
func succession(next, old runnerRecord, etag string) []table.Op {
	key := runnerKey(next.Runner)
	if etag == "" {
		return []table.Op{table.Create(key, encode(next))}
	}
	ops := []table.Op{table.Replace(key, encode(next), etag)}
	if len(old.Open) > 0 {
		left := vanishedRecord{Runner: old.Runner, Incarnation: old.Incarnation, Open: old.Open}
		ops = append(ops, table.Op{
			Kind: table.KindPut, Key: vanishedKey(old.Runner, old.Incarnation), Value: encode(left)})
	}
	return ops
}

// registeredAs notes the incarnation.
func (f *flusher) registeredAs(rec runnerRecord, etag string) {
	f.registered, f.etag = true, etag
	f.ledger.mu.Lock()
	f.ledger.incarnation = rec.Incarnation
	f.ledger.mu.Unlock()
	klog.Infof("claim: %s registered as incarnation %d", rec.Runner, rec.Incarnation)
}

// readBack finds out by one read whether the writes of unknown outcome took
// effect, and whether this incarnation is still the newest.
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
	for _, v := range f.sent {
		if v.number == rec.Flush {
			f.applied(v, nil)
			return nil
		}
	}
	klog.Errorf("claim: row of %s went back to flush %d", rec.Runner, rec.Flush)
	return nil
}

// applied settles the items of a variant that took effect. Without etags, the
// answer was lost; they are looked up when they are needed. The other variants
// can no longer take effect, so that what only they hold is sent anew.
func (f *flusher) applied(v variant, etags []string) {
	l := f.ledger
	others := f.sent
	f.sent, f.uncertain = nil, false
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, it := range v.items {
		etag := ""
		if etags != nil {
			etag = etags[i]
		}
		if it.kind == itemClaim {
			f.claimed(it, etag)
			continue
		}
		f.ended(it, etag)
	}
	for _, other := range others {
		f.sendAnew(other.items)
	}
}

// sendAnew puts items that are not settled into the carry.
func (f *flusher) sendAnew(items []*item) {
	for _, it := range items {
		if !it.settled && !slices.Contains(f.carry, it) {
			f.carry = append(f.carry, it)
		}
	}
}

// claimed settles a durable claim. If nobody is to run it any more, it is
// abandoned. The lock is held.
func (f *flusher) claimed(it *item, etag string) {
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
	f.carry = append(f.carry, &item{kind: itemAbandon, entry: e})
	if refused {
		return
	}
	e.phase = phaseEnding
	e.fate = StoreDownError{Key: e.claim.Key, Reason: "claimed too late"}
	close(e.ready)
}

// ended settles a claim whose end is durable. The lock is held.
func (f *flusher) ended(it *item, etag string) {
	if it.settled {
		return
	}
	it.settled = true
	e, l := it.entry, f.ledger
	delete(f.open, e.row)
	if it.kind == itemDone {
		l.stats.HeldBytes -= len(it.record.Body)
		l.known.Add(e.row, it.record)
		if etag != "" {
			f.expiring = append(f.expiring, expiring{Row: e.row, ETag: etag, Object: it.record.Object})
		}
	}
	l.remove(e)
}

// remove forgets an open claim. Calls that wait for it start again. The lock
// is held.
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

// refuse tells a claim's callers why it was not made. The lock is held.
func (l *Ledger) refuse(it *item, fate error) {
	if it.settled {
		return
	}
	it.settled = true
	it.entry.fate = fate
	close(it.entry.ready)
	l.remove(it.entry)
}

// conflicted handles a write that had no effect. A conflict on the runner's row
// means that an earlier try took effect after all, or that a newer incarnation
// exists. Other conflicts concern single claims: they are taken out, and the
// rest is sent again at once.
func (f *flusher) conflicted(v variant, conflict table.ConflictError) {
	l := f.ledger
	if conflict.Has(runnerKey(l.settings.Runner)) {
		f.uncertain = true
		return
	}
	f.expiring = append(f.expiring, v.expiring...)
	if !f.uncertain {
		f.sent = f.sent[:len(f.sent)-1]
	}
	f.uncertain = false
	l.mu.Lock()
	defer l.mu.Unlock()
	f.renew(v.items)
	rest := make([]*item, 0, len(v.items))
	for _, it := range v.items {
		switch {
		case !conflict.Has(it.entry.row):
			rest = append(rest, it)
		case it.kind == itemClaim:
			l.refuse(it, takenError{})
		default:
			it.entry.etag = ""
			rest = append(rest, it)
		}
	}
	f.carry = append(rest, f.carry...)
}

// lookUp finds out by a read what became of a claim that this process ends: it
// learns the entity tag, or settles the item. It returns whether the item has
// to be written.
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
	if rec.owns(e.token) && rec.State == StateRunning {
		e.etag = row.ETag
		return true, nil
	}
	etag := ""
	if rec.owns(e.token) && rec.State == StateDone {
		etag = row.ETag
	}
	lost := it.kind == itemDone && etag == "" || it.kind == itemUnknown && !rec.owns(e.token)
	if lost {
		klog.Errorf("claim: end of key %q of %s not recorded, the claim is %q now",
			e.claim.Key, e.claim.Organisation, rec.State)
	}
	f.ledger.mu.Lock()
	defer f.ledger.mu.Unlock()
	f.ended(it, etag)
	return false, nil
}

// fence stops all new claims: a newer incarnation of the runner exists. Claims
// under way are refused; those that may be durable are looked up and freed.
func (f *flusher) fence(newer runnerRecord) {
	l := f.ledger
	klog.Errorf("claim: %s incarnation %d is fenced by incarnation %d",
		l.settings.Runner, l.incarnation, newer.Incarnation)
	pending := f.carry
	f.carry = nil
	for _, v := range f.sent {
		pending = append(pending, v.items...)
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

// fenceItem keeps an item that ends a claim, and refuses a new claim. The lock
// is held.
func (f *flusher) fenceItem(it *item) {
	if it.kind != itemClaim {
		it.entry.etag = ""
		f.carry = append(f.carry, it)
		return
	}
	f.ledger.refuse(it, FencedError{Runner: f.ledger.settings.Runner})
	if it.entry.token.Sequence > 0 {
		f.carry = append(f.carry, &item{kind: itemAbandon, entry: it.entry})
	}
}

// flushFenced writes the ends of this incarnation's claims, each under the
// condition that its row is unchanged.
func (f *flusher) flushFenced(ctx context.Context) error {
	f.fill()
	items := f.carry
	f.carry = nil
	for i, it := range items {
		if err := f.endFenced(ctx, it); err != nil {
			f.carry = append(f.carry, items[i:]...)
			return err
		}
	}
	return nil
}

// endFenced writes one item, after it has learnt the row's entity tag.
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
	f.ended(it, etags[0])
	return nil
}

// refuseQueued refuses what was never sent when the ledger stops, and frees
// those who wait.
func (f *flusher) refuseQueued() {
	l := f.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.active {
		if e.phase == phaseClaiming && e.fate == nil {
			e.fate = ClosedError{Runner: l.settings.Runner}
			close(e.ready)
		}
		l.remove(e)
	}
}
