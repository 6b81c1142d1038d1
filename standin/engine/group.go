// Package engine is a small stand-in for a group of model engines whose ranks
// run in lock-step. It exists for the demo and the tests: it batches
// continuously, caches prompt prefixes in limited memory, honours priorities,
// resumes and cancels streams, reports load and cache events late and with
// gaps, takes orders, and can be made to crash, stall or fall silent.
package engine

import (
	"sync"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
)

// Options describe a group of stand-in engines.
type Options struct {
	// Model is the model that the group serves.
	Model string
	// Ranks is the number of ranks.
	Ranks int
	// StepTime is the time of one step without skew.
	StepTime time.Duration
	// Slots is how many requests a rank runs at once.
	Slots int
	// PrefillPerStep is how many uncached prompt blocks a step computes.
	PrefillPerStep int
	// CacheBlocks is how many prompt blocks a rank's cache holds.
	CacheBlocks int
	// ReportLag delays load reports and cache events.
	ReportLag time.Duration
	// ChecksFencing makes the ranks refuse orders with an old fencing token.
	ChecksFencing bool
	// RestartTime is how long a crashed rank stays down.
	RestartTime time.Duration
	// CrashOn is a text whose presence in a prompt crashes the rank that runs
	// it. Empty crashes none.
	CrashOn string
	// Shape is that of the group's expert maps. Without one the group needs no
	// orders to run; with one it runs once it has been formed.
	Shape expertmap.Shape
	// LoadTime is how long the weight store takes for one expert.
	LoadTime time.Duration
	// WindowSteps is the number of steps of a window of expert load counts, and
	// DriftSteps that in which demand drifts once round.
	WindowSteps, DriftSteps uint64
	// Seed fixes the demand on the experts.
	Seed uint64
}

// Group is a rank group in lock-step: no rank advances while one is down or
// stalled.
type Group struct {
	opts  Options
	ranks []*Rank

	mu    sync.Mutex
	step  int64
	until time.Time
	// held counts the steps that were due and not begun because of a hold.
	held int64
	stop chan struct{}
	done chan struct{}
}

// NewGroup starts a group. Close ends it.
func NewGroup(opts Options) *Group {
	g := &Group{opts: opts, stop: make(chan struct{}), done: make(chan struct{})}
	for i := range opts.Ranks {
		g.ranks = append(g.ranks, newRank(g, i))
	}
	go g.run()
	return g
}

// Rank returns the rank with the given number.
func (g *Group) Rank(i int) *Rank { return g.ranks[i] }

// Step returns the number of steps that all ranks have completed.
func (g *Group) Step() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.step
}

// HeldSteps returns how many steps were due and could not begin because a rank was
// held, or had left its epoch, after all ranks had formed it.
func (g *Group) HeldSteps() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.held
}

// Stall holds the whole group back for d, as one slow rank does.
func (g *Group) Stall(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.until = time.Now().Add(d)
}

// Close stops the group and ends all its streams.
func (g *Group) Close() {
	close(g.stop)
	<-g.done
	for _, r := range g.ranks {
		r.crash()
	}
}

func (g *Group) run() {
	defer close(g.done)
	ticker := time.NewTicker(g.opts.StepTime)
	defer ticker.Stop()
	for {
		select {
		case <-g.stop:
			return
		case <-ticker.C:
			g.advance()
		}
	}
}

// advance runs one step on all ranks, or on none.
func (g *Group) advance() {
	ranks := g.begin()
	if len(ranks) == 0 {
		return
	}
	for _, r := range ranks {
		r.runStep()
	}
	g.mu.Lock()
	g.step++
	g.mu.Unlock()
}

// begin returns the ranks that run the next step, and records it. No order
// comes between the ranks.
func (g *Group) begin() []*Rank {
	g.mu.Lock()
	defer g.mu.Unlock()
	if time.Now().Before(g.until) {
		return nil
	}
	if g.opts.Shape == (expertmap.Shape{}) {
		return g.readyRanks(g.ranks)
	}
	ranks := g.readyRanks(g.members())
	for _, r := range ranks {
		same := r.orders.st.Epoch == ranks[0].orders.st.Epoch && r.orders.st.Step == ranks[0].orders.st.Step
		if !same {
			return nil
		}
		if !r.orders.mayBegin() {
			g.held += min(1, int64(r.orders.st.Epoch))
			return nil
		}
	}
	for _, r := range ranks {
		r.orders.begin(r.index)
	}
	return ranks
}

// members returns the ranks of the newest epoch.
func (g *Group) members() []*Rank {
	newest := g.ranks[0]
	for _, r := range g.ranks {
		if r.orders.st.Epoch > newest.orders.st.Epoch {
			newest = r
		}
	}
	var members []*Rank
	for rank := range newest.orders.st.Members.All() {
		members = append(members, g.ranks[rank])
	}
	return members
}

// readyRanks returns the ranks if all are up, or none.
func (g *Group) readyRanks(ranks []*Rank) []*Rank {
	for _, r := range ranks {
		if !r.ready() {
			return nil
		}
	}
	return ranks
}
