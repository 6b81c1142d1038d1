package mapswitch

// Reason is the cause of a decision. Its String method returns a text for logs.
type Reason uint8

// The reasons.
const (
	ReasonNone Reason = iota
	// ReasonStaleToken: the sender's fencing token is lower than one seen before.
	ReasonStaleToken
	// ReasonOtherEpoch: the message belongs to another epoch of the group.
	ReasonOtherEpoch
	// ReasonOtherMembers: the proposal names another set of members.
	ReasonOtherMembers
	// ReasonOtherIncarnation: the message was addressed to an earlier agent process.
	ReasonOtherIncarnation
	// ReasonOtherEngine: the epoch was decided for an earlier engine process.
	ReasonOtherEngine
	// ReasonClosed: this proposal, or a later one, was already refused or decided.
	ReasonClosed
	// ReasonBusy: the agent has voted for another proposal that is undecided.
	ReasonBusy
	// ReasonNotLoaded: the engine has not loaded the map's experts.
	ReasonNotLoaded
	// ReasonOldVersion: the map is not newer than the one in force.
	ReasonOldVersion
	// ReasonStepPassed: the engine has begun the switching step.
	ReasonStepPassed
	// ReasonRecovering: the agent restarted and has not yet read the highest
	// granted fencing token.
	ReasonRecovering
	// ReasonWithdrawn: the agent received an Ask before it had voted.
	ReasonWithdrawn
	// ReasonUnanimous: every member voted for the proposal.
	ReasonUnanimous
	// ReasonLeaseLost: the lease expired or another agent holds it.
	ReasonLeaseLost
	// ReasonLeaseGranted: the agent holds the lease.
	ReasonLeaseGranted
	// ReasonMembersChanged: the group's members changed.
	ReasonMembersChanged
	// ReasonNewMap: a newer map is to be put in force.
	ReasonNewMap
	// ReasonUnresponsive: a member has sent no report for
	// Limits.UnresponsiveRounds rounds.
	ReasonUnresponsive
)

var reasonTexts = [...]string{
	ReasonNone:             "none",
	ReasonStaleToken:       "fencing token is stale",
	ReasonOtherEpoch:       "epoch differs",
	ReasonOtherMembers:     "members differ",
	ReasonOtherIncarnation: "addressed to another agent incarnation",
	ReasonOtherEngine:      "engine restarted since the epoch was decided",
	ReasonClosed:           "proposal was already refused or decided",
	ReasonBusy:             "another proposal is undecided",
	ReasonNotLoaded:        "experts are not loaded",
	ReasonOldVersion:       "map is not newer than the one in force",
	ReasonStepPassed:       "engine has begun the switching step",
	ReasonRecovering:       "highest fencing token has not been read yet",
	ReasonWithdrawn:        "member did not vote in time",
	ReasonUnanimous:        "all members voted for the proposal",
	ReasonLeaseLost:        "lease is lost",
	ReasonLeaseGranted:     "lease is held",
	ReasonMembersChanged:   "group members changed",
	ReasonNewMap:           "newer map requested",
	ReasonUnresponsive:     "member is unresponsive",
}

// String returns a short phrase for logs.
func (r Reason) String() string {
	if int(r) < len(reasonTexts) {
		return reasonTexts[r]
	}
	return "unknown"
}

// Decision is the kind of decision that a Note reports.
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

// String returns a short phrase for logs.
func (d Decision) String() string {
	if int(d) < len(decisionTexts) && d > 0 {
		return decisionTexts[d]
	}
	return "unknown"
}
