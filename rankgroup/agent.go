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
	"github.com/cyclamenpoint/cyclamenpoint/gossip"
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
	// PeerAddress is where the system's other processes reach it.
	PeerAddress string
	Seeds       []string
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
	keeper   *Reconciler
	log      *slog.Logger
	decode   DecodeConfig
	config   *follow.Follower
	registry *gossip.Registry
	news     *gossip.Gossiper
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
	gossip.Load
	at time.Time
}

// Store reads and writes the platform's tables.
type Store = gossip.Store

// configTiming suits an agent, which needs of the configuration only what
// hardly ever changes.
var configTiming = follow.Timing{PollTimeout: 25 * time.Second, MinInterval: 5 * time.Second, Backoff: time.Second}

// NewAgent returns an agent that does nothing until Run.
// direct opens the way to an engine on another VM, whose agent does not answer.
func NewAgent(s Settings, engine Engine, direct func(address string) Engine, store Store, decode DecodeConfig, log *slog.Logger) *Agent {
	a := &Agent{
		settings: s, engine: engine, direct: direct, keeper: NewReconciler(engine), log: log, decode: decode,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 5 * time.Second, DisableCompression: true, ReadBufferSize: 1 << 10, WriteBufferSize: 1 << 10}},
		loads:  make(map[string]timedLoad), heard: noRank, heardAt: time.Now(),
	}
	a.lead = newLeader(a)
	a.config = follow.New(s.ConfigTable, store, configTiming, log, a.setConfig)
	a.registry = gossip.NewRegistry(s.NodesTable, store, gossip.Node{
		Name: s.Node, Kind: gossip.KindAgent, Address: s.PeerAddress, FailureDomain: s.FailureDomain, Endpoint: s.Endpoint,
	}, log, func([]gossip.Node) {})
	a.news = gossip.NewGossiper(s.PeerAddress, s.Seeds, a.registry, []*follow.Follower{a.config, a.registry.Follower()}, log, a.takeLoads)
	a.news.OnDatagram(a.hear)
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
	a.registry.SetRank(state.Group, state.Rank, state.Size)
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

// shape returns the shape of the group's maps, with the slots for loads.
func (a *Agent) shape(state State) expertmap.Shape {
	model := a.engineModel.Load()
	if model == nil {
		return expertmap.Shape{}
	}
	e := model.Experts
	return expertmap.Shape{Layers: e.Layers, Experts: e.ExpertsPerLayer, Ranks: state.Size, Slots: e.SlotsPerRank + e.SpareSlots}
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
func (a *Agent) hear(d gossip.Datagram) {
	state := a.state.Load()
	if state == nil {
		return
	}
	a.lead.hear(d.Rank, d.ExpertDemand.Counts(), time.Now())
	if d.LeadsGroup != state.Group || d.LeadsGroup == "" {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	// Of two leaders the one with the lower rank stays.
	if a.heard == state.Rank && d.Rank > state.Rank && time.Since(a.heardAt) < leaderTimeout {
		return
	}
	if a.heard != d.Rank {
		a.log.Info("another agent leads the group", "group", d.LeadsGroup, "rank", d.Rank)
	}
	a.heard, a.heardAt = d.Rank, time.Now()
}

// serveWant brings about what a leader wants of this engine.
func (a *Agent) serveWant(w http.ResponseWriter, r *http.Request) {
	var want Goal
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
	for _, n := range a.registry.GroupAgents(state.Group) {
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
