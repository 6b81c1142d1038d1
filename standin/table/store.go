// Package tablestandin is an in-memory stand-in for the platform's table
// service, used by tests and the demo. It implements the service's contract and
// can simulate outages, latency, rate limits, stale reads and lost answers to
// writes that took effect.
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

// Faults are the failures that the store simulates. The zero value has none.
type Faults struct {
	// Down fails every request.
	Down bool
	// Delay is added to each request.
	Delay time.Duration
	// StaleRows is an earlier Snapshot from which reads of single rows are
	// answered; nil answers them from the current rows.
	StaleRows map[string]table.Row
	// ApplyDelay is the delay after which a write is applied. The caller gets an
	// unknown outcome at once. Zero applies writes immediately.
	ApplyDelay time.Duration
	// WritesPerSecond and ReadsPerSecond limit the request rates; zero means no
	// limit.
	WritesPerSecond, ReadsPerSecond int
}

// Counts are the numbers of requests and writes since the Store was created.
type Counts struct {
	// Reads and Writes count requests, including failed ones.
	Reads, Writes int64
	// Rows counts the rows put or deleted by writes that took effect.
	Rows int64
}

// Store holds the rows. It can be used over HTTP, through Handler, or directly
// in place of a client. It is safe for concurrent use.
type Store struct {
	mu   sync.Mutex
	rows map[string]table.Row
	// keys are the sorted keys of rows if keysValid.
	keys      []string
	keysValid bool
	lastETag  uint64
	faults    Faults
	// answersToDrop is the number of writes whose answers are still to be lost.
	answersToDrop int
	dropAnswer    func(ops []table.Op) bool
	writeLimiter  *rate.Limiter
	readLimiter   *rate.Limiter
	counts        Counts
}

// New returns an empty Store without faults.
func New() *Store { return &Store{rows: map[string]table.Row{}, keysValid: true} }

// SetFaults replaces the simulated faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.writeLimiter = newLimiter(f.WritesPerSecond)
	s.readLimiter = newLimiter(f.ReadsPerSecond)
}

// DropNextAnswers loses the answers of the next n writes that take effect.
func (s *Store) DropNextAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answersToDrop = n
}

// SetDropAnswer sets a function that selects which writes lose their answers
// after they took effect. Nil selects none.
func (s *Store) SetDropAnswer(dropAnswer func(ops []table.Op) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropAnswer = dropAnswer
}

// Counts returns the numbers of requests and writes so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Snapshot returns a copy of all rows.
func (s *Store) Snapshot() map[string]table.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.rows)
}

// Restore replaces all rows with those of an earlier Snapshot.
func (s *Store) Restore(rows map[string]table.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows = maps.Clone(rows)
	s.keysValid = false
}

// Get reads one row.
func (s *Store) Get(ctx context.Context, key string) (table.Row, error) {
	row, _, err := s.GetIfChanged(ctx, key, "")
	return row, err
}

// GetIfChanged reads one row. It returns false and no row if the row still has
// the given entity tag.
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

// List returns up to limit rows whose keys have the prefix and are greater than
// after, in order of their keys.
func (s *Store) List(ctx context.Context, prefix, after string, limit int) (table.Page, error) {
	if err := s.admitRead(ctx); err != nil {
		return table.Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.keysValid {
		s.keys = slices.Sorted(maps.Keys(s.rows))
		s.keysValid = true
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

// Write applies all operations, or none if a condition does not hold. It returns
// the new entity tags in the order of the operations.
func (s *Store) Write(ctx context.Context, ops []table.Op) ([]string, error) {
	if err := s.admitWrite(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if delay := s.faults.ApplyDelay; delay > 0 {
		time.AfterFunc(delay, func() { s.applyLate(ops) })
		return nil, table.UnknownOutcomeError{Reason: "answer lost"}
	}
	etags, err := s.apply(ops)
	if err != nil {
		return nil, err
	}
	if s.losesAnswer(ops) {
		return nil, table.UnknownOutcomeError{Reason: "answer lost"}
	}
	return etags, nil
}

// applyLate applies a write that was answered with an unknown outcome.
func (s *Store) applyLate(ops []table.Op) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The answer has been sent already, so a conflict cannot be reported.
	_, _ = s.apply(ops)
}

// apply checks all conditions and then writes. The caller holds the lock.
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

// applyOne applies one operation and returns the row's entity tag after it, or
// the empty string if the row does not exist then.
func (s *Store) applyOne(op table.Op) string {
	switch op.Kind {
	case table.KindCheck:
		return op.IfMatch
	case table.KindDelete:
		delete(s.rows, op.Key)
		s.keysValid = false
		s.counts.Rows++
		return ""
	}
	s.lastETag++
	s.counts.Rows++
	etag := strconv.Quote(strconv.FormatUint(s.lastETag, 10))
	if _, exists := s.rows[op.Key]; !exists {
		s.keysValid = false
	}
	s.rows[op.Key] = table.Row{Key: op.Key, Value: slices.Clone(op.Value), ETag: etag}
	return etag
}

// losesAnswer reports whether the answer to a write is lost. The caller holds
// the lock.
func (s *Store) losesAnswer(ops []table.Op) bool {
	if s.answersToDrop > 0 {
		s.answersToDrop--
		return true
	}
	return s.dropAnswer != nil && s.dropAnswer(ops)
}

// admitRead counts a read and applies the simulated faults.
func (s *Store) admitRead(ctx context.Context) error {
	s.mu.Lock()
	s.counts.Reads++
	faults, limiter := s.faults, s.readLimiter
	s.mu.Unlock()
	return admit(ctx, faults, limiter)
}

// admitWrite counts a write and applies the simulated faults.
func (s *Store) admitWrite(ctx context.Context) error {
	s.mu.Lock()
	s.counts.Writes++
	faults, limiter := s.faults, s.writeLimiter
	s.mu.Unlock()
	return admit(ctx, faults, limiter)
}

// admit waits for the simulated delay and returns the simulated error, if any.
func admit(ctx context.Context, f Faults, limiter *rate.Limiter) error {
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
	if limiter != nil && !limiter.Allow() {
		return table.RateLimitedError{RetryAfter: time.Second}
	}
	return nil
}

// newLimiter returns a limiter of perSecond requests per second, with bursts of
// up to a tenth of that number but at least one, or nil if perSecond is zero.
func newLimiter(perSecond int) *rate.Limiter {
	if perSecond == 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, perSecond/10))
}
