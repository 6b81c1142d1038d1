package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	cyclamenpointv1 "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
)

// maxDoubts bounds the reports that wait for a check.
const maxDoubts = 64

// Node is one process's part in the membership. Its methods are safe for
// concurrent use.
type Node struct {
	cfg Config

	mu      sync.Mutex
	table   *Table
	rng     *rand.Rand
	checked map[string]time.Time
	seenVMs map[string]bool

	push    chan struct{}
	changed chan struct{}
	doubts  chan string
	stats   Stats
}

// NewNode returns a node that knows only itself. Run starts it.
func NewNode(cfg Config) *Node {
	n := &Node{
		cfg:     cfg,
		table:   NewTable(cfg.Self, time.Now()),
		rng:     cfg.Rand,
		checked: make(map[string]time.Time),
		seenVMs: make(map[string]bool),
		push:    make(chan struct{}, 1),
		changed: make(chan struct{}, 1),
		doubts:  make(chan string, maxDoubts),
	}
	n.table.news[cfg.Self.Name] = newsSends
	return n
}

// Run works until ctx ends.
func (n *Node) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for slot := range n.cfg.Timing.PingTargets {
		wg.Go(func() { n.watch(ctx, slot) })
	}
	wg.Go(func() { n.resolveDoubts(ctx) })
	wg.Go(func() { n.pushNews(ctx) })
	wg.Go(func() { n.sync(ctx) })
	wg.Go(func() { n.expire(ctx) })
	if n.cfg.VMs != nil {
		wg.Go(func() { n.readVMs(ctx) })
	}
	wg.Wait()
}

// Changed is signalled when a member or an item changed. One signal may stand
// for many changes. It has one reader.
func (n *Node) Changed() <-chan struct{} {
	return n.changed
}

// Stats returns the node's counters.
func (n *Node) Stats() *Stats {
	return &n.stats
}

// Self returns the node's own record. Its incarnation may have been raised when
// the deployment remembered a higher one.
func (n *Node) Self() Record {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Self()
}

// Member returns what is known of the process called name.
func (n *Node) Member(name string) (Member, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Member(name)
}

// Members returns all known processes in the order of their names.
func (n *Node) Members() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Members()
}

// MajorityUnhealthy says that more than half of the other processes look ill, so that
// the node doubts its own view.
func (n *Node) MajorityUnhealthy() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.MajorityUnhealthy()
}

// Leave announces that the process takes no new work. Run has to go on for a
// second or more, so that the news gets out.
func (n *Node) Leave() {
	n.mu.Lock()
	self := n.table.Self()
	self.Leaving = true
	self.Sequence++
	n.table.self = self
	n.table.set(self, time.Now())
	n.table.news[self.Name] = newsSends
	n.mu.Unlock()
	klog.Infof("membership: this process is leaving (incarnation %d)", self.Incarnation)
	n.signalPush()
}

// Publish spreads an item to all processes. The error is an
// *ItemTooLargeError or a *TooManyItemsError.
func (n *Node) Publish(item Item) error {
	n.mu.Lock()
	fresh, err := n.table.Put(item)
	n.mu.Unlock()
	if err != nil || !fresh {
		return err
	}
	klog.Infof("membership: publish %s/%s version %d", item.Kind, item.Key, item.Version)
	n.signalPush()
	signal(n.changed)
	return nil
}

// Items returns the items of a kind in the order of their keys.
func (n *Node) Items(kind string) []Item {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Items(kind)
}

// ReportUnresponsive reports that a request or a probe found the process called name silent.
// The node checks it at once. ReportUnresponsive never blocks; reports beyond a bound are
// dropped, since the ring watches the process anyway.
func (n *Node) ReportUnresponsive(name string) {
	select {
	case n.doubts <- name:
	default:
	}
}

// HandleExchange answers another process's Exchange.
func (n *Node) HandleExchange(req *cyclamenpointv1.ExchangeRequest) *cyclamenpointv1.ExchangeResponse {
	now := time.Now()
	n.mu.Lock()
	changed := n.table.absorb(req.GetMembers(), req.GetItems(), now)
	self := n.table.Self()
	var p parcel
	var digest []uint64
	own := n.table.Digest()
	switch {
	case req.GetAll():
		p = n.table.everything(now)
	case len(req.GetDigest()) > 0:
		p = n.table.differing(req.GetDigest(), now)
		if !p.empty() {
			digest = own[:]
		}
	default:
		p = n.table.peekNews(now)
	}
	n.mu.Unlock()
	n.note(changed)
	return &cyclamenpointv1.ExchangeResponse{
		Name:        self.Name,
		Incarnation: self.Incarnation,
		Members:     p.members,
		Items:       p.items,
		Digest:      digest,
	}
}

// HandleCheck answers another process's Check.
func (n *Node) HandleCheck(ctx context.Context, req *cyclamenpointv1.CheckRequest) *cyclamenpointv1.CheckResponse {
	return &cyclamenpointv1.CheckResponse{Reached: n.ping(ctx, Record{Name: req.GetName(), Address: req.GetAddress()})}
}

// absorb merges what another process answered.
func (n *Node) absorb(members []*cyclamenpointv1.Member, items []*cyclamenpointv1.Item) {
	n.mu.Lock()
	changed := n.table.absorb(members, items, time.Now())
	n.mu.Unlock()
	n.note(changed)
}

// note logs changes, wakes the pushes and tells the reader of Changed.
func (n *Node) note(c changes) {
	if !c.any() {
		return
	}
	for _, name := range c.members {
		n.noteMember(name)
	}
	for _, key := range c.items {
		klog.Infof("membership: learned %s/%s", key.Kind, key.Key)
	}
	n.signalPush()
	signal(n.changed)
}

func (n *Node) noteMember(name string) {
	m, ok := n.Member(name)
	if !ok {
		return
	}
	if name == n.cfg.Self.Name {
		n.stats.Refuted.Add(1)
		klog.Infof("membership: corrected news of this process (incarnation %d, sequence %d, leaving %t)", m.Incarnation, m.Sequence, m.Leaving)
		return
	}
	klog.Infof("membership: %s is %s (incarnation %d, sequence %d, leaving %t), told by another process",
		name, m.Health, m.Incarnation, m.Sequence, m.Leaving)
}

func (n *Node) signalPush() {
	signal(n.push)
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// jitter returns a random time between half of d and one and a half of it.
func (n *Node) jitter(d time.Duration) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return d/2 + time.Duration(n.rng.Int64N(int64(d)))
}

// wait returns after d, or false when ctx ends first.
func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
