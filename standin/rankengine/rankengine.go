// Package rankengine is a stand-in of a rank group of engines on the users'
// platform: its ranks step together, hold, arm and switch, and carry orders out
// late or without an answer.
package rankengine

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Shape is that of the group's maps.
type Shape struct{ Layers, Experts, Ranks int }

// Faults are shares of the orders that get no answer: carried out at once, or
// some seconds later.
type Faults struct{ AnswerLostRatio, DelayedRatio float64 }

// Group is the stand-in. It is safe for concurrent use.
type Group struct {
	shape Shape
	pass  time.Duration

	mu         sync.Mutex
	rng        *rand.Rand
	faults     Faults
	step       uint64
	ranks      []*rank
	violations []string
	switches   int
}

// rank is one engine.
type rank struct {
	inForce, newest, prepared, held, token uint64
	armed                                  *armed
	experts                                [][]int
	loading                                [][]int
	counts                                 []uint64
}

// armed is a switch that is due.
type armed struct {
	Version uint64 `json:"version"`
	Step    uint64 `json:"step"`
}

// order is the body of an order.
type order struct {
	Operation    string    `json:"operation"`
	FencingToken uint64    `json:"fencing_token"`
	Version      uint64    `json:"version"`
	Step         uint64    `json:"step"`
	Map          [][][]int `json:"map"`
}

// New returns a group in its first epoch, with experts in turn, whose passes
// take the given time.
func New(shape Shape, pass time.Duration, seed uint64) *Group {
	g := &Group{shape: shape, pass: pass, rng: rand.New(rand.NewPCG(seed, 3))}
	for r := range shape.Ranks {
		e := &rank{experts: make([][]int, shape.Layers), counts: make([]uint64, shape.Layers*shape.Experts)}
		for layer := range e.experts {
			for x := r; x < shape.Experts; x += shape.Ranks {
				e.experts[layer] = append(e.experts[layer], x)
			}
		}
		g.ranks = append(g.ranks, e)
	}
	return g
}

// SetFaults changes what goes wrong with orders.
func (g *Group) SetFaults(f Faults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults = f
}

// Violations returns the passes that began with two maps.
func (g *Group) Violations() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]string(nil), g.violations...)
}

// Progress returns the newest pass and the number of maps that came into force.
func (g *Group) Progress() (step uint64, switches int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.step, g.switches
}

// Run begins passes until the context ends.
func (g *Group) Run(ctx context.Context) {
	ticker := time.NewTicker(g.pass)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			g.begin()
		case <-ctx.Done():
			return
		}
	}
}

// hotShare is how much more than the others those experts are in demand that
// one rank holds in the first map, and shiftPasses for how long.
const (
	hotShare    = 40
	shiftPasses = 60
)

// begin begins a pass if no rank holds the group.
func (g *Group) begin() {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := g.step + 1
	for _, e := range g.ranks {
		if e.held != 0 && next >= e.held {
			return
		}
	}
	g.step = next
	before := g.ranks[0].inForce
	for _, e := range g.ranks {
		if e.armed != nil && next >= e.armed.Step {
			e.inForce, e.experts, e.armed, e.prepared = e.armed.Version, e.loading, nil, 0
		}
		hot := int(next/shiftPasses) % g.shape.Ranks
		for i := range e.counts {
			e.counts[i]++
			if i%g.shape.Experts%g.shape.Ranks == hot {
				e.counts[i] += hotShare
			}
		}
	}
	for r, e := range g.ranks {
		if e.inForce != g.ranks[0].inForce {
			g.violations = append(g.violations, fmt.Sprintf("pass %d: rank %d has map %d, rank 0 map %d", next, r, e.inForce, g.ranks[0].inForce))
		}
	}
	if g.ranks[0].inForce != before {
		g.switches++
	}
}

// Handler serves one rank.
func (g *Group) Handler(r int) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/report", func(w http.ResponseWriter, _ *http.Request) { g.report(w, r) })
	mux.HandleFunc("GET /v1/picked", func(w http.ResponseWriter, req *http.Request) { g.picked(w, req, r) })
	mux.HandleFunc("POST /v1/order", func(w http.ResponseWriter, req *http.Request) { g.order(w, req, r) })
	return mux
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A caller that has gone does not read its answer.
	_ = json.NewEncoder(w).Encode(v)
}

// nonzero returns n, or nil for zero: the wire says null for none.
func nonzero(n uint64) any {
	if n == 0 {
		return nil
	}
	return n
}

func (g *Group) report(w http.ResponseWriter, r int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.ranks[r]
	reply(w, map[string]any{
		"group": map[string]any{"name": "g", "epoch": 1, "rank": r, "state": "open"}, "size": g.shape.Ranks, "born": 1,
		"step": g.step, "map": e.inForce, "prepared": nonzero(e.prepared), "armed": e.armed, "held": nonzero(e.held),
		"queued": 0, "running": 8, "pace": 1.0,
	})
}

func (g *Group) picked(w http.ResponseWriter, req *http.Request, r int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.ranks[r]
	if req.URL.Query().Has("lists") {
		reply(w, map[string]any{"epoch": 1, "map": map[string]any{"version": e.inForce, "experts": e.experts}})
		return
	}
	reply(w, map[string]any{"step": g.step, "epoch": 1, "counts": e.counts})
}

// latest is the longest time by which an order is late.
const latest = 4 * time.Second

func (g *Group) order(w http.ResponseWriter, req *http.Request, r int) {
	var o order
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g.mu.Lock()
	x := g.rng.Float64()
	if x < g.faults.DelayedRatio {
		after := time.Duration(g.rng.Int64N(int64(latest)))
		g.mu.Unlock()
		time.AfterFunc(after, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.carryOut(r, o)
		})
		<-req.Context().Done()
		return
	}
	status := g.carryOut(r, o)
	lost := x < g.faults.DelayedRatio+g.faults.AnswerLostRatio
	g.mu.Unlock()
	if lost {
		<-req.Context().Done()
		return
	}
	w.WriteHeader(status)
}

// carryOut does an order. The caller holds the lock.
func (g *Group) carryOut(r int, o order) int {
	e := g.ranks[r]
	if o.FencingToken < e.token {
		return http.StatusPreconditionFailed
	}
	e.token = o.FencingToken
	switch o.Operation {
	case "prepare":
		if o.Version <= e.newest || e.armed != nil {
			return http.StatusConflict
		}
		e.newest, e.prepared, e.loading = o.Version, o.Version, nil
		for layer := range o.Map {
			e.loading = append(e.loading, o.Map[layer][r])
		}
	case "arm":
		if e.prepared != o.Version || g.step >= o.Step {
			return http.StatusConflict
		}
		e.armed = &armed{Version: o.Version, Step: o.Step}
	case "disarm":
		if e.inForce == o.Version {
			return http.StatusConflict
		}
		if e.armed != nil && e.armed.Version == o.Version {
			e.armed = nil
		}
	case "hold":
		if g.step >= o.Step || (e.held != 0 && e.held != o.Step) {
			return http.StatusConflict
		}
		e.held = o.Step
	case "go":
		if e.held == o.Step {
			e.held = 0
		}
	default:
		return http.StatusBadRequest
	}
	return http.StatusAccepted
}
