package follow

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

var (
	historyCount = flag.Int("follow.histories", 60, "number of random histories")
	firstHistory = flag.Uint64("follow.first", 1, "seed of the first random history")
)

// Bounds of the platform that the histories check.
const (
	// contactTime is the time after the end of a disturbance from which a process has to
	// know the changes again, and drainTimeout the time within which it has to know one.
	contactTime  = 3 * time.Second
	drainTimeout = 2 * time.Second
	// rewriteTime is the time after a restore within which the writers write again what the
	// store has lost.
	rewriteTime = 2 * time.Second
)

// historyStore is the access of one process to the store, which may be disturbed.
type historyStore struct {
	*fakeStore
	rng *rand.Rand
	// eras are those that this process has seen.
	eras Eras
	// delays makes answers take up to maxAnswerDelay, hideEras makes all show the same era.
	delays, hideEras bool

	mu sync.Mutex
	// silent leaves calls that arrive unanswered, refusing fails them, and lost is the
	// share of calls whose answer is lost.
	silent, refusing bool
	lost             float64
	// cutAt is closed and replaced when the pending calls fall silent.
	cutAt chan struct{}
	// disturbedAt is the latest time at which the access was disturbed.
	disturbedAt time.Time
}

// disturb changes the disturbance.
func (s *historyStore) disturb(silent, refusing bool, lost float64, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent, s.refusing, s.lost, s.disturbedAt = silent, refusing, lost, time.Now()
	if cut {
		close(s.cutAt)
		s.cutAt = make(chan struct{})
	}
}

func (s *historyStore) disturbed() bool { return s.silent || s.refusing || s.lost > 0 }

// begin decides the fate of a call. It returns the channel that is closed when the call
// falls silent, and an error if it fails.
func (s *historyStore) begin(ctx context.Context, timeout time.Duration) (cut <-chan struct{}, err error) {
	s.mu.Lock()
	silent := s.silent || s.rng.Float64() < s.lost
	refusing := s.refusing
	cut = s.cutAt
	s.mu.Unlock()
	switch {
	case silent:
		return nil, awaitTimeout(ctx, timeout)
	case refusing:
		return nil, errDown
	}
	return cut, nil
}

func (s *historyStore) Read(ctx context.Context, table string) (Copy, error) {
	if _, err := s.begin(ctx, callTimeout); err != nil {
		return Copy{}, err
	}
	time.Sleep(4 * time.Millisecond)
	c, err := s.fakeStore.Read(ctx, table)
	if err == nil {
		c.AsOf = s.deliver(c.AsOf)
	}
	return c, err
}

// maxAnswerDelay is the longest time that an answer takes to arrive.
const maxAnswerDelay = 60 * time.Millisecond

// deliver brings an answer to the process and returns the position that it shows.
func (s *historyStore) deliver(asOf Position) Position {
	if s.hideEras {
		asOf.Era = 1
	}
	s.eras.Observe(asOf.Era)
	if s.delays {
		s.mu.Lock()
		delay := time.Duration(s.rng.Int64N(int64(maxAnswerDelay)))
		s.mu.Unlock()
		time.Sleep(delay)
	}
	return asOf
}

func (s *historyStore) Eras() *Eras { return &s.eras }

func (s *historyStore) Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]Change, Position, error) {
	cut, err := s.begin(ctx, wait+callTimeout)
	if err != nil {
		return nil, Position{}, err
	}
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	began, fell := time.Now(), make(chan struct{})
	var watch sync.WaitGroup
	watch.Go(func() {
		select {
		case <-cut:
			close(fell)
			cancel()
		case <-callCtx.Done():
		}
	})
	changes, asOf, err := s.fakeStore.Changes(callCtx, table, after, wait)
	cancel()
	watch.Wait()
	select {
	case <-fell:
		return nil, Position{}, awaitTimeout(ctx, wait+callTimeout-time.Since(began))
	default:
		if err == nil {
			asOf = s.deliver(asOf)
		}
		return changes, asOf, err
	}
}

// writers are those of the rows in a history. They write again what the store loses.
type writers struct {
	table *fakeStore
	// values holds the values of the rows that are to be listed, writes counts the writes.
	values map[string]string
	writes int
	// changedAt holds the time of the latest change of each row.
	changedAt map[string]time.Time
	snapshots []fakeSnapshot
	// listings counts how often each row has been listed after it was not.
	listings map[string]int
}

func (w *writers) put(key string) {
	if _, listed := w.values[key]; !listed {
		w.listings[key]++
	}
	w.writes++
	w.values[key] = fmt.Sprint(w.writes)
	w.table.put(key, w.values[key])
	w.changedAt[key] = time.Now()
}

func (w *writers) remove(key string) {
	if _, listed := w.values[key]; listed {
		delete(w.values, key)
		w.table.remove(key)
		w.changedAt[key] = time.Now()
	}
}

// restore returns the table to an earlier content.
func (w *writers) restore(to fakeSnapshot) {
	w.table.restore(to)
	for key := range w.changedAt {
		w.changedAt[key] = time.Now()
	}
}

// rewrite writes a row again if the table holds another one.
func (w *writers) rewrite(key string) {
	value, want := w.values[key]
	row, listed := w.table.snapshot().rows[key]
	switch {
	case want && (!listed || string(row.Value) != value):
		w.table.put(key, value)
	case !want && listed:
		w.table.remove(key)
	default:
		return
	}
	w.changedAt[key] = time.Now()
}

// process is one process of a history.
type process struct {
	name  string
	store *historyStore
	f     *Follower

	mu   sync.Mutex
	told Copy
	// seen holds the listing of each row that this process has seen last.
	seen map[string]int
}

// checkRetained verifies that no row disappears that its writer has not removed.
func (p *process) checkRetained(t *testing.T, w *writers) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	rows := p.told.WithRetained().Rows
	for key, value := range w.values {
		row, listed := rows[key]
		switch {
		case string(row.Value) == value:
			p.seen[key] = w.listings[key]
		case !listed && p.seen[key] == w.listings[key]:
			t.Errorf("process %s has lost row %s, %s after its latest change", p.name, key, time.Since(w.changedAt[key]))
			return false
		}
	}
	return true
}

// TestRandomHistories drives processes that follow a table through random changes, losses
// of history, and disturbances for all or some of them: silence of new and of pending calls,
// refusals, lost answers. Copies are confirmed by peers. At no time may a process use a row
// longer than drainTimeout after its removal, nor miss one that was written, counted from
// contactTime after the latest disturbance of its own access.
func TestRandomHistories(t *testing.T) {
	for seed := *firstHistory; seed < *firstHistory+uint64(*historyCount); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playHistory(t, history{seed: seed, timing: verifiedTiming}) })
		})
	}
}

// retainingTiming has a verified copy and retains lost rows.
func retainingTiming() Timing {
	timing := verifiedTiming
	timing.RetainLost = rewriteTime + contactTime
	return timing
}

// TestRandomHistoriesWithRestores adds restores of the store to the histories, and answers that
// take their time. Rows that a process has seen may disappear only once they have been removed.
func TestRandomHistoriesWithRestores(t *testing.T) {
	for seed := *firstHistory; seed < *firstHistory+uint64(*historyCount); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playHistory(t, history{seed: seed, timing: retainingTiming(), restores: true}) })
		})
	}
}

// history are the parameters of a random history.
type history struct {
	seed     uint64
	timing   Timing
	restores bool
	// hideEras makes all answers show the same era.
	hideEras bool
}

func playHistory(t *testing.T, h history) {
	const length = 60 * time.Second
	rng := rand.New(rand.NewPCG(h.seed, 1))
	table := newFakeStore()
	processes := make([]*process, 1+rng.IntN(6))
	ctx, cancel := context.WithCancel(context.Background())
	var run sync.WaitGroup
	for i := range processes {
		p := &process{name: fmt.Sprint(i), seen: make(map[string]int), store: &historyStore{
			fakeStore: table, rng: rand.New(rand.NewPCG(h.seed, uint64(100+i))), cutAt: make(chan struct{}), delays: h.restores, hideEras: h.hideEras,
		}}
		p.f = New("table", p.store, h.timing, slog.New(slog.DiscardHandler), func(c Copy) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.told = c
		})
		p.f.OnVerified(func(c Confirmation) {
			for _, peer := range processes {
				if peer != p {
					time.AfterFunc(time.Duration(1+rand.IntN(20))*time.Millisecond, func() { peer.f.Confirm(c) })
				}
			}
		})
		processes[i] = p
	}
	for _, p := range processes {
		run.Go(func() { p.f.Run(ctx) })
	}
	time.Sleep(time.Second)
	w := &writers{table: table, values: make(map[string]string), changedAt: make(map[string]time.Time), listings: make(map[string]int)}
	// later holds steps that return true once they have been taken.
	var later []func() bool
	end := time.Now().Add(length)
	nextEvent := time.Now()
	for time.Now().Before(end) {
		if !time.Now().Before(nextEvent) {
			later = append(later, injectEvent(rng, h.restores, w, processes)...)
			nextEvent = time.Now().Add(time.Duration(rng.Int64N(int64(1500 * time.Millisecond))))
		}
		time.Sleep(20 * time.Millisecond)
		later = slices.DeleteFunc(later, func(step func() bool) bool { return step() })
		for _, p := range processes {
			if !p.check(t, table, w.changedAt) || !p.checkRetained(t, w) {
				end = time.Now()
			}
		}
	}
	cancel()
	run.Wait()
	time.Sleep(time.Second)
}

// injectEvent makes a random change or disturbance. It returns steps to be taken later.
func injectEvent(rng *rand.Rand, restores bool, w *writers, processes []*process) (later []func() bool) {
	w.snapshots = append(w.snapshots, w.table.snapshot())
	key := string(rune('a' + rng.IntN(6)))
	if restores && rng.IntN(12) == 0 {
		return injectRestore(rng, w, processes)
	}
	switch rng.IntN(10) {
	case 0, 1, 2:
		w.put(key)
	case 3, 4:
		w.remove(key)
	case 5:
		w.table.dropHistory()
	default:
		silent, refusing, lost, cut := rng.IntN(2) == 0, rng.IntN(4) == 0, 0.0, rng.IntN(2) == 0
		if rng.IntN(3) == 0 {
			lost = 0.5 * rng.Float64()
		}
		length := time.Duration(rng.Int64N(int64(5 * time.Second)))
		if rng.IntN(3) == 0 {
			length = time.Duration(rng.Int64N(int64(100 * time.Millisecond)))
		}
		all := rng.IntN(2) == 0
		for _, p := range processes {
			if all || rng.IntN(2) == 0 {
				p.store.disturb(silent, refusing, lost, cut)
				time.AfterFunc(length, func() { p.store.disturb(false, false, 0, false) })
			}
		}
	}
	return nil
}

// injectRestore takes the store away for a random time and restores it from one of the latest
// snapshots. What was lost is written again, row by row.
func injectRestore(rng *rand.Rand, w *writers, processes []*process) (later []func() bool) {
	at := func(when time.Time, step func()) {
		later = append(later, func() bool {
			if time.Now().Before(when) {
				return false
			}
			step()
			return true
		})
	}
	away := time.Duration(rng.Int64N(int64(3 * time.Second)))
	silent, cut := rng.IntN(2) == 0, rng.IntN(2) == 0
	for _, p := range processes {
		p.store.disturb(silent, !silent, 0, cut)
		time.AfterFunc(away, func() { p.store.disturb(false, false, 0, false) })
	}
	age := rng.IntN(min(len(w.snapshots), 8))
	snapshot := w.snapshots[len(w.snapshots)-1-age]
	restoredAt := time.Now().Add(away / 2)
	at(restoredAt, func() {
		w.restore(snapshot)
		// Those that were taken later are not of this era.
		w.snapshots = w.snapshots[:0]
	})
	for key := range 6 {
		at(restoredAt.Add(time.Duration(rng.Int64N(int64(rewriteTime)))), func() { w.rewrite(string(rune('a' + key))) })
	}
	return later
}

// check compares the copy that the process was notified of with the table.
func (p *process) check(t *testing.T, table *fakeStore, changedAt map[string]time.Time) bool {
	p.store.mu.Lock()
	disturbed, since := p.store.disturbed(), p.store.disturbedAt
	p.store.mu.Unlock()
	if disturbed {
		return true
	}
	table.mu.Lock()
	defer table.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, at := range changedAt {
		from := at
		if inTouch := since.Add(contactTime); inTouch.After(from) {
			from = inTouch
		}
		if time.Since(from) <= drainTimeout {
			continue
		}
		row, listed := table.rows[key]
		told, known := p.told.Rows[key]
		if listed != known || listed && (told.Version != row.Version || string(told.Value) != string(row.Value)) {
			t.Errorf("process %s, %s after the change of row %s and %s after the latest disturbance: listed %t, in the copy %t",
				p.name, time.Since(at), key, time.Since(since), listed, known)
			return false
		}
	}
	return true
}

// TestHistoriesFindUnverifiedCopies checks the checker: without verification some histories
// fail.
func TestHistoriesFindUnverifiedCopies(t *testing.T) {
	unverified := verifiedTiming
	unverified.VerifyInterval = 0
	found := 0
	for seed := range uint64(20) {
		probe := &testing.T{}
		synctest.Test(t, func(*testing.T) { playHistory(probe, history{seed: seed, timing: unverified}) })
		if probe.Failed() {
			found++
		}
	}
	assert.Assert(t, found > 10, "%d of 20", found)
}

// TestHistoriesFindVersionsTakenForStates checks the checker: without eras some histories with
// restores fail.
func TestHistoriesFindVersionsTakenForStates(t *testing.T) {
	found := 0
	for seed := range uint64(40) {
		probe := &testing.T{}
		synctest.Test(t, func(*testing.T) {
			playHistory(probe, history{seed: seed, timing: verifiedTiming, restores: true, hideEras: true})
		})
		if probe.Failed() {
			found++
		}
	}
	assert.Assert(t, found > 0, "none of 40")
}
