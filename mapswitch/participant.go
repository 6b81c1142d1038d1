package mapswitch

// Participant is the state machine of the agent beside one engine. It chooses the
// orders to the engine, votes on proposals and derives their outcomes. It has no
// goroutines and no clock, and must be used by a single goroutine.
//
// Invariants:
//   - The agent votes only after the engine has confirmed a hold at the proposal's
//     step. Only the proposal's outcome or a new epoch ends the hold.
//   - A refusal is final: the agent never votes for a proposal whose ID is at or
//     below closedUpTo, nor, after a restart, for one addressed to an earlier
//     incarnation.
//   - The tokens of orders never decrease.
type Participant struct {
	rank        Rank
	incarnation uint64
	engine      uint64
	// recovering is true until the highest granted token has been read.
	recovering bool
	// token is the highest token seen.
	token   uint64
	epoch   uint64
	members RankSet
	step    uint64
	inForce Ref
	ready   Ref
	loading Ref
	loadSeq uint64
	// reportTo is the rank that requested the load.
	reportTo Rank
	// undecided is the proposal that the agent has voted for and whose outcome it
	// doesn't have yet, or zero.
	undecided Proposal
	// yesVotes holds the members from which a vote for undecided has arrived,
	// including this one.
	yesVotes RankSet
	// tickedSinceVote is set by the first tick after a vote. Each later tick queries
	// the other members' votes.
	tickedSinceVote bool
	// pending is the proposal of the OrderHold being executed.
	pending     Proposal
	pendingFrom Rank
	// switched is the latest proposal that was committed in this epoch.
	switched Proposal
	// closedUpTo is the highest ID of a proposal that the agent has refused or
	// that is decided.
	closedUpTo ID
	// forming is the record of a newer epoch while its map is being loaded.
	forming Record
}

// NewParticipant returns the participant of a new agent process. The incarnation
// must differ from those of all earlier agent processes beside the engine, and
// the status must have been read after the last order of an earlier process took
// effect.
func NewParticipant(rank Rank, incarnation uint64, st Status) Participant {
	return Participant{
		rank:        rank,
		incarnation: incarnation,
		engine:      st.Engine,
		recovering:  true,
		token:       max(st.Held.Token, st.Switched.Token),
		epoch:       st.Epoch,
		members:     st.Members,
		step:        st.Step,
		inForce:     st.InForce,
		ready:       st.Ready,
		undecided:   st.Held,
		yesVotes:    Ranks(rank),
		switched:    st.Switched,
	}
}

// Handle processes one event and returns the resulting actions.
func (p *Participant) Handle(ev Event) []Action {
	switch ev := ev.(type) {
	case Received:
		return p.receive(ev.From, ev.Msg)
	case Tick:
		return p.tick(ev.Step)
	case TokenRead:
		p.tokenRead(ev)
	case HoldDone:
		return p.holdDone(ev)
	case LoadDone:
		return p.loadDone(ev)
	}
	return nil
}

func (p *Participant) tokenRead(ev TokenRead) {
	if ev.Incarnation != p.incarnation {
		return
	}
	p.recovering = false
	p.token = max(p.token, ev.Token)
}

func (p *Participant) receive(from Rank, msg Message) []Action {
	switch m := msg.(type) {
	case Inquire:
		return p.inquire(from, m)
	case Propose:
		return p.propose(from, m)
	case Ask:
		return p.ask(from, m.Proposal)
	case Vote:
		return p.vote(from, m)
	case Decide:
		return p.decide(from, m)
	case Form:
		return p.form(from, m)
	}
	return nil
}

// checkToken refuses a token lower than the highest one seen, and records a
// higher one.
func (p *Participant) checkToken(token uint64) Reason {
	if p.recovering {
		return ReasonRecovering
	}
	if token < p.token {
		return ReasonStaleToken
	}
	p.token = token
	return ReasonNone
}

func (p *Participant) report(reason Reason) Report {
	return Report{
		Token:            p.token,
		Incarnation:      p.incarnation,
		Engine:           p.engine,
		Epoch:            p.epoch,
		Step:             p.step,
		InForce:          p.inForce,
		Ready:            p.ready,
		SwitchInProgress: p.hasUndecided() || p.switchPending(),
		Refused:          reason,
	}
}

func (p *Participant) hasUndecided() bool { return p.undecided != Proposal{} }

// switchPending reports whether the engine has yet to reach the step of a
// committed switch. Until then it needs the experts of both maps.
func (p *Participant) switchPending() bool { return p.step < p.switched.Step }

func (p *Participant) loaded(ref Ref) bool { return ref == p.inForce || ref == p.ready }

func (p *Participant) inquire(from Rank, m Inquire) []Action {
	reason := p.checkToken(m.Token)
	if reason == ReasonNone && m.Epoch < p.epoch {
		reason = ReasonOtherEpoch
	}
	var actions []Action
	if reason == ReasonNone && p.mayLoad(m.Load.Ref) {
		actions = p.load(m.Load)
		p.reportTo = from
	}
	return append(actions, Send{from, p.report(reason)})
}

// mayLoad reports whether the engine may load the map. An engine has room for one
// map besides the one in force, so a load is not allowed while it would evict
// the map of an undecided or committed proposal.
func (p *Participant) mayLoad(ref Ref) bool {
	if ref.Version == 0 || p.loaded(ref) || ref == p.loading {
		return false
	}
	return !p.hasUndecided() && !p.switchPending() && p.forming.Epoch == 0
}

func (p *Participant) load(m Map) []Action {
	p.ready = Ref{}
	p.loading = m.Ref
	p.loadSeq++
	return []Action{OrderLoad{LoadID{p.incarnation, p.loadSeq}, p.token, m}}
}

func (p *Participant) loadDone(ev LoadDone) []Action {
	if ev.LoadID != (LoadID{p.incarnation, p.loadSeq}) {
		return nil
	}
	ref := p.loading
	p.loading = Ref{}
	if !ev.OK {
		return nil
	}
	p.ready = ref
	if p.forming.Epoch > p.epoch && p.loaded(p.forming.Map) {
		return p.enterEpoch(p.forming)
	}
	return []Action{Send{p.reportTo, p.report(ReasonNone)}}
}

func (p *Participant) propose(from Rank, m Propose) []Action {
	if m.Epoch == p.epoch && (m.ID == p.undecided.ID || m.ID == p.switched.ID) {
		return p.ask(from, m.Proposal)
	}
	if reason := p.refusalReason(m); reason != ReasonNone {
		return p.refuse(from, m.Proposal, reason)
	}
	p.pending, p.pendingFrom = m.Proposal, from
	return []Action{OrderHold{p.token, m.Proposal}}
}

func (p *Participant) refusalReason(m Propose) Reason {
	reason := p.checkToken(m.Token)
	switch {
	case reason != ReasonNone:
		return reason
	case m.Epoch != p.epoch || p.forming.Epoch != 0:
		return ReasonOtherEpoch
	case m.Members != p.members || !m.Members.Has(p.rank):
		return ReasonOtherMembers
	case m.Incarnation != p.incarnation:
		return ReasonOtherIncarnation
	case !p.closedUpTo.Less(m.ID):
		return ReasonClosed
	case p.hasUndecided():
		return ReasonBusy
	case m.Map.Version <= p.inForce.Version:
		return ReasonOldVersion
	case m.Map != p.ready:
		return ReasonNotLoaded
	case m.Step <= p.switched.Step:
		return ReasonStepPassed
	}
	return ReasonNone
}

// refuse closes the proposal before it responds, which makes the refusal final.
func (p *Participant) refuse(from Rank, prop Proposal, reason Reason) []Action {
	p.close(prop.ID)
	return []Action{
		Note{Refused, prop, from, reason},
		Send{from, Vote{ID: prop.ID, Reason: reason}},
	}
}

func (p *Participant) close(id ID) {
	if p.closedUpTo.Less(id) {
		p.closedUpTo = id
	}
}

func (p *Participant) holdDone(ev HoldDone) []Action {
	prop, from := p.pending, p.pendingFrom
	p.pending, p.pendingFrom = Proposal{}, 0
	if prop.ID != ev.ID {
		return nil
	}
	if !ev.OK {
		return p.refuse(from, prop, ReasonStepPassed)
	}
	p.undecided, p.yesVotes, p.tickedSinceVote = prop, Ranks(p.rank), false
	return []Action{
		Note{Voted, prop, from, ReasonNone},
		Send{from, Vote{ID: prop.ID, Yes: true}},
	}
}

// ask responds to a query for the agent's vote with a final vote or the outcome.
// It ignores queries of other epochs, since a vote is only valid in its own.
func (p *Participant) ask(from Rank, prop Proposal) []Action {
	switch {
	case prop.Epoch != p.epoch:
		return nil
	case prop.ID == p.undecided.ID:
		return []Action{Send{from, Vote{ID: prop.ID, Yes: true}}}
	case prop.ID == p.switched.ID:
		return []Action{Send{from, Decide{Proposal: p.switched, Commit: true, Reason: ReasonUnanimous}}}
	}
	return p.refuse(from, prop, ReasonWithdrawn)
}

func (p *Participant) vote(from Rank, m Vote) []Action {
	if !p.hasUndecided() || m.ID != p.undecided.ID || !p.undecided.Members.Has(from) {
		return nil
	}
	if !m.Yes {
		return p.abort(p.undecided, m.Reason)
	}
	p.yesVotes = p.yesVotes.With(from)
	if !p.yesVotes.Contains(p.undecided.Members) {
		return nil
	}
	return p.commit(p.undecided)
}

func (p *Participant) decide(from Rank, m Decide) []Action {
	var actions []Action
	if p.hasUndecided() && m.ID == p.undecided.ID {
		if m.Commit {
			actions = p.commit(p.undecided)
		} else {
			actions = p.abort(p.undecided, m.Reason)
		}
	}
	if p.undecided.ID == m.ID {
		return actions
	}
	p.close(m.ID)
	return append(actions, Send{from, Applied{m.ID}})
}

// commit orders the switch. If the map's experts are not loaded, because they
// were evicted by the map of a newer epoch, the engine remains held until it
// joins that epoch.
func (p *Participant) commit(prop Proposal) []Action {
	if !p.loaded(prop.Map) || p.forming.Epoch != 0 {
		return nil
	}
	p.close(prop.ID)
	p.undecided, p.switched = Proposal{}, prop
	p.inForce, p.ready = prop.Map, Ref{}
	p.token = max(p.token, prop.Token)
	return []Action{
		OrderUse{p.token, prop},
		Note{Committed, prop, p.rank, ReasonUnanimous},
	}
}

func (p *Participant) abort(prop Proposal, reason Reason) []Action {
	if p.forming.Epoch != 0 {
		return nil
	}
	p.close(prop.ID)
	p.undecided = Proposal{}
	p.token = max(p.token, prop.Token)
	return []Action{
		OrderRelease{p.token, prop},
		Note{Aborted, prop, p.rank, reason},
	}
}

func (p *Participant) tick(step uint64) []Action {
	p.step = step
	if !p.hasUndecided() {
		return nil
	}
	if !p.tickedSinceVote {
		p.tickedSinceVote = true
		return nil
	}
	return p.queryMembers()
}

// queryMembers derives the outcome from the members' votes, without the
// coordinator and the table service.
func (p *Participant) queryMembers() []Action {
	if p.yesVotes.Contains(p.undecided.Members) {
		return p.commit(p.undecided)
	}
	var actions []Action
	for r := range p.undecided.Members.All() {
		if !p.yesVotes.Has(r) {
			actions = append(actions, Send{r, Ask{p.undecided}})
		}
	}
	return actions
}
