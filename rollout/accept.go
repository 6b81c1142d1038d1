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

// Proposal is a configuration that an operator hands over.
type Proposal struct {
	// BasedOn is the number of the version that the operator had before them,
	// zero for the first one.
	BasedOn uint64
	// Body is the canonical form of the configuration.
	Body []byte
	// Who hands it over.
	Who string
	// ID is unique to this proposal. Accept may be called again with it.
	ID string
	// TableRestored allows the table to hold an older version than BasedOn.
	TableRestored bool
}

// Registry accepts and reads versions. It may be used concurrently.
type Registry struct {
	table   Table
	objects Objects
}

// NewRegistry returns a Registry.
func NewRegistry(t Table, o Objects) *Registry { return &Registry{table: t, objects: o} }

// acceptRetry is the time between two tries to reach the stores.
const acceptRetry = 200 * time.Millisecond

// Current returns the newest accepted version. Errors: NothingAcceptedError,
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

// verify checks that a body is the one that d names.
func verify(d Digest, body []byte) error {
	if hash := HashOf(body); hash != d.Hash {
		return BadBodyError{Want: d.Hash, Got: hash}
	}
	return nil
}

// Accept makes a proposal the newest version, if the version it is based on is
// still the newest. It tries until ctx ends. A proposal equal to the current
// version changes nothing and returns that one. Errors: ConflictError,
// TableBehindError and NotAcceptedError say that the proposal was not
// accepted; UnknownOutcomeError that this could not be found out.
func (r *Registry) Accept(ctx context.Context, p Proposal) (Version, error) {
	if err := r.store(ctx, p.Body); err != nil {
		return Version{}, err
	}
	a := acceptance{registry: r, proposal: p, hash: HashOf(p.Body)}
	for {
		v, done, err := a.try(ctx)
		if done {
			klog.Infof("rollout: proposal %s of %s based on %d: version %s, error %v",
				p.ID, p.Who, p.BasedOn, v.Digest, err)
			return v, err
		}
		if !pause(ctx, acceptRetry) {
			return Version{}, a.gaveUp(err)
		}
	}
}

// store keeps the body before any version names it. The name is the content's
// hash, so that an object that exists already is the right one.
func (r *Registry) store(ctx context.Context, body []byte) error {
	for {
		err := r.objects.PutIfAbsent(ctx, objectName(HashOf(body)), body)
		if err == nil || stderrors.As(err, new(objectstore.ExistsError)) {
			return nil
		}
		if !pause(ctx, acceptRetry) {
			return NotAcceptedError{Reason: err.Error()}
		}
	}
}

// acceptance is one proposal on its way.
type acceptance struct {
	registry *Registry
	proposal Proposal
	hash     string
	// sent is the version whose write has an unknown outcome; zero if none.
	sent Version
}

// try does one read and one write. Without done, err says what failed.
func (a *acceptance) try(ctx context.Context) (v Version, done bool, err error) {
	current, etag, err := a.registry.current(ctx)
	if err != nil {
		return Version{}, false, err
	}
	if current.ID == a.proposal.ID {
		return current, true, nil
	}
	if current.Number != a.proposal.BasedOn {
		return a.outrun(ctx, current, etag)
	}
	if current.Hash == a.hash {
		return current, true, nil
	}
	return a.write(ctx, current, etag)
}

// outrun decides when the current version is not the one based on. The
// proposal may have been accepted before the current version was.
func (a *acceptance) outrun(ctx context.Context, current Version, etag string) (v Version, done bool, err error) {
	if current.Number < a.proposal.BasedOn {
		if a.proposal.TableRestored {
			return a.write(ctx, current, etag)
		}
		if a.sent.Number > 0 {
			return Version{}, false, TableBehindError{Table: current.Number, Known: a.proposal.BasedOn}
		}
		return Version{}, true, TableBehindError{Table: current.Number, Known: a.proposal.BasedOn}
	}
	next, err := a.registry.Version(ctx, a.proposal.BasedOn+1)
	if err == nil && next.ID == a.proposal.ID {
		return next, true, nil
	}
	absent := stderrors.As(err, new(table.NotFoundError))
	if err != nil && (!absent || a.sent.Number > 0) {
		// A lagging read may miss the row of a proposal that was accepted.
		return Version{}, false, err
	}
	return Version{}, true, ConflictError{BasedOn: a.proposal.BasedOn, Winner: current}
}

// write makes the proposal the version after current. The same write is sent
// again after a lost answer: its conditions let only one take effect.
func (a *acceptance) write(ctx context.Context, current Version, etag string) (v Version, done bool, err error) {
	next := a.next(current)
	// A version of strings, numbers and a time always encodes.
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
		a.sent = next
	}
	return Version{}, false, err
}

// next returns the version that the proposal would become.
func (a *acceptance) next(current Version) Version {
	number := max(current.Number, a.proposal.BasedOn) + 1
	if a.sent.Number == number {
		return a.sent
	}
	return Version{
		Digest: Digest{Number: number, Hash: a.hash}, BasedOn: a.proposal.BasedOn,
		Who: a.proposal.Who, ID: a.proposal.ID, At: time.Now().Round(0).UTC(),
	}
}

// gaveUp says what is known when the time is over.
func (a *acceptance) gaveUp(err error) error {
	if a.sent.Number > 0 {
		return UnknownOutcomeError{ID: a.proposal.ID, Proposed: a.sent.Digest, Reason: err.Error()}
	}
	return NotAcceptedError{Reason: err.Error()}
}

// current reads the newest version; a zero one says that there is none.
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

// pause waits, and returns false when ctx has ended.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
