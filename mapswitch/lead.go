package mapswitch

// lead asks the members for reports, and to load the map that is wanted.
func (c *Coordinator) lead() []Action {
	members, load := c.record.Members, c.target
	if c.wanted.Members.Len() > 0 {
		members, load = c.wanted.Members, c.wanted.Map
	}
	c.fresh, c.waited = RankSet{}, 0
	var actions []Action
	for r := range members.All() {
		ask := Inquire{Token: c.token, Epoch: c.record.Epoch, Load: load}
		if c.holds(r, load.Ref) {
			ask.Load.Data = ""
		}
		actions = append(actions, Send{r, ask})
	}
	return actions
}

// holds reports whether r need not be sent the map's content again.
func (c *Coordinator) holds(r Rank, ref Ref) bool {
	rep := c.peer(r).report
	return rep.InForce == ref || rep.Ready == ref
}

// noteEngine notes a member whose engine is not the one of the epoch.
func (c *Coordinator) noteEngine(from Rank, m Report) []Action {
	want, ok := c.record.Engine(from)
	if !ok || want == m.Engine || c.peer(from).report.Engine == m.Engine {
		return nil
	}
	return []Action{Note{RankUnresponsive, c.subject(), from, ReasonOtherEngine}}
}

// subject names the epoch and its map in a note that is about no proposal.
func (c *Coordinator) subject() Proposal {
	return Proposal{ID: ID{Token: c.token}, Epoch: c.record.Epoch, Members: c.record.Members, Map: c.record.Map}
}

// advanceEpoch decides the new epoch once every new member has loaded its map.
// A member that is bound by a proposal or has a switch before it loads after it
// has left the old epoch.
func (c *Coordinator) advanceEpoch() []Action {
	if !c.fresh.Contains(c.wanted.Members) || !c.all(c.wanted.Members, c.readyForEpoch) {
		return nil
	}
	var engines []uint64
	for r := range c.wanted.Members.All() {
		engines = append(engines, c.peer(r).report.Engine)
	}
	next := Record{
		Epoch:   c.record.Epoch + 1,
		Members: c.wanted.Members,
		Engines: PackEngines(engines),
		Map:     c.wanted.Map.Ref,
		Token:   c.token,
	}
	c.enterPhase(WritingEpoch)
	return []Action{WriteRecord{next, c.revision}}
}

func (c *Coordinator) readyForEpoch(r Report) bool {
	if r.InForce.Version > c.wanted.Map.Version {
		return false
	}
	return r.SwitchInProgress || r.InForce == c.wanted.Map.Ref || r.Ready == c.wanted.Map.Ref
}

// save writes the map in force to the record, after the switch and off its path.
func (c *Coordinator) save(ref Ref) []Action {
	next := c.record
	next.Map = ref
	c.enterPhase(Saving)
	saved := c.subject()
	saved.Map = ref
	return []Action{Note{Saved, saved, c.rank, ReasonNewMap}, WriteRecord{next, c.revision}}
}

// propose asks all other members first. The coordinator's own member votes
// last and can so withdraw the proposal alone until then.
func (c *Coordinator) propose() []Action {
	if !c.record.Members.Has(c.rank) {
		return nil
	}
	newest := c.step
	for r := range c.record.Members.All() {
		newest = max(newest, c.peer(r).report.Step)
	}
	c.seq++
	c.proposal = Proposal{
		ID:      ID{c.token, c.seq},
		Epoch:   c.record.Epoch,
		Members: c.record.Members,
		Map:     c.target.Ref,
		Step:    newest + c.limits.LeadSteps,
	}
	c.enterPhase(Voting)
	c.asked = false
	actions := []Action{Note{Proposed, c.proposal, c.rank, ReasonNewMap}}
	return append(actions, c.askVotes()...)
}

func (c *Coordinator) askVotes() []Action {
	var actions []Action
	for r := range c.proposal.Members.Without(c.rank).All() {
		if !c.done.Has(r) {
			actions = append(actions, c.proposeTo(r))
		}
	}
	if len(actions) == 0 {
		c.asked = true
		return []Action{c.proposeTo(c.rank)}
	}
	return actions
}

func (c *Coordinator) proposeTo(r Rank) Action {
	return Send{r, Propose{Proposal: c.proposal, Incarnation: c.peer(r).report.Incarnation}}
}

func (c *Coordinator) voted(from Rank, m Vote) []Action {
	if c.phase != Voting || m.ID != c.proposal.ID || !c.proposal.Members.Has(from) {
		return nil
	}
	if !m.Yes {
		return c.decide(false, m.Reason)
	}
	c.done = c.done.With(from)
	if c.done.Contains(c.proposal.Members) {
		return c.decide(true, ReasonUnanimous)
	}
	if !c.asked && c.done.With(c.rank).Contains(c.proposal.Members) {
		return c.askVotes()
	}
	return nil
}

func (c *Coordinator) decide(commit bool, reason Reason) []Action {
	c.enterPhase(Announcing)
	c.commit, c.reason = commit, reason
	return c.sendDecision()
}

func (c *Coordinator) sendDecision() []Action {
	var actions []Action
	for r := range c.proposal.Members.All() {
		if !c.done.Has(r) {
			actions = append(actions, Send{r, Decide{Proposal: c.proposal, Commit: c.commit, Reason: c.reason}})
		}
	}
	return actions
}

// applied waits for the next tick after an abort, so that a proposal is not
// repeated at the speed of the network.
func (c *Coordinator) applied(from Rank) []Action {
	c.done = c.done.With(from)
	if !c.done.Contains(c.proposal.Members) {
		return nil
	}
	c.enterPhase(Collecting)
	if !c.commit {
		return nil
	}
	return c.save(c.proposal.Map)
}

func (c *Coordinator) tick(step uint64) []Action {
	c.step = step
	switch c.phase {
	case Forming:
		return c.sendForm()
	case Collecting:
		return c.tickLeading()
	case Voting:
		return c.tickVoting()
	case Announcing:
		return c.sendDecision()
	}
	return nil
}

func (c *Coordinator) tickLeading() []Action {
	if c.waited+1 < c.limits.InquireTicks {
		c.waited++
		return nil
	}
	return append(c.countSilence(), c.lead()...)
}

// tickVoting repeats the proposal, or withdraws it shortly before the switching
// step so that no engine waits there for a member that does not answer.
func (c *Coordinator) tickVoting() []Action {
	if !c.asked && c.step+c.limits.MarginSteps >= c.proposal.Step {
		return []Action{Send{c.rank, Ask{c.proposal}}}
	}
	return c.askVotes()
}

func (c *Coordinator) countSilence() []Action {
	if c.limits.UnresponsiveRounds == 0 {
		return nil
	}
	var notes []Action
	for r := range c.record.Members.All() {
		known := c.peer(r)
		known.silent++
		if known.silent == c.limits.UnresponsiveRounds {
			notes = append(notes, Note{RankUnresponsive, c.subject(), r, ReasonUnresponsive})
		}
		c.learn(r, known)
	}
	return notes
}
