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

// Peers is what a Follower needs of the membership. All methods may be called
// concurrently; Announce and Census must not block.
type Peers interface {
	// Announce tells some peers what this node holds and whether it is ready;
	// they tell their own Follower through Heard. It need not reach all peers,
	// nor all those that it is sent to: the Follower repeats it after news, and
	// each peer announces in turn.
	Announce(held Digest, ready bool)
	// Summary tells what is known of the peers, and how many hold d or newer.
	Summary(d Digest) PeerSummary
	// Fetch gets the body of d from a peer that holds it.
	Fetch(ctx context.Context, d Digest) ([]byte, error)
}

// Consumer puts configurations in force.
type Consumer interface {
	// Check decodes and validates a body whole. The returned function puts it
	// in force; it is called at most once, and must not fail.
	Check(d Digest, body []byte) (install func(), err error)
}

// Settings configure a Follower. Zero values take the defaults.
type Settings struct {
	// Node names the node in logs.
	Node string
	// ReadsPerSecond bounds the reads of all nodes together.
	ReadsPerSecond float64
	// MinPollInterval bounds how often one node reads.
	MinPollInterval time.Duration
	// Grace is how long a starting node that has read the table waits for its
	// peers before it has the table confirm what was read.
	Grace time.Duration
	// Settle is how long a version is held before it comes into force although
	// too few peers are known to hold it.
	Settle time.Duration
	// FetchTimeout bounds one try to get a body.
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

// Bounds of the follower's own timers.
const (
	// checkEvery and checkSlowly are the times between two looks while
	// something is to be done: the former for busyFor after news.
	checkEvery  = 50 * time.Millisecond
	checkSlowly = 500 * time.Millisecond
	busyFor     = 5 * time.Second
	idleCheck   = 2 * time.Second
	// repeatEvery is the time between the repeats of an announcement.
	repeatEvery = 250 * time.Millisecond
	repeats     = 10
	// confirmsPerSecond bounds the transactions by which all nodes together
	// confirm what they read, once one of them has failed.
	confirmsPerSecond = 250
	minRetry          = 100 * time.Millisecond
	heardBacklog      = 16
)

// candidate is a version that this node holds.
type candidate struct {
	digest  Digest
	body    []byte
	install func()
	since   time.Time
}

// Status is what a node knows of its configuration.
type Status struct {
	// InForce is the version in force, since Since.
	InForce Digest
	Since   time.Time
	// Held is the newest version held, in force or about to be.
	Held Digest
	// Latest is the newest version heard of.
	Latest Digest
	// Refused is the newest version found unusable, and Fault why.
	Refused Digest
	Fault   error
	// Source tells how the node knows that it is up to date.
	Source Source
	// Confirmed is when the table last confirmed what is newest.
	Confirmed time.Time
	// TableBehind is the version that the table was last seen to hold if that
	// was older than the one in force.
	TableBehind uint64
	// Reads counts the reads of the table, Bodies the bodies fetched.
	Reads, Bodies int64
	// Ready is nil when the node may serve.
	Ready error
}

// Follower keeps a node's configuration up to date. Run has to be running. All
// other methods may be called concurrently.
type Follower struct {
	settings Settings
	registry *Registry
	table    Table
	peers    Peers
	consumer Consumer
	random   *rand.Rand
	heard    chan Digest

	// What follows belongs to Run.
	begun time.Time
	news  time.Time
	// byPeer is set when a peer, not the table, told of the wanted version.
	byPeer bool
	// announced counts the repeats of the newest announcement; the next one is
	// due at repeatAt.
	announced int
	repeatAt  time.Time
	start     start
	etag      string
	fetchAt   time.Time
	confirmAt time.Time
	pollRetry time.Duration
	pending   *candidate

	mu     sync.Mutex
	force  *candidate
	status Status
}

// NewFollower returns a Follower. The random source spreads the reads of many
// nodes.
func NewFollower(s Settings, t Table, o Objects, p Peers, c Consumer, random *rand.Rand) *Follower {
	f := &Follower{
		settings: s, registry: NewRegistry(t, o), table: t, peers: p, consumer: c, random: random,
		heard: make(chan Digest, heardBacklog),
	}
	f.settings.fill()
	f.status = Status{Source: SourceNone, Ready: NotReadyError{Reason: ReasonLatestUnknown}}
	return f
}

// fill sets zero values to their defaults.
func (s *Settings) fill() {
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

// Status returns what the node knows of its configuration.
func (f *Follower) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.status
}

// Ready returns nil when the node may serve. Errors: NotReadyError.
func (f *Follower) Ready() error { return f.Status().Ready }

// Observe tells the follower of a version that a peer holds. It never blocks.
func (f *Follower) Observe(d Digest) {
	if d.Number <= f.Status().Latest.Number {
		return
	}
	select {
	case f.heard <- d:
	default:
		// The census tells of it at the next look.
	}
}

// Body returns the body of a version that this node holds, for its peers.
func (f *Follower) Body(d Digest) ([]byte, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range []*candidate{f.pending, f.force} {
		if c != nil && c.digest == d {
			return c.body, true
		}
	}
	return nil, false
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.begun = time.Now()
	f.news, f.announced = f.begun, repeats
	f.confirmAt = f.begun.Add(f.settings.Grace + time.Duration(f.random.Float64()*float64(f.settings.Grace)))
	poll := time.NewTimer(0)
	defer poll.Stop()
	check := time.NewTimer(checkEvery)
	defer check.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-f.heard:
			f.want(d, fromPeer)
		case <-poll.C:
			poll.Reset(f.poll(ctx))
		case <-check.C:
		}
		f.consider(ctx)
		check.Reset(f.nextCheck())
	}
}

// turn returns a random time within which all members may confirm, one after
// the other.
func (f *Follower) turn(members int) time.Duration {
	return minRetry + time.Duration(f.random.Float64()*float64(members)/confirmsPerSecond*float64(time.Second))
}

// nextCheck returns when to look again without being told anything.
func (f *Follower) nextCheck() time.Duration {
	s := f.Status()
	busy := s.Ready != nil || f.announced < repeats || s.Latest != s.Held && s.Latest != s.Refused || s.Held != s.InForce
	switch {
	case !busy:
		return idleCheck
	case time.Since(f.news) < busyFor:
		return checkEvery
	}
	return checkSlowly
}

// poll reads the table and returns the time until the next read.
func (f *Follower) poll(ctx context.Context) time.Duration {
	interval := pollInterval(f.peers.Summary(Digest{}).Members, f.settings.ReadsPerSecond, f.settings.MinPollInterval)
	f.note(func(s *Status) { s.Reads++ })
	row, changed, err := f.table.GetIfChanged(ctx, currentKey, f.etag)
	if err != nil && !stderrors.As(err, new(table.NotFoundError)) {
		return f.pollFailed(err, interval)
	}
	f.start.tableRead, f.pollRetry = true, 0
	f.note(func(s *Status) { s.Confirmed = time.Now() })
	if err == nil && changed {
		f.tableHolds(row)
	}
	return f.spread(interval)
}

// pollFailed notes a failed read. A node that does not serve yet tries again
// soon, at first.
func (f *Follower) pollFailed(err error, interval time.Duration) time.Duration {
	if !f.start.tableFailed {
		klog.Warningf("rollout: %s can't read the table: %v", f.settings.Node, err)
	}
	f.start.tableFailed = true
	if f.Ready() == nil {
		return f.spread(interval)
	}
	f.pollRetry = min(interval, max(minRetry, 2*f.pollRetry))
	return f.spread(f.pollRetry)
}

// tableHolds notes the version that the table holds.
func (f *Follower) tableHolds(row table.Row) {
	v, err := decode(row)
	if err != nil {
		klog.Errorf("rollout: %s: %v", f.settings.Node, err)
		return
	}
	f.etag = row.ETag
	force := f.Status().InForce
	f.note(func(s *Status) { s.TableBehind = 0 })
	if v.Number < force.Number {
		f.note(func(s *Status) { s.TableBehind = v.Number })
		klog.Errorf("rollout: %s keeps version %s: %v",
			f.settings.Node, force, TableBehindError{Table: v.Number, Known: force.Number})
	}
	f.want(v.Digest, fromTable)
}

// spread returns a duration between three quarters and five quarters of d.
func (f *Follower) spread(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(f.random.Float64()*float64(d)/2)
}

// note changes the status.
func (f *Follower) note(change func(*Status)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.status)
}
