package pacing

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// coldWindow is the length of the windows in which the requests to a cold endpoint
	// are bounded.
	coldWindow = time.Second
	// clockTolerance is the share by which a node's clock may run fast.
	clockTolerance = 0.02
	// slotPeriod is the time for which a slot stays in use after its request has
	// certainly arrived.
	slotPeriod = time.Duration((1 + clockTolerance) * float64(coldWindow))
	// deliveryTime is the longest time between the end of an attempt and the arrival of
	// its request at the endpoint. Connections to endpoints fail if data is not
	// acknowledged for a second.
	deliveryTime = time.Second
	// lostPeriod is the time for which a slot stays in use after the end of an attempt
	// without an answer.
	lostPeriod = time.Duration((1 + clockTolerance) * float64(deliveryTime+coldWindow))
	// quietStart is the time after the start of a process in which it uses no slots:
	// the process before it on the same node may have used all of them.
	quietStart = lostPeriod
	// unlistedPart and mostUnlisted bound the running nodes that a node's list may lack:
	// one for each unlistedPart listed ones, at most mostUnlisted. That is how many nodes
	// are added at once on the sites in use, 6 to 18, while another node is cut off.
	// The same part of the bound is the most that is kept free for them.
	unlistedPart = 3
	mostUnlisted = 6
	// listedKeep is the time for which a node still counts after it has disappeared
	// from the list. It may continue to run if its row was lost.
	listedKeep = 10 * time.Minute
)

// ColdSlots bounds the requests that all entry nodes together send to a cold endpoint
// within any second, without messages between them. Each node has a number of slots for
// each endpoint, which follows from the list of nodes alone. A request occupies a slot
// until a second after it has certainly arrived: after the beginning of its answer or, if
// there is none, after deliveryTime from the end of the attempt. docs/design/cold-endpoints.md
// gives the proof and its assumptions.
//
// It answers the load of a failure domain whose endpoints all return cold, with 1 to some
// hundred entry nodes. It is safe for concurrent use. Times are passed in.
type ColdSlots struct {
	self   string
	openAt time.Time

	mu sync.Mutex
	// nodes holds the names of the entry nodes with the time at which to forget those
	// that are no longer listed; zero for listed ones.
	nodes map[string]time.Time
	// ahead caches, by endpoint, the number of nodes that precede this one in the
	// endpoint's order of nodes.
	ahead map[string]int
	used  map[string][]*ColdSlot
}

// NewColdSlots returns the slots of the entry node self, whose process starts now. There
// are none until SetNodes is called.
func NewColdSlots(self string, now time.Time) *ColdSlots {
	return &ColdSlots{self: self, openAt: now.Add(quietStart), used: make(map[string][]*ColdSlot)}
}

// SetNodes sets the names of the listed entry nodes. This node counts as listed in any
// case.
func (c *ColdSlots) SetNodes(names []string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	nodes := map[string]time.Time{c.self: {}}
	for _, name := range names {
		nodes[name] = time.Time{}
	}
	for name, forgetAt := range c.nodes {
		if _, listed := nodes[name]; listed {
			continue
		}
		if forgetAt.IsZero() {
			forgetAt = now.Add(listedKeep)
		}
		if now.Before(forgetAt) {
			nodes[name] = forgetAt
		}
	}
	c.nodes, c.ahead = nodes, make(map[string]int)
}

// ColdSlot is the slot of one request. A nil pointer stands for none.
type ColdSlot struct {
	slots    *ColdSlots
	endpoint string
	// sent is true once the request may have been sent.
	sent bool
	// freeAt is when another request may use the slot; zero while unknown.
	freeAt time.Time
}

// Take occupies a slot for a request to an endpoint and returns nil if there is none.
// bound is the number of requests that the endpoint may get within a second if it is cold,
// negative if it is not. Slots are occupied in that case too, so that requests from just
// before an endpoint became cold count.
func (c *ColdSlots) Take(endpoint string, bound int, now time.Time) *ColdSlot {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prune(endpoint, now)
	if bound >= 0 && (now.Before(c.openAt) || len(c.used[endpoint]) >= c.share(endpoint, bound)) {
		return nil
	}
	s := &ColdSlot{slots: c, endpoint: endpoint}
	c.used[endpoint] = append(c.used[endpoint], s)
	return s
}

// Wait returns the time after which there probably is a slot, zero if there is one now.
// It is false if this node has no slots for the endpoint.
func (c *ColdSlots) Wait(endpoint string, bound int, now time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prune(endpoint, now)
	share := c.share(endpoint, bound)
	if share == 0 {
		return 0, false
	}
	wait := max(c.openAt.Sub(now), 0)
	used := c.used[endpoint]
	if len(used) < share {
		return wait, true
	}
	free := make([]time.Duration, len(used))
	for i, s := range used {
		free[i] = slotPeriod
		if !s.freeAt.IsZero() {
			free[i] = s.freeAt.Sub(now)
		}
	}
	slices.Sort(free)
	return max(wait, free[len(used)-share]), true
}

// share returns the number of this node's slots for an endpoint. Of the slots at one level
// each node has at most one, and the levels are filled one after the other, the last one
// only for the first nodes of the endpoint's order.
func (c *ColdSlots) share(endpoint string, bound int) int {
	if c.nodes == nil {
		return 0
	}
	unlisted := min((len(c.nodes)+unlistedPart-1)/unlistedPart, bound/unlistedPart, mostUnlisted)
	left := bound - (c.nodesAhead(endpoint) + 1 + unlisted)
	if left < 0 {
		return 0
	}
	return left/(len(c.nodes)+unlisted) + 1
}

// nodesAhead returns the number of nodes that precede this one in an endpoint's order of
// nodes. The order differs between endpoints, so that nodes without a slot for one have
// slots for others.
func (c *ColdSlots) nodesAhead(endpoint string) int {
	if n, ok := c.ahead[endpoint]; ok {
		return n
	}
	n, self := 0, nodeOrder(c.self, endpoint)
	for name := range c.nodes {
		order := nodeOrder(name, endpoint)
		if cmp.Or(cmp.Compare(order, self), cmp.Compare(name, c.self)) < 0 {
			n++
		}
	}
	c.ahead[endpoint] = n
	return n
}

// nodeOrder returns the position of a node in an endpoint's order of nodes.
func nodeOrder(node, endpoint string) uint64 {
	return xxhash.Sum64String(node + "\x00" + endpoint)
}

// prune removes the slots of an endpoint that have become free.
func (c *ColdSlots) prune(endpoint string, now time.Time) {
	used := slices.DeleteFunc(c.used[endpoint], func(s *ColdSlot) bool { return !s.freeAt.IsZero() && !now.Before(s.freeAt) })
	if len(used) == 0 {
		delete(c.used, endpoint)
		return
	}
	c.used[endpoint] = used
}

// Prune forgets the slots that have become free and the cached orders of endpoints for
// which listed returns false.
func (c *ColdSlots) Prune(listed func(endpoint string) bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for endpoint := range c.used {
		c.prune(endpoint, now)
	}
	for endpoint := range c.ahead {
		if !listed(endpoint) {
			delete(c.ahead, endpoint)
		}
	}
}

// Sent marks that the request is about to be sent.
func (s *ColdSlot) Sent() {
	if s == nil {
		return
	}
	s.slots.mu.Lock()
	defer s.slots.mu.Unlock()
	s.sent = true
}

// Answered marks the beginning of the answer: the request has arrived.
func (s *ColdSlot) Answered(now time.Time) {
	if s == nil {
		return
	}
	s.slots.mu.Lock()
	defer s.slots.mu.Unlock()
	if s.freeAt.IsZero() {
		s.freeAt = now.Add(slotPeriod)
	}
}

// End marks the end of the attempt. A request that was not sent gives its slot back at
// once.
func (s *ColdSlot) End(now time.Time) {
	if s == nil {
		return
	}
	s.slots.mu.Lock()
	defer s.slots.mu.Unlock()
	switch {
	case !s.sent:
		s.freeAt = now
	case s.freeAt.IsZero():
		s.freeAt = now.Add(lostPeriod)
	}
}
