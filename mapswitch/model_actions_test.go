package mapswitch

import (
	"fmt"
	"hash/maphash"
	"slices"
)

// dispatch passes the event to both state machines of the node and executes the
// resulting actions, as Node does.
func (g *modelGroup) dispatch(i int, ev Event) {
	n := g.nodes[i]
	if g.fault != nil {
		g.fault(g, n, ev)
	}
	if g.baseline != nil {
		g.execute(i, g.baseline.handle(Rank(i), n.engine.status.Step, ev))
		return
	}
	g.execute(i, n.participant.Handle(ev))
	g.execute(i, n.coordinator.Handle(ev))
}

func (g *modelGroup) execute(i int, actions []Action) {
	n := g.nodes[i]
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			g.send(Envelope{Rank(i), a.To, a.Msg})
		case ReadRecord, WriteRecord:
			if g.slowStore {
				n.op = a
			} else {
				g.dispatch(i, g.store(a))
			}
		case OrderLoad:
			n.loading = a
			n.engine.evictReady()
			g.recordOrder(n, orderRecord{Rank(i), a.Token, n.engine.status.Epoch})
		case OrderHold:
			g.recordOrder(n, orderRecord{Rank(i), a.Proposal.Token, n.engine.status.Epoch})
			ok := a.Step > n.engine.status.Step
			if ok {
				n.engine.status.Held = a.Proposal
			}
			g.dispatch(i, HoldDone{a.ID, ok})
		case OrderRelease:
			n.engine.status.Held = Proposal{}
			g.recordOrder(n, orderRecord{Rank(i), a.Token, n.engine.status.Epoch})
		case OrderUse:
			n.engine.use(a.Proposal)
			g.recordOrder(n, orderRecord{Rank(i), a.Token, n.engine.status.Epoch})
		case OrderLeave:
			n.engine.left = true
			g.recordOrder(n, orderRecord{Rank(i), a.Token, n.engine.status.Epoch})
		case OrderForm:
			n.engine.form(a.Record)
			g.recordOrder(n, orderRecord{Rank(i), a.Token, a.Record.Epoch})
		}
	}
}

// send clears reasons, which don't influence the state machines, so that states
// that differ only in them are equal.
func (g *modelGroup) send(env Envelope) {
	if env.To == env.From {
		g.dispatch(int(env.To), Received{env.From, env.Msg})
		return
	}
	switch m := env.Msg.(type) {
	case Vote:
		m.Reason = ReasonNone
		env.Msg = m
	case Decide:
		m.Reason = ReasonNone
		env.Msg = m
	}
	kind := maphash.String(hashSeed, fmt.Sprintf("%T", env.Msg))
	f := flight{env, mix(kind, maphash.Comparable(hashSeed, env))}
	if !slices.Contains(g.messages, f) {
		g.messages = append(g.messages, f)
	}
}

func (e *modelEngine) use(p Proposal) {
	e.status.Held, e.status.Switched = Proposal{}, p
	e.status.InForce, e.status.Ready = p.Map, Ref{}
}

// evictReady evicts every map but the one that the next step runs on. Before the
// step of a switch it evicts the new map, as an engine is permitted to do.
func (e *modelEngine) evictReady() {
	if sw := e.status.Switched; sw.Step > 0 && e.status.Step >= sw.Step {
		e.loaded[0] = sw.Map
	}
	e.loaded[1], e.status.Ready = Ref{}, Ref{}
}

func (e *modelEngine) form(rec Record) {
	e.left = false
	e.leftEpoch, e.leftStep = e.status.Epoch, e.status.Step
	e.status.Epoch, e.status.Members, e.status.Step = rec.Epoch, rec.Members, 0
	e.status.Held, e.status.Switched = Proposal{}, Proposal{}
	e.status.InForce, e.base, e.status.Ready = rec.Map, rec.Map, Ref{}
	if e.loaded[1] == rec.Map {
		e.loaded = [2]Ref{rec.Map, {}}
	}
}

func (g *modelGroup) recordOrder(n *modelNode, rec orderRecord) {
	if found := check(nil, []orderRecord{n.engine.newestOrder, rec}); g.found == (violation{}) {
		g.found = found
	}
	n.engine.newestOrder = rec
}

func (g *modelGroup) step(n *modelNode) {
	e := &n.engine
	ref := e.base
	if sw := e.status.Switched; sw.Step > 0 && e.status.Step >= sw.Step {
		ref = sw.Map
		if e.loaded[1] == ref {
			e.loaded = [2]Ref{ref, {}}
		}
	}
	e.executed[(e.status.Epoch-1)%2][e.status.Step] = executedStep{uint8(ref.Version), slices.Contains(e.loaded[:], ref)}
	e.status.Step++
	var all []stepRecord
	for i := range g.nodes {
		for epoch, steps := range g.nodes[i].engine.executed {
			for at, s := range steps {
				if s.version > 0 {
					all = append(all, stepRecord{Rank(i), uint64(epoch), uint64(at), Ref{Version: uint64(s.version)}, s.loaded})
				}
			}
		}
	}
	if found := check(all, nil); g.found == (violation{}) {
		g.found = found
	}
}
