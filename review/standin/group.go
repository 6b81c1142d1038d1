package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// shape is the size of a rank group and of its maps.
type shape struct{ ranks, sets, experts, placements, spare int }

const (
	// evenPass is the time of a pass if all ranks have the same load, and skewedPart the
	// part of it that grows with the load of the most loaded rank.
	evenPass   = 60 * time.Millisecond
	skewedPart = 0.7
	// pollTime is the time between two looks for a free slot or for work.
	pollTime = 5 * time.Millisecond
	// copyTime is the time in which a rank copies one expert.
	copyTime = 50 * time.Millisecond
	// groupSlots is the number of requests that a rank processes at once; queuePlaces
	// more wait.
	groupSlots  = 12
	queuePlaces = 24
	// streamEvents is the number of events of each stream, one a pass.
	streamEvents = 28
	// hotPeriod is the time after which other experts are in demand.
	hotPeriod = 3 * time.Second
	// hotShare is the number of experts for each one that is in demand.
	hotShare = 4
	// formTime is the time from the crash of a rank until the group is open again.
	formTime = 1600 * time.Millisecond
)

// group is a rank group of model workers. No pass begins while a rank holds it.
type group struct {
	rec   *record
	shape shape
	ranks []*rank

	mu    sync.Mutex
	begun time.Time
	step  uint64
	// pass is closed and replaced when a pass begins.
	pass     chan struct{}
	switches int
	// epoch counts how often the group has formed, openAt is when it opens.
	epoch  uint64
	openAt time.Time
	// broken is closed and replaced when a rank crashes.
	broken chan struct{}
	// mixed counts the passes that began with two maps, by version or content.
	mixed int
	// invalid counts the maps that were refused because they break the configured limits.
	invalid int
	// onOrder is called after an order was answered with 202.
	onOrder func(rank int, operation string)
}

type armedSwitch struct {
	Version uint64 `json:"version"`
	Step    uint64 `json:"step"`
}

// rank is one model worker.
type rank struct {
	group    *group
	number   int
	id       string
	listener net.Listener
	born     int64

	// The fields below are protected by the group's lock.
	token, highest, inForce uint64
	experts                 [][]int
	prepared                uint64
	preparedAt              time.Time
	preparedExperts         [][]int
	// content and preparedContent are the whole maps in force and prepared, as the rank got
	// them.
	content, preparedContent string
	armed                    *armedSwitch
	hold                     uint64
	counts                   []uint64
	running, queued          int
	sequence                 int
}

// inTurn returns the experts of a rank in map 0, by set.
func (s shape) inTurn(rank int) [][]int {
	var experts [][]int
	for range s.sets {
		var held []int
		for e := rank; e < s.experts; e += s.ranks {
			held = append(held, e)
		}
		experts = append(experts, held)
	}
	return experts
}

// crash restarts a rank. The group forms again, in a new epoch and with map 0.
func (g *group) crash(number int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.epoch++
	g.openAt = time.Now().Add(formTime)
	for _, r := range g.ranks {
		r.inForce, r.prepared, r.armed, r.hold, r.content = 0, 0, nil, 0, ""
		r.experts = g.shape.inTurn(r.number)
	}
	r := g.ranks[number]
	r.token, r.highest, r.sequence, r.born = 0, 0, 0, time.Now().UnixMilli()
	clear(r.counts)
	close(g.broken)
	g.broken = make(chan struct{})
	g.rec.line("rank crashes", "rank", number, "epoch", g.epoch)
}

// state returns the state of the group. The caller holds the lock.
func (g *group) state() string {
	if time.Now().Before(g.openAt) {
		return "broken"
	}
	return "open"
}

// newGroup starts the ranks, each at an address of its machine.
func newGroup(rec *record, net network, s shape) *group {
	g := &group{rec: rec, shape: s, begun: time.Now(), pass: make(chan struct{}), broken: make(chan struct{}), epoch: 1}
	for n := range s.ranks {
		r := &rank{group: g, number: n, id: fmt.Sprintf("i-51d0aa%02x", n), listener: listen(net.ip(50 + n)), born: time.Now().UnixMilli(), counts: make([]uint64, s.sets*s.experts)}
		r.experts = s.inTurn(n)
		g.ranks = append(g.ranks, r)
	}
	for _, r := range g.ranks {
		mux := http.NewServeMux()
		mux.HandleFunc("GET /v1/report", r.report)
		mux.HandleFunc("GET /v1/picked", r.picked)
		mux.HandleFunc("POST /v1/order", r.order)
		mux.HandleFunc("/", r.serve)
		go func() { _ = http.Serve(r.listener, mux) }()
	}
	go func() {
		for {
			time.Sleep(g.beginPass())
		}
	}()
	return g
}

// beginPass begins the next pass if there is work and no rank holds the group. It
// returns the time after which the next one may begin.
func (g *group) beginPass() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	work := 0
	for _, r := range g.ranks {
		work += r.running
	}
	if work == 0 || g.state() == "broken" {
		return pollTime
	}
	next := g.step + 1
	for _, r := range g.ranks {
		if r.hold != 0 && next >= r.hold {
			return pollTime
		}
	}
	g.step = next
	before := g.ranks[0].inForce
	for _, r := range g.ranks {
		if r.armed != nil && next >= r.armed.Step {
			r.inForce, r.experts, r.armed, r.prepared = r.armed.Version, r.preparedExperts, nil, 0
			r.content = r.preparedContent
		}
	}
	hot := g.hotExperts()
	for _, r := range g.ranks {
		if first := g.ranks[0]; r.inForce != first.inForce || r.content != first.content {
			g.mixed++
			g.rec.line("two maps", "step", next, "rank", r.number, "map", r.inForce, "content", r.content, "map of rank 0", first.inForce, "content", first.content)
		}
		for i := range r.counts {
			r.counts[i] += uint64(r.running * demand(hot[i/g.shape.experts][i%g.shape.experts]))
		}
	}
	if g.ranks[0].inForce != before {
		g.switches++
		g.rec.line("map in force", "map", g.ranks[0].inForce, "step", next)
	}
	close(g.pass)
	g.pass = make(chan struct{})
	return time.Duration(float64(evenPass) * (1 - skewedPart + skewedPart*g.skew(hot)))
}

// hotExperts returns, for each set, the experts that are in demand now.
func (g *group) hotExperts() []map[int]bool {
	period := uint64(time.Since(g.begun) / hotPeriod)
	hot := make([]map[int]bool, g.shape.sets)
	for set := range hot {
		hot[set] = make(map[int]bool)
		rng := rand.New(rand.NewPCG(period, uint64(set)))
		for _, e := range rng.Perm(g.shape.experts)[:g.shape.experts/hotShare] {
			hot[set][e] = true
		}
	}
	return hot
}

// demand is how often a request chooses an expert in a pass.
func demand(hot bool) int {
	if hot {
		return 10
	}
	return 1
}

// skew returns the load of the most loaded rank as a multiple of the mean. The ranks that
// hold an expert share its load.
func (g *group) skew(hot []map[int]bool) float64 {
	mean, total := 0.0, 0.0
	for set := range g.shape.sets {
		holders := make([]int, g.shape.experts)
		for _, r := range g.ranks {
			for _, e := range r.experts[set] {
				holders[e]++
			}
		}
		most, sum := 0.0, 0.0
		for _, r := range g.ranks {
			load := 0.0
			for _, e := range r.experts[set] {
				load += float64(demand(hot[set][e])) / float64(holders[e])
			}
			most, sum = max(most, load), sum+load
		}
		total += most
		mean += sum / float64(g.shape.ranks)
	}
	return total / mean
}

// begins returns a channel that is closed when the next pass begins.
func (g *group) begins() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pass
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func orNull(n uint64) any {
	if n == 0 {
		return nil
	}
	return n
}

func (r *rank) report(w http.ResponseWriter, _ *http.Request) {
	g := r.group
	g.mu.Lock()
	prepared := r.prepared
	if time.Now().Before(r.preparedAt) {
		prepared = 0
	}
	body := object{
		"stage": "both", "models": []object{{"name": "m", "version": 1, "adapters": []string{}}}, "busy": false, "sequence": r.sequence,
		"queued": r.queued, "running": r.running, "kv_used": 1000, "kv_total": 372000, "handles": 0, "born": r.born, "pace": 1.0,
		"group": object{"name": "g0", "epoch": g.epoch, "rank": r.number, "state": g.state()}, "size": g.shape.ranks,
		"step": g.step, "map": r.inForce, "prepared": orNull(prepared), "armed": r.armed, "held": orNull(r.hold),
	}
	g.mu.Unlock()
	writeJSON(w, body)
}

func (r *rank) picked(w http.ResponseWriter, req *http.Request) {
	g := r.group
	g.mu.Lock()
	body := object{"step": g.step, "epoch": g.epoch, "counts": append([]uint64(nil), r.counts...)}
	if req.URL.Query().Has("lists") {
		body = object{"step": g.step, "epoch": g.epoch, "map": object{"version": r.inForce, "experts": r.experts}}
	}
	g.mu.Unlock()
	writeJSON(w, body)
}

// orderMessage is the body of an order.
type orderMessage struct {
	Operation    string    `json:"operation"`
	FencingToken uint64    `json:"fencing_token"`
	Epoch        *uint64   `json:"epoch"`
	Version      uint64    `json:"version"`
	Step         uint64    `json:"step"`
	Map          [][][]int `json:"map"`
}

func (r *rank) order(w http.ResponseWriter, req *http.Request) {
	var o orderMessage
	if err := json.NewDecoder(io.LimitReader(req.Body, 1<<20)).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g := r.group
	g.mu.Lock()
	status, reason := r.execute(o)
	g.mu.Unlock()
	g.rec.line("order", "rank", r.number, "operation", o.Operation, "token", o.FencingToken, "version", o.Version, "step", o.Step, "status", status, "reason", strconv.Quote(reason))
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
	_ = http.NewResponseController(w).Flush()
	if status == http.StatusAccepted && g.onOrder != nil {
		g.onOrder(r.number, o.Operation)
	}
}

// execute carries out an order and returns the status of its answer, and why an order
// was refused. The caller holds the group's lock.
func (r *rank) execute(o orderMessage) (int, string) {
	g := r.group
	if o.FencingToken < r.token {
		return http.StatusPreconditionFailed, "token"
	}
	r.token = o.FencingToken
	if o.Epoch != nil && *o.Epoch != g.epoch {
		return http.StatusConflict, "epoch"
	}
	switch o.Operation {
	case "prepare":
		added, invalid := r.added(o.Map)
		switch {
		case invalid != "":
			g.invalid++
			return http.StatusBadRequest, invalid
		case o.Version <= r.highest:
			return http.StatusConflict, "version is not higher"
		case r.armed != nil:
			return http.StatusConflict, "armed"
		case added > g.shape.spare:
			return http.StatusConflict, "more than spare experts are new"
		}
		r.highest, r.prepared, r.preparedExperts = o.Version, o.Version, nil
		text, err := json.Marshal(o.Map)
		if err != nil {
			return http.StatusBadRequest, err.Error()
		}
		r.preparedContent = string(text)
		r.preparedAt = time.Now().Add(time.Duration(added) * copyTime)
		for set := range o.Map {
			r.preparedExperts = append(r.preparedExperts, o.Map[set][r.number])
		}
	case "arm":
		if r.prepared != o.Version || time.Now().Before(r.preparedAt) || g.step >= o.Step {
			return http.StatusConflict, "not prepared, or the pass has begun"
		}
		r.armed = &armedSwitch{Version: o.Version, Step: o.Step}
	case "disarm":
		if r.inForce == o.Version {
			return http.StatusConflict, "in use"
		}
		if r.armed == nil || r.armed.Version != o.Version {
			return http.StatusOK, ""
		}
		r.armed = nil
	case "hold":
		if g.step >= o.Step || (r.hold != 0 && r.hold != o.Step) {
			return http.StatusConflict, "the pass has begun, or another hold"
		}
		r.hold = o.Step
	case "go":
		if r.hold != o.Step {
			return http.StatusOK, ""
		}
		r.hold = 0
	default:
		return http.StatusBadRequest, "unknown operation"
	}
	r.sequence++
	return http.StatusAccepted, ""
}

// added returns the largest number of experts of a set that are new to the rank, or why
// the map is not valid: each expert is on at least one rank, and at most placements are
// on a rank.
func (r *rank) added(m [][][]int) (added int, invalid string) {
	s := r.group.shape
	if len(m) != s.sets {
		return 0, "number of sets"
	}
	for set := range m {
		if len(m[set]) != s.ranks {
			return 0, "number of ranks"
		}
		covered := make(map[int]bool)
		for n, held := range m[set] {
			if len(held) > s.placements {
				return 0, fmt.Sprintf("%d experts of set %d on rank %d, at most %d are allowed", len(held), set, n, s.placements)
			}
			for _, e := range held {
				covered[e] = true
			}
		}
		if len(covered) != s.experts {
			return 0, fmt.Sprintf("set %d has %d of %d experts", set, len(covered), s.experts)
		}
		known := make(map[int]bool)
		for _, e := range r.experts[set] {
			known[e] = true
		}
		fresh := 0
		for _, e := range m[set][r.number] {
			if !known[e] {
				fresh++
			}
		}
		added = max(added, fresh)
	}
	return added, ""
}

// serve answers a client's request with a stream, one event a pass.
func (r *rank) serve(w http.ResponseWriter, req *http.Request) {
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	id := req.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if expected := req.Header.Get("X-Expect-Instance"); expected != "" && expected != r.id {
		w.Header().Set("X-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	ms, err := strconv.Atoi(req.Header.Get("X-Deadline-Ms"))
	if err != nil {
		ms = 8000
	}
	deadline := time.After(time.Duration(ms) * time.Millisecond)
	broken, open := r.group.whenBroken()
	if !open || !r.admit(req, deadline) {
		w.Header().Set("X-Not-Executed", "1")
		w.Header().Set("At-Server", r.id)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.leave()
	after, err := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	if err != nil {
		after = 0
	}
	for event := after + 1; event <= streamEvents; event++ {
		select {
		case <-r.group.begins():
		case <-req.Context().Done():
			return
		case <-broken:
			if event == after+1 {
				w.Header().Set("X-Not-Executed", "1")
				w.Header().Set("At-Server", r.id)
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			panic(http.ErrAbortHandler)
		case <-deadline:
			if event == after+1 {
				w.Header().Set("X-Not-Executed", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			panic(http.ErrAbortHandler)
		}
		if event == after+1 {
			r.group.rec.line("run", "request", id, "worker", r.id, "after", after)
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("X-Response-Seal", "seal-"+r.id+"-"+id)
			w.Header().Set("X-Weight-Versions", "1")
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", event, event); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

// whenBroken returns a channel that is closed at the next crash of a rank, and whether the
// group is open now.
func (g *group) whenBroken() (broken <-chan struct{}, open bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.broken, g.state() == "open"
}

// admit waits for a slot. It returns false if there is no place, or none before the
// deadline.
func (r *rank) admit(req *http.Request, deadline <-chan time.Time) bool {
	g := r.group
	g.mu.Lock()
	if r.running < groupSlots {
		r.running++
		g.mu.Unlock()
		return true
	}
	if r.queued >= queuePlaces {
		g.mu.Unlock()
		return false
	}
	r.queued++
	g.mu.Unlock()
	for {
		select {
		case <-time.After(pollTime):
		case <-deadline:
			return r.unqueue(false)
		case <-req.Context().Done():
			return r.unqueue(false)
		}
		g.mu.Lock()
		free := r.running < groupSlots
		g.mu.Unlock()
		if free && r.unqueue(true) {
			return true
		}
	}
}

// unqueue takes a request out of the queue, into a slot if admitted.
func (r *rank) unqueue(admitted bool) bool {
	g := r.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if admitted && r.running >= groupSlots {
		return false
	}
	r.queued--
	if admitted {
		r.running++
	}
	return admitted
}

func (r *rank) leave() {
	g := r.group
	g.mu.Lock()
	defer g.mu.Unlock()
	r.running--
}
