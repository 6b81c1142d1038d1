// Package rankengine is a test stand-in for a rank group of engines on the users'
// platform. Its ranks run in lock-step, and execute orders to prepare, arm,
// disarm and hold a switch of the expert map. It can delay orders and lose their
// answers.
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

// Shape is the size of the group's expert maps.
type Shape struct{ Layers, Experts, Ranks int }

// Faults are the failures that the group simulates. AnswerLostRatio is the share
// of orders that are executed at once and never answered, DelayedRatio the share
// that are executed up to maxOrderDelay late and never answered.
type Faults struct{ AnswerLostRatio, DelayedRatio float64 }

// Group is the stand-in. All its ranks compute every forward pass together; the
// number of a pass is called a step. It is safe for concurrent use.
type Group struct {
	shape    Shape
	passTime time.Duration

	mu     sync.Mutex
	rng    *rand.Rand
	faults Faults
	step   uint64
	// epoch counts how often the group has formed; it runs no passes before readyAt.
	epoch      uint64
	readyAt    time.Time
	ranks      []*rank
	violations []string
	switches   int
}

// rank is the state of one engine.
type rank struct {
	// inForce is the version of the map in force, 0 for the first map.
	inForce uint64
	// highest is the highest version ever prepared.
	highest uint64
	// prepared is the version prepared for the next switch, or 0.
	prepared uint64
	// holdAt is the first step that the rank must not begin, or 0.
	holdAt uint64
	// fencingToken is the highest token of the orders so far.
	fencingToken uint64
	armed        *armedSwitch
	// experts lists the experts in the rank's memory by layer, preparedExperts
	// those of the prepared map.
	experts         [][]int
	preparedExperts [][]int
	// content and preparedContent are the whole maps in force and prepared, as the rank
	// got them; empty for the first map.
	content, preparedContent string
	// counts are the tokens routed to each expert of each layer since the start.
	counts []uint64
}

// armedSwitch is a switch to a map version that takes effect at a step.
type armedSwitch struct {
	Version uint64 `json:"version"`
	Step    uint64 `json:"step"`
}

// order is the JSON body of an order.
type order struct {
	Operation    string    `json:"operation"`
	FencingToken uint64    `json:"fencing_token"`
	Epoch        uint64    `json:"epoch"`
	Version      uint64    `json:"version"`
	Step         uint64    `json:"step"`
	Map          [][][]int `json:"map"`
}

// New returns a group in epoch 1 whose passes take passTime. Its experts are
// assigned to the ranks round-robin.
func New(shape Shape, passTime time.Duration, seed uint64) *Group {
	g := &Group{shape: shape, passTime: passTime, rng: rand.New(rand.NewPCG(seed, 3)), epoch: 1}
	for r := range shape.Ranks {
		g.ranks = append(g.ranks, &rank{experts: shape.firstExperts(r), counts: make([]uint64, shape.Layers*shape.Experts)})
	}
	return g
}

// firstExperts returns the experts of a rank in the first map, by layer.
func (s Shape) firstExperts(r int) [][]int {
	experts := make([][]int, s.Layers)
	for layer := range experts {
		for expert := r; expert < s.Experts; expert += s.Ranks {
			experts[layer] = append(experts[layer], expert)
		}
	}
	return experts
}

// Crash restarts the engine of a rank. The group forms again after a time, in a new epoch
// and with the first map.
func (g *Group) Crash(r int, formTime time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.epoch++
	g.readyAt = time.Now().Add(formTime)
	for i, e := range g.ranks {
		e.inForce, e.prepared, e.armed, e.holdAt, e.content, e.experts = 0, 0, nil, 0, "", g.shape.firstExperts(i)
	}
	e := g.ranks[r]
	e.highest, e.fencingToken = 0, 0
	clear(e.counts)
}

// SetFaults replaces the simulated faults.
func (g *Group) SetFaults(f Faults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults = f
}

// Violations describes the passes that began with different maps on different
// ranks.
func (g *Group) Violations() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]string(nil), g.violations...)
}

// Progress returns the number of the latest pass and the number of completed map
// switches.
func (g *Group) Progress() (step uint64, switches int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.step, g.switches
}

// Run runs passes until the context is canceled.
func (g *Group) Run(ctx context.Context) {
	ticker := time.NewTicker(g.passTime)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			g.beginPass()
		case <-ctx.Done():
			return
		}
	}
}

const (
	// hotExtraCount is added in each pass to the counts of the hot experts, those
	// that one rank holds in the first map.
	hotExtraCount = 40
	// hotPasses is the number of passes after which the next rank's experts
	// become hot.
	hotPasses = 60
)

// beginPass begins the next pass unless a rank is held before it.
func (g *Group) beginPass() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if time.Now().Before(g.readyAt) {
		return
	}
	next := g.step + 1
	for _, e := range g.ranks {
		if e.holdAt != 0 && next >= e.holdAt {
			return
		}
	}
	g.step = next
	inForceBefore := g.ranks[0].inForce
	for _, e := range g.ranks {
		if e.armed != nil && next >= e.armed.Step {
			e.inForce, e.experts, e.content, e.armed, e.prepared = e.armed.Version, e.preparedExperts, e.preparedContent, nil, 0
		}
		hot := int(next/hotPasses) % g.shape.Ranks
		for i := range e.counts {
			e.counts[i]++
			if i%g.shape.Experts%g.shape.Ranks == hot {
				e.counts[i] += hotExtraCount
			}
		}
	}
	for r, e := range g.ranks {
		if e.inForce != g.ranks[0].inForce {
			g.violations = append(g.violations, fmt.Sprintf("pass %d: rank %d has map %d, rank 0 map %d", next, r, e.inForce, g.ranks[0].inForce))
		}
		if e.content != g.ranks[0].content {
			g.violations = append(g.violations, fmt.Sprintf("pass %d: rank %d has another content of map %d than rank 0", next, r, e.inForce))
		}
	}
	if g.ranks[0].inForce != inForceBefore {
		g.switches++
	}
}

// Handler returns the HTTP handler of one rank.
func (g *Group) Handler(r int) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/report", func(w http.ResponseWriter, _ *http.Request) { g.report(w, r) })
	mux.HandleFunc("GET /v1/picked", func(w http.ResponseWriter, req *http.Request) { g.picked(w, req, r) })
	mux.HandleFunc("POST /v1/order", func(w http.ResponseWriter, req *http.Request) { g.order(w, req, r) })
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

// nullIfZero returns n, or nil if n is zero: the protocol has null for none.
func nullIfZero(n uint64) any {
	if n == 0 {
		return nil
	}
	return n
}

// state returns the state of the group. The caller holds the lock.
func (g *Group) state() string {
	if time.Now().Before(g.readyAt) {
		return "broken"
	}
	return "open"
}

func (g *Group) report(w http.ResponseWriter, r int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.ranks[r]
	writeJSON(w, map[string]any{
		"group": map[string]any{"name": "g", "epoch": g.epoch, "rank": r, "state": g.state()}, "size": g.shape.Ranks, "born": 1,
		"step": g.step, "map": e.inForce, "prepared": nullIfZero(e.prepared), "armed": e.armed, "held": nullIfZero(e.holdAt),
		"queued": 0, "running": 8, "pace": 1.0,
	})
}

// picked answers with the counts of the rank or, if the query has lists, with the
// experts in its memory.
func (g *Group) picked(w http.ResponseWriter, req *http.Request, r int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.ranks[r]
	if req.URL.Query().Has("lists") {
		writeJSON(w, map[string]any{"epoch": g.epoch, "map": map[string]any{"version": e.inForce, "experts": e.experts}})
		return
	}
	writeJSON(w, map[string]any{"step": g.step, "epoch": g.epoch, "counts": e.counts})
}

// maxOrderDelay is the longest delay of a delayed order.
const maxOrderDelay = 4 * time.Second

func (g *Group) order(w http.ResponseWriter, req *http.Request, r int) {
	var o order
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g.mu.Lock()
	draw := g.rng.Float64()
	if draw < g.faults.DelayedRatio {
		delay := time.Duration(g.rng.Int64N(int64(maxOrderDelay)))
		g.mu.Unlock()
		time.AfterFunc(delay, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.execute(r, o)
		})
		<-req.Context().Done()
		return
	}
	status := g.execute(r, o)
	answerLost := draw < g.faults.DelayedRatio+g.faults.AnswerLostRatio
	g.mu.Unlock()
	if answerLost {
		<-req.Context().Done()
		return
	}
	w.WriteHeader(status)
}

// execute executes an order and returns the status code of its answer. The
// caller holds the lock.
func (g *Group) execute(r int, o order) int {
	e := g.ranks[r]
	if o.FencingToken < e.fencingToken {
		return http.StatusPreconditionFailed
	}
	e.fencingToken = o.FencingToken
	if o.Epoch != 0 && o.Epoch != g.epoch {
		return http.StatusConflict
	}
	switch o.Operation {
	case "prepare":
		if !g.shape.covers(o.Map) {
			g.violations = append(g.violations, fmt.Sprintf("rank %d was ordered to prepare map %d, which is not complete", r, o.Version))
			return http.StatusBadRequest
		}
		if o.Version <= e.highest || e.armed != nil {
			return http.StatusConflict
		}
		e.highest, e.prepared, e.preparedExperts, e.preparedContent = o.Version, o.Version, nil, fmt.Sprint(o.Map)
		for layer := range o.Map {
			e.preparedExperts = append(e.preparedExperts, o.Map[layer][r])
		}
	case "arm":
		if e.prepared != o.Version || g.step >= o.Step {
			return http.StatusConflict
		}
		e.armed = &armedSwitch{Version: o.Version, Step: o.Step}
	case "disarm":
		if e.inForce == o.Version {
			return http.StatusConflict
		}
		if e.armed != nil && e.armed.Version == o.Version {
			e.armed = nil
		}
	case "hold":
		if g.step >= o.Step || (e.holdAt != 0 && e.holdAt != o.Step) {
			return http.StatusConflict
		}
		e.holdAt = o.Step
	case "go":
		if e.holdAt == o.Step {
			e.holdAt = 0
		}
	default:
		return http.StatusBadRequest
	}
	return http.StatusAccepted
}

// covers reports whether a map has lists for all layers and ranks, and each expert on at
// least one rank.
func (s Shape) covers(m [][][]int) bool {
	if len(m) != s.Layers {
		return false
	}
	for _, ranks := range m {
		held := make(map[int]bool)
		for _, experts := range ranks {
			for _, e := range experts {
				held[e] = true
			}
		}
		if len(ranks) != s.Ranks || len(held) != s.Experts {
			return false
		}
	}
	return true
}
