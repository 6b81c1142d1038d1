package rollout

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/cyclamenpoint/cyclamenpoint/table"
)

// How a version was discovered, for logs.
const (
	fromPeer  = "a peer"
	fromTable = "the table"
)

// setLatest records a discovered version if it is newer than the latest one. Two
// versions with the same number and different hashes must not exist, so such a
// version is logged and ignored.
func (f *Follower) setLatest(d Digest, from string) {
	s := f.Status()
	if d.Number == s.Latest.Number && d.Hash != s.Latest.Hash {
		klog.Errorf("rollout: %s discovered version %s through %s, which conflicts with %s", f.settings.Node, d, from, s.Latest)
	}
	if d.Number <= s.Latest.Number {
		return
	}
	klog.V(1).Infof("rollout: %s discovered version %s through %s", f.settings.Node, d, from)
	f.nextFetchAt, f.lastUpdate, f.latestFromPeer = time.Time{}, time.Now(), from == fromPeer
	f.updateStatus(func(s *Status) { s.Latest = d })
}

// advance does what is possible now: it fetches the latest version, puts it in
// force and updates the readiness.
func (f *Follower) advance(ctx context.Context) {
	summary := f.peers.Summary(f.Status().Held)
	f.setLatest(summary.Newest, fromPeer)
	f.fetchLatest(ctx, summary)
	summary = f.peers.Summary(f.Status().Held)
	source := f.Status().Source
	if source == SourceNone {
		f.confirmLatest(ctx, summary)
		source = newestSource(f.startup, summary)
	}
	f.putInForce(source, summary)
	f.updateReadiness(source, summary)
	f.repeatAnnouncement()
}

// confirmLatest uses a transaction to confirm that the version that was read is the
// newest, if no majority of ready peers was found within the grace time.
func (f *Follower) confirmLatest(ctx context.Context, summary PeerSummary) {
	if !f.startup.tableRead || f.startup.confirmed || summary.majorityReady() || time.Now().Before(f.nextConfirmAt) {
		return
	}
	f.nextConfirmAt = time.Now().Add(f.confirmDelay(summary.Members))
	check := table.Op{Kind: table.KindCheck, Key: currentKey, IfMatch: f.tableETag, IfAbsent: f.tableETag == ""}
	_, err := f.table.Write(ctx, []table.Op{check})
	if err != nil {
		klog.Warningf("rollout: %s failed to confirm version %s: %v", f.settings.Node, f.Status().Latest, err)
		return
	}
	f.startup.confirmed = true
}

// fetchLatest fetches and checks the body of the latest version.
func (f *Follower) fetchLatest(ctx context.Context, summary PeerSummary) {
	s := f.Status()
	if s.Latest.Number <= max(s.Held.Number, s.Refused.Number) || time.Now().Before(f.nextFetchAt) {
		return
	}
	f.nextFetchAt = time.Now().Add(f.jitter(2 * minRetryDelay))
	body, err := f.fetchBody(ctx, s.Latest, summary)
	if err != nil {
		klog.V(1).Infof("rollout: %s failed to fetch the body of version %s: %v", f.settings.Node, s.Latest, err)
		return
	}
	install, err := f.consumer.Check(s.Latest, body)
	if err != nil {
		klog.Errorf("rollout: %s refuses version %s and keeps version %s: %v",
			f.settings.Node, s.Latest, s.InForce, err)
		f.updateStatus(func(s *Status) { s.Refused, s.Fault = s.Latest, err })
		return
	}
	f.updateStatus(func(st *Status) {
		f.pending = &candidate{digest: s.Latest, body: body, install: install, since: time.Now()}
		st.Held = s.Latest
		st.Bodies++
	})
	f.announce()
}

// announce announces the held version to peers and schedules the repeats.
func (f *Follower) announce() {
	s := f.Status()
	f.peers.Announce(s.Held, s.Ready == nil)
	f.repeatsSent, f.repeatAt = 0, time.Now().Add(repeatInterval)
}

// repeatAnnouncement repeats the announcement when it is due. Each repeat goes to
// another random selection of peers, so that few peers receive none of them.
func (f *Follower) repeatAnnouncement() {
	if f.repeatsSent >= maxRepeats || time.Now().Before(f.repeatAt) {
		return
	}
	s := f.Status()
	f.peers.Announce(s.Held, s.Ready == nil)
	f.repeatsSent++
	f.repeatAt = time.Now().Add(repeatInterval)
}

// fetchBody fetches a body from a peer if one is known to hold it, or else from the
// object store.
func (f *Follower) fetchBody(ctx context.Context, d Digest, summary PeerSummary) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, f.settings.FetchTimeout)
	defer cancel()
	if f.latestFromPeer || summary.Newest.Number >= d.Number {
		body, err := f.peers.Fetch(ctx, d)
		if err == nil {
			err = verify(d, body)
		}
		if err == nil {
			return body, nil
		}
		klog.V(1).Infof("rollout: %s failed to fetch version %s from a peer: %v", f.settings.Node, d, err)
	}
	return f.registry.Body(ctx, d)
}

// putInForce puts the held version in force once it has settled and the node has
// determined the newest version. On a node without a version in force it must
// also be the latest discovered version.
func (f *Follower) putInForce(source Source, summary PeerSummary) {
	c := f.pending
	s := f.Status()
	if c == nil || source == SourceNone {
		return
	}
	settle := f.settings.Settle
	if s.InForce.Number == 0 {
		settle = f.settings.Grace
		if c.digest.Number < s.Latest.Number {
			return
		}
	}
	if !settled(summary, time.Since(c.since), settle) {
		return
	}
	c.install()
	klog.Infof("rollout: %s puts version %s in force after version %s, held by %d of %d other nodes",
		f.settings.Node, c.digest, s.InForce, summary.Holding, summary.Members-1)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active, f.pending = c, nil
	f.status.InForce, f.status.Since = c.digest, time.Now()
}

// updateReadiness updates the readiness and announces when the node becomes ready.
func (f *Follower) updateReadiness(source Source, summary PeerSummary) {
	before := f.Status()
	ready := readiness(source, before)
	if before.Source != source || (before.Ready == nil) != (ready == nil) {
		klog.Infof("rollout: %s: source of newest version %s, in force %s, readiness %v, %d of %d other nodes ready",
			f.settings.Node, source, before.InForce, ready, summary.Ready, summary.Members-1)
	}
	f.updateStatus(func(s *Status) { s.Source, s.Ready = source, ready })
	if before.Ready != nil && ready == nil {
		f.announce()
	}
}

// readiness returns nil if the node may serve. A node that has put a version in
// force remains ready.
func readiness(source Source, s Status) error {
	switch {
	case source == SourceNone:
		return NotReadyError{Reason: ReasonLatestUnknown}
	case s.InForce.Number > 0:
		return nil
	case s.Latest.Number == 0:
		return NotReadyError{Reason: ReasonNoVersion}
	case s.Refused == s.Latest:
		return NotReadyError{Reason: ReasonRefused}
	case s.Held != s.Latest:
		return NotReadyError{Reason: ReasonBodyMissing}
	}
	return NotReadyError{Reason: ReasonSettling}
}
