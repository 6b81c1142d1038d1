// Package tablestandin is an in-memory stand-in for the platform's table
// service, for tests and the demo. It keeps the service's contract and can be
// down, slow, rate limited, stale, or lose the answer to a write that took
// effect.
package tablestandin

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/cyclamenpoint/cyclamenpoint/table"
)

// Faults are the faults in force. The zero value has none.
type Faults struct {
	// Down refuses everything.
	Down bool
	// Delay is added to each request.
	Delay time.Duration
	// StaleRows answers reads of single rows from an earlier Snapshot; nil
	// answers from the present rows.
	StaleRows map[string]table.Row
	// LateWrites reports each write's outcome as unknown at once and applies it
	// after this time.
	LateWrites time.Duration
	// WritesPerSecond and ReadsPerSecond bound the rates; zero sets no bound.
	WritesPerSecond, ReadsPerSecond int
}

// Counts are the requests that a Store has seen since it was made.
type Counts struct {
	// Reads and Writes count requests, whatever their outcome.
	Reads, Writes int64
	// Rows counts the rows written by requests that took effect.
	Rows int64
}

// Store holds the rows. It serves as the service itself, through Handler, and
// as an in-process client of its own. All methods may be called concurrently.
type Store struct {
	mu        sync.Mutex
	rows      map[string]table.Row
	keys      []string
	sorted    bool
	next      uint64
	faults    Faults
	loseNext  int
	lose      func(ops []table.Op) bool
	writeRate *rate.Limiter
	readRate  *rate.Limiter
	counts    Counts
}

// New returns an empty Store without faults.
func New() *Store { return &Store{rows: map[string]table.Row{}, sorted: true} }

// SetFaults replaces the faults in force.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.writeRate = limiter(f.WritesPerSecond)
	s.readRate = limiter(f.ReadsPerSecond)
}

// DropNextAnswers loses the answers of the next n writes that take effect.
func (s *Store) DropNextAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseNext = n
}

// SetDropAnswer loses the answer of each write that took effect and for which lose
// reports true. Nil loses none.
func (s *Store) SetDropAnswer(lose func(ops []table.Op) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = lose
}

// Counts returns the requests seen so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Snapshot copies all rows.
func (s *Store) Snapshot() map[string]table.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.rows)
}

// Restore puts the rows of an earlier Snapshot in place of the present ones.
func (s *Store) Restore(rows map[string]table.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows = maps.Clone(rows)
	s.sorted = false
}

// Get reads one row.
func (s *Store) Get(ctx context.Context, key string) (table.Row, error) {
	row, _, err := s.GetIfChanged(ctx, key, "")
	return row, err
}

// GetIfChanged reads one row unless it still has etag.
func (s *Store) GetIfChanged(ctx context.Context, key, etag string) (table.Row, bool, error) {
	if err := s.admitRead(ctx); err != nil {
		return table.Row{}, false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := s.rows
	if s.faults.StaleRows != nil {
		rows = s.faults.StaleRows
	}
	row, ok := rows[key]
	if !ok {
		return table.Row{}, false, table.NotFoundError{Key: key}
	}
	if etag != "" && row.ETag == etag {
		return table.Row{}, false, nil
	}
	return row, true, nil
}

// List reads up to limit rows with the prefix that follow after.
func (s *Store) List(ctx context.Context, prefix, after string, limit int) (table.Page, error) {
	if err := s.admitRead(ctx); err != nil {
		return table.Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.sorted {
		s.keys = slices.Sorted(maps.Keys(s.rows))
		s.sorted = true
	}
	from, found := slices.BinarySearch(s.keys, max(prefix, after))
	if found && s.keys[from] == after {
		from++
	}
	var page table.Page
	for _, key := range s.keys[from:] {
		if !strings.HasPrefix(key, prefix) {
			break
		}
		if len(page.Rows) == limit {
			page.More = true
			break
		}
		page.Rows = append(page.Rows, s.rows[key])
	}
	return page, nil
}

// Write applies all operations or none.
func (s *Store) Write(ctx context.Context, ops []table.Op) ([]string, error) {
	if err := s.admitWrite(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if late := s.faults.LateWrites; late > 0 {
		time.AfterFunc(late, func() { s.applyLate(ops) })
		return nil, table.UnknownOutcomeError{Reason: "answer lost"}
	}
	etags, err := s.apply(ops)
	if err != nil {
		return nil, err
	}
	if s.loses(ops) {
		return nil, table.UnknownOutcomeError{Reason: "answer lost"}
	}
	return etags, nil
}

// applyLate applies a write whose sender has long given up.
func (s *Store) applyLate(ops []table.Op) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The sender has gone, so nobody hears of a conflict.
	_, _ = s.apply(ops)
}

// apply checks all conditions and then writes. The lock is held.
func (s *Store) apply(ops []table.Op) ([]string, error) {
	var conflict table.ConflictError
	for _, op := range ops {
		row, exists := s.rows[op.Key]
		if op.IfAbsent && exists || op.IfMatch != "" && row.ETag != op.IfMatch {
			conflict.Keys = append(conflict.Keys, op.Key)
		}
	}
	if len(conflict.Keys) > 0 {
		return nil, conflict
	}
	etags := make([]string, len(ops))
	for i, op := range ops {
		etags[i] = s.applyOne(op)
	}
	return etags, nil
}

// applyOne writes one row and returns its new entity tag.
func (s *Store) applyOne(op table.Op) string {
	switch op.Kind {
	case table.KindCheck:
		return op.IfMatch
	case table.KindDelete:
		delete(s.rows, op.Key)
		s.sorted = false
		s.counts.Rows++
		return ""
	}
	s.next++
	s.counts.Rows++
	etag := strconv.Quote(strconv.FormatUint(s.next, 10))
	if _, exists := s.rows[op.Key]; !exists {
		s.sorted = false
	}
	s.rows[op.Key] = table.Row{Key: op.Key, Value: slices.Clone(op.Value), ETag: etag}
	return etag
}

// loses decides whether a write's answer is lost. The lock is held.
func (s *Store) loses(ops []table.Op) bool {
	if s.loseNext > 0 {
		s.loseNext--
		return true
	}
	return s.lose != nil && s.lose(ops)
}

// admitRead counts a read and applies the faults to it.
func (s *Store) admitRead(ctx context.Context) error {
	s.mu.Lock()
	s.counts.Reads++
	faults, bound := s.faults, s.readRate
	s.mu.Unlock()
	return admit(ctx, faults, bound)
}

// admitWrite counts a write and applies the faults to it.
func (s *Store) admitWrite(ctx context.Context) error {
	s.mu.Lock()
	s.counts.Writes++
	faults, bound := s.faults, s.writeRate
	s.mu.Unlock()
	return admit(ctx, faults, bound)
}

// admit waits out the delay and refuses what the faults refuse.
func admit(ctx context.Context, f Faults, bound *rate.Limiter) error {
	if f.Delay > 0 {
		timer := time.NewTimer(f.Delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return table.UnavailableError{Reason: ctx.Err().Error()}
		}
	}
	if f.Down {
		return table.UnavailableError{Reason: "down"}
	}
	if bound != nil && !bound.Allow() {
		return table.RateLimitedError{RetryAfter: time.Second}
	}
	return nil
}

// limiter returns a limiter of perSecond events, or nil for no bound.
func limiter(perSecond int) *rate.Limiter {
	if perSecond == 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, perSecond/10))
}
