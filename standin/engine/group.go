// Package engine is a stand-in for a group of model engines whose ranks run in
// lock-step, used by tests and the demo. It implements continuous batching, a
// bounded prompt prefix cache, request priorities, resumption and cancellation
// of streams, and the orders that switch expert maps. Load reports and cache
// events are delayed and may have gaps. Crashes, stalls and hanging streams can
// be simulated.
package engine

import (
	"sync"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
)

// Options describe a group of stand-in engines.
type Options struct {
	// Model is the name of the model that the group serves.
	Model string
	// Ranks is the number of ranks.
	Ranks int
	// StepTime is the duration of a step.
	StepTime time.Duration
	// Slots is the number of requests that a rank runs concurrently.
	Slots int
	// PrefillPerStep is the number of uncached prompt blocks that a step computes.
	PrefillPerStep int
	// CacheBlocks is the capacity of a rank's prefix cache in prompt blocks.
	CacheBlocks int
	// ReportLag is the delay of load reports, cache events and expert counts. The
	// step number in a load report is current.
	ReportLag time.Duration
	// ChecksFencing makes the ranks reject orders whose fencing token is lower than
	// an earlier one.
	ChecksFencing bool
	// RestartTime is the time that a crashed rank stays down.
	RestartTime time.Duration
	// CrashOn is a text that crashes a rank when it runs a prompt containing it.
	// If empty, no prompt crashes a rank.
	CrashOn string
	// Shape is the shape of the group's expert maps. With the zero Shape the group
	// runs at once; otherwise it runs after its first epoch has been formed by
	// orders.
	Shape expertmap.Shape
	// LoadTime is the time to load one expert from the weight store.
	LoadTime time.Duration
	// WindowSteps is the number of steps in a window of expert counts, and
	// DriftSteps the period, in steps, of the variation of the demand for experts.
	WindowSteps, DriftSteps uint64
	// Seed determines the demand for the experts.
	Seed uint64
}

// Group is a rank group in lock-step: no rank advances while one of them is down
// or stalled. It is safe for concurrent use.
type Group struct {
	opts  Options
	ranks []*Rank

	mu   sync.Mutex
	step int64
	// stalledUntil is the end of the current stall.
	stalledUntil time.Time
	// heldSteps counts the steps that were due and not begun because a rank was
	// held or had left its epoch.
	heldSteps int64
	stop      chan struct{}
	done      chan struct{}
}

// NewGroup starts a group. The caller must Close it.
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

// Step returns the number of completed steps.
func (g *Group) Step() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.step
}

// HeldSteps returns the number of steps that were due but did not begin because
// a rank was held or had left its epoch. Steps before the first epoch do not
// count.
func (g *Group) HeldSteps() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.heldSteps
}

// Stall prevents the group from beginning steps for d, as one slow rank does.
func (g *Group) Stall(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stalledUntil = time.Now().Add(d)
}

// Close stops the group and aborts all its streams.
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

// advance runs one step on all ranks of the epoch, or on none.
func (g *Group) advance() {
	ranks := g.beginStep()
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

// beginStep records the next step and returns the ranks that run it, or none if
// it cannot begin. The group's lock excludes orders meanwhile, so that all ranks
// begin the step in the same state.
func (g *Group) beginStep() []*Rank {
	g.mu.Lock()
	defer g.mu.Unlock()
	if time.Now().Before(g.stalledUntil) {
		return nil
	}
	if g.opts.Shape == (expertmap.Shape{}) {
		return g.ranksIfAllUp(g.ranks)
	}
	ranks := g.ranksIfAllUp(g.members())
	for _, r := range ranks {
		sameStep := r.state.status.Epoch == ranks[0].state.status.Epoch && r.state.status.Step == ranks[0].state.status.Step
		if !sameStep {
			return nil
		}
		if !r.state.canBeginStep() {
			// A rank in no epoch, whose number is 0, does not count as held.
			g.heldSteps += min(1, int64(r.state.status.Epoch))
			return nil
		}
	}
	for _, r := range ranks {
		r.state.beginStep(r.index)
	}
	return ranks
}

// members returns the ranks that are members of the newest epoch.
func (g *Group) members() []*Rank {
	newest := g.ranks[0]
	for _, r := range g.ranks {
		if r.state.status.Epoch > newest.state.status.Epoch {
			newest = r
		}
	}
	var members []*Rank
	for rank := range newest.state.status.Members.All() {
		members = append(members, g.ranks[rank])
	}
	return members
}

// ranksIfAllUp returns the given ranks if all of them are up, or none.
func (g *Group) ranksIfAllUp(ranks []*Rank) []*Rank {
	for _, r := range ranks {
		if !r.up() {
			return nil
		}
	}
	return ranks
}
