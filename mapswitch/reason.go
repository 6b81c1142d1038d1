package mapswitch

// Reason says why a decision was taken. It is fit for a log line.
type Reason uint8

// The reasons.
const (
	ReasonNone Reason = iota
	// ReasonStaleToken: the sender's fencing token is older than one seen.
	ReasonStaleToken
	// ReasonOtherEpoch: the message belongs to another epoch of the group.
	ReasonOtherEpoch
	// ReasonOtherMembers: the proposal names another set of members.
	ReasonOtherMembers
	// ReasonOtherIncarnation: the message was meant for an earlier agent process.
	ReasonOtherIncarnation
	// ReasonOtherEngine: the epoch was decided with an earlier engine process.
	ReasonOtherEngine
	// ReasonClosed: the proposal, or a later one, was refused or decided before.
	ReasonClosed
	// ReasonBusy: the agent has voted for a proposal that is not yet decided.
	ReasonBusy
	// ReasonNotLoaded: the engine has not confirmed the map's experts as loaded.
	ReasonNotLoaded
	// ReasonOldVersion: the map is not newer than the one in force.
	ReasonOldVersion
	// ReasonStepPassed: the engine has begun the switching step.
	ReasonStepPassed
	// ReasonRecovering: the agent restarted and has not yet read the newest token.
	ReasonRecovering
	// ReasonWithdrawn: the agent was asked for its vote before it had voted.
	ReasonWithdrawn
	// ReasonUnanimous: every member voted for the proposal.
	ReasonUnanimous
	// ReasonLeaseLost: the lease lapsed or another agent holds it.
	ReasonLeaseLost
	// ReasonLeaseGranted: the agent holds the lease.
	ReasonLeaseGranted
	// ReasonMembersChanged: the rank set changed.
	ReasonMembersChanged
	// ReasonNewMap: the owner asked for a newer map.
	ReasonNewMap
	// ReasonUnresponsive: a member has not answered for the whole silence limit.
	ReasonUnresponsive
)

var reasonTexts = [...]string{
	ReasonNone:             "none",
	ReasonStaleToken:       "fencing token is old",
	ReasonOtherEpoch:       "epoch differs",
	ReasonOtherMembers:     "members differ",
	ReasonOtherIncarnation: "meant for another agent incarnation",
	ReasonOtherEngine:      "engine restarted since the epoch was decided",
	ReasonClosed:           "proposal is closed",
	ReasonBusy:             "bound by an undecided proposal",
	ReasonNotLoaded:        "experts are not loaded",
	ReasonOldVersion:       "map is not newer than the one in force",
	ReasonStepPassed:       "engine has begun the switching step",
	ReasonRecovering:       "newest fencing token is not yet known",
	ReasonWithdrawn:        "no vote was given in time",
	ReasonUnanimous:        "all members voted for it",
	ReasonLeaseLost:        "lease is lost",
	ReasonLeaseGranted:     "lease is held",
	ReasonMembersChanged:   "rank set changed",
	ReasonNewMap:           "a newer map is wanted",
	ReasonUnresponsive:     "member is silent",
}

// String returns a short phrase.
func (r Reason) String() string {
	if int(r) < len(reasonTexts) {
		return reasonTexts[r]
	}
	return "unknown"
}

// Decision is the kind of a Note.
type Decision uint8

// The decisions.
const (
	Proposed Decision = iota + 1
	Voted
	Refused
	Committed
	Aborted
	NewEpoch
	BecameCoordinator
	SteppedDown
	RankUnresponsive
	Saved
)

var decisionTexts = [...]string{
	Proposed:          "proposed",
	Voted:             "voted",
	Refused:           "refused",
	Committed:         "committed",
	Aborted:           "aborted",
	NewEpoch:          "new epoch",
	BecameCoordinator: "took the lead",
	SteppedDown:       "stepped down",
	RankUnresponsive:  "rank is silent",
	Saved:             "saved",
}

// String returns a word or two.
func (d Decision) String() string {
	if int(d) < len(decisionTexts) && d > 0 {
		return decisionTexts[d]
	}
	return "unknown"
}
