package claim

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"k8s.io/klog/v2"
)

// phase is how far an open claim has come.
type phase int

const (
	// phaseClaiming waits for the claim to be durable.
	phaseClaiming phase = iota
	// phaseRunning is between Begin and Finish or Abandon.
	phaseRunning
	// phaseEnding waits for the end to be durable.
	phaseEnding
)

// entry is an open claim of this process. The ledger's lock guards it.
type entry struct {
	claim Claim
	row   string
	token Token
	etag  string
	phase phase
	// cancelled is set when the caller of Begin has given up.
	cancelled bool
	waiters   int
	// unknown is set when the run was given up.
	unknown bool
	// ready is closed when the claim's fate is known.
	ready chan struct{}
	fate  error
	// ended is closed when the answer is known or there will be none.
	ended  chan struct{}
	answer *Answer
}

// Stats are counters and gauges of a Ledger.
type Stats struct {
	// Claims, Replays and Refusals count the outcomes of Begin.
	Claims, Replays, Refusals int64
	// Writes counts the requests to the table's write interface, Rows the rows
	// in them, Reads the reads.
	Writes, Rows, Reads int64
	// Open and HeldBytes tell what is held now.
	Open, HeldBytes int
	// Dropped counts the answers whose body was not kept.
	Dropped int64
	// FailingFor is how long no write has succeeded; zero if the last one did.
	FailingFor time.Duration
	// Incarnation is the runner's, zero before it is registered.
	Incarnation uint64
	Fenced      bool
}

// Ledger claims protected requests for one runner. Run has to be running. All
// methods may be called concurrently.
type Ledger struct {
	settings Settings
	table    Table
	objects  Objects
	queue    chan *item
	uploads  chan *item
	known    *lru.Cache[string, record]
	watched  *lru.Cache[string, sighting]

	mu           sync.Mutex
	active       map[string]*entry
	closed       bool
	fenced       bool
	failingSince time.Time
	incarnation  uint64
	stats        Stats

	flusher *flusher
}

// New returns a Ledger. The random source spreads retries.
func New(settings Settings, t Table, o Objects, random *rand.Rand) *Ledger {
	settings = settings.withDefaults()
	l := &Ledger{
		settings: settings, table: t, objects: o,
		// Each open claim has at most one item queued, so that the channels
		// never block.
		queue:   make(chan *item, settings.MaxOpen),
		uploads: make(chan *item, settings.MaxOpen),
		active:  map[string]*entry{},
	}
	// The sizes are above zero, the only thing that New checks.
	l.known, _ = lru.New[string, record](settings.MaxCached)
	l.watched, _ = lru.New[string, sighting](settings.MaxCached)
	l.flusher = newFlusher(l, random)
	return l
}

// Run writes claims and answers until ctx ends. It then refuses new claims and
// writes the answers that are held, for at most DrainTimeout.
func (l *Ledger) Run(ctx context.Context) {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var duties sync.WaitGroup
	duties.Go(func() { l.flusher.run(work) })
	duties.Go(func() { l.upload(work) })
	<-ctx.Done()
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.drain()
	stop()
	duties.Wait()
}

// drainPoll is how often drain looks whether answers are held.
const drainPoll = 20 * time.Millisecond

// drain waits until nothing is held that has to be written.
func (l *Ledger) drain() {
	deadline := time.Now().Add(l.settings.DrainTimeout)
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for l.ending() > 0 && time.Now().Before(deadline) {
		<-ticker.C
	}
	if left := l.ending(); left > 0 {
		klog.Warningf("claim: %s stops with %d claims not written, their outcome becomes unknown",
			l.settings.Runner, left)
	}
}

// ending counts the claims whose end is not yet durable.
func (l *Ledger) ending() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, e := range l.active {
		if e.phase != phaseRunning {
			count++
		}
	}
	return count
}

// Stats returns the counters.
func (l *Ledger) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	stats := l.stats
	stats.Open = len(l.active)
	stats.Incarnation, stats.Fenced = l.incarnation, l.fenced
	if !l.failingSince.IsZero() {
		stats.FailingFor = time.Since(l.failingSince)
	}
	return stats
}

// maxTries bounds how often Begin starts again because a claim that stood in
// the way has gone.
const maxTries = 3

// Begin decides whether the caller has to run the request. It waits for a
// durable claim, or for the answer of an earlier call that runs in the same
// process. Errors that prove that this call did not run: StoreDownError,
// FencedError, FullError, ClosedError, KeyConflictError, InFlightError,
// AnswerGoneError. UnknownError and UnreadableError leave open what became of
// an earlier call; this one did not run either.
func (l *Ledger) Begin(ctx context.Context, c Claim) (Decision, error) {
	row := rowKey(c)
	decision, err := Decision{}, error(InFlightError{Key: c.Key})
	for range maxTries {
		var again bool
		decision, again, err = l.try(ctx, c, row)
		if !again {
			break
		}
	}
	l.count(c, decision, err)
	return decision, err
}

// count logs a decision and counts it.
func (l *Ledger) count(c Claim, d Decision, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil:
		l.stats.Refusals++
		klog.V(1).Infof("claim: refused key %q of %s on %s: %v", c.Key, c.Organisation, c.Route, err)
	case d.Replay != nil:
		l.stats.Replays++
		klog.V(1).Infof("claim: replayed key %q of %s on %s", c.Key, c.Organisation, c.Route)
	default:
		l.stats.Claims++
		klog.V(1).Infof("claim: runs key %q of %s on %s, token %d-%d",
			c.Key, c.Organisation, c.Route, d.Run.Incarnation, d.Run.Sequence)
	}
}

// try does one round of Begin. With again, a claim that stood in the way has
// gone.
func (l *Ledger) try(ctx context.Context, c Claim, row string) (d Decision, again bool, err error) {
	l.mu.Lock()
	e, open := l.active[row]
	if open && !(e.phase == phaseClaiming && e.cancelled) {
		defer l.mu.Unlock()
		return l.join(ctx, c, e)
	}
	if rec, ok := l.known.Get(row); ok && !open {
		l.mu.Unlock()
		d, err := l.replay(ctx, c, rec)
		return d, false, err
	}
	if err := l.admit(c, open); err != nil {
		l.mu.Unlock()
		return Decision{}, false, err
	}
	if open {
		if e.claim.Fingerprint != c.Fingerprint {
			l.mu.Unlock()
			return Decision{}, false, KeyConflictError{Key: c.Key}
		}
		e.cancelled = false
	} else {
		e = &entry{claim: c, row: row, ready: make(chan struct{}), ended: make(chan struct{})}
		l.active[row] = e
		l.queue <- &item{kind: itemClaim, entry: e}
	}
	l.mu.Unlock()
	return l.await(ctx, c, e)
}

// admit refuses a new claim that can't be made now. The lock is held.
func (l *Ledger) admit(c Claim, open bool) error {
	if l.closed {
		return ClosedError{Runner: l.settings.Runner}
	}
	if l.fenced {
		return FencedError{Runner: l.settings.Runner}
	}
	if !l.failingSince.IsZero() && time.Since(l.failingSince) > l.settings.BeginTimeout {
		return StoreDownError{Key: c.Key, Reason: "no write has succeeded"}
	}
	if !open && len(l.active) >= l.settings.MaxOpen {
		return OpenLimitError{Open: len(l.active)}
	}
	return nil
}

// await waits until the claim is durable or has failed.
func (l *Ledger) await(ctx context.Context, c Claim, e *entry) (d Decision, again bool, err error) {
	timer := time.NewTimer(l.settings.BeginTimeout)
	defer timer.Stop()
	reason := "timeout"
	select {
	case <-e.ready:
	case <-timer.C:
	case <-ctx.Done():
		reason = ctx.Err().Error()
	}
	l.mu.Lock()
	if e.phase == phaseClaiming && e.fate == nil {
		e.cancelled = true
		l.mu.Unlock()
		return Decision{}, false, StoreDownError{Key: c.Key, Reason: reason}
	}
	fate, token := e.fate, e.token
	l.mu.Unlock()
	if fate == nil {
		return Decision{Run: &token}, false, nil
	}
	if fate == (takenError{}) {
		return l.existing(ctx, c, e.row)
	}
	return Decision{}, false, fate
}

// join waits for the end of a claim that is open in this process. The lock is
// held, and given up while waiting.
func (l *Ledger) join(ctx context.Context, c Claim, e *entry) (d Decision, again bool, err error) {
	if e.claim.Fingerprint != c.Fingerprint {
		return Decision{}, false, KeyConflictError{Key: c.Key}
	}
	if e.answer != nil {
		return Decision{Replay: e.answer}, false, nil
	}
	busy := InFlightError{Key: c.Key, Runner: l.settings.Runner, Incarnation: l.incarnation, Since: e.token.Since}
	if e.unknown {
		return Decision{}, false, UnknownOutcomeError(busy)
	}
	if e.waiters >= l.settings.MaxWaiters {
		return Decision{}, false, busy
	}
	e.waiters++
	l.mu.Unlock()
	claimed := l.waitClaimed(ctx, e)
	if claimed {
		select {
		case <-e.ended:
		case <-ctx.Done():
		}
	}
	l.mu.Lock()
	e.waiters--
	if !claimed {
		return Decision{}, false, StoreDownError{Key: c.Key, Reason: "timeout"}
	}
	if e.answer != nil {
		return Decision{Replay: e.answer}, false, nil
	}
	if ctx.Err() != nil {
		return Decision{}, false, busy
	}
	return Decision{}, true, busy
}

// waitClaimed waits until a claim's fate is known, for at most BeginTimeout. A
// fate that is known counts also when the caller has gone: which of the two is
// noticed first must not decide what is said of the claim.
func (l *Ledger) waitClaimed(ctx context.Context, e *entry) bool {
	select {
	case <-e.ready:
		return true
	default:
	}
	timer := time.NewTimer(l.settings.BeginTimeout)
	defer timer.Stop()
	select {
	case <-e.ready:
		return true
	case <-e.ended:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}
