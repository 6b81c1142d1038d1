package mapswitch

// Message is a message between agents of a group. Messages may be lost,
// duplicated, delayed and reordered. All message types are comparable.
type Message interface{ message() }

// Envelope is a message with its sender and receiver.
type Envelope struct {
	From Rank
	To   Rank
	Msg  Message
}

// Inquire requests a Report from a member and carries the coordinator's fencing
// token, below which the member rejects messages from then on. If Load has a
// version, the member also loads that map.
type Inquire struct {
	Token uint64
	Epoch uint64
	Load  Map
}

// Report is the response to an Inquire, and to a Form that was refused.
type Report struct {
	// Token is the highest fencing token that the agent has seen.
	Token uint64
	// Incarnation is that of the agent process, Engine that of the engine
	// process.
	Incarnation uint64
	Engine      uint64
	Epoch       uint64
	// Step is the step that the engine is executing.
	Step uint64
	// InForce is the map of the latest switch or epoch. Ready is another map
	// whose experts the engine has loaded.
	InForce Ref
	Ready   Ref
	// SwitchInProgress is true while the outcome of a proposal that the agent
	// voted for is unknown, and after a commit until its engine reaches the
	// switching step. The agent starts no load meanwhile.
	SwitchInProgress bool
	Refused          Reason
}

// Propose requests a vote on a proposal. Incarnation identifies the agent
// process that it is addressed to.
type Propose struct {
	Proposal
	Incarnation uint64
}

// Ask queries a member's vote on a proposal. A member that has not voted for it
// refuses it, and this refusal is final.
type Ask struct{ Proposal }

// Vote is a member's vote on a proposal. It is final.
type Vote struct {
	ID
	Yes    bool
	Reason Reason
}

// Decide announces the outcome of a proposal.
type Decide struct {
	Proposal
	Commit bool
	Reason Reason
}

// Applied acknowledges a Decide: the sender has applied the outcome, or has no
// open vote for the proposal.
type Applied struct{ ID }

// Form requests that a member join the epoch that the group's record defines.
type Form struct {
	Token  uint64
	Record Record
	// Data is the content of the record's map. It may be empty.
	Data string
}

// Formed is the response to a Form: the sender's engine runs in the epoch.
type Formed struct {
	Token uint64
	Epoch uint64
}

func (Inquire) message() {}
func (Report) message()  {}
func (Propose) message() {}
func (Ask) message()     {}
func (Vote) message()    {}
func (Decide) message()  {}
func (Applied) message() {}
func (Form) message()    {}
func (Formed) message()  {}
