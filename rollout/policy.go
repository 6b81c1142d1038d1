package rollout

import "time"

// PeerSummary is what a node knows of its peers' versions.
type PeerSummary struct {
	// Members counts the nodes of the deployment, this one included.
	Members int
	// Ready counts the other nodes that were heard since this process started
	// and that are ready themselves.
	Ready int
	// Holding counts those of Ready that hold the version asked for, or a newer
	// one.
	Holding int
	// Newest is the newest version that any of Ready holds.
	Newest Digest
}

// majorityReady tells whether more than half of the members were heard.
func (c PeerSummary) majorityReady() bool { return 2*c.Ready > c.Members }

// majorityHolds tells whether more than half of the members, this node
// included, hold the version asked for.
func (c PeerSummary) majorityHolds() bool { return 2*(c.Holding+1) > c.Members }

// Source is how a node came to know that its configuration is new enough.
type Source string

// The sources.
const (
	SourceNone  Source = "none"
	SourceTable Source = "table"
	SourcePeers Source = "peers"
)

// Reason says why a node is not ready.
type Reason string

// The reasons.
const (
	ReasonLatestUnknown Reason = "neither the table nor more than half of the nodes could be asked which version is newest"
	ReasonBodyMissing   Reason = "the newest version's body could not be had yet"
	ReasonNoVersion     Reason = "no configuration was accepted yet"
	ReasonSettling      Reason = "the newest version is not held by more than half of the nodes yet"
	ReasonRefused       Reason = "the newest version is unusable and no older one may be taken"
)

// start is what a node has found out since it started.
type start struct {
	// tableRead is set after the first successful read.
	tableRead bool
	// tableFailed is set after the first failed read.
	tableFailed bool
	// confirmed is set after a transaction showed that the version read was the
	// newest at that time.
	confirmed bool
}

// source decides whether a node that starts knows which version is newest.
// More than half of the nodes know: a version that came into force was held by
// more than half, and two majorities share a node. Where they can't be heard,
// the table knows, but only a transaction tells for sure, since reads may lag.
func source(s start, c PeerSummary) Source {
	switch {
	case s.confirmed, s.tableRead && c.majorityReady():
		return SourceTable
	case s.tableFailed && c.majorityReady():
		return SourcePeers
	}
	return SourceNone
}

// settled tells whether a held version may come into force: when more than half
// of the nodes hold it, so that a node that restarts hears of it, or when they
// could not be asked for a while.
func settled(c PeerSummary, held, settle time.Duration) bool {
	return c.majorityHolds() || held >= settle
}

// pollInterval returns the time between two reads of the table, such that all
// members together stay within readsPerSecond.
func pollInterval(members int, readsPerSecond float64, shortest time.Duration) time.Duration {
	interval := time.Duration(float64(members) / readsPerSecond * float64(time.Second))
	return max(shortest, interval)
}
