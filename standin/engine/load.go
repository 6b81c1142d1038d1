package engine

import (
	"net/http"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/engine"
	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
	"github.com/cyclamenpoint/cyclamenpoint/mapswitch"
)

// loadExperts loads a map's experts beside those in force, at the weight
// store's rate, and answers when they are in memory.
func (r *Rank) loadExperts(w http.ResponseWriter, req *http.Request, o engine.Order) {
	m, err := expertmap.Unmarshal(o.Data)
	if err != nil || m.Shape() != r.group.opts.Shape {
		http.Error(w, "map: not one of this group", http.StatusBadRequest)
		return
	}
	missing, status := r.beginLoad(o, m)
	if status != http.StatusOK {
		http.Error(w, "the load was refused", status)
		return
	}
	timer := time.NewTimer(time.Duration(missing) * r.group.opts.LoadTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-req.Context().Done():
		return
	}
	if !r.endLoad(o, m) {
		http.Error(w, "session: a newer one is attached", http.StatusConflict)
		return
	}
	writeJSON(w, engine.OrderResult{OK: true})
}

// beginLoad counts the experts to load. A load over experts that are in use is
// refused.
func (r *Rank) beginLoad(o engine.Order, m expertmap.Map) (missing, status int) {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	if status := r.admit(o); status != http.StatusOK {
		return 0, status
	}
	b := &r.orders
	b.st.Ready = mapswitch.Ref{}
	for layer, row := range b.memory {
		for slot, e := range m.Rank(layer, r.index) {
			if e == expertmap.Empty || row[slot] == e {
				continue
			}
			if !b.left && b.usesSlot(r.index, layer, slot) {
				return 0, http.StatusUnprocessableEntity
			}
			missing++
		}
	}
	return missing, http.StatusOK
}

// usesSlot tells whether the map of the newest steps or the one in force
// uses a slot.
func (b *orderBook) usesSlot(rank, layer, slot int) bool {
	for _, ref := range []mapswitch.Ref{b.using, b.st.InForce} {
		m, ok := b.maps[ref]
		if ok && m.At(layer, rank, slot) != expertmap.Empty {
			return true
		}
	}
	return false
}

// endLoad takes the experts into memory, unless a newer session has begun.
func (r *Rank) endLoad(o engine.Order, m expertmap.Map) bool {
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	b := &r.orders
	if o.Session != b.session {
		return false
	}
	for layer, row := range b.memory {
		for slot, e := range m.Rank(layer, r.index) {
			if e != expertmap.Empty {
				row[slot] = e
			}
		}
	}
	for ref := range b.maps {
		if ref != b.using && ref != b.st.InForce {
			delete(b.maps, ref)
		}
	}
	b.maps[o.Proposal.Map] = m
	b.st.Ready = o.Proposal.Map
	return true
}
