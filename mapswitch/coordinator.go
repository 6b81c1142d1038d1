package mapswitch

// Phase is the phase that a Coordinator is in.
type Phase uint8

// The phases.
const (
	// Idle: the agent does not hold the lease.
	Idle Phase = iota
	// Reading: the group's record is being read. Claiming: it is being written
	// with the coordinator's fencing token.
	Reading
	Claiming
	// Forming: Form is sent to the members until all run in the epoch.
	Forming
	// Collecting: Inquire is sent to the members, which load the target map and
	// report.
	Collecting
	// WritingEpoch: the record of a new epoch is being written.
	WritingEpoch
	// Voting: votes on a proposal are being collected.
	Voting
	// Announcing: the outcome is sent until every member has acknowledged it.
	Announcing
	// Saving: the map in force is being written to the record.
	Saving
)

// Limits holds the settings of a Coordinator.
type Limits struct {
	// LeadSteps is the number of steps from the highest known step to the step of
	// a proposed switch. A stall shorter than that does not delay any step.
	LeadSteps uint64
	// MarginSteps is the number of steps before the switching step at which the
	// coordinator withdraws a proposal that is still missing votes.
	MarginSteps uint64
	// InquireTicks is the number of ticks between two rounds of inquiries.
	InquireTicks int
	// UnresponsiveRounds is the number of consecutive rounds without a report
	// after which a member is noted as unresponsive. Zero disables the note.
	UnresponsiveRounds int
}

// Coordinator coordinates the group while its agent holds the lease. It has at
// most one proposal at a time. It can't decide alone: the outcome of a proposal
// follows from the members' votes, and a new epoch from a conditional write of
// the record. A Coordinator must be used by a single goroutine.
type Coordinator struct {
	rank   Rank
	limits Limits
	coordinatorState
	// peers is indexed by rank.
	peers []peer
}

type coordinatorState struct {
	phase Phase
	token uint64
	// seq is the sequence number of the latest proposal, and step the current
	// step of the engine beside the coordinator.
	seq  uint64
	step uint64
	// record is the group's record as last read, at the given revision.
	record    Record
	revision  uint64
	targetMap Map
	// nextEpoch is the requested new epoch, or zero.
	nextEpoch TargetMembers
	// formedEpoch is the newest epoch that all members have confirmed to this
	// coordinator.
	formedEpoch uint64
	// ticksSinceInquiry counts the ticks since the latest round of inquiries.
	ticksSinceInquiry int
	// reportedRanks holds the ranks that have reported since then.
	reportedRanks RankSet
	// doneRanks holds the ranks that have voted, acknowledged the outcome or joined
	// the epoch in this phase.
	doneRanks RankSet
	// proposal is the latest proposal. In Announcing, commit is its outcome and
	// reason the cause.
	proposal         Proposal
	ownVoteRequested bool
	commit           bool
	reason           Reason
}

// peer holds the latest report of a rank and the number of inquiry rounds since.
type peer struct {
	report       Report
	missedRounds int
}

// NewCoordinator returns an idle coordinator.
func NewCoordinator(rank Rank, limits Limits) Coordinator {
	return Coordinator{rank: rank, limits: limits}
}

// Handle processes one event and returns the resulting actions.
func (c *Coordinator) Handle(ev Event) []Action {
	switch ev := ev.(type) {
	case LeaseAcquired:
		return c.leaseAcquired(ev.Token)
	case LeaseLost:
		return c.stepDown(ReasonLeaseLost)
	case TargetMap:
		return c.setTargetMap(ev.Map)
	case TargetMembers:
		return c.setTargetMembers(ev)
	case Received:
		return c.receive(ev.From, ev.Msg)
	case RecordRead:
		return c.recordRead(ev)
	case RecordWritten:
		return c.recordWritten(ev)
	case Tick:
		return c.tick(ev.Step)
	}
	return nil
}

func (c *Coordinator) leaseAcquired(token uint64) []Action {
	if token < c.token || token == c.token && c.phase != Idle {
		return nil
	}
	if token > c.token {
		c.seq = 0
	}
	c.token, c.formedEpoch = token, 0
	clear(c.peers)
	c.enterPhase(Reading)
	return []Action{
		Note{Decision: BecameCoordinator, Proposal: Proposal{ID: ID{Token: token}}, Peer: c.rank, Reason: ReasonLeaseGranted},
		ReadRecord{},
	}
}

func (c *Coordinator) enterPhase(ph Phase) {
	c.phase = ph
	c.doneRanks, c.reportedRanks = RankSet{}, RankSet{}
}

func (c *Coordinator) stepDown(reason Reason) []Action {
	if c.phase == Idle {
		return nil
	}
	c.enterPhase(Idle)
	return []Action{Note{Decision: SteppedDown, Proposal: Proposal{ID: ID{Token: c.token}}, Peer: c.rank, Reason: reason}}
}

func (c *Coordinator) setTargetMap(m Map) []Action {
	if m.Version <= c.targetMap.Version {
		return nil
	}
	c.targetMap = m
	if c.phase != Collecting {
		return nil
	}
	return c.inquireMembers()
}

// setTargetMembers abandons a proposal in progress, because the new epoch
// invalidates it.
func (c *Coordinator) setTargetMembers(ev TargetMembers) []Action {
	c.nextEpoch = ev
	switch c.phase {
	case Voting, Announcing, Forming, Collecting:
		c.enterPhase(Collecting)
		return c.inquireMembers()
	}
	return nil
}

func (c *Coordinator) recordRead(ev RecordRead) []Action {
	if c.phase != Reading {
		return nil
	}
	if !ev.OK {
		return c.recordReadFailed()
	}
	c.record, c.revision = ev.Record, ev.Revision
	if c.record.Token > c.token {
		return c.stepDown(ReasonStaleToken)
	}
	if c.record.Token < c.token {
		c.enterPhase(Claiming)
		updated := c.record
		updated.Token = c.token
		return []Action{WriteRecord{updated, c.revision}}
	}
	return c.startForming()
}

// recordReadFailed lets a coordinator whose epoch is running continue to switch
// maps during an outage of the table service. Its next write fails if the record
// has changed.
func (c *Coordinator) recordReadFailed() []Action {
	if c.formedEpoch == 0 || c.formedEpoch != c.record.Epoch {
		return []Action{ReadRecord{}}
	}
	c.enterPhase(Collecting)
	return nil
}

// recordWritten reads the record back after every write, since a failed write may
// have taken effect.
func (c *Coordinator) recordWritten(ev RecordWritten) []Action {
	switch c.phase {
	case Claiming, WritingEpoch, Saving:
		c.enterPhase(Reading)
		return []Action{ReadRecord{}}
	}
	return nil
}

func (c *Coordinator) startForming() []Action {
	if c.nextEpoch.Members == c.record.Members && c.nextEpoch.Map.Version <= c.record.Map.Version {
		c.nextEpoch = TargetMembers{}
	}
	if c.record.Epoch == c.formedEpoch || c.nextEpoch.Members.Len() > 0 {
		c.enterPhase(Collecting)
		return c.inquireMembers()
	}
	c.enterPhase(Forming)
	return c.sendForm()
}

func (c *Coordinator) sendForm() []Action {
	data := ""
	if c.targetMap.Ref == c.record.Map {
		data = c.targetMap.Data
	}
	var actions []Action
	for r := range c.record.Members.All() {
		if !c.doneRanks.Has(r) {
			actions = append(actions, Send{r, Form{Token: c.token, Record: c.record, Data: data}})
		}
	}
	return actions
}

func (c *Coordinator) receive(from Rank, msg Message) []Action {
	if c.phase == Idle {
		return nil
	}
	switch m := msg.(type) {
	case Report:
		return c.reported(from, m)
	case Vote:
		return c.voted(from, m)
	case Decide:
		if c.phase == Voting && m.ID == c.proposal.ID && m.Commit {
			return c.decide(true, ReasonUnanimous)
		}
	case Applied:
		if c.phase == Announcing && m.ID == c.proposal.ID {
			return c.applied(from)
		}
	case Formed:
		if c.phase == Forming && m.Token == c.token && m.Epoch == c.record.Epoch {
			return c.formed(from)
		}
	}
	return nil
}

func (c *Coordinator) formed(from Rank) []Action {
	c.doneRanks = c.doneRanks.With(from)
	if !c.doneRanks.Contains(c.record.Members) {
		return nil
	}
	c.formedEpoch = c.record.Epoch
	c.enterPhase(Collecting)
	return c.inquireMembers()
}

func (c *Coordinator) reported(from Rank, m Report) []Action {
	if m.Token > c.token {
		return c.stepDown(ReasonStaleToken)
	}
	notes := c.noteEngine(from, m)
	c.setPeer(from, peer{report: m})
	if m.Refused != ReasonNone {
		return notes
	}
	c.reportedRanks = c.reportedRanks.With(from)
	if c.phase != Collecting {
		return notes
	}
	return append(notes, c.advance()...)
}

func (c *Coordinator) peer(r Rank) peer {
	if int(r) >= len(c.peers) {
		return peer{}
	}
	return c.peers[r]
}

func (c *Coordinator) setPeer(r Rank, p peer) {
	if r < 0 || r >= MaxRanks {
		return
	}
	for int(r) >= len(c.peers) {
		c.peers = append(c.peers, peer{})
	}
	c.peers[r] = p
}

// advance leaves Collecting for the next phase once the reports permit it.
func (c *Coordinator) advance() []Action {
	if c.nextEpoch.Members.Len() > 0 {
		return c.advanceEpoch()
	}
	if !c.reportedRanks.Contains(c.record.Members) {
		return nil
	}
	if c.record.Map.Version < c.targetMap.Version && c.allReports(c.record.Members, c.runsTarget) {
		return c.saveMap(c.targetMap.Ref)
	}
	if c.allReports(c.record.Members, c.readyForTarget) {
		return c.propose()
	}
	return nil
}

func (c *Coordinator) allReports(ranks RankSet, ok func(Report) bool) bool {
	for r := range ranks.All() {
		if !ok(c.peer(r).report) {
			return false
		}
	}
	return ranks.Len() > 0
}

func (c *Coordinator) runsTarget(r Report) bool {
	return r.Epoch == c.record.Epoch && !r.SwitchInProgress && r.InForce == c.targetMap.Ref
}

func (c *Coordinator) readyForTarget(r Report) bool {
	return r.Epoch == c.record.Epoch && !r.SwitchInProgress && r.Ready == c.targetMap.Ref &&
		r.InForce.Version < c.targetMap.Version
}
