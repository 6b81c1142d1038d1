package engine

import (
	"encoding/json"
	"net/http"
)

// OrderKind is what an order asks for.
type OrderKind string

// The kinds of order.
const (
	// OrderLoad loads the experts of a map beside those in use.
	OrderLoad OrderKind = "load"
	// OrderMap puts a loaded map in force from a step on.
	OrderMap OrderKind = "map"
	// OrderModel loads a model or adapter.
	OrderModel OrderKind = "model"
	// OrderRole changes the engine's role.
	OrderRole OrderKind = "role"
)

// Order is one order to an engine.
type Order struct {
	Kind OrderKind `json:"kind"`
	// Fencing is the orderer's fencing token.
	Fencing uint64 `json:"fencing"`
	// Name is the map's version, the model or the role.
	Name string `json:"name"`
	// Step is the first step on a new map.
	Step int64 `json:"step,omitempty"`
}

// orderBook holds an engine's orders and its record of steps.
type orderBook struct {
	fencing uint64
	loaded  map[string]bool
	current string
	next    string
	nextAt  int64
	step    int64
	history []Order
}

// advance counts a step and puts a due map in force.
func (b *orderBook) advance() {
	b.step++
	if b.next != "" && b.step >= b.nextAt {
		b.current = b.next
		b.next = ""
	}
}

// OrderState is what the engine says of its orders.
type OrderState struct {
	Fencing uint64   `json:"fencing"`
	Map     string   `json:"map"`
	Next    string   `json:"next,omitempty"`
	NextAt  int64    `json:"next_at,omitempty"`
	Loaded  []string `json:"loaded"`
	Step    int64    `json:"step"`
}

func (r *Rank) order(w http.ResponseWriter, req *http.Request) {
	var o Order
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.group.opts.ChecksFencing && o.Fencing < r.orders.fencing {
		http.Error(w, "fencing: an order with a newer token came before", http.StatusPreconditionFailed)
		return
	}
	r.orders.fencing = max(r.orders.fencing, o.Fencing)
	r.orders.history = append(r.orders.history, o)
	if status := r.orders.take(o); status != http.StatusOK {
		http.Error(w, "the order cannot be carried out", status)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (b *orderBook) take(o Order) int {
	switch o.Kind {
	case OrderLoad:
		if b.loaded == nil {
			b.loaded = make(map[string]bool)
		}
		b.loaded[o.Name] = true
	case OrderMap:
		if !b.loaded[o.Name] || o.Step <= b.step {
			return http.StatusConflict
		}
		b.next = o.Name
		b.nextAt = o.Step
	case OrderModel, OrderRole:
	default:
		return http.StatusBadRequest
	}
	return http.StatusOK
}

func (r *Rank) orderState(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := OrderState{Fencing: r.orders.fencing, Map: r.orders.current, Next: r.orders.next, NextAt: r.orders.nextAt, Step: r.orders.step}
	for name := range r.orders.loaded {
		state.Loaded = append(state.Loaded, name)
	}
	writeJSON(w, state)
}
