package claim

import (
	"context"
	stderrors "errors"
	"fmt"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/cyclamenpoint/cyclamenpoint/objectstore"
	"github.com/cyclamenpoint/cyclamenpoint/table"
)

// takenError is the fate of a claim whose row exists already.
type takenError struct{}

// Error implements error.
func (takenError) Error() string { return "claim: row exists" }

// sighting is when this process first saw a running claim of another one.
type sighting struct {
	etag  string
	since time.Time
}

// existing decides by the row that stood in the way of a claim. With again,
// the row has gone.
func (l *Ledger) existing(ctx context.Context, c Claim, row string) (d Decision, again bool, err error) {
	read, err := l.get(ctx, row)
	if stderrors.As(err, new(table.NotFoundError)) {
		return Decision{}, true, InFlightError{Key: c.Key}
	}
	if err != nil {
		return Decision{}, false, UnreadableError{Key: c.Key, Reason: err.Error()}
	}
	rec, err := decode[record](read)
	if err != nil {
		return Decision{}, false, UnreadableError{Key: c.Key, Reason: err.Error()}
	}
	if rec.State == StateRunning || rec.State == StateUnknown {
		return Decision{}, false, l.inFlight(ctx, c, rec, read)
	}
	l.known.Add(row, rec)
	d, err = l.replay(ctx, c, rec)
	return d, false, err
}

// inFlight returns the refusal of a key that another call has claimed.
func (l *Ledger) inFlight(ctx context.Context, c Claim, rec record, row table.Row) error {
	if rec.Fingerprint != c.Fingerprint {
		return KeyConflictError{Key: c.Key}
	}
	unknown := UnknownOutcomeError{Key: c.Key, Runner: rec.Runner, Incarnation: rec.Incarnation, Since: rec.Since}
	if rec.State == StateUnknown {
		return unknown
	}
	gone, err := vanished(ctx, l.counted(), rec.Runner, rec.Incarnation)
	if err != nil {
		return UnreadableError{Key: c.Key, Reason: err.Error()}
	}
	if gone || l.watchedTooLong(row) {
		return unknown
	}
	return InFlightError(unknown)
}

// watchedTooLong tells whether a running claim has stayed unchanged for longer
// than a run may last, on this process's own clock.
func (l *Ledger) watchedTooLong(row table.Row) bool {
	seen, ok := l.watched.Get(row.Key)
	if !ok || seen.etag != row.ETag {
		l.watched.Add(row.Key, sighting{etag: row.ETag, since: time.Now()})
		return false
	}
	return time.Since(seen.since) > l.settings.MaxRun
}

// vanished tells whether a runner has a newer incarnation than the given one.
func vanished(ctx context.Context, t Table, runner string, incarnation uint64) (bool, error) {
	row, err := t.Get(ctx, runnerKey(runner))
	if stderrors.As(err, new(table.NotFoundError)) {
		return true, nil
	}
	if err != nil {
		return false, err
	}
	rec, err := decode[runnerRecord](row)
	return rec.Incarnation > incarnation, err
}

// replay answers a call from the record of a finished claim.
func (l *Ledger) replay(ctx context.Context, c Claim, rec record) (Decision, error) {
	if rec.Fingerprint != c.Fingerprint {
		return Decision{}, KeyConflictError{Key: c.Key}
	}
	if loss := rec.loss(); loss != "" {
		return Decision{}, AnswerGoneError{Key: c.Key, Loss: loss}
	}
	answer := Answer{Status: rec.Status, Headers: rec.Headers, Body: rec.Body}
	if rec.Object == "" {
		return Decision{Replay: &answer}, nil
	}
	body, err := l.objects.Get(ctx, rec.Object)
	if stderrors.As(err, new(objectstore.NotFoundError)) {
		return Decision{}, AnswerGoneError{Key: c.Key, Loss: LossExpired}
	}
	if err != nil {
		return Decision{}, UnreadableError{Key: c.Key, Reason: err.Error()}
	}
	answer.Body = body
	return Decision{Replay: &answer}, nil
}

// loss tells why a finished claim's answer can't be replayed; empty if it can.
func (r record) loss() Loss {
	switch {
	case r.State == StateResolved:
		return LossResolved
	case r.Dropped:
		return LossTooLarge
	case time.Now().After(r.KeepUntil):
		return LossExpired
	}
	return ""
}

// upload puts large bodies into the object store, one after the other, and
// hands the claims on to be written.
func (l *Ledger) upload(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case it := <-l.uploads:
			if !l.uploadOne(ctx, it) {
				return
			}
		}
	}
}

// uploadRetry is the time between two tries to write an object.
const uploadRetry = 500 * time.Millisecond

// uploadOne writes one object, for as long as it takes. It returns false when
// ctx has ended. The object is named by the run, so that writing it again after
// a lost answer changes nothing.
func (l *Ledger) uploadOne(ctx context.Context, it *item) bool {
	t := it.entry.token
	name := fmt.Sprintf("claim/%s/%d-%d", t.Runner, t.Incarnation, t.Sequence)
	for {
		err := l.objects.PutIfAbsent(ctx, name, it.record.Body)
		if err == nil || stderrors.As(err, new(objectstore.ExistsError)) {
			break
		}
		klog.Warningf("claim: answer of token %d-%d held: %v", t.Incarnation, t.Sequence, err)
		timer := time.NewTimer(uploadRetry)
		select {
		case <-ctx.Done():
			timer.Stop()
			return false
		case <-timer.C:
		}
	}
	l.release(it)
	it.record.Body, it.record.Object = nil, name
	l.queue <- it
	return true
}

// release gives back the bytes that an item holds.
func (l *Ledger) release(it *item) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stats.HeldBytes -= len(it.record.Body)
}

// counted returns the table with its reads counted.
func (l *Ledger) counted() Table { return countedTable{l.table, l} }

// get reads a row and counts the read.
func (l *Ledger) get(ctx context.Context, key string) (table.Row, error) {
	return l.counted().Get(ctx, key)
}

// countedTable counts the reads and writes of a ledger.
type countedTable struct {
	Table
	ledger *Ledger
}

// Get implements Table.
func (t countedTable) Get(ctx context.Context, key string) (table.Row, error) {
	t.ledger.mu.Lock()
	t.ledger.stats.Reads++
	t.ledger.mu.Unlock()
	return t.Table.Get(ctx, key)
}

// Write implements Table.
func (t countedTable) Write(ctx context.Context, ops []table.Op) ([]string, error) {
	t.ledger.mu.Lock()
	t.ledger.stats.Writes++
	t.ledger.stats.Rows += int64(len(ops))
	t.ledger.mu.Unlock()
	return t.Table.Write(ctx, slices.Clip(ops))
}
