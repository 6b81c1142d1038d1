package rollout

import (
	"context"
	"encoding/json"
	stderrors "errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/cyclamenpoint/cyclamenpoint/objectstore"
	"github.com/cyclamenpoint/cyclamenpoint/table"
)

// Proposal is a configuration submitted by an operator.
type Proposal struct {
	// BasedOn is the number of the version that the operator edited, or zero if
	// there was none.
	BasedOn uint64
	// Body is the canonical form of the configuration.
	Body []byte
	// Who is the operator.
	Who string
	// ID uniquely identifies this proposal. Accept may be called again with the same
	// ID.
	ID string
	// TableRestored allows the table to hold an older version than BasedOn.
	TableRestored bool
}

// Registry accepts and reads versions. It is safe for concurrent use.
type Registry struct {
	table   Table
	objects Objects
}

// NewRegistry returns a Registry.
func NewRegistry(t Table, o Objects) *Registry { return &Registry{table: t, objects: o} }

// acceptRetryInterval is the time between two attempts to reach the table service
// or the object store.
const acceptRetryInterval = 200 * time.Millisecond

// Current returns the latest accepted version. Errors: NoAcceptedVersionError,
// BadRecordError and those of the table.
func (r *Registry) Current(ctx context.Context) (Version, error) {
	v, _, err := r.current(ctx)
	if err == nil && v.Number == 0 {
		return Version{}, NoAcceptedVersionError{}
	}
	return v, err
}

// Version returns an accepted version by its number. Errors are those of the
// table.
func (r *Registry) Version(ctx context.Context, number uint64) (Version, error) {
	row, err := r.table.Get(ctx, versionKey(number))
	if err != nil {
		return Version{}, err
	}
	return decode(row)
}

// Body returns the body of an accepted version. Errors: BadBodyError and those
// of the object store.
func (r *Registry) Body(ctx context.Context, d Digest) ([]byte, error) {
	body, err := r.objects.Get(ctx, objectName(d.Hash))
	if err != nil {
		return nil, err
	}
	return body, verify(d, body)
}

// verify checks that a body matches the hash of d.
func verify(d Digest, body []byte) error {
	if hash := HashOf(body); hash != d.Hash {
		return BadBodyError{Want: d.Hash, Got: hash}
	}
	return nil
}

// Accept makes a proposal the latest version if the version that it is based on is
// still the latest one. It retries until ctx ends. For a proposal with the body of
// the current version it changes nothing and returns that version. Errors:
// ConflictError, TableBehindError and NotAcceptedError if the proposal was not
// accepted; UnknownOutcomeError if this could not be determined.
func (r *Registry) Accept(ctx context.Context, p Proposal) (Version, error) {
	if err := r.storeBody(ctx, p.Body); err != nil {
		return Version{}, err
	}
	a := acceptance{registry: r, proposal: p, hash: HashOf(p.Body)}
	for {
		v, done, err := a.try(ctx)
		if done {
			klog.Infof("rollout: proposal %s of %s based on version %d: version %s, error %v",
				p.ID, p.Who, p.BasedOn, v.Digest, err)
			return v, err
		}
		if !sleep(ctx, acceptRetryInterval) {
			return Version{}, a.timeoutError(err)
		}
	}
}

// storeBody writes the body before any version refers to it. An object that
// already exists has the right content, since its name is the content's hash.
func (r *Registry) storeBody(ctx context.Context, body []byte) error {
	for {
		err := r.objects.PutIfAbsent(ctx, objectName(HashOf(body)), body)
		if err == nil || stderrors.As(err, new(objectstore.ExistsError)) {
			return nil
		}
		if !sleep(ctx, acceptRetryInterval) {
			return NotAcceptedError{Reason: err.Error()}
		}
	}
}

// acceptance is the state of one call of Accept.
type acceptance struct {
	registry *Registry
	proposal Proposal
	hash     string
	// unconfirmed is the version whose write has an unknown outcome, or zero.
	unconfirmed Version
}

// try makes one attempt, which consists of a read and a write. If done is false,
// the attempt failed with err and may be repeated.
func (a *acceptance) try(ctx context.Context) (v Version, done bool, err error) {
	current, etag, err := a.registry.current(ctx)
	if err != nil {
		return Version{}, false, err
	}
	if current.ID == a.proposal.ID {
		return current, true, nil
	}
	if current.Number != a.proposal.BasedOn {
		return a.resolveMismatch(ctx, current, etag)
	}
	if current.Hash == a.hash {
		return current, true, nil
	}
	return a.write(ctx, current, etag)
}

// resolveMismatch handles a current version other than the one that the proposal
// is based on. The proposal itself may have been accepted before the current
// version.
func (a *acceptance) resolveMismatch(ctx context.Context, current Version, etag string) (v Version, done bool, err error) {
	if current.Number < a.proposal.BasedOn {
		if a.proposal.TableRestored {
			return a.write(ctx, current, etag)
		}
		if a.unconfirmed.Number > 0 {
			return Version{}, false, TableBehindError{Table: current.Number, Known: a.proposal.BasedOn}
		}
		return Version{}, true, TableBehindError{Table: current.Number, Known: a.proposal.BasedOn}
	}
	next, err := a.registry.Version(ctx, a.proposal.BasedOn+1)
	if err == nil && next.ID == a.proposal.ID {
		return next, true, nil
	}
	absent := stderrors.As(err, new(table.NotFoundError))
	if err != nil && (!absent || a.unconfirmed.Number > 0) {
		// A stale read may miss the row of a proposal that was accepted.
		return Version{}, false, err
	}
	return Version{}, true, ConflictError{BasedOn: a.proposal.BasedOn, Winner: current}
}

// write makes the proposal the version after current. After an unknown outcome the
// same write is sent again, and its conditions let it take effect only once.
func (a *acceptance) write(ctx context.Context, current Version, etag string) (v Version, done bool, err error) {
	next := a.next(current)
	// Encoding a struct of strings, numbers and a time can't fail.
	value, _ := json.Marshal(next)
	op := table.Create(currentKey, value)
	if etag != "" {
		op = table.Replace(currentKey, value, etag)
	}
	_, err = a.registry.table.Write(ctx, []table.Op{op, table.Create(versionKey(next.Number), value)})
	if err == nil {
		return next, true, nil
	}
	if stderrors.As(err, new(table.UnknownOutcomeError)) {
		a.unconfirmed = next
	}
	return Version{}, false, err
}

// next returns the version that the proposal becomes if it is accepted.
func (a *acceptance) next(current Version) Version {
	number := max(current.Number, a.proposal.BasedOn) + 1
	if a.unconfirmed.Number == number {
		return a.unconfirmed
	}
	return Version{
		Digest: Digest{Number: number, Hash: a.hash}, BasedOn: a.proposal.BasedOn,
		Who: a.proposal.Who, ID: a.proposal.ID, At: time.Now().Round(0).UTC(),
	}
}

// timeoutError returns the error for a proposal that could not be decided in time.
func (a *acceptance) timeoutError(err error) error {
	if a.unconfirmed.Number > 0 {
		return UnknownOutcomeError{ID: a.proposal.ID, Proposed: a.unconfirmed.Digest, Reason: err.Error()}
	}
	return NotAcceptedError{Reason: err.Error()}
}

// current reads the latest version. It returns the zero Version if there is none.
func (r *Registry) current(ctx context.Context) (Version, string, error) {
	row, err := r.table.Get(ctx, currentKey)
	if stderrors.As(err, new(table.NotFoundError)) {
		return Version{}, "", nil
	}
	if err != nil {
		return Version{}, "", err
	}
	v, err := decode(row)
	return v, row.ETag, err
}

// sleep waits for d. It returns false if ctx ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
