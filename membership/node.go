package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	cyclamenpointv1 "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
)

// maxPendingReports bounds the queue of reports of unresponsive processes.
const maxPendingReports = 64

// Node runs the membership protocol for one process. Its methods are safe for
// concurrent use.
type Node struct {
	cfg Config

	mu    sync.Mutex
	table *Table
	rng   *rand.Rand
	// lastReportCheck is the time of the last check after a report, by process.
	lastReportCheck map[string]time.Time
	// listedVMs are the VMs in the last accepted VM list.
	listedVMs map[string]bool

	push         chan struct{}
	changed      chan struct{}
	unresponsive chan string
	stats        Stats
}

// NewNode returns a node whose table holds only the node itself. Run starts it.
func NewNode(cfg Config) *Node {
	n := &Node{
		cfg:             cfg,
		table:           NewTable(cfg.Self, time.Now()),
		rng:             cfg.Rand,
		lastReportCheck: make(map[string]time.Time),
		listedVMs:       make(map[string]bool),
		push:            make(chan struct{}, 1),
		changed:         make(chan struct{}, 1),
		unresponsive:    make(chan string, maxPendingReports),
	}
	n.table.memberPushes[cfg.Self.Name] = pushRounds
	return n
}

// Run runs the protocol until ctx ends.
func (n *Node) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for slot := range n.cfg.Timing.PingTargets {
		wg.Go(func() { n.pingLoop(ctx, slot) })
	}
	wg.Go(func() { n.handleReports(ctx) })
	wg.Go(func() { n.pushLoop(ctx) })
	wg.Go(func() { n.sync(ctx) })
	wg.Go(func() { n.expireLoop(ctx) })
	if n.cfg.VMs != nil {
		wg.Go(func() { n.readVMListLoop(ctx) })
	}
	wg.Wait()
}

// Changed returns a channel that receives a value after members or items have
// changed. Several changes may be combined into one value. The channel supports
// a single reader.
func (n *Node) Changed() <-chan struct{} {
	return n.changed
}

// Stats returns the node's counters.
func (n *Node) Stats() *Stats {
	return &n.stats
}

// Self returns the node's own record. Its incarnation is higher than the
// configured one if another process had a record with a higher incarnation.
func (n *Node) Self() Record {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Self()
}

// Member returns the member called name.
func (n *Node) Member(name string) (Member, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Member(name)
}

// Members returns all members in the order of their names.
func (n *Node) Members() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Members()
}

// MajorityUnhealthy reports whether more than half of the other members are
// suspect or dead. The fault is then more likely on this process's side.
func (n *Node) MajorityUnhealthy() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.MajorityUnhealthy()
}

// Leave announces that the process accepts no new work. Run must continue for at
// least a second so that the announcement is sent.
func (n *Node) Leave() {
	n.mu.Lock()
	self := n.table.Self()
	self.Leaving = true
	self.Sequence++
	n.table.self = self
	n.table.store(self, time.Now())
	n.table.memberPushes[self.Name] = pushRounds
	n.mu.Unlock()
	klog.Infof("membership: this process is leaving (incarnation %d)", self.Incarnation)
	n.signalPush()
}

// Publish replicates an item to all processes. The error is an
// *ItemTooLargeError or a *TooManyItemsError.
func (n *Node) Publish(item Item) error {
	n.mu.Lock()
	changed, err := n.table.Put(item)
	n.mu.Unlock()
	if err != nil || !changed {
		return err
	}
	klog.Infof("membership: published item %s/%s, version %d", item.Kind, item.Key, item.Version)
	n.signalPush()
	notify(n.changed)
	return nil
}

// Items returns the items of a kind in the order of their keys.
func (n *Node) Items(kind string) []Item {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Items(kind)
}

// ReportUnresponsive reports that the process called name did not answer a
// request or a probe. The node checks the process at once. ReportUnresponsive
// never blocks: it drops the report when the queue is full, since the process is
// also pinged periodically.
func (n *Node) ReportUnresponsive(name string) {
	select {
	case n.unresponsive <- name:
	default:
	}
}

// HandleExchange serves the Exchange call of another process.
func (n *Node) HandleExchange(req *cyclamenpointv1.ExchangeRequest) *cyclamenpointv1.ExchangeResponse {
	now := time.Now()
	n.mu.Lock()
	changed := n.table.merge(req.GetMembers(), req.GetItems(), now)
	self := n.table.Self()
	var p payload
	var digest []uint64
	own := n.table.Digest()
	switch {
	case req.GetAll():
		p = n.table.fullState(now)
	case len(req.GetDigest()) > 0:
		p = n.table.inDifferingBuckets(req.GetDigest(), now)
		if !p.empty() {
			digest = own[:]
		}
	default:
		p = n.table.peekUpdates(now)
	}
	n.mu.Unlock()
	n.announce(changed)
	return &cyclamenpointv1.ExchangeResponse{
		Name:        self.Name,
		Incarnation: self.Incarnation,
		Members:     p.members,
		Items:       p.items,
		Digest:      digest,
	}
}

// HandleCheck serves the Check call of another process.
func (n *Node) HandleCheck(ctx context.Context, req *cyclamenpointv1.CheckRequest) *cyclamenpointv1.CheckResponse {
	return &cyclamenpointv1.CheckResponse{Reached: n.ping(ctx, Record{Name: req.GetName(), Address: req.GetAddress()})}
}

// merge merges the state in another process's response.
func (n *Node) merge(members []*cyclamenpointv1.Member, items []*cyclamenpointv1.Item) {
	n.mu.Lock()
	changed := n.table.merge(members, items, time.Now())
	n.mu.Unlock()
	n.announce(changed)
}

// announce logs changes, starts a push and signals Changed.
func (n *Node) announce(c changes) {
	if !c.any() {
		return
	}
	for _, name := range c.members {
		n.logMemberChange(name)
	}
	for _, key := range c.items {
		klog.Infof("membership: received item %s/%s", key.Kind, key.Key)
	}
	n.signalPush()
	notify(n.changed)
}

func (n *Node) logMemberChange(name string) {
	m, ok := n.Member(name)
	if !ok {
		return
	}
	if name == n.cfg.Self.Name {
		n.stats.Refuted.Add(1)
		klog.Infof("membership: refuted an update about this process (incarnation %d, sequence %d, leaving %t)", m.Incarnation, m.Sequence, m.Leaving)
		return
	}
	klog.Infof("membership: %s is %s (incarnation %d, sequence %d, leaving %t), reported by another process",
		name, m.Health, m.Incarnation, m.Sequence, m.Leaving)
}

func (n *Node) signalPush() {
	notify(n.push)
}

// notify sends to c unless a value is already pending.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// jitter returns a random duration between 0.5 and 1.5 times d.
func (n *Node) jitter(d time.Duration) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return d/2 + time.Duration(n.rng.Int64N(int64(d)))
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
