package rollout

import (
	"context"
	stderrors "errors"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/cyclamenpoint/cyclamenpoint/table"
)

// Peers gives a Follower access to the other nodes. All methods must be safe for
// concurrent use. Announce and Summary must not block.
type Peers interface {
	// Announce sends to some peers which version this node holds and whether it is
	// ready. The peers pass the version to the Observe method of their Follower.
	// An announcement need not reach all peers, and may be lost: the Follower
	// repeats it after each new version, and each peer announces in turn.
	Announce(held Digest, ready bool)
	// Summary summarizes the state of the peers. Holding counts those that hold d or
	// a newer version.
	Summary(d Digest) PeerSummary
	// Fetch fetches the body of d from a peer that holds it.
	Fetch(ctx context.Context, d Digest) ([]byte, error)
}

// Consumer puts configurations in force.
type Consumer interface {
	// Check decodes and validates a body. The returned function puts it in force.
	// The function is called at most once and must not fail.
	Check(d Digest, body []byte) (install func(), err error)
}

// Settings configures a Follower. Zero values are replaced by the defaults.
type Settings struct {
	// Node is the name of the node, for logs.
	Node string
	// ReadsPerSecond limits the reads of the table by all nodes together.
	ReadsPerSecond float64
	// MinPollInterval is the shortest time between two reads by one node.
	MinPollInterval time.Duration
	// Grace is how long a starting node that has read the table waits for its
	// peers before it confirms the version with a transaction.
	Grace time.Duration
	// Settle is how long a version is held before it comes into force without a
	// majority that is known to hold it.
	Settle time.Duration
	// FetchTimeout limits one attempt to fetch a body.
	FetchTimeout time.Duration
}

// Defaults of Settings.
const (
	DefaultReadsPerSecond  = 100
	DefaultMinPollInterval = time.Second
	DefaultGrace           = 500 * time.Millisecond
	DefaultSettle          = time.Second
	DefaultFetchTimeout    = time.Second
)

// Internal intervals and limits of a Follower.
const (
	// fastCheckInterval and slowCheckInterval are the times between two checks while
	// a version is pending: fastCheckInterval for the duration of fastCheckPeriod
	// after a new version, slowCheckInterval from then on.
	fastCheckInterval = 50 * time.Millisecond
	slowCheckInterval = 500 * time.Millisecond
	fastCheckPeriod   = 5 * time.Second
	// idleCheckInterval is the time between two checks while nothing is pending.
	idleCheckInterval = 2 * time.Second
	// repeatInterval is the time between two repeats of an announcement, which is
	// repeated at most maxRepeats times.
	repeatInterval = 250 * time.Millisecond
	maxRepeats     = 10
	// confirmsPerSecond limits the transactions with which all nodes together
	// confirm the version that they read, after the first attempt of each node.
	confirmsPerSecond = 250
	// minRetryDelay is the shortest delay, before jitter, between two attempts of
	// a read or transaction; a failed fetch is repeated after twice this time.
	minRetryDelay     = 100 * time.Millisecond
	observedQueueSize = 16
)

// candidate is a version that this node has fetched and checked.
type candidate struct {
	digest  Digest
	body    []byte
	install func()
	since   time.Time
}

// Status is the state of a node's configuration.
type Status struct {
	// InForce is the version in force, and Since the time when it came into force.
	InForce Digest
	Since   time.Time
	// Held is the newest version that the node has fetched and checked.
	Held Digest
	// Latest is the newest version that the node has discovered.
	Latest Digest
	// Refused is the newest version that failed the check, and Fault the reason.
	Refused Digest
	Fault   error
	// Source is the source from which the node has determined the newest version.
	Source Source
	// Confirmed is the time of the latest successful read of the table.
	Confirmed time.Time
	// TableBehind is the number of the version that the latest read of the table
	// returned, if it was older than the one in force, or else zero.
	TableBehind uint64
	// Reads counts the reads of the table, and Bodies the fetched bodies.
	Reads, Bodies int64
	// Ready is nil if the node may serve.
	Ready error
}

// Follower keeps a node's configuration up to date while Run is running. All other
// methods are safe for concurrent use.
type Follower struct {
	settings Settings
	registry *Registry
	table    Table
	peers    Peers
	consumer Consumer
	random   *rand.Rand
	observed chan Digest

	// The following fields are used only by the goroutine of Run.
	startedAt  time.Time
	lastUpdate time.Time
	// latestFromPeer is true if the latest version was discovered through a peer
	// and not through the table.
	latestFromPeer bool
	// repeatsSent counts the repeats of the latest announcement. The next one is due
	// at repeatAt.
	repeatsSent   int
	repeatAt      time.Time
	startup       startState
	tableETag     string
	nextFetchAt   time.Time
	nextConfirmAt time.Time
	pollBackoff   time.Duration
	pending       *candidate

	mu     sync.Mutex
	active *candidate
	status Status
}

// NewFollower returns a Follower. The random source is used to spread the reads of
// many nodes.
func NewFollower(s Settings, t Table, o Objects, p Peers, c Consumer, random *rand.Rand) *Follower {
	f := &Follower{
		settings: s, registry: NewRegistry(t, o), table: t, peers: p, consumer: c, random: random,
		observed: make(chan Digest, observedQueueSize),
	}
	f.settings.setDefaults()
	f.status = Status{Source: SourceNone, Ready: NotReadyError{Reason: ReasonLatestUnknown}}
	return f
}

// setDefaults replaces zero values by the defaults.
func (s *Settings) setDefaults() {
	if s.ReadsPerSecond == 0 {
		s.ReadsPerSecond = DefaultReadsPerSecond
	}
	for _, d := range []struct {
		value    *time.Duration
		fallback time.Duration
	}{
		{&s.MinPollInterval, DefaultMinPollInterval}, {&s.Grace, DefaultGrace},
		{&s.Settle, DefaultSettle}, {&s.FetchTimeout, DefaultFetchTimeout},
	} {
		if *d.value == 0 {
			*d.value = d.fallback
		}
	}
}

// Status returns the state of the node's configuration.
func (f *Follower) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.status
}

// Ready returns nil if the node may serve. Errors: NotReadyError.
func (f *Follower) Ready() error { return f.Status().Ready }

// Observe informs the Follower of a version that a peer holds. It never blocks.
func (f *Follower) Observe(d Digest) {
	if d.Number <= f.Status().Latest.Number {
		return
	}
	select {
	case f.observed <- d:
	default:
		// The version is found in the peer summary at the next check.
	}
}

// Body returns the body of a version that this node holds.
func (f *Follower) Body(d Digest) ([]byte, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range []*candidate{f.pending, f.active} {
		if c != nil && c.digest == d {
			return c.body, true
		}
	}
	return nil, false
}

// Run keeps the configuration up to date until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.startedAt = time.Now()
	f.lastUpdate, f.repeatsSent = f.startedAt, maxRepeats
	f.nextConfirmAt = f.startedAt.Add(f.settings.Grace + time.Duration(f.random.Float64()*float64(f.settings.Grace)))
	poll := time.NewTimer(0)
	defer poll.Stop()
	check := time.NewTimer(fastCheckInterval)
	defer check.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-f.observed:
			f.setLatest(d, fromPeer)
		case <-poll.C:
			poll.Reset(f.poll(ctx))
		case <-check.C:
		}
		f.advance(ctx)
		check.Reset(f.nextCheck())
	}
}

// confirmDelay returns a random delay that spreads the confirmations of all members
// according to confirmsPerSecond.
func (f *Follower) confirmDelay(members int) time.Duration {
	return minRetryDelay + time.Duration(f.random.Float64()*float64(members)/confirmsPerSecond*float64(time.Second))
}

// nextCheck returns the time until the next check if no event occurs before.
func (f *Follower) nextCheck() time.Duration {
	s := f.Status()
	busy := s.Ready != nil || f.repeatsSent < maxRepeats || s.Latest != s.Held && s.Latest != s.Refused || s.Held != s.InForce
	switch {
	case !busy:
		return idleCheckInterval
	case time.Since(f.lastUpdate) < fastCheckPeriod:
		return fastCheckInterval
	}
	return slowCheckInterval
}

// poll reads the table and returns the time until the next read.
func (f *Follower) poll(ctx context.Context) time.Duration {
	interval := pollInterval(f.peers.Summary(Digest{}).Members, f.settings.ReadsPerSecond, f.settings.MinPollInterval)
	f.updateStatus(func(s *Status) { s.Reads++ })
	row, changed, err := f.table.GetIfChanged(ctx, currentKey, f.tableETag)
	if err != nil && !stderrors.As(err, new(table.NotFoundError)) {
		return f.pollFailed(err, interval)
	}
	f.startup.tableRead, f.pollBackoff = true, 0
	f.updateStatus(func(s *Status) { s.Confirmed = time.Now() })
	if err == nil && changed {
		f.handleTableRow(row)
	}
	return f.jitter(interval)
}

// pollFailed records a failed read and returns the time until the next read. A node
// that isn't ready yet retries early, with exponential backoff.
func (f *Follower) pollFailed(err error, interval time.Duration) time.Duration {
	if !f.startup.tableFailed {
		klog.Warningf("rollout: %s failed to read the table: %v", f.settings.Node, err)
	}
	f.startup.tableFailed = true
	if f.Ready() == nil {
		return f.jitter(interval)
	}
	f.pollBackoff = min(interval, max(minRetryDelay, 2*f.pollBackoff))
	return f.jitter(f.pollBackoff)
}

// handleTableRow processes the version that was read from the table.
func (f *Follower) handleTableRow(row table.Row) {
	v, err := decode(row)
	if err != nil {
		klog.Errorf("rollout: %s: %v", f.settings.Node, err)
		return
	}
	f.tableETag = row.ETag
	inForce := f.Status().InForce
	f.updateStatus(func(s *Status) { s.TableBehind = 0 })
	if v.Number < inForce.Number {
		f.updateStatus(func(s *Status) { s.TableBehind = v.Number })
		klog.Errorf("rollout: %s keeps version %s: %v",
			f.settings.Node, inForce, TableBehindError{Table: v.Number, Known: inForce.Number})
	}
	f.setLatest(v.Digest, fromTable)
}

// jitter returns a random duration between three quarters and five quarters of d.
func (f *Follower) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(f.random.Float64()*float64(d)/2)
}

// updateStatus changes the status under the lock.
func (f *Follower) updateStatus(change func(*Status)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.status)
}
