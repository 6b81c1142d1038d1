package membership

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	cyclamenpointv1 "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
)

const (
	// randomAttempts bounds the random picks for one member before the ring is
	// searched.
	randomAttempts = 16
	// One in reconnectEvery exchanges of digests goes to a suspect or dead member,
	// so that the sides of a healed partition find each other.
	reconnectEvery = 5
	// One in seedRounds exchanges of digests goes to a seed. With more than
	// seedRounds*membersPerSeedRound members it is one in
	// members/membersPerSeedRound.
	seedRounds          = 5
	membersPerSeedRound = 8
	// One in remoteSyncEvery exchanges of digests may leave the process's own
	// failure domain.
	remoteSyncEvery = 3
)

// pushLoop pushes pending updates to a few random members.
func (n *Node) pushLoop(ctx context.Context) {
	for {
		select {
		case <-n.push:
		case <-ctx.Done():
			return
		}
		n.pushRound(ctx)
		if !sleep(ctx, n.cfg.Timing.MinPushInterval) {
			return
		}
	}
}

// pushRound pushes pending updates once. If some are left, it schedules another
// round.
func (n *Node) pushRound(ctx context.Context) {
	targets := n.randomPeers(n.cfg.Timing.Fanout, "")
	if len(targets) == 0 {
		return
	}
	n.mu.Lock()
	p := n.table.takeUpdates(time.Now())
	left := len(n.table.memberPushes)+len(n.table.itemPushes) > 0
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

// randomPeers returns up to count random members that are alive, excluding this
// process and the one called except.
func (n *Node) randomPeers(count int, except string) []Record {
	n.mu.Lock()
	defer n.mu.Unlock()
	var found []Record
	for range count {
		r, ok := n.randomMember(func(m *Member) bool {
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

// randomMember returns a random other member for which fits is true. It first
// picks members at random and then searches the ring, so that it finds a member
// if there is one. The caller must hold n.mu.
func (n *Node) randomMember(fits func(m *Member) bool) (Record, bool) {
	ring := n.table.ring
	for range randomAttempts {
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

// sync periodically exchanges digests with a random member. While no other
// member is alive, it joins through a seed instead.
func (n *Node) sync(ctx context.Context) {
	for round := 0; ; round++ {
		target, ok := n.syncTarget(round)
		switch {
		case !ok:
			n.join(ctx)
		case n.syncsWithSeed():
			n.stats.Syncs.Add(1)
			n.syncWith(ctx, Record{Address: n.randomSeed()})
		default:
			n.stats.Syncs.Add(1)
			n.syncWith(ctx, target)
		}
		if !sleep(ctx, n.jitter(n.cfg.Timing.SyncInterval)) {
			return
		}
	}
}

// syncTarget returns a random member for a round: usually one in the same
// failure domain, sometimes any, and sometimes one that is suspect or dead.
func (n *Node) syncTarget(round int) (Record, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if round%reconnectEvery == reconnectEvery-1 && n.table.unhealthy > 0 {
		return n.randomMember(func(m *Member) bool { return m.Health != Alive })
	}
	domain := n.cfg.Self.FailureDomain
	if round%remoteSyncEvery != 0 {
		r, ok := n.randomMember(func(m *Member) bool { return m.Health == Alive && m.FailureDomain == domain })
		if ok {
			return r, true
		}
	}
	return n.randomMember(func(m *Member) bool { return m.Health == Alive })
}

// syncWith exchanges digests with target: it merges the members and items that
// differ there and then sends its own that differ.
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
	n.merge(resp.GetMembers(), resp.GetItems())
	if len(resp.GetDigest()) == 0 {
		return
	}
	n.mu.Lock()
	p := n.table.inDifferingBuckets(resp.GetDigest(), time.Now())
	n.mu.Unlock()
	if p.empty() {
		return
	}
	n.exchange(ctx, target, &cyclamenpointv1.ExchangeRequest{To: target.Name, Members: p.members, Items: p.items})
}

// syncsWithSeed reports at random whether a round goes to a seed. Processes
// that start at the same time can form separate groups around different seeds;
// these rounds connect the groups. The more members there are, the more rarely
// each of them contacts a seed.
func (n *Node) syncsWithSeed() bool {
	if len(n.cfg.Seeds) == 0 {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.IntN(max(len(n.table.members)/membersPerSeedRound, seedRounds)) == 0
}

// randomSeed returns the address of a random seed.
func (n *Node) randomSeed() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cfg.Seeds[n.rng.IntN(len(n.cfg.Seeds))]
}

// join gets the full state from a random seed.
func (n *Node) join(ctx context.Context) {
	if len(n.cfg.Seeds) == 0 {
		return
	}
	address := n.randomSeed()
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

// readVMListLoop reads the platform's VM list periodically. The interval grows
// with the number of members, since what one member reads is pushed to all.
func (n *Node) readVMListLoop(ctx context.Context) {
	for {
		n.mu.Lock()
		period := time.Duration(len(n.table.members)) * n.cfg.Timing.VMListInterval
		n.mu.Unlock()
		if !sleep(ctx, n.jitter(max(period, n.cfg.Timing.MinVMListInterval))) {
			return
		}
		n.stats.Lists.Add(1)
		list, err := n.cfg.VMs.List(ctx)
		if err != nil {
			klog.Infof("membership: reading the VM list failed, keeping the current state: %v", err)
			continue
		}
		n.applyVMList(list)
	}
}

// applyVMList marks members as leaving whose VM is leaving or has disappeared
// from the list. If the list has shrunk by more than half since the last one,
// missing VMs are ignored: the list is probably incomplete.
func (n *Node) applyVMList(list []VM) {
	now := time.Now()
	listed := make(map[string]bool, len(list))
	leaving := make(map[string]bool)
	for _, vm := range list {
		listed[vm.Name] = true
		leaving[vm.Name] = vm.Leaving
	}
	n.mu.Lock()
	shrunk := len(listed)*2 < len(n.listedVMs)
	var marked []Record
	for _, m := range n.table.members {
		gone := !listed[m.VM] && n.listedVMs[m.VM] && !shrunk
		if !leaving[m.VM] && !gone || now.Sub(m.FirstSeen) < n.cfg.Timing.VMListLag {
			continue
		}
		if n.table.MarkLeaving(m.Name, m.Incarnation, now) {
			marked = append(marked, m.Record)
		}
	}
	if !shrunk {
		n.listedVMs = listed
	}
	n.mu.Unlock()
	for _, r := range marked {
		klog.Infof("membership: %s is leaving (incarnation %d): the VM list marks VM %s as leaving or no longer has it", r.Name, r.Incarnation, r.VM)
	}
	if len(marked) > 0 {
		n.signalPush()
		notify(n.changed)
	}
}
