package pacing

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// event is something that happens at a true time.
type event struct {
	at time.Duration
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// coldFleet plays entry nodes that send to one cold endpoint as many requests as their slots
// allow, with clocks that drift, freezes, restarts and lost connections.
type coldFleet struct {
	rng   *rand.Rand
	bound int
	now   time.Duration
	queue events
	// arrivals are the true times at which requests reached the endpoint, in all and by
	// node.
	arrivals []time.Duration
	byNode   map[string][]time.Duration
}

func newColdFleet(bound int, seed uint64) *coldFleet {
	return &coldFleet{rng: rand.New(rand.NewPCG(seed, 1)), bound: bound, byNode: make(map[string][]time.Duration)}
}

// coldNode is one node of a coldFleet.
type coldNode struct {
	f    *coldFleet
	name string
	// list is that with which its processes start, all that of all running nodes, which
	// it may get later.
	list, all []string
	// rate is the speed of the node's clock.
	rate  float64
	slots *ColdSlots
	// life counts the starts of the process. What an earlier process planned is void.
	life        int
	frozenUntil time.Duration
}

const coldEndpoint = "cold"

// names returns the names of n nodes, those first that precede in the endpoint's order: a
// list that lacks these overestimates its node's share most.
func names(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("n%d", i)
	}
	slices.SortFunc(list, func(a, b string) int {
		return cmp.Compare(nodeOrder(a, coldEndpoint), nodeOrder(b, coldEndpoint))
	})
	return list
}

func (f *coldFleet) at(t time.Duration, do func()) { heap.Push(&f.queue, event{max(t, f.now), do}) }

func (f *coldFleet) random(most time.Duration) time.Duration {
	return time.Duration(f.rng.Float64() * float64(most))
}

// local returns the node's time.
func (n *coldNode) local() time.Time {
	return time.Unix(1000, 0).Add(time.Duration(float64(n.f.now) * n.rate))
}

// later runs a step of the node's process after a time, or when a freeze ends, unless the
// process has been restarted before.
func (n *coldNode) later(after time.Duration, do func()) {
	life := n.life
	n.f.at(n.f.now+after, func() {
		switch {
		case n.life != life:
		case n.f.now < n.frozenUntil:
			n.later(n.frozenUntil-n.f.now, do)
		default:
			do()
		}
	})
}

func (n *coldNode) start() {
	n.life++
	n.slots = NewColdSlots(n.name, n.local())
	n.slots.SetNodes(n.list, n.local())
	n.send()
}

// send uses all free slots and returns when the next one may be free.
func (n *coldNode) send() {
	for {
		slot := n.slots.Take(coldEndpoint, n.f.bound, n.local())
		if slot == nil {
			break
		}
		n.later(n.f.random(50*time.Millisecond), func() { n.transmit(slot) })
	}
	wait, ok := n.slots.Wait(coldEndpoint, n.f.bound, n.local())
	if !ok {
		wait = time.Second
	}
	n.later(max(wait, time.Millisecond), n.send)
}

// transmit sends a request. Some have no answer: their attempt ends at most deliveryTime
// before they arrive.
func (n *coldNode) transmit(slot *ColdSlot) {
	if n.f.rng.IntN(20) == 0 {
		slot.End(n.local())
		return
	}
	slot.Sent()
	delay := n.f.random(3 * time.Millisecond)
	if n.f.rng.IntN(4) == 0 {
		delay = n.f.random(deliveryTime)
	}
	n.f.at(n.f.now+delay, func() {
		n.f.arrivals = append(n.f.arrivals, n.f.now)
		n.f.byNode[n.name] = append(n.f.byNode[n.name], n.f.now)
	})
	if n.f.rng.IntN(6) == 0 {
		n.later(n.f.random(20*time.Millisecond), func() { slot.End(n.local()) })
		return
	}
	n.later(delay+n.f.random(10*time.Millisecond), func() {
		slot.Answered(n.local())
		n.later(n.f.random(time.Second), func() { slot.End(n.local()) })
	})
}

// disturb freezes, restarts or renews the list of the node from time to time.
func (n *coldNode) disturb() {
	n.f.at(n.f.now+n.f.random(8*time.Second), func() {
		switch n.f.rng.IntN(3) {
		case 0:
			n.frozenUntil = n.f.now + n.f.random(4*time.Second)
		case 1:
			n.life++
			n.f.at(n.f.now+n.f.random(2*time.Second), n.start)
		case 2:
			n.slots.SetNodes([][]string{n.list, n.all}[n.f.rng.IntN(2)], n.local())
		}
		n.disturb()
	})
}

// play runs nodes with the given lists for some time. Some are added later.
func (f *coldFleet) play(lists map[string][]string, length time.Duration) {
	all := slices.Sorted(maps.Keys(lists))
	for _, name := range all {
		n := &coldNode{f: f, name: name, list: lists[name], all: all, rate: 1 + clockTolerance*(2*f.rng.Float64()-1)}
		begin := time.Duration(0)
		if f.rng.IntN(4) == 0 {
			begin = f.random(5 * time.Second)
		}
		f.at(begin, func() {
			n.start()
			n.disturb()
		})
	}
	for f.queue.Len() > 0 && f.queue[0].at < length {
		next := heap.Pop(&f.queue).(event)
		f.now = next.at
		next.do()
	}
}

// peak returns the most arrivals within coldWindow.
func peak(arrivals []time.Duration) int {
	most, first := 0, 0
	for i, at := range arrivals {
		for at-arrivals[first] > coldWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// shareOf returns the slots of a node with a list.
func shareOf(name string, list []string, bound int) int {
	slots := NewColdSlots(name, time.Unix(0, 0))
	slots.SetNodes(list, time.Unix(0, 0))
	return slots.share(coldEndpoint, bound)
}

var fleetSizes = []int{1, 6, 18, 24, 53, 350}

// mayLack returns how many of the running nodes a list of n names may lack.
func mayLack(n, bound int) int { return min((n+2)/3, bound/3, 6) }

// TestColdBound guards against a cold endpoint that gets more requests within a second than
// it sustains: 1 to 350 nodes with different lists, which lack as many running nodes as is
// allowed and hold others that do not run, and with nodes that are added, drifting clocks, freezes,
// restarts, delayed requests and lost connections.
func TestColdBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		running := names(rapid.SampledFrom(fleetSizes).Draw(t, "nodes"))
		bound := rapid.SampledFrom([]int{0, 1, 2, 5, 8, 20, 56, 130}).Draw(t, "bound")
		f := newColdFleet(bound, rapid.Uint64().Draw(t, "seed"))
		lists := make(map[string][]string)
		for i, name := range running {
			list := slices.Clone(running)
			if f.rng.IntN(2) == 0 {
				lack := f.rng.IntN(len(running))
				for lack > mayLack(len(running)-lack, bound) {
					lack--
				}
				// The node itself is always listed.
				list = append(list[min(lack, i):], name)
			}
			if f.rng.IntN(4) == 0 {
				list = append(list, "stopped", "removed")
			}
			lists[name] = list
		}
		f.play(lists, 10*time.Second)
		if got := peak(f.arrivals); got > bound {
			t.Fatalf("%d requests within a second", got)
		}
		total := 0
		for name, list := range lists {
			share := max(shareOf(name, list, bound), shareOf(name, running, bound))
			total += share
			if got := peak(f.byNode[name]); got > share {
				t.Fatalf("%d requests within a second from a node with %d slots", got, share)
			}
		}
		if total > bound {
			t.Fatalf("%d slots in all", total)
		}
	})
}

// TestColdBoundNeedsLists checks that the play detects nodes that each take themselves for
// the only one, that is, lists outside of the assumption.
func TestColdBoundNeedsLists(t *testing.T) {
	lists := make(map[string][]string)
	for _, name := range names(18) {
		lists[name] = nil
	}
	f := newColdFleet(56, 1)
	f.play(lists, 10*time.Second)
	assert.Assert(t, peak(f.arrivals) > 56, "%d", peak(f.arrivals))
}

// TestColdBoundIsUsed guards against a limit that keeps a cold endpoint nearly empty: with
// lists that are complete, the nodes together have at least three fifths of the bound.
func TestColdBoundIsUsed(t *testing.T) {
	for _, n := range fleetSizes {
		list, total := names(n), 0
		for _, name := range list {
			total += shareOf(name, list, 56)
		}
		t.Logf("%d nodes: %d of 56", n, total)
		assert.Assert(t, total <= 56)
		assert.Assert(t, n == 1 || 5*total >= 3*56, "%d nodes: %d", n, total)
		assert.Assert(t, 5*total >= 2*56, "%d nodes: %d", n, total)
	}
}

// TestNoSlotsWithoutList: until a node has a list of nodes, it has no slots. Otherwise each
// of the nodes that start after a power failure would take itself for the only one.
func TestNoSlotsWithoutList(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewColdSlots("a", now)
	now = now.Add(time.Minute)
	assert.Assert(t, c.Take("e", 56, now) == nil)
	_, ok := c.Wait("e", 56, now)
	assert.Assert(t, !ok)
	slot := c.Take("e", -1, now)
	assert.Assert(t, slot != nil, "a warm endpoint has no limit")
	c.SetNodes(nil, now)
	assert.Assert(t, c.Take("e", 56, now) != nil)
}

// TestNodesThatDisappearCount: nodes whose rows are lost, for example with the history of the
// store, still count, because they may run.
func TestNodesThatDisappearCount(t *testing.T) {
	now, list := time.Unix(1000, 0), names(18)
	c := NewColdSlots(list[3], now)
	c.SetNodes(list, now)
	before := c.share("e", 56)
	c.SetNodes(nil, now.Add(time.Second))
	c.SetNodes(nil, now.Add(2*time.Second))
	assert.Equal(t, c.share("e", 56), before)
	c.SetNodes(nil, now.Add(listedKeep+time.Second))
	assert.Assert(t, c.share("e", 56) > before)
}

// TestColdSlotLife checks from when another request may use a slot, and that Wait tells it.
func TestColdSlotLife(t *testing.T) {
	begin := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		finish func(s *ColdSlot, now time.Time)
		freeIn time.Duration
	}{
		"not sent":     {func(s *ColdSlot, now time.Time) { s.End(now) }, 0},
		"answered":     {func(s *ColdSlot, now time.Time) { s.Sent(); s.Answered(now); s.End(now.Add(time.Minute)) }, slotPeriod},
		"not answered": {func(s *ColdSlot, now time.Time) { s.Sent(); s.End(now) }, lostPeriod},
	} {
		slots := NewColdSlots("a", begin)
		slots.SetNodes(nil, begin)
		wait, ok := slots.Wait("e", 1, begin)
		assert.Assert(t, ok && wait == quietStart, "%s", wait)
		assert.Assert(t, slots.Take("e", 1, begin.Add(quietStart-1)) == nil, "the process before may have used it")
		now := begin.Add(quietStart)
		slot := slots.Take("e", 1, now)
		assert.Assert(t, slot != nil)
		now = now.Add(time.Hour)
		assert.Assert(t, slots.Take("e", 1, now) == nil, "%s: in use until the request has arrived", name)
		wait, _ = slots.Wait("e", 1, now)
		assert.Equal(t, wait, slotPeriod)
		c.finish(slot, now)
		wait, _ = slots.Wait("e", 1, now)
		assert.Equal(t, wait, c.freeIn, name)
		assert.Assert(t, c.freeIn == 0 || slots.Take("e", 1, now.Add(c.freeIn-1)) == nil, name)
		assert.Assert(t, slots.Take("e", 1, now.Add(c.freeIn)) != nil, name)
	}
}

// TestRequestsBeforeColdCount: requests to an endpoint that was warm occupy slots, so that
// those of the last second count when it becomes cold.
func TestRequestsBeforeColdCount(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewColdSlots("a", now)
	c.SetNodes(nil, now)
	now = now.Add(quietStart)
	for range 5 {
		slot := c.Take("e", -1, now)
		slot.Sent()
		slot.Answered(now)
	}
	assert.Assert(t, c.Take("e", 5, now.Add(time.Second)) == nil)
	assert.Assert(t, c.Take("e", 5, now.Add(slotPeriod)) != nil)
}

// TestColdSlotsAreForgotten: what is kept stays bounded.
func TestColdSlotsAreForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewColdSlots("a", now)
	c.SetNodes(nil, now)
	slot := c.Take("e", -1, now)
	_, _ = c.Wait("e", 56, now)
	slot.Answered(now)
	c.Prune(func(string) bool { return false }, now.Add(slotPeriod))
	assert.Equal(t, len(c.used)+len(c.ahead), 0)
}
