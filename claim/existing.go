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

// rowExistsError is the result of a claim whose row already exists.
type rowExistsError struct{}

// Error implements error.
func (rowExistsError) Error() string { return "claim: row exists" }

// observation is when this process first read a running claim of another process
// in its present version.
type observation struct {
	etag  string
	since time.Time
}

// decideByRow returns the decision for a claim whose row already exists. retry is
// true if the row was deleted in the meantime.
func (l *Ledger) decideByRow(ctx context.Context, c Claim, row string) (d Decision, retry bool, err error) {
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
		return Decision{}, false, l.inFlightError(ctx, c, rec, read)
	}
	l.finished.Add(row, rec)
	d, err = l.replay(ctx, c, rec)
	return d, false, err
}

// inFlightError returns the error for a key that another call has claimed.
func (l *Ledger) inFlightError(ctx context.Context, c Claim, rec record, row table.Row) error {
	if rec.Fingerprint != c.Fingerprint {
		return KeyConflictError{Key: c.Key}
	}
	unknown := UnknownOutcomeError{Key: c.Key, Runner: rec.Runner, Incarnation: rec.Incarnation, Since: rec.Since}
	if rec.State == StateUnknown {
		return unknown
	}
	replaced, err := superseded(ctx, l.counted(), rec.Runner, rec.Incarnation)
	if err != nil {
		return UnreadableError{Key: c.Key, Reason: err.Error()}
	}
	if replaced || l.unchangedTooLong(row) {
		return unknown
	}
	return InFlightError(unknown)
}

// unchangedTooLong reports whether a running claim has been unchanged for longer
// than MaxRun, measured with this process's clock.
func (l *Ledger) unchangedTooLong(row table.Row) bool {
	first, ok := l.observed.Get(row.Key)
	if !ok || first.etag != row.ETag {
		l.observed.Add(row.Key, observation{etag: row.ETag, since: time.Now()})
		return false
	}
	return time.Since(first.since) > l.settings.MaxRun
}

// superseded reports whether a runner has a newer incarnation than the given one
// or no record at all.
func superseded(ctx context.Context, t Table, runner string, incarnation uint64) (bool, error) {
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

// replay returns the decision for a call whose claim is finished.
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

// loss returns why a finished claim's answer cannot be replayed, or "" if it can.
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

// upload writes large bodies to the object store, one after the other, and then
// queues their claims for the table.
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

// uploadRetry is the time between two attempts to write an object.
const uploadRetry = 500 * time.Millisecond

// uploadOne writes one object and retries until it succeeds. It returns false if
// ctx ends. The object's name identifies the run, so writing it again after a
// lost response is harmless.
func (l *Ledger) uploadOne(ctx context.Context, it *item) bool {
	t := it.entry.token
	name := fmt.Sprintf("claim/%s/%d-%d", t.Runner, t.Incarnation, t.Sequence)
	for {
		err := l.objects.PutIfAbsent(ctx, name, it.record.Body)
		if err == nil || stderrors.As(err, new(objectstore.ExistsError)) {
			break
		}
		klog.Warningf("claim: cannot upload the answer of token %d-%d, retrying: %v", t.Incarnation, t.Sequence, err)
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

// release subtracts an item's body from the held bytes.
func (l *Ledger) release(it *item) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stats.HeldBytes -= len(it.record.Body)
}

// counted returns the table wrapped so that reads and writes are counted.
func (l *Ledger) counted() Table { return countedTable{l.table, l} }

// get reads a row through the counted table.
func (l *Ledger) get(ctx context.Context, key string) (table.Row, error) {
	return l.counted().Get(ctx, key)
}

// countedTable is a Table that counts reads and writes in the ledger's stats.
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
