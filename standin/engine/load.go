package engine

import (
	"net/http"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/engine"
	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
	"github.com/cyclamenpoint/cyclamenpoint/mapswitch"
)

// loadExperts executes a load order: it loads the experts of a map into slots
// that are not in use, each in Options.LoadTime, and then answers.
func (r *Rank) loadExperts(w http.ResponseWriter, req *http.Request, o engine.Order) {
	m, err := expertmap.Unmarshal(o.Data)
	if err != nil || m.Shape() != r.group.opts.Shape {
		http.Error(w, "map: not one of this group", http.StatusBadRequest)
		return
	}
	count, status := r.beginLoad(o, m)
	if status != http.StatusOK {
		http.Error(w, "the load was refused", status)
		return
	}
	timer := time.NewTimer(time.Duration(count) * r.group.opts.LoadTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-req.Context().Done():
		return
	}
	if !r.finishLoad(o, m) {
		http.Error(w, "session: a newer one is attached", http.StatusConflict)
		return
	}
	writeJSON(w, engine.OrderResult{OK: true})
}

// beginLoad clears the ready map and returns the number of experts to load and
// the status code. It rejects a load into slots that are in use.
func (r *Rank) beginLoad(o engine.Order, m expertmap.Map) (count, status int) {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	if status := r.acceptOrder(o); status != http.StatusOK {
		return 0, status
	}
	s := &r.state
	s.status.Ready = mapswitch.Ref{}
	for layer, row := range s.memory {
		for slot, e := range m.Rank(layer, r.index) {
			if e == expertmap.Empty || row[slot] == e {
				continue
			}
			if !s.leftEpoch && s.usesSlot(r.index, layer, slot) {
				return 0, http.StatusUnprocessableEntity
			}
			count++
		}
	}
	return count, http.StatusOK
}

// usesSlot reports whether the map of the last step or the map in force uses a
// slot.
func (s *groupState) usesSlot(rank, layer, slot int) bool {
	for _, ref := range []mapswitch.Ref{s.lastStepMap, s.status.InForce} {
		m, ok := s.maps[ref]
		if ok && m.At(layer, rank, slot) != expertmap.Empty {
			return true
		}
	}
	return false
}

// finishLoad stores the experts of a map in memory and makes it the ready map.
// It returns false if the order's session has ended in the meantime.
func (r *Rank) finishLoad(o engine.Order, m expertmap.Map) bool {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	s := &r.state
	if o.Session != s.session {
		return false
	}
	for layer, row := range s.memory {
		for slot, e := range m.Rank(layer, r.index) {
			if e != expertmap.Empty {
				row[slot] = e
			}
		}
	}
	for ref := range s.maps {
		if ref != s.lastStepMap && ref != s.status.InForce {
			delete(s.maps, ref)
		}
	}
	s.maps[o.Proposal.Map] = m
	s.status.Ready = o.Proposal.Map
	return true
}
