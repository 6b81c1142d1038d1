package mapswitch

// inquireMembers sends an Inquire to the members, which requests a report and the
// load of the target map.
func (c *Coordinator) inquireMembers() []Action {
	members, load := c.record.Members, c.targetMap
	if c.nextEpoch.Members.Len() > 0 {
		members, load = c.nextEpoch.Members, c.nextEpoch.Map
	}
	c.reportedRanks, c.ticksSinceInquiry = RankSet{}, 0
	var actions []Action
	for r := range members.All() {
		inquiry := Inquire{Token: c.token, Epoch: c.record.Epoch, Load: load}
		if c.hasMap(r, load.Ref) {
			inquiry.Load.Data = ""
		}
		actions = append(actions, Send{r, inquiry})
	}
	return actions
}

// hasMap reports whether r already has the map, so that its content need not be
// sent.
func (c *Coordinator) hasMap(r Rank, ref Ref) bool {
	report := c.peer(r).report
	return report.InForce == ref || report.Ready == ref
}

// noteEngine notes a member whose engine has restarted since the epoch was
// decided.
func (c *Coordinator) noteEngine(from Rank, m Report) []Action {
	recorded, ok := c.record.Engine(from)
	if !ok || recorded == m.Engine || c.peer(from).report.Engine == m.Engine {
		return nil
	}
	return []Action{Note{RankUnresponsive, c.epochSubject(), from, ReasonOtherEngine}}
}

// epochSubject returns a Proposal with the epoch and its map, for notes that
// concern no proposal.
func (c *Coordinator) epochSubject() Proposal {
	return Proposal{ID: ID{Token: c.token}, Epoch: c.record.Epoch, Members: c.record.Members, Map: c.record.Map}
}

// advanceEpoch writes the new epoch's record once every new member has loaded the
// epoch's map. A member with a switch in progress is not waited for: it loads the
// map after it has left the old epoch.
func (c *Coordinator) advanceEpoch() []Action {
	if !c.reportedRanks.Contains(c.nextEpoch.Members) || !c.allReports(c.nextEpoch.Members, c.readyForEpoch) {
		return nil
	}
	var engines []uint64
	for r := range c.nextEpoch.Members.All() {
		engines = append(engines, c.peer(r).report.Engine)
	}
	next := Record{
		Epoch:   c.record.Epoch + 1,
		Members: c.nextEpoch.Members,
		Engines: PackEngines(engines),
		Map:     c.nextEpoch.Map.Ref,
		Token:   c.token,
	}
	c.enterPhase(WritingEpoch)
	return []Action{WriteRecord{next, c.revision}}
}

func (c *Coordinator) readyForEpoch(r Report) bool {
	if r.InForce.Version > c.nextEpoch.Map.Version {
		return false
	}
	return r.SwitchInProgress || r.InForce == c.nextEpoch.Map.Ref || r.Ready == c.nextEpoch.Map.Ref
}

// saveMap writes the map in force to the record. It is called after the switch, so
// that the switch does not depend on the table service.
func (c *Coordinator) saveMap(ref Ref) []Action {
	updated := c.record
	updated.Map = ref
	c.enterPhase(Saving)
	subject := c.epochSubject()
	subject.Map = ref
	return []Action{Note{Saved, subject, c.rank, ReasonNewMap}, WriteRecord{updated, c.revision}}
}

// propose requests the votes of all other members first. The coordinator's own
// participant votes last, so that until then it can withdraw the proposal by
// refusing it.
func (c *Coordinator) propose() []Action {
	if !c.record.Members.Has(c.rank) {
		return nil
	}
	highest := c.step
	for r := range c.record.Members.All() {
		highest = max(highest, c.peer(r).report.Step)
	}
	c.seq++
	c.proposal = Proposal{
		ID:      ID{c.token, c.seq},
		Epoch:   c.record.Epoch,
		Members: c.record.Members,
		Map:     c.targetMap.Ref,
		Step:    highest + c.limits.LeadSteps,
	}
	c.enterPhase(Voting)
	c.ownVoteRequested = false
	actions := []Action{Note{Proposed, c.proposal, c.rank, ReasonNewMap}}
	return append(actions, c.requestVotes()...)
}

func (c *Coordinator) requestVotes() []Action {
	var actions []Action
	for r := range c.proposal.Members.Without(c.rank).All() {
		if !c.doneRanks.Has(r) {
			actions = append(actions, c.proposeTo(r))
		}
	}
	if len(actions) == 0 {
		c.ownVoteRequested = true
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
	c.doneRanks = c.doneRanks.With(from)
	if c.doneRanks.Contains(c.proposal.Members) {
		return c.decide(true, ReasonUnanimous)
	}
	if !c.ownVoteRequested && c.doneRanks.With(c.rank).Contains(c.proposal.Members) {
		return c.requestVotes()
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
		if !c.doneRanks.Has(r) {
			actions = append(actions, Send{r, Decide{Proposal: c.proposal, Commit: c.commit, Reason: c.reason}})
		}
	}
	return actions
}

// applied makes the next proposal after an abort wait for a tick. Otherwise the
// coordinator would repeat it at the rate of network round trips.
func (c *Coordinator) applied(from Rank) []Action {
	c.doneRanks = c.doneRanks.With(from)
	if !c.doneRanks.Contains(c.proposal.Members) {
		return nil
	}
	c.enterPhase(Collecting)
	if !c.commit {
		return nil
	}
	return c.saveMap(c.proposal.Map)
}

func (c *Coordinator) tick(step uint64) []Action {
	c.step = step
	switch c.phase {
	case Forming:
		return c.sendForm()
	case Collecting:
		return c.tickCollecting()
	case Voting:
		return c.tickVoting()
	case Announcing:
		return c.sendDecision()
	}
	return nil
}

func (c *Coordinator) tickCollecting() []Action {
	if c.ticksSinceInquiry+1 < c.limits.InquireTicks {
		c.ticksSinceInquiry++
		return nil
	}
	return append(c.countMissedRounds(), c.inquireMembers()...)
}

// tickVoting resends the proposal, or withdraws it shortly before the switching
// step so that no engine is held there for an unresponsive member.
func (c *Coordinator) tickVoting() []Action {
	if !c.ownVoteRequested && c.step+c.limits.MarginSteps >= c.proposal.Step {
		return []Action{Send{c.rank, Ask{c.proposal}}}
	}
	return c.requestVotes()
}

func (c *Coordinator) countMissedRounds() []Action {
	if c.limits.UnresponsiveRounds == 0 {
		return nil
	}
	var notes []Action
	for r := range c.record.Members.All() {
		p := c.peer(r)
		p.missedRounds++
		if p.missedRounds == c.limits.UnresponsiveRounds {
			notes = append(notes, Note{RankUnresponsive, c.epochSubject(), r, ReasonUnresponsive})
		}
		c.setPeer(r, p)
	}
	return notes
}
