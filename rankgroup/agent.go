package rankgroup

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
	"github.com/cyclamenpoint/cyclamenpoint/follow"
	"github.com/cyclamenpoint/cyclamenpoint/metric"
	"github.com/cyclamenpoint/cyclamenpoint/peernews"
	"github.com/cyclamenpoint/cyclamenpoint/placement"
	"github.com/cyclamenpoint/cyclamenpoint/route"
)

const (
	// lookPeriod is the time between two looks at the engine: less than a pass of a
	// busy group takes, so that a map in force is seen at once.
	lookPeriod = 50 * time.Millisecond
	// countPeriod is the time between two reports of the load and of what is asked
	// of the experts: a window of the load estimate.
	countPeriod = 100 * time.Millisecond
	// leaderTimeout is the silence after which a leader counts as gone, and
	// leaderStagger what each further rank waits longer, so that one of them
	// comes first.
	leaderTimeout = 700 * time.Millisecond
	leaderStagger = 50 * time.Millisecond
	// holdLimit is how long a group may stand before a hold, while its leader is
	// silent, until the agent beside the gate ends it; holdLimitLed is the same
	// while the leader is heard, which may be giving lost orders again.
	holdLimit    = 150 * time.Millisecond
	holdLimitLed = 700 * time.Millisecond
	// leaderHeard is the silence from which a leader, heard every spreadPeriod,
	// may have stopped.
	leaderHeard = 2*spreadPeriod + 50*time.Millisecond
	// holdLimitIdle is the same for a group that has not come to the hold.
	holdLimitIdle = 3 * time.Second
	// reportLimit is the age of a rank's report from which its agent may have
	// stopped: no switch begins then.
	reportLimit = 350 * time.Millisecond
	// wantPath takes wants, expertsPath tells the experts in force, endPath ends a
	// hold that was given up.
	wantPath    = "/rank/want"
	expertsPath = "/rank/experts"
	endPath     = "/rank/end"
	// maxWant bounds a want, in bytes.
	maxWant = 256 << 10
	// wantTimeout bounds the work on a want if the asking leader is gone.
	wantTimeout = 8 * time.Second
)

// Settings is what an agent is told.
type Settings struct {
	Node          string
	FailureDomain string
	// Peers is where the system's other processes reach it.
	Peers string
	Seeds []string
	// Endpoint is the engine's address.
	Endpoint string
	// ConfigTable and NodesTable are tables of the store.
	ConfigTable, NodesTable string
	// Service is the engine's service; empty takes the only one with experts.
	Service string
}

// DecodeConfig returns the configuration in a copy of the table, or false if
// there is none yet.
type DecodeConfig func(c follow.Copy) (route.Config, bool, error)

// Agent is the running process beside an engine.
type Agent struct {
	settings Settings
	engine   Engine
	direct   func(address string) Engine
	keeper   *Keeper
	log      *slog.Logger
	decode   DecodeConfig
	config   *follow.Follower
	registry *peernews.Registry
	news     *peernews.Peer
	client   *http.Client
	// engineModel is what the configuration says of the engines.
	engineModel atomic.Pointer[route.Engine]
	// gap is the shortest of the longest pauses that callers bear between events,
	// zero if they name none.
	gap    atomic.Int64
	state  atomic.Pointer[State]
	lead   *leader
	passes passClock

	mu sync.Mutex
	// heard is the rank of the group's leader, noRank before one was heard, and
	// heardAt when it spoke last.
	heard   int
	heardAt time.Time
	loads   map[string]timedLoad
	// recovering is true while a left hold is being ended here.
	recovering bool

	// What follows belongs to the looking goroutine.
	heldSince   time.Time
	standsSince time.Time
	demand      *demand
	reportedAt  time.Time
	lost        bool
}

// timedLoad is a load report with its arrival.
type timedLoad struct {
	peernews.Load
	at time.Time
}

// Store reads and writes the platform's tables.
type Store = peernews.Store

// configTiming suits an agent, which needs of the configuration only what
// hardly ever changes.
var configTiming = follow.Timing{Wait: 25 * time.Second, Pause: 5 * time.Second, Backoff: time.Second}

// NewAgent returns an agent that does nothing until Run.
// direct opens the way to an engine on another VM, whose agent does not answer.
func NewAgent(s Settings, engine Engine, direct func(address string) Engine, store Store, decode DecodeConfig, log *slog.Logger) *Agent {
	a := &Agent{
		settings: s, engine: engine, direct: direct, keeper: NewKeeper(engine), log: log, decode: decode,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 5 * time.Second, DisableCompression: true, ReadBufferSize: 1 << 10, WriteBufferSize: 1 << 10}},
		loads:  make(map[string]timedLoad), heard: noRank, heardAt: time.Now(),
	}
	a.lead = newLeader(a)
	a.config = follow.New(s.ConfigTable, store, configTiming, log, a.setConfig)
	a.registry = peernews.NewRegistry(s.NodesTable, store, peernews.Node{
		Name: s.Node, Kind: peernews.KindAgent, Address: s.Peers, FailureDomain: s.FailureDomain, Endpoint: s.Endpoint,
	}, log, func([]peernews.Node) {})
	a.news = peernews.NewPeer(s.Peers, s.Seeds, a.registry, []*follow.Follower{a.config, a.registry.Follower()}, log, a.takeLoads)
	a.news.Hear(a.hear)
	a.news.Handle(wantPath, a.serveWant)
	a.news.Handle(expertsPath, a.serveExperts)
	a.news.Handle(endPath, a.serveEnd)
	return a
}

// Run works until the context ends.
func (a *Agent) Run(ctx context.Context) {
	var duties sync.WaitGroup
	for _, duty := range []func(context.Context){a.config.Run, a.registry.Run, a.news.Run, a.look, a.lead.run, a.lead.runSpread} {
		duties.Go(func() { duty(ctx) })
	}
	duties.Wait()
}

// setConfig notes the shape of the group's maps.
func (a *Agent) setConfig(c follow.Copy) {
	cfg, ok, err := a.decode(c)
	if err != nil {
		a.log.Error("configuration cannot be used", "error", err.Error(), "as_of", c.AsOf)
		return
	}
	if !ok {
		return
	}
	for i := range cfg.Services {
		s := &cfg.Services[i]
		if s.Engine != nil && s.Engine.Experts != nil && (a.settings.Service == "" || s.Name == a.settings.Service) {
			a.engineModel.Store(s.Engine)
			a.gap.Store(int64(shortestGap(cfg.Routes, s.Name)))
		}
	}
}

// shortestGap is the shortest pause between events that a route to the service
// allows, zero if none names one.
func shortestGap(routes []route.Route, service string) time.Duration {
	shortest := time.Duration(0)
	for i := range routes {
		r := &routes[i]
		leads := slices.ContainsFunc(r.Split, func(s route.Share) bool { return s.Service == service })
		if leads && r.TargetGap > 0 && (shortest == 0 || r.TargetGap < shortest) {
			shortest = r.TargetGap
		}
	}
	return shortest
}

// look watches the engine and reports its load.
func (a *Agent) look(ctx context.Context) {
	ticker := time.NewTicker(lookPeriod)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			a.lookOnce(ctx, now)
		case <-ctx.Done():
			return
		}
	}
}

func (a *Agent) lookOnce(ctx context.Context, now time.Time) {
	state, err := a.keeper.state(ctx)
	if (err != nil) != a.lost {
		a.lost = err != nil
		a.noteLost(err)
	}
	if err != nil {
		return
	}
	a.state.Store(&state)
	a.passes.see(state, now)
	if state.Group == "" {
		return
	}
	a.registry.Place(state.Group, state.Rank, state.Size)
	a.watchHold(ctx, state, now)
	if now.Sub(a.reportedAt) >= countPeriod-lookPeriod/2 {
		a.reportedAt = now
		a.report(ctx, state, now)
	}
}

func (a *Agent) noteLost(err error) {
	if err != nil {
		a.log.Warn("engine does not answer", "endpoint", a.settings.Endpoint, "error", err.Error())
		return
	}
	a.log.Info("engine answers", "endpoint", a.settings.Endpoint)
}

// watchHold ends a hold that its leader has left.
func (a *Agent) watchHold(ctx context.Context, state State, now time.Time) {
	if state.Held == 0 {
		a.heldSince = time.Time{}
		return
	}
	if a.heldSince.IsZero() {
		a.heldSince, a.standsSince = now, time.Time{}
	}
	if !state.stands() {
		a.standsSince = time.Time{}
	} else if a.standsSince.IsZero() {
		a.standsSince = now
	}
	if !holdIsLeft(state, now, a.heldSince, a.standsSince, a.leaderSpoke()) || !a.beginRecovery() {
		return
	}
	go func() {
		defer a.endRecovery()
		// The failure is logged; the next look tries again.
		_ = a.endHold(ctx, state)
	}()
}

// endHold ends the hold at the engine beside this agent.
func (a *Agent) endHold(ctx context.Context, state State) error {
	group, err := a.group(state)
	if err == nil {
		err = a.recover(ctx, group, state)
	}
	if err != nil {
		a.log.Warn("hold that was left is still in place", "group", state.Group, "step", state.Held, "error", err.Error())
		return err
	}
	metric.Holds.Inc()
	a.log.Info("hold that was left has ended", "group", state.Group, "epoch", state.Epoch, "step", state.Held)
	return nil
}

// endAnswer is an agent's answer to a leader that gave a switch up.
type endAnswer struct {
	Failure string `json:"failure,omitempty"`
}

// serveEnd ends a hold that the leader has given up.
func (a *Agent) serveEnd(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), endTimeout)
	defer cancel()
	for !a.beginRecovery() {
		timer := time.NewTimer(pollPeriod)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			writeJSON(w, endAnswer{Failure: ctx.Err().Error()}, a.log)
			return
		}
	}
	defer a.endRecovery()
	state, err := a.keeper.state(ctx)
	if err == nil && state.Held != 0 {
		err = a.endHold(ctx, state)
	}
	writeJSON(w, endAnswer{Failure: errorText(err)}, a.log)
}

// leaderSpoke returns when the group's leader was heard last.
func (a *Agent) leaderSpoke() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.heardAt
}

// stands reports whether the group has come to the hold and has work.
func (s State) stands() bool { return s.Held != 0 && s.Step+1 >= s.Held && s.Running+s.Queued > 0 }

// holdIsLeft decides whether a hold that began at held, and stops the group
// since stands, was left by a leader that spoke last at spoke.
func holdIsLeft(s State, now, held, stands, spoke time.Time) bool {
	if !s.stands() || stands.IsZero() {
		return now.Sub(held) >= holdLimitIdle
	}
	if now.Sub(spoke) < leaderHeard {
		return now.Sub(stands) >= holdLimitLed
	}
	return now.Sub(stands) >= holdLimit
}

func (a *Agent) recover(ctx context.Context, group *peers, state State) error {
	known := []uint64{a.keeper.Newest(), state.Map, state.Prepared}
	return Recover(ctx, group, Left{Gate: state.Rank, Leader: a.keeper.leading(), Version: NextVersion(known...), Shape: a.shape(state)})
}

func (a *Agent) beginRecovery() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.recovering {
		return false
	}
	a.recovering = true
	return true
}

func (a *Agent) endRecovery() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recovering = false
}

// shape returns the shape of the group's maps, with the slots for loads.
func (a *Agent) shape(state State) expertmap.Shape {
	model := a.engineModel.Load()
	if model == nil {
		return expertmap.Shape{}
	}
	e := model.Experts
	return expertmap.Shape{Layers: e.Layers, Experts: e.Experts, Ranks: state.Size, Slots: e.Slots + e.Spare}
}

// report sends the engine's load, and what is asked of the experts, to the group's
// leader.
func (a *Agent) report(ctx context.Context, state State, now time.Time) {
	load := peernews.Load{
		Endpoint: a.settings.Endpoint, Running: state.Running, Queued: state.Queued,
		Group: state.Group, Rank: state.Rank, Open: state.Open, Pace: float32(state.Pace),
		Pass: a.passes.pass().Milliseconds(), Stands: a.passes.stands(now).Milliseconds(),
	}
	d := peernews.Datagram{
		From: a.settings.Peers, Loads: []peernews.Load{load}, Rank: state.Rank, Asked: peernews.PackCounts(a.asked(ctx, state)),
	}
	leaderRank, leading := a.leader(state, now)
	if leaderRank == noRank {
		// Nobody gathers the group's loads yet.
		a.news.Spread(peernews.Datagram{From: d.From, Loads: d.Loads})
		return
	}
	if leading {
		a.takeLoads(d.Loads)
		a.lead.hear(state.Rank, d.Asked.Counts(), now)
		return
	}
	for _, n := range a.registry.Group(state.Group) {
		if n.Rank == leaderRank && n.Address != a.settings.Peers {
			a.news.Send(n.Address, d)
		}
	}
}

// asked returns what the engine's running requests ask of each expert, by layer
// and expert, or nil while that is not known.
func (a *Agent) asked(ctx context.Context, state State) []uint32 {
	model := a.engineModel.Load()
	if model == nil || model.Experts == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	counts, err := a.engine.Counts(ctx)
	if err != nil {
		a.log.Debug("no counts", "error", err.Error())
		return nil
	}
	if d := a.demand; d == nil || d.layers != model.Experts.Layers || d.experts != model.Experts.Experts {
		a.demand = newDemand(model.Experts.Layers, model.Experts.Experts)
	}
	a.demand.observe(counts, state.Running, model.StepsPerPass)
	return a.demand.report()
}

// leader returns the rank of the group's leader and whether it is this agent,
// which takes over when it hears of none.
func (a *Agent) leader(state State, now time.Time) (rank int, leading bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	silence := leaderTimeout + time.Duration(state.Rank)*leaderStagger
	if a.heard != state.Rank && now.Sub(a.heardAt) >= silence {
		a.log.Info("leading the group", "group", state.Group, "rank", state.Rank, "former", a.heard, "silent", now.Sub(a.heardAt).String())
		a.heard = state.Rank
	}
	if a.heard == state.Rank {
		a.heardAt = now
	}
	return a.heard, a.heard == state.Rank
}

// hear takes the datagrams of other agents.
func (a *Agent) hear(d peernews.Datagram) {
	state := a.state.Load()
	if state == nil {
		return
	}
	a.lead.hear(d.Rank, d.Asked.Counts(), time.Now())
	if d.Leads != state.Group || d.Leads == "" {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	// Of two leaders the one with the lower rank stays.
	if a.heard == state.Rank && d.Rank > state.Rank && time.Since(a.heardAt) < leaderTimeout {
		return
	}
	if a.heard != d.Rank {
		a.log.Info("another agent leads the group", "group", d.Leads, "rank", d.Rank)
	}
	a.heard, a.heardAt = d.Rank, time.Now()
}

// takeLoads keeps the reports of the group's agents.
func (a *Agent) takeLoads(loads []peernews.Load) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, l := range loads {
		a.loads[l.Endpoint] = timedLoad{Load: l, at: time.Now()}
	}
}

// freshLoads returns the reports that arrived of late.
func (a *Agent) freshLoads(now time.Time) []peernews.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	fresh := make([]peernews.Load, 0, len(a.loads))
	for endpoint, l := range a.loads {
		if now.Sub(l.at) > reportLimit {
			delete(a.loads, endpoint)
			continue
		}
		fresh = append(fresh, l.Load)
	}
	return fresh
}

// reporting returns how many ranks reported of late, and the mean utilisation of
// the given number of slots at each.
func (a *Agent) reporting(now time.Time, slots int) (ranks int, busy float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, l := range a.loads {
		if now.Sub(l.at) <= reportLimit {
			ranks++
			busy += min(float64(l.Running+l.Queued)/float64(max(slots, 1)), 1)
		}
	}
	return ranks, busy / float64(max(ranks, 1))
}

// ranks returns what the reports of late say of each rank.
func (a *Agent) ranks(now time.Time, size int) []placement.Rank {
	a.mu.Lock()
	defer a.mu.Unlock()
	ranks := make([]placement.Rank, size)
	for _, l := range a.loads {
		if l.Rank < size && now.Sub(l.at) <= reportLimit {
			ranks[l.Rank].Pace = float64(l.Pace)
		}
	}
	return ranks
}

// serveWant brings about what a leader wants of this engine.
func (a *Agent) serveWant(w http.ResponseWriter, r *http.Request) {
	var want Want
	if err := json.NewDecoder(io.LimitReader(r.Body, maxWant)).Decode(&want); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), wantTimeout)
	defer cancel()
	state, err := a.keeper.Ensure(ctx, want)
	a.log.Info("wanted by the leader", "want", string(want.Kind), "token", want.Token, "map", want.Version, "epoch", want.Epoch,
		"step", want.Step, "error", errorText(err))
	writeJSON(w, wantAnswer{State: state, Failure: encodeFailure(err)}, a.log)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// expertsAnswer tells the experts that a rank holds in the map in force.
type expertsAnswer struct {
	Version uint64               `json:"version"`
	Experts [][]expertmap.Expert `json:"experts"`
}

func (a *Agent) serveExperts(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), wantTimeout)
	defer cancel()
	version, experts, err := a.engine.Experts(ctx)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	writeJSON(w, expertsAnswer{Version: version, Experts: experts}, a.log)
}

func writeJSON(w http.ResponseWriter, v any, log *slog.Logger) {
	if err := json.NewEncoder(w).Encode(v); err != nil {
		log.Warn("answer not sent to a peer", "error", err.Error())
	}
}

// group returns the way to the agents of all ranks.
func (a *Agent) group(state State) (*peers, error) {
	p := &peers{client: a.client, addresses: make([]string, state.Size), endpoints: make([]string, state.Size), direct: a.direct, log: a.log, self: state.Rank, keeper: a.keeper}
	for _, n := range a.registry.Group(state.Group) {
		if n.Size == state.Size && n.Rank < state.Size {
			p.addresses[n.Rank], p.endpoints[n.Rank] = n.Address, n.Endpoint
		}
	}
	for rank, address := range p.addresses {
		if address == "" {
			return nil, &UnknownRankError{Group: state.Group, Rank: rank}
		}
	}
	return p, nil
}
