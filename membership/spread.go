package membership

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	cyclamenpointv1 "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
)

const (
	// drawsPerPeer bounds the draws for one random process.
	drawsPerPeer = 16
	// reconnectEvery is the share of digest exchanges that go to a process that
	// looks ill, so that sides of a healed partition find each other.
	reconnectEvery = 5
	// seedRounds and membersPerSeedRound set the share of digest exchanges that
	// go to a seed: one in seedRounds, or rarer with more members.
	seedRounds          = 5
	membersPerSeedRound = 8
	// anywhereEvery is the share of digest exchanges that may leave the own
	// failure domain.
	anywhereEvery = 3
)

// pushNews sends fresh news to a few random processes.
func (n *Node) pushNews(ctx context.Context) {
	for {
		select {
		case <-n.push:
		case <-ctx.Done():
			return
		}
		n.pushRound(ctx)
		if !wait(ctx, n.cfg.Timing.MinPushInterval) {
			return
		}
	}
}

func (n *Node) pushRound(ctx context.Context) {
	targets := n.peers(n.cfg.Timing.Fanout, "")
	if len(targets) == 0 {
		return
	}
	n.mu.Lock()
	p := n.table.takeNews(time.Now())
	left := len(n.table.news)+len(n.table.itemsTo) > 0
	n.mu.Unlock()
	if left {
		n.signalPush()
	}
	if p.empty() {
		return
	}
	var wg sync.WaitGroup
	for _, target := range targets {
		n.stats.Pushes.Add(1)
		wg.Go(func() {
			req := &cyclamenpointv1.ExchangeRequest{To: target.Name, Members: p.members, Items: p.items}
			n.exchange(ctx, target, req)
		})
	}
	wg.Wait()
}

// peers draws up to count random processes that look alive, this one and the
// one called except apart.
func (n *Node) peers(count int, except string) []Record {
	n.mu.Lock()
	defer n.mu.Unlock()
	var found []Record
	for range count {
		r, ok := n.draw(func(m *Member) bool {
			return m.Health == Alive && m.Name != except && !contains(found, m.Name)
		})
		if ok {
			found = append(found, r)
		}
	}
	return found
}

func contains(records []Record, name string) bool {
	for i := range records {
		if records[i].Name == name {
			return true
		}
	}
	return false
}

// draw returns a random other process that fits. It first draws blindly and
// then walks the ring, so that it finds one if there is one. The caller holds
// the lock.
func (n *Node) draw(fits func(m *Member) bool) (Record, bool) {
	ring := n.table.ring
	for range drawsPerPeer {
		m := n.table.members[ring[n.rng.IntN(len(ring))].name]
		if m.Name != n.cfg.Self.Name && fits(m) {
			return m.Record, true
		}
	}
	start := n.rng.IntN(len(ring))
	for k := range ring {
		m := n.table.members[ring[(start+k)%len(ring)].name]
		if m.Name != n.cfg.Self.Name && fits(m) {
			return m.Record, true
		}
	}
	return Record{}, false
}

// sync exchanges digests with a random process from time to time, and joins
// through a seed while no other process is known to live.
func (n *Node) sync(ctx context.Context) {
	for round := 0; ; round++ {
		target, ok := n.syncPeer(round)
		switch {
		case !ok:
			n.join(ctx)
		case n.seedRound():
			n.stats.Syncs.Add(1)
			n.syncWith(ctx, Record{Address: n.seed()})
		default:
			n.stats.Syncs.Add(1)
			n.syncWith(ctx, target)
		}
		if !wait(ctx, n.jitter(n.cfg.Timing.SyncInterval)) {
			return
		}
	}
}

// syncPeer draws the process of a round: mostly one of the own failure domain,
// sometimes any, and sometimes one that looks ill.
func (n *Node) syncPeer(round int) (Record, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if round%reconnectEvery == reconnectEvery-1 && n.table.ill > 0 {
		return n.draw(func(m *Member) bool { return m.Health != Alive })
	}
	domain := n.cfg.Self.FailureDomain
	if round%anywhereEvery != 0 {
		r, ok := n.draw(func(m *Member) bool { return m.Health == Alive && m.FailureDomain == domain })
		if ok {
			return r, true
		}
	}
	return n.draw(func(m *Member) bool { return m.Health == Alive })
}

func (n *Node) syncWith(ctx context.Context, target Record) {
	n.mu.Lock()
	digest := n.table.Digest()
	req := &cyclamenpointv1.ExchangeRequest{To: target.Name, Digest: digest[:]}
	if m, ok := n.table.Member(target.Name); ok && m.Health != Alive {
		req.Members = append(req.Members, m.message())
	}
	n.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, n.cfg.Timing.CallTimeout)
	defer cancel()
	resp, err := n.cfg.Transport.Exchange(callCtx, target.Address, req)
	if err != nil {
		return
	}
	n.absorb(resp.GetMembers(), resp.GetItems())
	if len(resp.GetDigest()) == 0 {
		return
	}
	n.mu.Lock()
	p := n.table.differing(resp.GetDigest(), time.Now())
	n.mu.Unlock()
	if p.empty() {
		return
	}
	n.exchange(ctx, target, &cyclamenpointv1.ExchangeRequest{To: target.Name, Members: p.members, Items: p.items})
}

// seedRound says whether a round goes to a seed. Processes that started at once
// can form groups around different seeds; these rounds join them. The more
// processes are known, the more rarely each of them does it.
func (n *Node) seedRound() bool {
	if len(n.cfg.Seeds) == 0 {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.IntN(max(len(n.table.members)/membersPerSeedRound, seedRounds)) == 0
}

// seed returns a random seed.
func (n *Node) seed() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cfg.Seeds[n.rng.IntN(len(n.cfg.Seeds))]
}

// join learns the others from a random seed.
func (n *Node) join(ctx context.Context) {
	if len(n.cfg.Seeds) == 0 {
		return
	}
	address := n.seed()
	self := n.Self()
	if address == self.Address {
		return
	}
	req := &cyclamenpointv1.ExchangeRequest{All: true, Members: []*cyclamenpointv1.Member{self.message()}}
	if n.exchange(ctx, Record{Address: address}, req) {
		klog.Infof("membership: joined through %s (incarnation %d)", address, self.Incarnation)
		n.signalPush()
	}
}

// readVMs reads the platform's list. The more processes there are, the more
// rarely each of them reads: what one of them sees the pushes bring to all.
func (n *Node) readVMs(ctx context.Context) {
	for {
		n.mu.Lock()
		period := time.Duration(len(n.table.members)) * n.cfg.Timing.VMListInterval
		n.mu.Unlock()
		if !wait(ctx, n.jitter(max(period, n.cfg.Timing.MinVMListInterval))) {
			return
		}
		n.stats.Lists.Add(1)
		list, err := n.cfg.VMs.List(ctx)
		if err != nil {
			klog.Infof("membership: the VM list can't be read, keep what is known: %v", err)
			continue
		}
		n.judgeVMs(list)
	}
}

// judgeVMs marks the members whose VM is leaving, or was listed and is gone. A
// list that lost more than half of the VMs is not believed.
func (n *Node) judgeVMs(list []VM) {
	now := time.Now()
	listed := make(map[string]bool, len(list))
	leaving := make(map[string]bool)
	for _, vm := range list {
		listed[vm.Name] = true
		leaving[vm.Name] = vm.Leaving
	}
	n.mu.Lock()
	shrunk := len(listed)*2 < len(n.seenVMs)
	var marked []Record
	for _, m := range n.table.members {
		gone := !listed[m.VM] && n.seenVMs[m.VM] && !shrunk
		if !leaving[m.VM] && !gone || now.Sub(m.FirstSeen) < n.cfg.Timing.VMListLag {
			continue
		}
		if n.table.MarkLeaving(m.Name, m.Incarnation, now) {
			marked = append(marked, m.Record)
		}
	}
	if !shrunk {
		n.seenVMs = listed
	}
	n.mu.Unlock()
	for _, r := range marked {
		klog.Infof("membership: %s is leaving (incarnation %d): the VM list says so of VM %s", r.Name, r.Incarnation, r.VM)
	}
	if len(marked) > 0 {
		n.signalPush()
		signal(n.changed)
	}
}
