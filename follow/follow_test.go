package follow

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
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
	eras Eras

	mu      sync.Mutex
	era     uint64
	version uint64
	rows    map[string]Row
	changes []Change
	kept    uint64
	down    bool
	calls   int
	// Calls that arrive while silent is set are never answered, nor are the pending ones
	// if silenced, which is closed then, is set.
	silent   bool
	silenced chan struct{}
}

func newFakeStore() *fakeStore {
	return &fakeStore{era: 1, version: 1, rows: make(map[string]Row), silenced: make(chan struct{})}
}

// setSilent makes the store answer no calls that arrive from now on, and with pending
// none of those that have arrived, or ends that.
func (s *fakeStore) setSilent(silent, pending bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	if pending {
		close(s.silenced)
		s.silenced = make(chan struct{})
	}
}

// callTimeout is the time after which a client gives up a call beyond the time for which
// the store keeps it open.
const callTimeout = 2 * time.Second

// awaitTimeout is a call that is never answered.
func awaitTimeout(ctx context.Context, timeout time.Duration) error {
	select {
	case <-time.After(timeout):
		return errDown
	case <-ctx.Done():
		return ctx.Err()
	}
}

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

// fakeSnapshot is the content of a fakeStore at one version.
type fakeSnapshot struct {
	version uint64
	rows    map[string]Row
}

func (s *fakeStore) snapshot() fakeSnapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fakeSnapshot{version: s.version, rows: maps.Clone(s.rows)}
}

// restore returns to an earlier content, whose later versions are given out again.
func (s *fakeStore) restore(to fakeSnapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.version, s.rows = to.version, maps.Clone(to.rows)
	s.changes = slices.DeleteFunc(slices.Clone(s.changes), func(c Change) bool { return c.Version > to.version })
	s.kept = min(s.kept, to.version)
}

func (s *fakeStore) Eras() *Eras { return &s.eras }

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *fakeStore) Read(ctx context.Context, _ string) (Copy, error) {
	s.mu.Lock()
	s.calls++
	if s.silent {
		s.mu.Unlock()
		return Copy{}, awaitTimeout(ctx, callTimeout)
	}
	defer s.mu.Unlock()
	if s.down {
		return Copy{}, errDown
	}
	s.eras.Observe(s.era)
	c := Copy{Rows: make(map[string]Row), AsOf: Position{Era: s.era, Version: s.version}}
	for k, r := range s.rows {
		c.Rows[k] = r
	}
	return c, nil
}

func (s *fakeStore) Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]Change, Position, error) {
	s.mu.Lock()
	s.calls++
	silent, silenced := s.silent, s.silenced
	s.mu.Unlock()
	end := time.Now().Add(wait)
	if silent {
		return nil, Position{}, awaitTimeout(ctx, wait+callTimeout)
	}
	for {
		select {
		case <-silenced:
			return nil, Position{}, awaitTimeout(ctx, time.Until(end)+callTimeout)
		default:
		}
		s.mu.Lock()
		switch {
		case s.down:
			s.mu.Unlock()
			return nil, Position{}, errDown
		case after < s.kept || after > s.version:
			s.eras.Observe(s.era)
			s.mu.Unlock()
			return nil, Position{}, &LostHistoryError{Table: table}
		}
		var newer []Change
		for _, c := range s.changes {
			if c.Version > after {
				newer = append(newer, c)
			}
		}
		asOf := Position{Era: s.era, Version: s.version}
		s.mu.Unlock()
		if ctx.Err() != nil {
			return nil, Position{}, ctx.Err()
		}
		if len(newer) > 0 || !time.Now().Before(end) {
			s.eras.Observe(asOf.Era)
			return newer, asOf, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
}

var testTiming = Timing{PollTimeout: 20 * time.Second, MinInterval: 100 * time.Millisecond, Backoff: 300 * time.Millisecond}

// verifiedTiming has a verified copy.
var verifiedTiming = Timing{PollTimeout: 20 * time.Second, MinInterval: 900 * time.Millisecond, Backoff: 300 * time.Millisecond, VerifyInterval: 1500 * time.Millisecond}

// withFollower runs a test with a running Follower in virtual time.
func withFollower(t *testing.T, test func(s *fakeStore, f *Follower)) {
	withTimedFollower(t, testTiming, test)
}

func withTimedFollower(t *testing.T, timing Timing, test func(s *fakeStore, f *Follower)) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		var mu sync.Mutex
		var seen []Copy
		var f *Follower
		f = New("table", s, timing, slog.New(slog.DiscardHandler), func(c Copy) {
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
			assert.Assert(t, seen[i].Changed != seen[i-1].Changed || len(seen[i].Retained) != len(seen[i-1].Retained), "onChange must only be called with other content")
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
		newer := Copy{Rows: map[string]Row{"a": s.rows["a"]}, AsOf: Position{Era: s.era, Version: s.version}, Changed: Position{Era: s.era, Version: s.version}}
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

// TestSilentStore guards against copies that miss changes after the store has answered
// nothing for some time: a call for changes that began meanwhile, or was pending, was
// waited for until it timed out 22 s later. From contactTime after the silence on, changes
// have to arrive within drainTimeout.
func TestSilentStore(t *testing.T) {
	const contactTime, drainTimeout = 3 * time.Second, 2 * time.Second
	for name, c := range map[string]struct {
		// sinceChange is the time from a change to the silence.
		sinceChange time.Duration
		length      time.Duration
		// pending is true if pending calls are not answered either.
		pending bool
		times   int
	}{
		"after a change":             {400 * time.Millisecond, 4500 * time.Millisecond, false, 1},
		"in a call that waits":       {7 * time.Second, 4500 * time.Millisecond, true, 1},
		"for a moment":               {7 * time.Second, 100 * time.Millisecond, true, 1},
		"for a moment, after change": {890 * time.Millisecond, 50 * time.Millisecond, false, 1},
		"several times":              {2 * time.Second, 1200 * time.Millisecond, true, 4},
		"for long":                   {3 * time.Second, 30 * time.Second, true, 2},
	} {
		t.Run(name, func(t *testing.T) {
			withTimedFollower(t, verifiedTiming, func(s *fakeStore, f *Follower) {
				s.put("a", "1")
				s.put("b", "1")
				time.Sleep(5 * time.Second)
				s.put("c", "1")
				time.Sleep(c.sinceChange)
				for range c.times {
					s.setSilent(true, c.pending)
					time.Sleep(c.length)
					s.setSilent(false, false)
					time.Sleep(contactTime)
				}
				for _, key := range []string{"a", "b"} {
					s.remove(key)
					time.Sleep(drainTimeout)
					_, listed := f.Current().Rows[key]
					assert.Assert(t, !listed, "%s after its removal row %s is still in the copy", drainTimeout, key)
				}
				time.Sleep(25 * time.Second)
				lostAt, _ := f.OutageTimes()
				assert.Assert(t, lostAt.IsZero())
			})
		})
	}
}

// TestOutageIsKnownWithItsEnd guards against lists of endpoints that are applied without
// the entries that lapsed in an outage: the consumer of a copy looked for an outage before
// its end had been recorded.
func TestOutageIsKnownWithItsEnd(t *testing.T) {
	for name, timing := range map[string]Timing{"polled": testTiming, "verified": verifiedTiming} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFakeStore()
				s.put("a", "1")
				var f *Follower
				backAt := make(map[int]time.Time)
				f = New("table", s, timing, slog.New(slog.DiscardHandler), func(c Copy) {
					_, backAt[len(c.Rows)] = f.OutageTimes()
				})
				ctx, cancel := context.WithCancel(t.Context())
				var run sync.WaitGroup
				run.Go(func() { f.Run(ctx) })
				time.Sleep(time.Second)
				s.setDown(true)
				time.Sleep(4 * time.Second)
				s.remove("a")
				s.setDown(false)
				time.Sleep(2 * time.Second)
				cancel()
				run.Wait()
				assert.Assert(t, backAt[1].IsZero())
				assert.Assert(t, !backAt[0].IsZero(), "the end of the outage was not known")
			})
		})
	}
}

// TestVerifiedCallsOfCalmStore bounds the calls for a copy that does not change.
func TestVerifiedCallsOfCalmStore(t *testing.T) {
	withTimedFollower(t, verifiedTiming, func(s *fakeStore, _ *Follower) {
		time.Sleep(5 * time.Second)
		calls := s.called()
		time.Sleep(30 * time.Second)
		assert.Assert(t, s.called()-calls <= 32, "%d calls in 30 s", s.called()-calls)
	})
}

// TestLostHistoryOfRemovals guards against lists that keep removed rows: after the store
// has discarded its history, the table is read again, and a removed row leaves no version
// in what is read. The consumer was not notified, as the newest row was the same as before.
func TestLostHistoryOfRemovals(t *testing.T) {
	type step func(s *fakeStore)
	put := func(key string) step { return func(s *fakeStore) { s.put(key, "1") } }
	remove := func(key string) step { return func(s *fakeStore) { s.remove(key) } }
	wait := func(d time.Duration) step { return func(*fakeStore) { time.Sleep(d) } }
	drop := func(s *fakeStore) { s.dropHistory() }
	for name, steps := range map[string][]step{
		"a removal after the newest row": {put("a"), put("b"), wait(5 * time.Second), put("c"), wait(300 * time.Millisecond), remove("a"), wait(300 * time.Millisecond), drop},
		"a removal after a removal":      {put("a"), put("b"), put("c"), wait(5 * time.Second), remove("b"), wait(300 * time.Millisecond), remove("a"), drop},
		"the last row":                   {put("a"), wait(5 * time.Second), put("a"), wait(100 * time.Millisecond), remove("a"), drop},
		"the newest row":                 {put("a"), put("b"), wait(5 * time.Second), put("b"), wait(100 * time.Millisecond), remove("b"), drop},
		"a row that was there before":    {put("a"), put("b"), wait(5 * time.Second), put("b"), wait(100 * time.Millisecond), remove("a"), put("a"), drop},
		"a removal in an outage":         {put("a"), put("b"), wait(5 * time.Second), func(s *fakeStore) { s.setDown(true) }, wait(2 * time.Second), remove("a"), drop, func(s *fakeStore) { s.setDown(false) }},
		"no change":                      {put("a"), wait(5 * time.Second), put("b"), wait(time.Second), drop, wait(time.Second), drop},
		"an empty table":                 {wait(5 * time.Second), drop, wait(time.Second), put("a"), remove("a"), drop},
		"one row in an empty table":      {wait(5 * time.Second), put("a"), wait(100 * time.Millisecond), put("b"), drop},
	} {
		for _, timing := range []Timing{testTiming, verifiedTiming} {
			t.Run(name+", verified every "+timing.VerifyInterval.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newFakeStore()
					var mu sync.Mutex
					var told Copy
					f := New("table", s, timing, slog.New(slog.DiscardHandler), func(c Copy) {
						mu.Lock()
						defer mu.Unlock()
						assert.Check(t, told.Rows == nil || told.digest != c.digest, "notified of the same content again")
						assert.Check(t, told.Rows == nil || c.Changed.After(told.Changed), "newer content looks older to peers")
						told = c
					})
					ctx, cancel := context.WithCancel(t.Context())
					var run sync.WaitGroup
					run.Go(func() { f.Run(ctx) })
					for _, step := range steps {
						step(s)
					}
					time.Sleep(2 * time.Second)
					cancel()
					run.Wait()
					want, err := s.Read(t.Context(), "table")
					assert.NilError(t, err)
					assert.Equal(t, len(told.Rows), len(want.Rows))
					for key, row := range want.Rows {
						assert.DeepEqual(t, told.Rows[key], row)
					}
					assert.Assert(t, !f.Current().Changed.After(f.Current().AsOf))
				})
			})
		}
	}
}

// TestSameContentOfPeer: two processes whose copies have the same content, but other
// bounds of its latest change, agree on one, so that neither copies the table again and
// again.
func TestSameContentOfPeer(t *testing.T) {
	withFollower(t, func(s *fakeStore, f *Follower) {
		s.put("a", "1")
		time.Sleep(time.Second)
		same := f.Current()
		same.AsOf.Version += 7
		same.Changed = same.AsOf
		assert.Assert(t, !f.InstallIfNewer(same), "the content is not newer")
		assert.Equal(t, f.Current().Changed, same.Changed)
	})
}

// partlySilent is a store that can fall silent for one process.
type partlySilent struct {
	*fakeStore
	mu     sync.Mutex
	silent bool
}

func (s *partlySilent) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

func (s *partlySilent) Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]Change, Position, error) {
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	if silent {
		return nil, Position{}, awaitTimeout(ctx, wait+callTimeout)
	}
	return s.fakeStore.Changes(ctx, table, after, wait)
}

// TestPeersVerify: one call to the store verifies the copies of all processes, and a
// process for which the store was silent receives a change within drainTimeout.
func TestPeersVerify(t *testing.T) {
	const processes, drainTimeout = 12, 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put("a", "1")
		var followers []*Follower
		var stores []*partlySilent
		for range processes {
			store := &partlySilent{fakeStore: s}
			f := New("table", store, verifiedTiming, slog.New(slog.DiscardHandler), func(Copy) {})
			f.OnVerified(func(c Confirmation) {
				for _, peer := range followers {
					if peer != f {
						time.AfterFunc(3*time.Millisecond, func() { peer.Confirm(c) })
					}
				}
			})
			followers, stores = append(followers, f), append(stores, store)
		}
		ctx, cancel := context.WithCancel(t.Context())
		var run sync.WaitGroup
		for _, f := range followers {
			run.Go(func() { f.Run(ctx) })
		}
		time.Sleep(5 * time.Second)
		calls := s.called()
		time.Sleep(30 * time.Second)
		calls = s.called() - calls
		assert.Assert(t, calls < 2*30+2*processes, "%d calls in 30 s", calls)

		s.put("b", "1")
		time.Sleep(500 * time.Millisecond)
		stores[3].setSilent(true)
		time.Sleep(time.Second)
		stores[3].setSilent(false)
		s.remove("a")
		time.Sleep(drainTimeout)
		for i, f := range followers {
			_, listed := f.Current().Rows["a"]
			assert.Check(t, !listed, "process %d still lists the removed row", i)
		}
		cancel()
		run.Wait()
		time.Sleep(time.Second)
	})
}

// TestOutdatedConfirmation: the message of a peer that was frozen after the store's answer
// verifies no copy that is newer, and one of other content never does.
func TestOutdatedConfirmation(t *testing.T) {
	withTimedFollower(t, verifiedTiming, func(s *fakeStore, f *Follower) {
		s.put("a", "1")
		time.Sleep(2 * time.Second)
		old := f.Current()
		s.put("b", "1")
		time.Sleep(2 * time.Second)
		s.setSilent(true, true)
		f.Confirm(Confirmation{Table: "table", AsOf: old.AsOf, Digest: f.Current().digest})
		later := f.Current().AsOf
		later.Version++
		f.Confirm(Confirmation{Table: "table", AsOf: later, Digest: old.digest})
		time.Sleep(verifiedTiming.VerifyInterval + verifyTimeout + time.Millisecond)
		lostAt, _ := f.OutageTimes()
		assert.Assert(t, !lostAt.IsZero())
	})
}

// pollSilent is a store that answers only calls that do not wait for a change.
type pollSilent struct{ *fakeStore }

func (s pollSilent) Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]Change, Position, error) {
	if wait > 0 {
		return nil, Position{}, awaitTimeout(ctx, wait+callTimeout)
	}
	return s.fakeStore.Changes(ctx, table, after, wait)
}

// TestSilentPolls guards against a change that arrives later than VerifyInterval because the
// store leaves long polls unanswered.
func TestSilentPolls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := pollSilent{newFakeStore()}
		changed := make(chan struct{}, 1)
		f := New("table", s, verifiedTiming, slog.New(slog.DiscardHandler), func(Copy) { changed <- struct{}{} })
		ctx, cancel := context.WithCancel(t.Context())
		var run sync.WaitGroup
		run.Go(func() { f.Run(ctx) })
		<-changed
		for i := range 200 {
			time.Sleep(time.Duration(i*17) * time.Millisecond)
			acknowledged := time.Now()
			s.put("a", "1")
			<-changed
			assert.Assert(t, time.Since(acknowledged) <= verifiedTiming.VerifyInterval, "%s", time.Since(acknowledged))
		}
		cancel()
		run.Wait()
	})
}

// TestRestoredStore guards against copies that miss rows because a restored store gives
// versions out again.
func TestRestoredStore(t *testing.T) {
	for name, writes := range map[string]int{
		"below the known version": 0, "up to the known version": 2, "above the known version": 9,
	} {
		for _, timing := range []Timing{testTiming, verifiedTiming} {
			t.Run(name+", verified every "+timing.VerifyInterval.String(), func(t *testing.T) {
				withTimedFollower(t, timing, func(s *fakeStore, f *Follower) {
					s.put("a", "1")
					before := s.snapshot()
					s.put("a", "2")
					s.put("lost", "1")
					time.Sleep(2 * time.Second)
					s.setDown(true)
					time.Sleep(2 * time.Second)
					s.restore(before)
					for i := range writes {
						s.put("b", fmt.Sprint(i))
					}
					s.setDown(false)
					calls := s.called()
					time.Sleep(contactTime)
					assert.Assert(t, s.called()-calls <= 12, "%d calls after the restore", s.called()-calls)
					s.put("c", "1")
					time.Sleep(drainTimeout)
					assert.DeepEqual(t, f.Current().Rows, s.snapshot().rows)
				})
			})
		}
	}
}

// TestVersionOfOtherContent guards against copies that count as the same because a restored
// store has given out the same versions for other values.
func TestVersionOfOtherContent(t *testing.T) {
	withTimedFollower(t, verifiedTiming, func(s *fakeStore, f *Follower) {
		before := s.snapshot()
		s.put("a", "1")
		time.Sleep(2 * time.Second)
		s.restore(before)
		s.put("a", "2")
		time.Sleep(contactTime)
		assert.Equal(t, string(f.Current().Rows["a"].Value), "2")
	})
}

// TestEraIsLearnedFromAnotherTable guards against tables that are read late after a restore
// because their own call for changes stays unanswered.
func TestEraIsLearnedFromAnotherTable(t *testing.T) {
	for _, timing := range []Timing{testTiming, verifiedTiming} {
		withTimedFollower(t, timing, func(s *fakeStore, f *Follower) {
			s.put("a", "1")
			before := s.snapshot()
			s.put("a", "2")
			time.Sleep(2 * time.Second)
			s.setSilent(false, true)
			s.restore(before)
			s.eras.Observe(2)
			time.Sleep(time.Second)
			assert.Equal(t, string(f.Current().Rows["a"].Value), "1")
		})
	}
}

// delayedStore delays the answer of one read.
type delayedStore struct {
	*fakeStore
	delay chan struct{}
}

func (s *delayedStore) Read(ctx context.Context, table string) (Copy, error) {
	c, err := s.fakeStore.Read(ctx, table)
	if s.delay != nil {
		<-s.delay
		s.delay = nil
	}
	return c, err
}

// TestLateAnswerOfEarlierEra guards against a copy from before a restore whose answer arrives
// after one of the restored store.
func TestLateAnswerOfEarlierEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &delayedStore{fakeStore: newFakeStore(), delay: make(chan struct{})}
		before := s.snapshot()
		s.put("a", "1")
		var told []Copy
		f := New("table", s, testTiming, slog.New(slog.DiscardHandler), func(c Copy) { told = append(told, c) })
		ctx, cancel := context.WithCancel(t.Context())
		var run sync.WaitGroup
		run.Go(func() { f.Run(ctx) })
		time.Sleep(time.Second)
		s.restore(before)
		s.eras.Observe(2)
		close(s.delay)
		time.Sleep(time.Second)
		cancel()
		run.Wait()
		assert.Equal(t, len(told), 1)
		assert.Equal(t, told[0].AsOf, Position{Era: 2, Version: 1})
	})
}

// TestVersionsOfOneEraFall guards against reads without a pause, if the versions of a store go
// back that shows no other era.
func TestVersionsOfOneEraFall(t *testing.T) {
	withTimedFollower(t, verifiedTiming, func(s *fakeStore, f *Follower) {
		before := s.snapshot()
		s.put("a", "1")
		time.Sleep(2 * time.Second)
		s.restore(before)
		s.mu.Lock()
		s.era--
		s.mu.Unlock()
		calls := s.called()
		time.Sleep(10 * time.Second)
		assert.Assert(t, s.called()-calls <= 40, "%d calls in 10 s", s.called()-calls)
		lostAt, _ := f.OutageTimes()
		assert.Assert(t, !lostAt.IsZero())
	})
}

// TestLostRowsAreRetained guards against rows of running processes and operators that count as
// removed because the store has lost them in a restore.
func TestLostRowsAreRetained(t *testing.T) {
	timing := retainingTiming()
	listed := func(f *Follower, key string) bool {
		_, ok := f.Current().WithRetained().Rows[key]
		return ok
	}
	for name, c := range map[string]struct {
		later func(s *fakeStore, before fakeSnapshot)
		// listed and unlisted are the rows in use and not in use long after the restore, kept
		// those that are in use all the while.
		kept, listed, unlisted string
	}{
		"written again":       {func(s *fakeStore, _ fakeSnapshot) { s.put("b", "1") }, "b", "ab", ""},
		"never written again": {func(*fakeStore, fakeSnapshot) {}, "", "a", "b"},
		"removed after they were written again": {func(s *fakeStore, _ fakeSnapshot) {
			s.put("b", "1")
			s.remove("b")
		}, "", "a", "b"},
		// Seed 1920 of the histories: the second restored content is that of the first.
		"after a second restore": {func(s *fakeStore, before fakeSnapshot) {
			time.Sleep(timing.RetainLost - 4*time.Second)
			s.setDown(true)
			time.Sleep(2 * time.Second)
			s.restore(before)
			s.setDown(false)
			time.Sleep(2 * time.Second)
			s.put("b", "1")
		}, "b", "ab", ""},
		"while the store is away": {func(s *fakeStore, _ fakeSnapshot) {
			s.setDown(true)
			s.put("b", "1")
			time.Sleep(2 * timing.RetainLost)
			s.setDown(false)
		}, "b", "ab", ""},
	} {
		t.Run(name, func(t *testing.T) {
			withTimedFollower(t, timing, func(s *fakeStore, f *Follower) {
				s.put("a", "1")
				before := s.snapshot()
				s.put("b", "1")
				time.Sleep(2 * time.Second)
				s.restore(before)
				time.Sleep(2 * time.Second)
				assert.Assert(t, listed(f, "b"))
				done := make(chan struct{})
				go func() {
					defer close(done)
					c.later(s, before)
				}()
				for end := time.Now().Add(3 * timing.RetainLost); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
					for _, key := range c.kept {
						assert.Check(t, listed(f, string(key)), "row %c has disappeared", key)
					}
				}
				<-done
				for _, key := range c.listed {
					assert.Check(t, listed(f, string(key)), "row %c", key)
				}
				for _, key := range c.unlisted {
					assert.Check(t, !listed(f, string(key)), "row %c", key)
				}
			})
		})
	}
}
