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

// StepRecord describes a step that a rank has run.
type StepRecord struct {
	Rank  int
	Epoch uint64
	Step  uint64
	Map   mapswitch.Ref
	// Loaded is true if the rank's memory held all the experts that Map assigns to
	// the rank.
	Loaded bool
	// At is the time at which the step began.
	At time.Time
}

// OrderRecord describes an order that passed a rank's checks of its session and
// fencing token.
type OrderRecord struct {
	Kind    engine.OrderKind
	Fencing uint64
}

// maxRecords is the largest number of step records and of order records that a
// rank keeps.
const maxRecords = 1 << 16

// groupState is a rank's state as a member of its group: the state that orders
// change, the experts in memory, and the records of steps and orders. The group's
// lock guards it.
type groupState struct {
	session      uint64
	fencingToken uint64
	leftEpoch    bool
	status       mapswitch.Status
	// lastStepMap is the map of the last step or, before an epoch's first step, the
	// epoch's map. It changes when the step Switched.Step begins.
	lastStepMap mapswitch.Ref
	maps        map[mapswitch.Ref]expertmap.Map
	// memory holds the loaded experts by layer and slot.
	memory [][]expertmap.Expert
	steps  []StepRecord
	orders []OrderRecord
	counts expertCounts
}

func newGroupState(opts Options, index int, incarnation uint64) groupState {
	s := groupState{maps: make(map[mapswitch.Ref]expertmap.Map), counts: newExpertCounts(opts, index)}
	s.status.Engine = incarnation
	for range opts.Shape.Layers {
		row := make([]expertmap.Expert, opts.Shape.Slots)
		for i := range row {
			row[i] = expertmap.Empty
		}
		s.memory = append(s.memory, row)
	}
	return s
}

// restart resets the state as a restart of the process does. The records are
// kept.
func (s *groupState) restart(opts Options, index int) {
	fresh := newGroupState(opts, index, s.status.Engine+1)
	fresh.session = s.session + 1
	fresh.steps, fresh.orders = s.steps, s.orders
	*s = fresh
}

// canBeginStep reports whether the rank is in an epoch and not held before its
// next step.
func (s *groupState) canBeginStep() bool {
	return s.status.Epoch > 0 && !s.leftEpoch && (s.status.Held.Step == 0 || s.status.Step < s.status.Held.Step)
}

// beginStep records the next step, with the map that it runs on.
func (s *groupState) beginStep(rank int) {
	if s.status.Switched.Step > 0 && s.status.Step >= s.status.Switched.Step {
		s.lastStepMap = s.status.Switched.Map
	}
	r := StepRecord{rank, s.status.Epoch, s.status.Step, s.lastStepMap, s.hasExperts(rank, s.maps[s.lastStepMap]), time.Now()}
	s.steps = appendBounded(s.steps, r)
	s.counts.addStep(s.status.Epoch, s.status.Step)
	s.status.Step++
}

// appendBounded appends a record, and first drops the older half of the records
// if there are maxRecords.
func appendBounded[T any](records []T, r T) []T {
	if len(records) >= maxRecords {
		records = append([]T(nil), records[maxRecords/2:]...)
	}
	return append(records, r)
}

// hasExperts reports whether the memory holds all the experts that a map assigns
// to the rank.
func (s *groupState) hasExperts(rank int, m expertmap.Map) bool {
	if m.Shape().Layers != len(s.memory) {
		return false
	}
	for layer, row := range s.memory {
		for slot, e := range m.Rank(layer, rank) {
			if e != expertmap.Empty && row[slot] != e {
				return false
			}
		}
	}
	return true
}

// Steps returns the most recent steps that the rank has run, oldest first.
func (r *Rank) Steps() []StepRecord {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	return append([]StepRecord(nil), r.state.steps...)
}

// Orders returns the rank's most recent order records, oldest first.
func (r *Rank) Orders() []OrderRecord {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	return append([]OrderRecord(nil), r.state.orders...)
}

// attach starts a new session. Orders of earlier sessions are rejected from then
// on.
func (r *Rank) attach(w http.ResponseWriter, _ *http.Request) {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	r.state.session++
	writeJSON(w, engine.AttachResult{Session: r.state.session, Status: r.state.status})
}

// currentStep answers with the number of the rank's next step.
func (r *Rank) currentStep(w http.ResponseWriter, req *http.Request) {
	session, _ := strconv.ParseUint(req.URL.Query().Get("session"), 10, 64)
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	if session != r.state.session {
		http.Error(w, "session: a newer one is attached", http.StatusConflict)
		return
	}
	writeJSON(w, engine.StepResult{Step: r.state.status.Step})
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
	if status := r.acceptOrder(o); status != http.StatusOK {
		http.Error(w, "the order was refused", status)
		return
	}
	ok, status := r.state.execute(o)
	if status != http.StatusOK {
		http.Error(w, "the order cannot be carried out", status)
		return
	}
	writeJSON(w, engine.OrderResult{OK: ok})
}

// acceptOrder checks the session of an order and, with Options.ChecksFencing, its
// fencing token, and records it. It returns the status code. The caller holds the
// group's lock.
func (r *Rank) acceptOrder(o engine.Order) int {
	s := &r.state
	if o.Session != s.session {
		return http.StatusConflict
	}
	if r.group.opts.ChecksFencing && o.Fencing < s.fencingToken {
		return http.StatusPreconditionFailed
	}
	s.fencingToken = max(s.fencingToken, o.Fencing)
	s.orders = appendBounded(s.orders, OrderRecord{o.Kind, o.Fencing})
	return http.StatusOK
}

// execute executes an order other than a load. It returns false for a hold
// in another epoch or before a step that has begun.
func (s *groupState) execute(o engine.Order) (ok bool, status int) {
	p := o.Proposal
	switch o.Kind {
	case engine.KindHold:
		if p.Epoch != s.status.Epoch || p.Step < s.status.Step {
			return false, http.StatusOK
		}
		s.status.Held = p
	case engine.KindUse:
		s.status.Held, s.status.Switched = mapswitch.Proposal{}, p
		s.status.InForce, s.status.Ready = p.Map, mapswitch.Ref{}
	case engine.KindRelease:
		s.status.Held = mapswitch.Proposal{}
	case engine.KindLeave:
		s.leftEpoch = true
	case engine.KindForm:
		s.form(p)
	default:
		return false, http.StatusBadRequest
	}
	return true, http.StatusOK
}

// form puts the rank into a new epoch at step 0.
func (s *groupState) form(p mapswitch.Proposal) {
	status := mapswitch.Status{Engine: s.status.Engine, Epoch: p.Epoch, Members: p.Members, InForce: p.Map, Ready: s.status.Ready}
	if status.Ready == p.Map {
		status.Ready = mapswitch.Ref{}
	}
	s.status, s.lastStepMap, s.leftEpoch = status, p.Map, false
}
