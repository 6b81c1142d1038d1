package membership

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	cyclamenpointv1 "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
)

// watch pings one of the watched processes each period.
func (n *Node) watch(ctx context.Context, slot int) {
	if !wait(ctx, n.jitter(n.cfg.Timing.PingInterval)) {
		return
	}
	ticker := time.NewTicker(n.cfg.Timing.PingInterval)
	defer ticker.Stop()
	for {
		if target, ok := n.watched(slot); ok {
			n.stats.Pings.Add(1)
			if !n.ping(ctx, target) && ctx.Err() == nil {
				n.stats.Silent.Add(1)
				n.verify(ctx, target)
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) watched(slot int) (Record, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	targets := n.table.PingTargets(n.cfg.Timing.PingTargets)
	if slot >= len(targets) {
		return Record{}, false
	}
	return targets[slot], true
}

// ping says whether target answers. It tells the target what is wrongly
// believed of it.
func (n *Node) ping(ctx context.Context, target Record) bool {
	req := &cyclamenpointv1.ExchangeRequest{To: target.Name}
	n.mu.Lock()
	req.Members = n.table.peekNews(time.Now()).members
	if m, ok := n.table.Member(target.Name); ok && m.Health != Alive {
		req.Members = append(req.Members, m.message())
	}
	n.mu.Unlock()
	return n.exchange(ctx, target, req)
}

// exchange sends req, merges the answer and says whether target answered.
func (n *Node) exchange(ctx context.Context, target Record, req *cyclamenpointv1.ExchangeRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.Timing.CallTimeout)
	defer cancel()
	resp, err := n.cfg.Transport.Exchange(ctx, target.Address, req)
	if err != nil {
		return false
	}
	n.absorb(resp.GetMembers(), resp.GetItems())
	return target.Name == "" || resp.GetName() == target.Name
}

// verdict is one attempt's word on a silent process.
type verdict uint8

const (
	verdictNone verdict = iota
	verdictReached
	verdictSilent
)

// verify checks a silent process once more and through helpers. Without a
// helper that answers and did not reach it either, nothing is held against it:
// then this process is the one that is cut off.
func (n *Node) verify(ctx context.Context, target Record) {
	helpers := n.helpers(target)
	verdicts := make(chan verdict, len(helpers)+1)
	go func() { verdicts <- n.again(ctx, target) }()
	for _, helper := range helpers {
		go func() { verdicts <- n.askHelper(ctx, helper, target) }()
	}
	silent := 0
	for range len(helpers) + 1 {
		switch <-verdicts {
		case verdictReached:
			return
		case verdictSilent:
			silent++
		}
	}
	if ctx.Err() != nil {
		return
	}
	if silent == 0 {
		n.stats.Unjudged.Add(1)
		klog.Infof("membership: %s is silent, no helper of %d answered: this process may be cut off", target.Name, len(helpers))
		return
	}
	n.suspect(target, silent)
}

// helpers draws the processes that check target. All but one come from different
// failure domains that are neither the own one nor the target's, so that a fault
// between these two is not taken for a death. The last one comes from the own
// failure domain, in case that is cut off from all others.
func (n *Node) helpers(target Record) []Record {
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
		r, ok := n.draw(func(m *Member) bool {
			return usable(m) && (last && m.FailureDomain == own || !last && !used[m.FailureDomain])
		})
		if !ok {
			r, ok = n.draw(usable)
		}
		if ok {
			used[r.FailureDomain] = true
			found = append(found, r)
		}
	}
	return found
}

// again pings the target itself once more. Its silence alone proves nothing.
func (n *Node) again(ctx context.Context, target Record) verdict {
	if n.ping(ctx, target) {
		return verdictReached
	}
	return verdictNone
}

func (n *Node) askHelper(ctx context.Context, helper, target Record) verdict {
	// The helper needs its own timeout, and the way there and back.
	ctx, cancel := context.WithTimeout(ctx, n.cfg.Timing.CallTimeout*3/2)
	defer cancel()
	n.stats.Checks.Add(1)
	resp, err := n.cfg.Transport.Check(ctx, helper.Address, &cyclamenpointv1.CheckRequest{Name: target.Name, Address: target.Address})
	switch {
	case err != nil:
		return verdictNone
	case resp.GetReached():
		return verdictReached
	default:
		return verdictSilent
	}
}

func (n *Node) suspect(target Record, silent int) {
	n.mu.Lock()
	m, _ := n.table.Member(target.Name)
	changed := n.table.Suspect(target.Name, m.Incarnation, time.Now())
	n.mu.Unlock()
	if !changed {
		return
	}
	n.stats.Suspicions.Add(1)
	klog.Infof("membership: %s is suspect (incarnation %d): silent here and to %d helpers", target.Name, m.Incarnation, silent)
	n.signalPush()
	signal(n.changed)
}

// resolveDoubts checks the processes that requests found silent.
func (n *Node) resolveDoubts(ctx context.Context) {
	for {
		select {
		case name := <-n.doubts:
			if target, ok := n.doubted(name); ok && !n.ping(ctx, target) {
				n.verify(ctx, target)
			}
		case <-ctx.Done():
			return
		}
	}
}

// doubted says whether a report is worth a check: one of each process in a
// period.
func (n *Node) doubted(name string) (Record, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	m, ok := n.table.Member(name)
	if !ok || m.Health != Alive || now.Sub(n.checked[name]) < n.cfg.Timing.PingInterval {
		return Record{}, false
	}
	n.checked[name] = now
	return m.Record, true
}

// expire turns suspects into dead members.
func (n *Node) expire(ctx context.Context) {
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
			klog.Infof("membership: %s is dead: suspect for %s without a sign", name, n.cfg.Timing.SuspectTimeout)
		}
		if len(dead) > 0 {
			n.signalPush()
			signal(n.changed)
		}
	}
}
