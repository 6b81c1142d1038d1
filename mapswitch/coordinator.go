package mapswitch

// Phase is what a Coordinator is doing.
type Phase uint8

// The phases.
const (
	// Idle: the agent does not hold the lease.
	Idle Phase = iota
	// Reading and Claiming: the record is read, then written with the new token.
	Reading
	Claiming
	// Forming: members are told of the epoch until all run in it.
	Forming
	// Collecting: members are asked to load and to report.
	Collecting
	// WritingEpoch: the new epoch is being decided in the table service.
	WritingEpoch
	// Voting: a proposal waits for votes.
	Voting
	// Announcing: the outcome is told until every member has applied it.
	Announcing
	// Saving: the map in force is being written to the record.
	Saving
)

// Limits are the coordinator's settings.
type Limits struct {
	// LeadSteps is how many steps after the newest known one a switch is proposed
	// for. A stall that is shorter costs no step.
	LeadSteps uint64
	// MarginSteps is how many steps before the switching step the coordinator
	// withdraws a proposal that has not all votes.
	MarginSteps uint64
	// InquireTicks is how many ticks pass between two rounds of inquiries.
	InquireTicks int
	// UnresponsiveRounds is how many rounds a member may leave without a report
	// before it is noted as silent. Zero turns the note off.
	UnresponsiveRounds int
}

// Coordinator leads the group while its agent holds the lease. It keeps one
// proposal at a time. It decides nothing alone: an outcome follows from the
// members' votes, and a new epoch from one conditional write. A Coordinator is
// used by one goroutine.
type Coordinator struct {
	rank   Rank
	limits Limits
	coordinatorState
	// peers holds what is known of each rank, by rank.
	peers []peer
}

type coordinatorState struct {
	phase    Phase
	token    uint64
	seq      uint64
	step     uint64
	record   Record
	revision uint64
	target   Map
	wanted   TargetMembers
	// formedEpoch is the newest epoch that all members run in, as told to this leader.
	formedEpoch uint64
	// waited counts the ticks since the last round of inquiries.
	waited int
	// fresh holds the ranks that reported since then.
	fresh RankSet
	// done holds the ranks that voted, applied or formed in this phase.
	done     RankSet
	proposal Proposal
	asked    bool
	commit   bool
	reason   Reason
}

// peer is a member's newest report.
type peer struct {
	report Report
	silent int
}

// NewCoordinator returns an idle coordinator.
func NewCoordinator(rank Rank, limits Limits) Coordinator {
	return Coordinator{rank: rank, limits: limits}
}

// Handle takes one event and returns the actions that follow.
func (c *Coordinator) Handle(ev Event) []Action {
	switch ev := ev.(type) {
	case LeaseAcquired:
		return c.granted(ev.Token)
	case LeaseLost:
		return c.stepDown(ReasonLeaseLost)
	case TargetMap:
		return c.wantMap(ev.Map)
	case TargetMembers:
		return c.wantMembers(ev)
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

func (c *Coordinator) granted(token uint64) []Action {
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
	c.done, c.fresh = RankSet{}, RankSet{}
}

func (c *Coordinator) stepDown(reason Reason) []Action {
	if c.phase == Idle {
		return nil
	}
	c.enterPhase(Idle)
	return []Action{Note{Decision: SteppedDown, Proposal: Proposal{ID: ID{Token: c.token}}, Peer: c.rank, Reason: reason}}
}

func (c *Coordinator) wantMap(m Map) []Action {
	if m.Version <= c.target.Version {
		return nil
	}
	c.target = m
	if c.phase != Collecting {
		return nil
	}
	return c.lead()
}

// wantMembers leaves a proposal in flight behind: the new epoch voids it.
func (c *Coordinator) wantMembers(ev TargetMembers) []Action {
	c.wanted = ev
	switch c.phase {
	case Voting, Announcing, Forming, Collecting:
		c.enterPhase(Collecting)
		return c.lead()
	}
	return nil
}

func (c *Coordinator) recordRead(ev RecordRead) []Action {
	if c.phase != Reading {
		return nil
	}
	if !ev.OK {
		return c.recordUnknown()
	}
	c.record, c.revision = ev.Record, ev.Revision
	if c.record.Token > c.token {
		return c.stepDown(ReasonStaleToken)
	}
	if c.record.Token < c.token {
		c.enterPhase(Claiming)
		claimed := c.record
		claimed.Token = c.token
		return []Action{WriteRecord{claimed, c.revision}}
	}
	return c.startForming()
}

// recordUnknown lets a leader whose epoch runs go on switching maps during an
// outage of the table service. Its next write fails if the record has changed.
func (c *Coordinator) recordUnknown() []Action {
	if c.formedEpoch == 0 || c.formedEpoch != c.record.Epoch {
		return []Action{ReadRecord{}}
	}
	c.enterPhase(Collecting)
	return nil
}

// recordWritten reads the record back after any write without a clear answer.
func (c *Coordinator) recordWritten(ev RecordWritten) []Action {
	switch c.phase {
	case Claiming, WritingEpoch, Saving:
		c.enterPhase(Reading)
		return []Action{ReadRecord{}}
	}
	return nil
}

func (c *Coordinator) startForming() []Action {
	if c.wanted.Members == c.record.Members && c.wanted.Map.Version <= c.record.Map.Version {
		c.wanted = TargetMembers{}
	}
	if c.record.Epoch == c.formedEpoch || c.wanted.Members.Len() > 0 {
		c.enterPhase(Collecting)
		return c.lead()
	}
	c.enterPhase(Forming)
	return c.sendForm()
}

func (c *Coordinator) sendForm() []Action {
	data := ""
	if c.target.Ref == c.record.Map {
		data = c.target.Data
	}
	var actions []Action
	for r := range c.record.Members.All() {
		if !c.done.Has(r) {
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
	c.done = c.done.With(from)
	if !c.done.Contains(c.record.Members) {
		return nil
	}
	c.formedEpoch = c.record.Epoch
	c.enterPhase(Collecting)
	return c.lead()
}

func (c *Coordinator) reported(from Rank, m Report) []Action {
	if m.Token > c.token {
		return c.stepDown(ReasonStaleToken)
	}
	notes := c.noteEngine(from, m)
	c.learn(from, peer{report: m})
	if m.Refused != ReasonNone {
		return notes
	}
	c.fresh = c.fresh.With(from)
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

func (c *Coordinator) learn(r Rank, known peer) {
	if r < 0 || r >= MaxRanks {
		return
	}
	for int(r) >= len(c.peers) {
		c.peers = append(c.peers, peer{})
	}
	c.peers[r] = known
}

// advance takes the next step of Leading once the reports allow it.
func (c *Coordinator) advance() []Action {
	if c.wanted.Members.Len() > 0 {
		return c.advanceEpoch()
	}
	if !c.fresh.Contains(c.record.Members) {
		return nil
	}
	if c.record.Map.Version < c.target.Version && c.all(c.record.Members, c.runsTarget) {
		return c.save(c.target.Ref)
	}
	if c.all(c.record.Members, c.readyForTarget) {
		return c.propose()
	}
	return nil
}

func (c *Coordinator) all(ranks RankSet, ok func(Report) bool) bool {
	for r := range ranks.All() {
		if !ok(c.peer(r).report) {
			return false
		}
	}
	return ranks.Len() > 0
}

func (c *Coordinator) runsTarget(r Report) bool {
	return r.Epoch == c.record.Epoch && !r.SwitchInProgress && r.InForce == c.target.Ref
}

func (c *Coordinator) readyForTarget(r Report) bool {
	return r.Epoch == c.record.Epoch && !r.SwitchInProgress && r.Ready == c.target.Ref &&
		r.InForce.Version < c.target.Version
}
