package rollout

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/cyclamenpoint/cyclamenpoint/table"
)

// Where news of a version comes from.
const (
	fromPeer  = "a peer"
	fromTable = "the table"
)

// want notes that a version exists. Older ones are of no interest; the same
// number with another hash can't be, and is not followed.
func (f *Follower) want(d Digest, from string) {
	s := f.Status()
	if d.Number == s.Latest.Number && d.Hash != s.Latest.Hash {
		klog.Errorf("rollout: %s heard of %s from %s, but wants %s", f.settings.Node, d, from, s.Latest)
	}
	if d.Number <= s.Latest.Number {
		return
	}
	klog.V(1).Infof("rollout: %s heard of version %s from %s", f.settings.Node, d, from)
	f.fetchAt, f.news, f.byPeer = time.Time{}, time.Now(), from == fromPeer
	f.note(func(s *Status) { s.Latest = d })
}

// consider does what can be done now: get the newest version, put it in force,
// become ready.
func (f *Follower) consider(ctx context.Context) {
	census := f.peers.Summary(f.Status().Held)
	f.want(census.Newest, fromPeer)
	f.pursue(ctx, census)
	census = f.peers.Summary(f.Status().Held)
	known := f.Status().Source
	if known == SourceNone {
		f.confirm(ctx, census)
		known = source(f.start, census)
	}
	f.promote(known, census)
	f.report(known, census)
	f.repeat()
}

// confirm asks the table by a transaction whether the version that was read is
// the newest, if too few peers could be heard within the grace time.
func (f *Follower) confirm(ctx context.Context, census PeerSummary) {
	if !f.start.tableRead || f.start.confirmed || census.majorityReady() || time.Now().Before(f.confirmAt) {
		return
	}
	f.confirmAt = time.Now().Add(f.turn(census.Members))
	check := table.Op{Kind: table.KindCheck, Key: currentKey, IfMatch: f.etag, IfAbsent: f.etag == ""}
	_, err := f.table.Write(ctx, []table.Op{check})
	if err != nil {
		klog.Warningf("rollout: %s can't confirm version %s: %v", f.settings.Node, f.Status().Latest, err)
		return
	}
	f.start.confirmed = true
}

// pursue gets the body of the wanted version and checks it.
func (f *Follower) pursue(ctx context.Context, census PeerSummary) {
	s := f.Status()
	if s.Latest.Number <= max(s.Held.Number, s.Refused.Number) || time.Now().Before(f.fetchAt) {
		return
	}
	f.fetchAt = time.Now().Add(f.spread(2 * minRetry))
	body, err := f.fetch(ctx, s.Latest, census)
	if err != nil {
		klog.V(1).Infof("rollout: %s has no body of %s yet: %v", f.settings.Node, s.Latest, err)
		return
	}
	install, err := f.consumer.Check(s.Latest, body)
	if err != nil {
		klog.Errorf("rollout: %s refuses version %s and keeps %s: %v",
			f.settings.Node, s.Latest, s.InForce, err)
		f.note(func(s *Status) { s.Refused, s.Fault = s.Latest, err })
		return
	}
	f.note(func(st *Status) {
		f.pending = &candidate{digest: s.Latest, body: body, install: install, since: time.Now()}
		st.Held = s.Latest
		st.Bodies++
	})
	f.announce()
}

// announce tells peers what this node holds, and sets the repeats.
func (f *Follower) announce() {
	s := f.Status()
	f.peers.Announce(s.Held, s.Ready == nil)
	f.announced, f.repeatAt = 0, time.Now().Add(repeatEvery)
}

// repeat announces again when it is due. Each peer then misses the news only if
// several random choices miss it.
func (f *Follower) repeat() {
	if f.announced >= repeats || time.Now().Before(f.repeatAt) {
		return
	}
	s := f.Status()
	f.peers.Announce(s.Held, s.Ready == nil)
	f.announced++
	f.repeatAt = time.Now().Add(repeatEvery)
}

// fetch gets a body from a peer if one is known to hold it, or else from the
// object store.
func (f *Follower) fetch(ctx context.Context, d Digest, census PeerSummary) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, f.settings.FetchTimeout)
	defer cancel()
	if f.byPeer || census.Newest.Number >= d.Number {
		body, err := f.peers.Fetch(ctx, d)
		if err == nil {
			err = verify(d, body)
		}
		if err == nil {
			return body, nil
		}
		klog.V(1).Infof("rollout: %s could not get %s from a peer: %v", f.settings.Node, d, err)
	}
	return f.registry.Body(ctx, d)
}

// promote puts the held version in force once the node knows what is newest and
// the version has settled. Nothing older than the newest one heard of comes
// into force on a node that has none yet.
func (f *Follower) promote(known Source, census PeerSummary) {
	c := f.pending
	s := f.Status()
	if c == nil || known == SourceNone {
		return
	}
	settle := f.settings.Settle
	if s.InForce.Number == 0 {
		settle = f.settings.Grace
		if c.digest.Number < s.Latest.Number {
			return
		}
	}
	if !settled(census, time.Since(c.since), settle) {
		return
	}
	c.install()
	klog.Infof("rollout: %s puts version %s in force after %s, held by %d of %d others",
		f.settings.Node, c.digest, s.InForce, census.Holding, census.Members-1)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.force, f.pending = c, nil
	f.status.InForce, f.status.Since = c.digest, time.Now()
}

// report updates the readiness, and tells the peers when it changes.
func (f *Follower) report(known Source, census PeerSummary) {
	before := f.Status()
	ready := readiness(known, before)
	if before.Source != known || (before.Ready == nil) != (ready == nil) {
		klog.Infof("rollout: %s knows its version from %s, in force %s, readiness %v, heard %d of %d others",
			f.settings.Node, known, before.InForce, ready, census.Ready, census.Members-1)
	}
	f.note(func(s *Status) { s.Source, s.Ready = known, ready })
	if before.Ready != nil && ready == nil {
		f.announce()
	}
}

// readiness says whether a node may serve. Once it has a version in force it
// may: whatever happens then, it never goes back.
func readiness(known Source, s Status) error {
	switch {
	case known == SourceNone:
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
