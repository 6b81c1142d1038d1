package rollout

import "time"

// PeerSummary summarizes the state of a node's peers.
type PeerSummary struct {
	// Members is the number of nodes in the deployment, including this one.
	Members int
	// Ready is the number of other nodes that are ready, according to messages
	// received since this process started.
	Ready int
	// Holding is the number of these nodes that hold the given version or a newer
	// one.
	Holding int
	// Newest is the newest version that any of these nodes holds.
	Newest Digest
}

// majorityReady reports whether the ready peers are more than half of the members.
func (s PeerSummary) majorityReady() bool { return 2*s.Ready > s.Members }

// majorityHolds reports whether more than half of the members, including this
// node, hold the given version or a newer one.
func (s PeerSummary) majorityHolds() bool { return 2*(s.Holding+1) > s.Members }

// Source is the source from which a node has determined the newest version.
type Source string

// The sources.
const (
	SourceNone  Source = "none"
	SourceTable Source = "table"
	SourcePeers Source = "peers"
)

// Reason is the reason why a node is not ready.
type Reason string

// The reasons.
const (
	ReasonLatestUnknown Reason = "neither the table nor more than half of the nodes could be asked which version is newest"
	ReasonBodyMissing   Reason = "the newest version's body could not be had yet"
	ReasonNoVersion     Reason = "no configuration was accepted yet"
	ReasonSettling      Reason = "the newest version is not held by more than half of the nodes yet"
	ReasonRefused       Reason = "the newest version is unusable and no older one may be taken"
)

// startState holds what a node has determined since it started.
type startState struct {
	// tableRead is true after the first successful read of the table.
	tableRead bool
	// tableFailed is true after the first failed read of the table.
	tableFailed bool
	// confirmed is true after a transaction has confirmed that the version read
	// was the newest at that time.
	confirmed bool
}

// newestSource returns the source from which a starting node has determined the
// newest version, or SourceNone. A majority of the nodes is sufficient: a version
// comes into force when a majority holds it, and two majorities overlap. Without
// a majority the node needs the table and a transaction, since reads of the table
// may be stale.
func newestSource(s startState, summary PeerSummary) Source {
	switch {
	case s.confirmed, s.tableRead && summary.majorityReady():
		return SourceTable
	case s.tableFailed && summary.majorityReady():
		return SourcePeers
	}
	return SourceNone
}

// settled reports whether a held version may come into force. This requires that
// a majority of the nodes holds it, so that a restarted node finds it, or that
// the node has held it for the settle time without finding a majority.
func settled(summary PeerSummary, held, settle time.Duration) bool {
	return summary.majorityHolds() || held >= settle
}

// pollInterval returns the time between two reads of the table at which all
// members together stay within readsPerSecond.
func pollInterval(members int, readsPerSecond float64, shortest time.Duration) time.Duration {
	interval := time.Duration(float64(members) / readsPerSecond * float64(time.Second))
	return max(shortest, interval)
}
