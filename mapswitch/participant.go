package mapswitch

// Participant decides for the agent beside one engine: which orders reach the
// engine, how the agent votes, and when it knows a proposal's outcome. It has
// no goroutines and no clock. A Participant is used by one goroutine.
//
// Invariants:
//   - A vote is given only after the engine holds at the proposal's step, and
//     the hold ends only by the proposal's outcome or by a new epoch.
//   - A proposal that was refused once is refused for ever: ids at or below
//     closed get no vote, and after a restart neither does a proposal meant for
//     an earlier incarnation.
//   - Orders carry tokens that never decrease.
type Participant struct {
	rank        Rank
	incarnation uint64
	engine      uint64
	// recovering is true until the newest granted token is known.
	recovering bool
	token      uint64
	epoch      uint64
	members    RankSet
	step       uint64
	inForce    Ref
	ready      Ref
	loading    Ref
	loadSeq    uint64
	// reportTo is the rank that asked for the load.
	reportTo Rank
	// bound is the proposal that the agent voted for, while undecided.
	bound Proposal
	yes   RankSet
	// patient is set by the first tick while bound; later ones ask the members.
	patient bool
	// pending is a proposal whose hold is being ordered.
	pending     Proposal
	pendingFrom Rank
	// switched is the newest proposal that was committed here.
	switched Proposal
	closed   ID
	// forming is the newer epoch whose map is being loaded.
	forming Record
}

// NewParticipant returns the participant of a new agent process. The
// incarnation must differ from those of earlier processes beside the engine.
// The status must have been read after the orders of earlier processes ended.
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
		bound:       st.Held,
		yes:         Ranks(rank),
		switched:    st.Switched,
	}
}

// Handle takes one event and returns the actions that follow.
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

// admit refuses tokens that are older than one seen, and remembers newer ones.
func (p *Participant) admit(token uint64) Reason {
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
		SwitchInProgress: p.isBound() || p.pendingSwitch(),
		Refused:          reason,
	}
}

func (p *Participant) isBound() bool { return p.bound != Proposal{} }

// pendingSwitch reports whether the engine still needs the experts of both the
// old map and the one that it was ordered to use.
func (p *Participant) pendingSwitch() bool { return p.step < p.switched.Step }

func (p *Participant) loaded(ref Ref) bool { return ref == p.inForce || ref == p.ready }

func (p *Participant) inquire(from Rank, m Inquire) []Action {
	reason := p.admit(m.Token)
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

// mayLoad keeps the experts of a map that was voted for or is still to come in
// force: an engine holds one map besides the one in force.
func (p *Participant) mayLoad(ref Ref) bool {
	if ref.Version == 0 || p.loaded(ref) || ref == p.loading {
		return false
	}
	return !p.isBound() && !p.pendingSwitch() && p.forming.Epoch == 0
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
		return p.enter(p.forming)
	}
	return []Action{Send{p.reportTo, p.report(ReasonNone)}}
}

func (p *Participant) propose(from Rank, m Propose) []Action {
	if m.Epoch == p.epoch && (m.ID == p.bound.ID || m.ID == p.switched.ID) {
		return p.ask(from, m.Proposal)
	}
	if reason := p.refusal(m); reason != ReasonNone {
		return p.refuse(from, m.Proposal, reason)
	}
	p.pending, p.pendingFrom = m.Proposal, from
	return []Action{OrderHold{p.token, m.Proposal}}
}

func (p *Participant) refusal(m Propose) Reason {
	reason := p.admit(m.Token)
	switch {
	case reason != ReasonNone:
		return reason
	case m.Epoch != p.epoch || p.forming.Epoch != 0:
		return ReasonOtherEpoch
	case m.Members != p.members || !m.Members.Has(p.rank):
		return ReasonOtherMembers
	case m.Incarnation != p.incarnation:
		return ReasonOtherIncarnation
	case !p.closed.Less(m.ID):
		return ReasonClosed
	case p.isBound():
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

// refuse closes the proposal before it answers, so that the refusal is final.
func (p *Participant) refuse(from Rank, prop Proposal, reason Reason) []Action {
	p.close(prop.ID)
	return []Action{
		Note{Refused, prop, from, reason},
		Send{from, Vote{ID: prop.ID, Reason: reason}},
	}
}

func (p *Participant) close(id ID) {
	if p.closed.Less(id) {
		p.closed = id
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
	p.bound, p.yes, p.patient = prop, Ranks(p.rank), false
	return []Action{
		Note{Voted, prop, from, ReasonNone},
		Send{from, Vote{ID: prop.ID, Yes: true}},
	}
}

// ask answers with what can no longer change. The epoch must be the agent's
// own: a vote of an epoch that was left says nothing here.
func (p *Participant) ask(from Rank, prop Proposal) []Action {
	switch {
	case prop.Epoch != p.epoch:
		return nil
	case prop.ID == p.bound.ID:
		return []Action{Send{from, Vote{ID: prop.ID, Yes: true}}}
	case prop.ID == p.switched.ID:
		return []Action{Send{from, Decide{Proposal: p.switched, Commit: true, Reason: ReasonUnanimous}}}
	}
	return p.refuse(from, prop, ReasonWithdrawn)
}

func (p *Participant) vote(from Rank, m Vote) []Action {
	if !p.isBound() || m.ID != p.bound.ID || !p.bound.Members.Has(from) {
		return nil
	}
	if !m.Yes {
		return p.abort(p.bound, m.Reason)
	}
	p.yes = p.yes.With(from)
	if !p.yes.Contains(p.bound.Members) {
		return nil
	}
	return p.commit(p.bound)
}

func (p *Participant) decide(from Rank, m Decide) []Action {
	var actions []Action
	if p.isBound() && m.ID == p.bound.ID {
		if m.Commit {
			actions = p.commit(p.bound)
		} else {
			actions = p.abort(p.bound, m.Reason)
		}
	}
	if p.bound.ID == m.ID {
		return actions
	}
	p.close(m.ID)
	return append(actions, Send{from, Applied{m.ID}})
}

// commit orders the switch. While the map's experts are not loaded, as after a
// newer epoch's map was loaded over them, the engine stays held: the newer
// epoch ends the hold.
func (p *Participant) commit(prop Proposal) []Action {
	if !p.loaded(prop.Map) || p.forming.Epoch != 0 {
		return nil
	}
	p.close(prop.ID)
	p.bound, p.switched = Proposal{}, prop
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
	p.bound = Proposal{}
	p.token = max(p.token, prop.Token)
	return []Action{
		OrderRelease{p.token, prop},
		Note{Aborted, prop, p.rank, reason},
	}
}

func (p *Participant) tick(step uint64) []Action {
	p.step = step
	if !p.isBound() {
		return nil
	}
	if !p.patient {
		p.patient = true
		return nil
	}
	return p.askMembers()
}

// askMembers lets a bound agent find the outcome without a coordinator and
// without the table service.
func (p *Participant) askMembers() []Action {
	if p.yes.Contains(p.bound.Members) {
		return p.commit(p.bound)
	}
	var actions []Action
	for r := range p.bound.Members.All() {
		if !p.yes.Has(r) {
			actions = append(actions, Send{r, Ask{p.bound}})
		}
	}
	return actions
}
