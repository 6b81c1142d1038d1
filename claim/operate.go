package claim

import (
	"context"
	stderrors "errors"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/cyclamenpoint/cyclamenpoint/table"
)

// listPage is the number of rows read at once.
const listPage = 100

// OpenClaim is a claim without a durable end.
type OpenClaim struct {
	// Row identifies the claim to Resolve.
	Row string
	// State is StateRunning, or StateUnknown when the runner has vanished or
	// gave the run up.
	State        State
	Organisation string
	Route        string
	Key          string
	Runner       string
	Incarnation  uint64
	// Since is when the claim was made, by its runner's wall clock.
	Since time.Time
}

// Admin lists and resolves claims for operators. It may be used
// concurrently and from any process.
type Admin struct {
	table  Table
	maxRun time.Duration
}

// NewAdmin returns an Operator. maxRun is the ledgers' MaxRun; zero takes
// the default.
func NewAdmin(t Table, maxRun time.Duration) *Admin {
	setDefault(&maxRun, DefaultMaxRun)
	return &Admin{table: t, maxRun: maxRun}
}

// List returns the claims without a durable end, by runner. Errors are those
// of the table.
func (o *Admin) List(ctx context.Context) ([]OpenClaim, error) {
	var open []OpenClaim
	for _, prefix := range []string{vanishedPrefix, runnerPrefix} {
		rows, err := list(ctx, o.table, prefix)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			claims, err := o.claims(ctx, row)
			if err != nil {
				return nil, err
			}
			open = append(open, claims...)
		}
	}
	return open, nil
}

// claims reads the claims that a runner's row or a vanished row lists.
func (o *Admin) claims(ctx context.Context, row table.Row) ([]OpenClaim, error) {
	listed, err := decode[vanishedRecord](row)
	if err != nil {
		return nil, err
	}
	var open []OpenClaim
	for _, key := range listed.Open {
		claim, err := o.read(ctx, key)
		if stderrors.As(err, new(table.NotFoundError)) {
			continue
		}
		if err != nil {
			return nil, err
		}
		if claim.Runner != listed.Runner || claim.Incarnation != listed.Incarnation {
			continue
		}
		if claim.State == StateRunning || claim.State == StateUnknown {
			open = append(open, claim)
		}
	}
	return open, nil
}

// read reads one claim and tells whether its runner has vanished.
func (o *Admin) read(ctx context.Context, key string) (OpenClaim, error) {
	row, err := o.table.Get(ctx, key)
	if err != nil {
		return OpenClaim{}, err
	}
	rec, err := decode[record](row)
	if err != nil {
		return OpenClaim{}, err
	}
	open := OpenClaim{
		Row: key, State: rec.State, Organisation: rec.Organisation, Route: rec.Route, Key: rec.Key,
		Runner: rec.Runner, Incarnation: rec.Incarnation, Since: rec.Since,
	}
	if rec.State != StateRunning {
		return open, nil
	}
	gone, err := vanished(ctx, o.table, rec.Runner, rec.Incarnation)
	if gone {
		open.State = StateUnknown
	}
	return open, err
}

// Retire fences a runner that is gone for good, so that its open claims count
// as of unknown outcome. A process of that runner that still lives claims no
// more until it is restarted. Errors are those of the table.
func (o *Admin) Retire(ctx context.Context, runner string) error {
	row, err := o.table.Get(ctx, runnerKey(runner))
	if err != nil {
		return err
	}
	old, err := decode[runnerRecord](row)
	if err != nil {
		return err
	}
	next := runnerRecord{Runner: runner, Incarnation: old.Incarnation + 1}
	_, err = o.table.Write(ctx, succession(next, old, row.ETag))
	klog.Infof("claim: runner %s incarnation %d retired by an operator, error %v", runner, old.Incarnation, err)
	return err
}

// Resolve settles a claim of unknown outcome by what the operator found out.
// A run that its runner began before it vanished may go on at the endpoint, so
// that a claim is resolved only after MaxRun and StartWithin have passed.
// Errors: NotUnknownError, TooEarlyError, BadVerdictError and those of the
// table; after table.UnknownOutcomeError it may be called again.
func (o *Admin) Resolve(ctx context.Context, key string, verdict Verdict) error {
	if verdict != VerdictRan && verdict != VerdictNotRun {
		return BadVerdictError{Verdict: verdict}
	}
	row, err := o.table.Get(ctx, key)
	if err != nil {
		return err
	}
	open, err := o.read(ctx, key)
	if err != nil {
		return err
	}
	rec, err := decode[record](row)
	if err != nil {
		return err
	}
	if open.State != StateUnknown {
		return NotUnknownError{Row: key, State: open.State}
	}
	if until := rec.Since.Add(o.maxRun + DefaultStartTimeout); time.Now().Before(until) {
		return TooEarlyError{Row: key, Until: until}
	}
	op := table.Delete(key, row.ETag)
	if verdict == VerdictRan {
		rec.State = StateResolved
		op = table.Replace(key, encode(rec), row.ETag)
	}
	_, err = o.table.Write(ctx, []table.Op{op})
	klog.Infof("claim: key %q of %s resolved by an operator as %s, error %v",
		rec.Key, rec.Organisation, verdict, err)
	return err
}

// list reads all rows with a prefix.
func list(ctx context.Context, t Table, prefix string) ([]table.Row, error) {
	var rows []table.Row
	after := ""
	for {
		page, err := t.List(ctx, prefix, after, listPage)
		if err != nil {
			return nil, err
		}
		rows = append(rows, page.Rows...)
		if !page.More {
			return rows, nil
		}
		after = page.Rows[len(page.Rows)-1].Key
	}
}

// Sweeper removes finished claims whose time has passed. Any process may run
// it; two at once do no harm, but a lease saves the second one's reads.
type Sweeper struct {
	table   Table
	objects Objects
}

// NewSweeper returns a Sweeper.
func NewSweeper(t Table, o Objects) *Sweeper { return &Sweeper{table: t, objects: o} }

// SweepOnce removes the claims of one expiry row whose hour has passed, and
// reports whether there may be more. Errors are those of the stores; calling it
// again goes on where it stopped.
func (s *Sweeper) SweepOnce(ctx context.Context) (more bool, err error) {
	page, err := s.table.List(ctx, expiryPrefix, "", 1)
	if err != nil || len(page.Rows) == 0 {
		return false, err
	}
	row := page.Rows[0]
	limit := expiryKey(time.Now().Add(-time.Hour), "", 0, 0)
	if row.Key >= limit {
		return false, nil
	}
	rec, err := decode[expiryRecord](row)
	if err != nil {
		return false, err
	}
	if err := s.removeObjects(ctx, rec.Claims); err != nil {
		return false, err
	}
	return true, s.removeRows(ctx, row, rec.Claims)
}

// removeObjects removes the large bodies first, so that none is left behind
// without a row that names it.
func (s *Sweeper) removeObjects(ctx context.Context, claims []expiring) error {
	for _, c := range claims {
		if c.Object == "" {
			continue
		}
		if err := s.objects.Delete(ctx, c.Object); err != nil {
			return err
		}
	}
	return nil
}

// removeRows removes the claims and their expiry row in one write. A claim that
// changed since is left.
func (s *Sweeper) removeRows(ctx context.Context, row table.Row, claims []expiring) error {
	for {
		ops := []table.Op{table.Delete(row.Key, row.ETag)}
		for _, c := range claims {
			ops = append(ops, table.Delete(c.Row, c.ETag))
		}
		_, err := s.table.Write(ctx, ops)
		var conflict table.ConflictError
		if !stderrors.As(err, &conflict) {
			return err
		}
		if conflict.Has(row.Key) {
			return nil
		}
		claims = slices.DeleteFunc(claims, func(c expiring) bool { return conflict.Has(c.Row) })
	}
}
