package mapswitch

func (p *Participant) form(from Rank, m Form) []Action {
	if reason := p.formRefusalReason(m); reason != ReasonNone {
		return []Action{Send{from, p.report(reason)}}
	}
	if m.Record.Epoch == p.epoch {
		return []Action{Send{from, Formed{m.Token, p.epoch}}}
	}
	if p.loaded(m.Record.Map) {
		return append(p.enterEpoch(m.Record), Send{from, Formed{m.Token, p.epoch}})
	}
	p.forming = m.Record
	if p.loading == m.Record.Map {
		return nil
	}
	leave := OrderLeave{p.token, p.epoch}
	return append([]Action{leave}, p.load(Map{Ref: m.Record.Map, Data: m.Data})...)
}

func (p *Participant) formRefusalReason(m Form) Reason {
	if reason := p.checkToken(m.Token); reason != ReasonNone {
		return reason
	}
	engine, ok := m.Record.Engine(p.rank)
	switch {
	case m.Record.Epoch < max(p.epoch, p.forming.Epoch):
		return ReasonOtherEpoch
	case !ok:
		return ReasonOtherMembers
	case engine != p.engine:
		return ReasonOtherEngine
	}
	return ReasonNone
}

// enterEpoch switches to a new epoch and discards any undecided proposal of the
// old one.
func (p *Participant) enterEpoch(rec Record) []Action {
	p.epoch, p.members, p.forming = rec.Epoch, rec.Members, Record{}
	if p.inForce != rec.Map {
		p.inForce, p.ready = rec.Map, Ref{}
	}
	p.undecided, p.switched, p.step = Proposal{}, Proposal{}, 0
	prop := Proposal{Epoch: rec.Epoch, Members: rec.Members, Map: rec.Map}
	return []Action{
		OrderForm{p.token, rec},
		Note{NewEpoch, prop, p.rank, ReasonMembersChanged},
	}
}
