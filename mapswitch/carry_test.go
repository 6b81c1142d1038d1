package mapswitch

import (
	"fmt"
	"hash/maphash"
	"slices"
)

// feed hands the event to both machines of the node and carries out what
// follows, as Node does.
func (w *world) feed(i int, ev Event) {
	n := w.nodes[i]
	if w.fault != nil {
		w.fault(w, n, ev)
	}
	if w.naive != nil {
		w.carry(i, w.naive.handle(Rank(i), n.engine.st.Step, ev))
		return
	}
	w.carry(i, n.part.Handle(ev))
	w.carry(i, n.coord.Handle(ev))
}

func (w *world) carry(i int, actions []Action) {
	n := w.nodes[i]
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			w.send(Envelope{Rank(i), a.To, a.Msg})
		case ReadRecord, WriteRecord:
			if w.slowStore {
				n.op = a
			} else {
				w.feed(i, w.store(a))
			}
		case OrderLoad:
			n.loading = a
			n.engine.makeRoom()
			w.order(n, orderRecord{Rank(i), a.Token, n.engine.st.Epoch})
		case OrderHold:
			w.order(n, orderRecord{Rank(i), a.Proposal.Token, n.engine.st.Epoch})
			ok := a.Step > n.engine.st.Step
			if ok {
				n.engine.st.Held = a.Proposal
			}
			w.feed(i, HoldDone{a.ID, ok})
		case OrderRelease:
			n.engine.st.Held = Proposal{}
			w.order(n, orderRecord{Rank(i), a.Token, n.engine.st.Epoch})
		case OrderUse:
			n.engine.use(a.Proposal)
			w.order(n, orderRecord{Rank(i), a.Token, n.engine.st.Epoch})
		case OrderLeave:
			n.engine.left = true
			w.order(n, orderRecord{Rank(i), a.Token, n.engine.st.Epoch})
		case OrderForm:
			n.engine.form(a.Record)
			w.order(n, orderRecord{Rank(i), a.Token, a.Record.Epoch})
		}
	}
}

// send drops reasons, on which no machine acts, to keep equal states equal.
func (w *world) send(env Envelope) {
	if env.To == env.From {
		w.feed(int(env.To), Received{env.From, env.Msg})
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
	if !slices.Contains(w.net, f) {
		w.net = append(w.net, f)
	}
}

func (e *modelEngine) use(p Proposal) {
	e.st.Held, e.st.Switched = Proposal{}, p
	e.st.InForce, e.st.Ready = p.Map, Ref{}
}

// makeRoom keeps the map that the next step runs on, and no other one, unless a
// switch is still to come: then it drops the new map, as a careless engine may.
func (e *modelEngine) makeRoom() {
	if sw := e.st.Switched; sw.Step > 0 && e.st.Step >= sw.Step {
		e.loaded[0] = sw.Map
	}
	e.loaded[1], e.st.Ready = Ref{}, Ref{}
}

func (e *modelEngine) form(rec Record) {
	e.left = false
	e.leftEpoch, e.leftStep = e.st.Epoch, e.st.Step
	e.st.Epoch, e.st.Members, e.st.Step = rec.Epoch, rec.Members, 0
	e.st.Held, e.st.Switched = Proposal{}, Proposal{}
	e.st.InForce, e.base, e.st.Ready = rec.Map, rec.Map, Ref{}
	if e.loaded[1] == rec.Map {
		e.loaded = [2]Ref{rec.Map, {}}
	}
}

func (w *world) order(n *modelNode, rec orderRecord) {
	if found := check(nil, []orderRecord{n.engine.newestOrder, rec}); w.found == (violation{}) {
		w.found = found
	}
	n.engine.newestOrder = rec
}

func (w *world) step(n *modelNode) {
	e := &n.engine
	ref := e.base
	if sw := e.st.Switched; sw.Step > 0 && e.st.Step >= sw.Step {
		ref = sw.Map
		if e.loaded[1] == ref {
			e.loaded = [2]Ref{ref, {}}
		}
	}
	e.ran[(e.st.Epoch-1)%2][e.st.Step] = ranStep{uint8(ref.Version), slices.Contains(e.loaded[:], ref)}
	e.st.Step++
	var all []stepRecord
	for i := range w.nodes {
		for epoch, steps := range w.nodes[i].engine.ran {
			for at, s := range steps {
				if s.version > 0 {
					all = append(all, stepRecord{Rank(i), uint64(epoch), uint64(at), Ref{Version: uint64(s.version)}, s.loaded})
				}
			}
		}
	}
	if found := check(all, nil); w.found == (violation{}) {
		w.found = found
	}
}
