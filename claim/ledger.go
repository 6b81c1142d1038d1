package claim

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"k8s.io/klog/v2"
)

// phase is the phase of an open claim.
type phase int

const (
	// phaseClaiming lasts until the claim is durable.
	phaseClaiming phase = iota
	// phaseRunning lasts from Begin to Finish, Abandon or MarkUnknown.
	phaseRunning
	// phaseEnding lasts until the end is durable.
	phaseEnding
)

// entry is an open claim of this process. It is guarded by the ledger's lock.
type entry struct {
	claim Claim
	row   string
	token Token
	etag  string
	phase phase
	// cancelled is set when the caller of Begin no longer waits.
	cancelled bool
	waiters   int
	// unknown is set by MarkUnknown.
	unknown bool
	// ready is closed when the claim is durable or has failed with claimErr.
	ready    chan struct{}
	claimErr error
	// ended is closed when the answer is available or will never be.
	ended  chan struct{}
	answer *Answer
}

// Stats contains counters and gauges of a Ledger.
type Stats struct {
	// Claims, Replays and Refusals count the outcomes of Begin.
	Claims, Replays, Refusals int64
	// Writes counts the write requests to the table, Rows the rows in them and
	// Reads the read requests.
	Writes, Rows, Reads int64
	// Open is the number of open claims, HeldBytes the total size of the bodies
	// that are not yet written.
	Open, HeldBytes int
	// Dropped counts the answers recorded without their body.
	Dropped int64
	// FailingFor is the time since access to the table began to fail, or zero if
	// the last access succeeded.
	FailingFor time.Duration
	// Incarnation is the runner's incarnation, or zero before registration.
	Incarnation uint64
	Fenced      bool
}

// Ledger claims protected requests for one runner. Run must be called for the
// other methods to work. All methods are safe for concurrent use.
type Ledger struct {
	settings Settings
	table    Table
	objects  Objects
	queue    chan *item
	uploads  chan *item
	// finished caches finished claims, and observed the running claims of other
	// processes, both by row.
	finished *lru.Cache[string, record]
	observed *lru.Cache[string, observation]

	mu           sync.Mutex
	active       map[string]*entry
	closed       bool
	fenced       bool
	failingSince time.Time
	incarnation  uint64
	stats        Stats

	flusher *flusher
}

// New returns a Ledger. The random source is used to jitter retries.
func New(settings Settings, t Table, o Objects, random *rand.Rand) *Ledger {
	settings = settings.withDefaults()
	l := &Ledger{
		settings: settings, table: t, objects: o,
		// Each open claim has at most one queued item, so sending to the
		// channels does not block.
		queue:   make(chan *item, settings.MaxOpen),
		uploads: make(chan *item, settings.MaxOpen),
		active:  map[string]*entry{},
	}
	// New fails only if the size is not positive.
	l.finished, _ = lru.New[string, record](settings.MaxCached)
	l.observed, _ = lru.New[string, observation](settings.MaxCached)
	l.flusher = newFlusher(l, random)
	return l
}

// Run writes claims and answers until ctx ends. Then it refuses new claims and
// writes the remaining answers for at most DrainTimeout.
func (l *Ledger) Run(ctx context.Context) {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var workers sync.WaitGroup
	workers.Go(func() { l.flusher.run(work) })
	workers.Go(func() { l.upload(work) })
	<-ctx.Done()
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.drain()
	stop()
	workers.Wait()
}

// drainPoll is the interval at which drain checks for claims without a durable
// end.
const drainPoll = 20 * time.Millisecond

// drain waits until everything is written or DrainTimeout has passed.
func (l *Ledger) drain() {
	deadline := time.Now().Add(l.settings.DrainTimeout)
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for l.unwritten() > 0 && time.Now().Before(deadline) {
		<-ticker.C
	}
	if left := l.unwritten(); left > 0 {
		klog.Warningf("claim: %s stops with %d claims not written; their outcome is unknown",
			l.settings.Runner, left)
	}
}

// unwritten returns the number of claims with a change that is not yet durable.
func (l *Ledger) unwritten() int {
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

// maxTries limits how often Begin starts again because a conflicting claim was
// removed.
const maxTries = 3

// Begin decides whether the caller has to run the request. It waits for a
// durable claim, or for the answer of an earlier call with the key that runs in
// the same process. After any error this call did not run. Errors:
// StoreDownError, FencedError, OpenLimitError, ClosedError, KeyConflictError,
// InFlightError, AnswerGoneError, and UnknownOutcomeError and UnreadableError,
// after which it is unknown whether an earlier call with the key ran.
func (l *Ledger) Begin(ctx context.Context, c Claim) (Decision, error) {
	row := rowKey(c)
	decision, err := Decision{}, error(InFlightError{Key: c.Key})
	for range maxTries {
		var retry bool
		decision, retry, err = l.try(ctx, c, row)
		if !retry {
			break
		}
	}
	l.count(c, decision, err)
	return decision, err
}

// count logs and counts a decision.
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
		klog.V(1).Infof("claim: claimed key %q of %s on %s, token %d-%d",
			c.Key, c.Organisation, c.Route, d.Run.Incarnation, d.Run.Sequence)
	}
}

// try makes one attempt of Begin. retry is true if a conflicting claim was
// removed.
func (l *Ledger) try(ctx context.Context, c Claim, row string) (d Decision, retry bool, err error) {
	l.mu.Lock()
	e, open := l.active[row]
	if open && !(e.phase == phaseClaiming && e.cancelled) {
		defer l.mu.Unlock()
		return l.join(ctx, c, e)
	}
	if rec, ok := l.finished.Get(row); ok && !open {
		l.mu.Unlock()
		d, err := l.replay(ctx, c, rec)
		return d, false, err
	}
	if err := l.checkAvailable(c, open); err != nil {
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
	return l.waitDurable(ctx, c, e)
}

// checkAvailable returns an error if no claim can be made now. The lock is held.
func (l *Ledger) checkAvailable(c Claim, open bool) error {
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

// waitDurable waits for at most BeginTimeout until the claim is durable or has
// failed, and returns the decision.
func (l *Ledger) waitDurable(ctx context.Context, c Claim, e *entry) (d Decision, retry bool, err error) {
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
	if e.phase == phaseClaiming && e.claimErr == nil {
		e.cancelled = true
		l.mu.Unlock()
		return Decision{}, false, StoreDownError{Key: c.Key, Reason: reason}
	}
	claimErr, token := e.claimErr, e.token
	l.mu.Unlock()
	if claimErr == nil {
		return Decision{Run: &token}, false, nil
	}
	if claimErr == (rowExistsError{}) {
		return l.decideByRow(ctx, c, e.row)
	}
	return Decision{}, false, claimErr
}

// join waits for the end of a claim that is open in this process. The lock is
// held by the caller and released while waiting.
func (l *Ledger) join(ctx context.Context, c Claim, e *entry) (d Decision, retry bool, err error) {
	if e.claim.Fingerprint != c.Fingerprint {
		return Decision{}, false, KeyConflictError{Key: c.Key}
	}
	if e.answer != nil {
		return Decision{Replay: e.answer}, false, nil
	}
	inFlight := InFlightError{Key: c.Key, Runner: l.settings.Runner, Incarnation: l.incarnation, Since: e.token.Since}
	if e.unknown {
		return Decision{}, false, UnknownOutcomeError(inFlight)
	}
	if e.waiters >= l.settings.MaxWaiters {
		return Decision{}, false, inFlight
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
		return Decision{}, false, inFlight
	}
	return Decision{}, true, inFlight
}

// waitClaimed waits for at most BeginTimeout until a claim is durable or has
// failed. If both that and the end of ctx have happened, it returns true: the
// result must not depend on which of them select chooses.
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
