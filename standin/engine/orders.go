package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/engine"
	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
	"github.com/cyclamenpoint/cyclamenpoint/mapswitch"
)

// StepRecord is a step that a rank has run.
type StepRecord struct {
	Rank  int
	Epoch uint64
	Step  uint64
	Map   mapswitch.Ref
	// Loaded is true if all experts of the rank in the map were in its memory.
	Loaded bool
	At     time.Time
}

// OrderRecord is an order that a rank has carried out.
type OrderRecord struct {
	Kind    engine.OrderKind
	Fencing uint64
}

// keptRecords bounds the records of steps and of orders.
const keptRecords = 1 << 16

// orderBook is a rank's part in a collective: what it was ordered, what its
// memory holds and which steps it ran. The group's lock guards it.
type orderBook struct {
	session uint64
	fencing uint64
	left    bool
	st      mapswitch.Status
	// using is the map of the step before; it changes at Switched.Step.
	using  mapswitch.Ref
	maps   map[mapswitch.Ref]expertmap.Map
	memory [][]expertmap.Expert
	steps  []StepRecord
	orders []OrderRecord
	counts expertCounts
}

func newOrderBook(opts Options, index int, incarnation uint64) orderBook {
	b := orderBook{maps: make(map[mapswitch.Ref]expertmap.Map), counts: newExpertCounts(opts, index)}
	b.st.Engine = incarnation
	for range opts.Shape.Layers {
		row := make([]expertmap.Expert, opts.Shape.Slots)
		for i := range row {
			row[i] = expertmap.Empty
		}
		b.memory = append(b.memory, row)
	}
	return b
}

// restart loses all that a process loses when it dies. The records are kept.
func (b *orderBook) restart(opts Options, index int) {
	fresh := newOrderBook(opts, index, b.st.Engine+1)
	fresh.session = b.session + 1
	fresh.steps, fresh.orders = b.steps, b.orders
	*b = fresh
}

// mayBegin tells whether the rank may begin its next step.
func (b *orderBook) mayBegin() bool {
	return b.st.Epoch > 0 && !b.left && (b.st.Held.Step == 0 || b.st.Step < b.st.Held.Step)
}

// begin runs the next step on the map that is due.
func (b *orderBook) begin(rank int) {
	if b.st.Switched.Step > 0 && b.st.Step >= b.st.Switched.Step {
		b.using = b.st.Switched.Map
	}
	r := StepRecord{rank, b.st.Epoch, b.st.Step, b.using, b.holds(rank, b.maps[b.using]), time.Now()}
	b.steps = appendBounded(b.steps, r)
	b.counts.step(b.st.Epoch, b.st.Step)
	b.st.Step++
}

func appendBounded[T any](records []T, r T) []T {
	if len(records) >= keptRecords {
		records = append([]T(nil), records[keptRecords/2:]...)
	}
	return append(records, r)
}

// holds tells whether the memory holds the rank's experts of a map.
func (b *orderBook) holds(rank int, m expertmap.Map) bool {
	if m.Shape().Layers != len(b.memory) {
		return false
	}
	for layer, row := range b.memory {
		for slot, e := range m.Rank(layer, rank) {
			if e != expertmap.Empty && row[slot] != e {
				return false
			}
		}
	}
	return true
}

// Steps returns the newest steps that the rank has run, oldest first.
func (r *Rank) Steps() []StepRecord {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	return append([]StepRecord(nil), r.orders.steps...)
}

// Orders returns the newest orders that the rank has carried out, oldest first.
func (r *Rank) Orders() []OrderRecord {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	return append([]OrderRecord(nil), r.orders.orders...)
}

func (r *Rank) attach(w http.ResponseWriter, _ *http.Request) {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	r.orders.session++
	writeJSON(w, engine.AttachResult{Session: r.orders.session, Status: r.orders.st})
}

func (r *Rank) stepNow(w http.ResponseWriter, req *http.Request) {
	session, _ := strconv.ParseUint(req.URL.Query().Get("session"), 10, 64)
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	if session != r.orders.session {
		http.Error(w, "session: a newer one is attached", http.StatusConflict)
		return
	}
	writeJSON(w, engine.StepResult{Step: r.orders.st.Step})
}

func (r *Rank) order(w http.ResponseWriter, req *http.Request) {
	var o engine.Order
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return
	}
	if o.Kind == engine.KindLoad {
		r.loadExperts(w, req, o)
		return
	}
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	if status := r.admit(o); status != http.StatusOK {
		http.Error(w, "the order was refused", status)
		return
	}
	ok, status := r.orders.take(o)
	if status != http.StatusOK {
		http.Error(w, "the order cannot be carried out", status)
		return
	}
	writeJSON(w, engine.OrderResult{OK: ok})
}

// admit checks an order's session and, by option, its fencing token. The
// group's lock is held.
func (r *Rank) admit(o engine.Order) int {
	b := &r.orders
	if o.Session != b.session {
		return http.StatusConflict
	}
	if r.group.opts.ChecksFencing && o.Fencing < b.fencing {
		return http.StatusPreconditionFailed
	}
	b.fencing = max(b.fencing, o.Fencing)
	b.orders = appendBounded(b.orders, OrderRecord{o.Kind, o.Fencing})
	return http.StatusOK
}

// take carries out an order other than a load.
func (b *orderBook) take(o engine.Order) (ok bool, status int) {
	p := o.Proposal
	switch o.Kind {
	case engine.KindHold:
		if p.Epoch != b.st.Epoch || p.Step < b.st.Step {
			return false, http.StatusOK
		}
		b.st.Held = p
	case engine.KindUse:
		b.st.Held, b.st.Switched = mapswitch.Proposal{}, p
		b.st.InForce, b.st.Ready = p.Map, mapswitch.Ref{}
	case engine.KindRelease:
		b.st.Held = mapswitch.Proposal{}
	case engine.KindLeave:
		b.left = true
	case engine.KindForm:
		b.form(p)
	default:
		return false, http.StatusBadRequest
	}
	return true, http.StatusOK
}

func (b *orderBook) form(p mapswitch.Proposal) {
	st := mapswitch.Status{Engine: b.st.Engine, Epoch: p.Epoch, Members: p.Members, InForce: p.Map, Ready: b.st.Ready}
	if st.Ready == p.Map {
		st.Ready = mapswitch.Ref{}
	}
	b.st, b.using, b.left = st, p.Map, false
}
