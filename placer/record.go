package placer

import (
	"context"
	"fmt"
	"sync"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	pb "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
	"github.com/cyclamenpoint/cyclamenpoint/lease"
	"github.com/cyclamenpoint/cyclamenpoint/mapswitch"
	"github.com/cyclamenpoint/cyclamenpoint/mapswitch/rpc"
	"github.com/cyclamenpoint/cyclamenpoint/table"
)

// recordPrefix is the prefix of the keys of groups' records.
const recordPrefix = "group/"

// RevisionError is returned if the record has changed since it was read.
type RevisionError struct {
	Group string
	Got   uint64
	Want  uint64
}

// Error implements error.
func (e *RevisionError) Error() string {
	return fmt.Sprintf("the record of group %s is at revision %d, not %d", e.Group, e.Got, e.Want)
}

// LeaseName returns the name of a group's lease.
func LeaseName(group string) string { return recordPrefix + group }

// Store stores a group's record in the table service. It implements
// mapswitch.Store. Its revisions number the entity tags that this Store has read,
// and are valid only for this Store.
type Store struct {
	group string
	table lease.Table

	mu       sync.Mutex
	etag     string
	revision uint64
}

var _ mapswitch.Store = (*Store)(nil)

// NewStore returns a Store for a group's record.
func NewStore(group string, t lease.Table) *Store { return &Store{group: group, table: t} }

func (s *Store) key() string { return recordPrefix + s.group }

// Read implements mapswitch.Store.
func (s *Store) Read(ctx context.Context) (mapswitch.Record, uint64, error) {
	row, err := s.table.Get(ctx, s.key())
	if errors.As(err, new(table.NotFoundError)) {
		return mapswitch.Record{}, s.revisionOf(""), nil
	}
	if err != nil {
		return mapswitch.Record{}, 0, err
	}
	var m pb.GroupRecord
	if err := proto.Unmarshal(row.Value, &m); err != nil {
		return mapswitch.Record{}, 0, errors.Wrapf(err, "record of group %s", s.group)
	}
	rec, err := rpc.DecodeRecord(&m)
	return rec, s.revisionOf(row.ETag), err
}

// revisionOf returns the revision for an entity tag, which is a new one if the tag
// differs from the previous one.
func (s *Store) revisionOf(etag string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if etag != s.etag {
		s.etag = etag
		s.revision++
	}
	return s.revision
}

// Write implements mapswitch.Store.
func (s *Store) Write(ctx context.Context, rec mapswitch.Record, revision uint64) (uint64, error) {
	s.mu.Lock()
	etag, current := s.etag, s.revision
	s.mu.Unlock()
	if current != revision {
		return 0, &RevisionError{Group: s.group, Got: current, Want: revision}
	}
	value, err := proto.Marshal(rpc.EncodeRecord(rec))
	if err != nil {
		return 0, errors.Wrapf(err, "record of group %s", s.group)
	}
	op := table.Replace(s.key(), value, etag)
	if etag == "" {
		op = table.Create(s.key(), value)
	}
	etags, err := s.table.Write(ctx, []table.Op{op})
	if err != nil {
		return 0, err
	}
	return s.revisionOf(etags[0]), nil
}

// Token implements mapswitch.Store.
func (s *Store) Token(ctx context.Context) (uint64, error) {
	return lease.NewestToken(ctx, s.table, LeaseName(s.group))
}
