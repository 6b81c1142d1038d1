package membership

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	cyclamenpointv1 "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
)

// pingLoop periodically pings the ping target with index slot.
func (n *Node) pingLoop(ctx context.Context, slot int) {
	if !sleep(ctx, n.jitter(n.cfg.Timing.PingInterval)) {
		return
	}
	ticker := time.NewTicker(n.cfg.Timing.PingInterval)
	defer ticker.Stop()
	for {
		if target, ok := n.pingTarget(slot); ok {
			n.stats.Pings.Add(1)
			if !n.ping(ctx, target) && ctx.Err() == nil {
				n.stats.Unanswered.Add(1)
				n.confirmUnresponsive(ctx, target)
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// pingTarget returns the ping target with index slot, if there is one.
func (n *Node) pingTarget(slot int) (Record, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	targets := n.table.PingTargets(n.cfg.Timing.PingTargets)
	if slot >= len(targets) {
		return Record{}, false
	}
	return targets[slot], true
}

// ping reports whether target answers. If target is not alive in the table, the
// message includes its record, so that it can refute it.
func (n *Node) ping(ctx context.Context, target Record) bool {
	req := &cyclamenpointv1.ExchangeRequest{To: target.Name}
	n.mu.Lock()
	req.Members = n.table.peekUpdates(time.Now()).members
	if m, ok := n.table.Member(target.Name); ok && m.Health != Alive {
		req.Members = append(req.Members, m.message())
	}
	n.mu.Unlock()
	return n.exchange(ctx, target, req)
}

// exchange sends req, merges the response and reports whether target answered.
func (n *Node) exchange(ctx context.Context, target Record, req *cyclamenpointv1.ExchangeRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.Timing.CallTimeout)
	defer cancel()
	resp, err := n.cfg.Transport.Exchange(ctx, target.Address, req)
	if err != nil {
		return false
	}
	n.merge(resp.GetMembers(), resp.GetItems())
	return target.Name == "" || resp.GetName() == target.Name
}

// checkResult is the result of one check of a process that did not answer.
type checkResult uint8

const (
	checkInconclusive checkResult = iota
	checkReached
	checkNotReached
)

// confirmUnresponsive pings target again and checks it through other processes. It
// marks target as suspect only if at least one of them answers and did not reach
// target either. Otherwise this process is probably the one that is cut off.
func (n *Node) confirmUnresponsive(ctx context.Context, target Record) {
	checkers := n.pickCheckers(target)
	results := make(chan checkResult, len(checkers)+1)
	go func() { results <- n.pingAgain(ctx, target) }()
	for _, checker := range checkers {
		go func() { results <- n.checkThrough(ctx, checker, target) }()
	}
	notReached := 0
	for range len(checkers) + 1 {
		switch <-results {
		case checkReached:
			return
		case checkNotReached:
			notReached++
		}
	}
	if ctx.Err() != nil {
		return
	}
	if notReached == 0 {
		n.stats.Inconclusive.Add(1)
		klog.Infof("membership: %s does not answer, and all %d indirect checks failed: this process may be cut off", target.Name, len(checkers))
		return
	}
	n.suspect(target, notReached)
}

// pickCheckers returns random processes through which target is checked. All but
// one are in different failure domains, none of them this process's or target's,
// so that a network fault between these two does not make target suspect. The
// last one is in this process's failure domain, in case that domain is cut off
// from all others. Where no such process is alive, any other is used.
func (n *Node) pickCheckers(target Record) []Record {
	n.mu.Lock()
	defer n.mu.Unlock()
	own := n.cfg.Self.FailureDomain
	used := map[string]bool{own: true, target.FailureDomain: true}
	var found []Record
	for k := range n.cfg.Timing.IndirectChecks {
		last := k == n.cfg.Timing.IndirectChecks-1
		usable := func(m *Member) bool {
			return m.Health == Alive && m.Name != target.Name && !contains(found, m.Name)
		}
		r, ok := n.randomMember(func(m *Member) bool {
			return usable(m) && (last && m.FailureDomain == own || !last && !used[m.FailureDomain])
		})
		if !ok {
			r, ok = n.randomMember(usable)
		}
		if ok {
			used[r.FailureDomain] = true
			found = append(found, r)
		}
	}
	return found
}

// pingAgain pings target once more. A second failure alone is inconclusive,
// since this process may be cut off.
func (n *Node) pingAgain(ctx context.Context, target Record) checkResult {
	if n.ping(ctx, target) {
		return checkReached
	}
	return checkInconclusive
}

// checkThrough checks target through checker.
func (n *Node) checkThrough(ctx context.Context, checker, target Record) checkResult {
	// This covers checker's own CallTimeout and the round trip to checker.
	ctx, cancel := context.WithTimeout(ctx, n.cfg.Timing.CallTimeout*3/2)
	defer cancel()
	n.stats.Checks.Add(1)
	resp, err := n.cfg.Transport.Check(ctx, checker.Address, &cyclamenpointv1.CheckRequest{Name: target.Name, Address: target.Address})
	switch {
	case err != nil:
		return checkInconclusive
	case resp.GetReached():
		return checkReached
	default:
		return checkNotReached
	}
}

// suspect marks target as suspect after notReached indirect checks have failed.
func (n *Node) suspect(target Record, notReached int) {
	n.mu.Lock()
	m, _ := n.table.Member(target.Name)
	changed := n.table.Suspect(target.Name, m.Incarnation, time.Now())
	n.mu.Unlock()
	if !changed {
		return
	}
	n.stats.Suspicions.Add(1)
	klog.Infof("membership: %s is suspect (incarnation %d): it answers neither this process nor %d others", target.Name, m.Incarnation, notReached)
	n.signalPush()
	notify(n.changed)
}

// handleReports checks the processes that were reported as unresponsive.
func (n *Node) handleReports(ctx context.Context) {
	for {
		select {
		case name := <-n.unresponsive:
			if target, ok := n.acceptReport(name); ok && !n.ping(ctx, target) {
				n.confirmUnresponsive(ctx, target)
			}
		case <-ctx.Done():
			return
		}
	}
}

// acceptReport reports whether a report leads to a check: each process is
// checked at most once per PingInterval.
func (n *Node) acceptReport(name string) (Record, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	m, ok := n.table.Member(name)
	if !ok || m.Health != Alive || now.Sub(n.lastReportCheck[name]) < n.cfg.Timing.PingInterval {
		return Record{}, false
	}
	n.lastReportCheck[name] = now
	return m.Record, true
}

// expireLoop periodically declares suspects dead.
func (n *Node) expireLoop(ctx context.Context) {
	ticker := time.NewTicker(n.cfg.Timing.PingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		n.mu.Lock()
		dead := n.table.Expire(n.cfg.Timing.SuspectTimeout, time.Now())
		n.mu.Unlock()
		for _, name := range dead {
			klog.Infof("membership: %s is dead: it has been suspect for %s", name, n.cfg.Timing.SuspectTimeout)
		}
		if len(dead) > 0 {
			n.signalPush()
			notify(n.changed)
		}
	}
}
