package follow

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	_ "github.com/cyclamenpoint/cyclamenpoint/internal/bubble"
)

var errDown = errors.New("down")

// fakeStore is a store with one table. It returns only the changes after version kept.
type fakeStore struct {
	mu      sync.Mutex
	version uint64
	rows    map[string]Row
	changes []Change
	kept    uint64
	down    bool
	calls   int
}

func newFakeStore() *fakeStore { return &fakeStore{version: 1, rows: make(map[string]Row)} }

func (s *fakeStore) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	row := Row{Key: key, Value: []byte(value), Version: s.version}
	s.rows[key] = row
	s.changes = append(s.changes, Change{Row: row})
}

func (s *fakeStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	delete(s.rows, key)
	s.changes = append(s.changes, Change{Row: Row{Key: key, Version: s.version}, Removed: true})
}

// called returns the number of calls so far.
func (s *fakeStore) called() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *fakeStore) dropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kept, s.changes = s.version, nil
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *fakeStore) Read(context.Context, string) (Copy, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return Copy{}, errDown
	}
	c := Copy{Rows: make(map[string]Row), AsOf: s.version}
	for k, r := range s.rows {
		c.Rows[k] = r
	}
	return c, nil
}

func (s *fakeStore) Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]Change, uint64, error) {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	end := time.Now().Add(wait)
	for {
		s.mu.Lock()
		switch {
		case s.down:
			s.mu.Unlock()
			return nil, 0, errDown
		case after < s.kept:
			s.mu.Unlock()
			return nil, 0, &LostHistoryError{Table: table}
		}
		var newer []Change
		for _, c := range s.changes {
			if c.Version > after {
				newer = append(newer, c)
			}
		}
		version := s.version
		s.mu.Unlock()
		if len(newer) > 0 || time.Now().After(end) || ctx.Err() != nil {
			return newer, version, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
}

var testTiming = Timing{PollTimeout: 20 * time.Second, MinInterval: 100 * time.Millisecond, Backoff: 300 * time.Millisecond}

// withFollower runs a test with a running Follower in virtual time.
func withFollower(t *testing.T, test func(s *fakeStore, f *Follower)) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		var mu sync.Mutex
		var seen []Copy
		var f *Follower
		f = New("table", s, testTiming, slog.New(slog.DiscardHandler), func(c Copy) {
			// Consumers call methods of the Follower within onChange.
			f.OutageTimes()
			f.Current()
			mu.Lock()
			defer mu.Unlock()
			seen = append(seen, c)
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.Run(ctx)
		}()
		test(s, f)
		cancel()
		<-done
		mu.Lock()
		defer mu.Unlock()
		for i := 1; i < len(seen); i++ {
			assert.Assert(t, seen[i].Changed != seen[i-1].Changed, "onChange must only be called with other content")
		}
	})
}

func TestFollowsChanges(t *testing.T) {
	withFollower(t, func(s *fakeStore, f *Follower) {
		s.put("a", "1")
		time.Sleep(time.Second)
		s.put("b", "2")
		s.remove("a")
		time.Sleep(time.Second)
		c := f.Current()
		assert.Equal(t, len(c.Rows), 1)
		assert.Equal(t, string(c.Rows["b"].Value), "2")
		calls := s.called()
		time.Sleep(19 * time.Second)
		assert.Assert(t, s.called()-calls <= 2, "%d calls while nothing changed", s.called()-calls)
	})
}

func TestLostHistory(t *testing.T) {
	withFollower(t, func(s *fakeStore, f *Follower) {
		s.put("a", "1")
		time.Sleep(5 * time.Second)
		s.setDown(true)
		time.Sleep(time.Second)
		s.put("b", "2")
		s.remove("a")
		s.dropHistory()
		s.setDown(false)
		time.Sleep(3 * time.Second)
		assert.Equal(t, len(f.Current().Rows), 1)
		assert.Equal(t, string(f.Current().Rows["b"].Value), "2")
	})
}

// TestBacksOff verifies that a store that is down receives few calls, and that its
// recovery is detected within MaxBackoff.
func TestBacksOff(t *testing.T) {
	withFollower(t, func(s *fakeStore, f *Follower) {
		s.put("a", "1")
		time.Sleep(5 * time.Second)
		s.setDown(true)
		time.Sleep(time.Second)
		calls := s.called()
		time.Sleep(10 * time.Second)
		assert.Assert(t, s.called()-calls <= 11, "%d calls in 10 s", s.called()-calls)
		lostAt, _ := f.OutageTimes()
		assert.Assert(t, !lostAt.IsZero())
		s.put("a", "2")
		s.setDown(false)
		time.Sleep(MaxBackoff + 100*time.Millisecond)
		assert.Equal(t, string(f.Current().Rows["a"].Value), "2")
	})
}

// TestInstallIfNewer verifies that a peer's newer copy is installed during an outage
// of the store, and an older one never.
func TestInstallIfNewer(t *testing.T) {
	withFollower(t, func(s *fakeStore, f *Follower) {
		s.put("a", "1")
		time.Sleep(5 * time.Second)
		s.setDown(true)
		time.Sleep(time.Second)
		old := f.Current()
		s.put("a", "2")
		s.mu.Lock()
		newer := Copy{Rows: map[string]Row{"a": s.rows["a"]}, AsOf: s.version, Changed: s.version}
		s.mu.Unlock()
		assert.Assert(t, f.InstallIfNewer(newer))
		assert.Assert(t, !f.InstallIfNewer(old))
		assert.Equal(t, string(f.Current().Rows["a"].Value), "2")
		s.setDown(false)
		s.put("b", "3")
		time.Sleep(3 * time.Second)
		assert.Equal(t, string(f.Current().Rows["a"].Value), "2")
		assert.Equal(t, string(f.Current().Rows["b"].Value), "3")
	})
}
