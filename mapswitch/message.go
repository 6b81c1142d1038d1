package mapswitch

// Message is one message between agents of a group. Messages may be lost,
// doubled, delayed and reordered. All of them are comparable values.
type Message interface{ message() }

// Envelope is a message with its sender and its receiver.
type Envelope struct {
	From Rank
	To   Rank
	Msg  Message
}

// Inquire asks a member for a Report, raises its newest token, and asks it to
// load a map when Load has a version.
type Inquire struct {
	Token uint64
	Epoch uint64
	Load  Map
}

// Report answers Inquire, and a Form that was refused.
type Report struct {
	// Token is the newest token that the agent has seen.
	Token       uint64
	Incarnation uint64
	Engine      uint64
	Epoch       uint64
	// Step is the step that the engine is in.
	Step uint64
	// InForce is the map of the newest switch or epoch, Ready another map whose
	// experts the engine has confirmed as loaded.
	InForce Ref
	Ready   Ref
	// SwitchInProgress is true while the agent has voted and knows no outcome, and while
	// its engine has not reached the step of a switch. It loads nothing then.
	SwitchInProgress bool
	Refused          Reason
}

// Propose asks for a vote. Incarnation is the agent process that is meant.
type Propose struct {
	Proposal
	Incarnation uint64
}

// Ask asks a member for its vote. A member that has not voted refuses the
// proposal for good.
type Ask struct{ Proposal }

// Vote is a member's vote. It is never taken back.
type Vote struct {
	ID
	Yes    bool
	Reason Reason
}

// Decide tells a proposal's outcome.
type Decide struct {
	Proposal
	Commit bool
	Reason Reason
}

// Applied says that the sender is no longer bound by the proposal.
type Applied struct{ ID }

// Form tells a member of the epoch that was decided in the table service.
type Form struct {
	Token  uint64
	Record Record
	// Data is the map's content, or empty.
	Data string
}

// Formed says that the sender's engine runs in the epoch.
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
