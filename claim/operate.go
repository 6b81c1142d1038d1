package claim

import (
	"context"
	stderrors "errors"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/cyclamenpoint/cyclamenpoint/table"
)

// listPage is the number of rows read per request.
const listPage = 100

// OpenClaim is a claim whose outcome is not recorded.
type OpenClaim struct {
	// Row is the key that identifies the claim for Resolve.
	Row string
	// State is StateRunning, or StateUnknown if the runner was superseded or
	// could not determine the outcome.
	State        State
	Organisation string
	Route        string
	Key          string
	Runner       string
	Incarnation  uint64
	// Since is when the claim was made, by its runner's wall clock.
	Since time.Time
}

// Admin lists and resolves claims for operators. It is safe for concurrent use
// and can be used in any process.
type Admin struct {
	table  Table
	maxRun time.Duration
}

// NewAdmin returns an Admin. maxRun is the MaxRun of the ledgers; zero means the
// default.
func NewAdmin(t Table, maxRun time.Duration) *Admin {
	setDefault(&maxRun, DefaultMaxRun)
	return &Admin{table: t, maxRun: maxRun}
}

// List returns the claims whose outcome is not recorded, ordered by runner. It
// returns errors of the table.
func (o *Admin) List(ctx context.Context) ([]OpenClaim, error) {
	var open []OpenClaim
	for _, prefix := range []string{orphanedPrefix, runnerPrefix} {
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

// claims reads the claims listed in a runner's row or an orphaned row.
func (o *Admin) claims(ctx context.Context, row table.Row) ([]OpenClaim, error) {
	listed, err := decode[orphanedRecord](row)
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

// read reads one claim. Its state is StateUnknown if its runner was superseded.
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
	replaced, err := superseded(ctx, o.table, rec.Runner, rec.Incarnation)
	if replaced {
		open.State = StateUnknown
	}
	return open, err
}

// Retire fences a runner that will not return, so that the outcome of its open
// claims counts as unknown. If a process of that runner is still alive, it can make
// no claims until it is restarted. It returns errors of the table.
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
	_, err = o.table.Write(ctx, replaceRunner(next, old, row.ETag))
	klog.Infof("claim: operator retired runner %s, incarnation %d, error %v", runner, old.Incarnation, err)
	return err
}

// Resolve resolves a claim of unknown outcome with the operator's verdict. A run
// may continue at the endpoint after its runner disappeared, so a claim can be
// resolved only after MaxRun plus StartTimeout. Errors: NotUnknownError,
// TooEarlyError, BadVerdictError and those of the table. After
// table.UnknownOutcomeError it can be called again.
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
	klog.Infof("claim: operator resolved key %q of %s as %s, error %v",
		rec.Key, rec.Organisation, verdict, err)
	return err
}

// list reads all rows whose key has the prefix.
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

// Sweeper removes finished claims after KeepClaim. Any process can run one. Several
// may run at once, but all except one of them read the table to no effect, so a
// lease should select one.
type Sweeper struct {
	table   Table
	objects Objects
}

// NewSweeper returns a Sweeper.
func NewSweeper(t Table, o Objects) *Sweeper { return &Sweeper{table: t, objects: o} }

// SweepOnce removes the claims of one expiry row whose hour has passed and
// reports whether there may be more. It returns errors of the table and the
// object store; another call continues where it stopped.
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

// removeObjects removes the large bodies. It is called before the rows are
// removed, so that no object remains without a row that names it.
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
// has changed since is not removed.
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
