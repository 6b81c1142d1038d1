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
	// statePollPeriod is the time between two reads of the engine's state. It
	// is shorter than a pass of a busy group, so that a new map in force is
	// seen at once.
	statePollPeriod = 50 * time.Millisecond
	// reportPeriod is the time between two reports of the load and of the
	// demand for the experts. It is one window of the load estimate. In groups of
	// more than maxFastRanks ranks it is largeReportPeriod, because the reports of
	// all ranks share the link of the leader's VM.
	reportPeriod      = statePollPeriod
	largeReportPeriod = 2 * statePollPeriod
	maxFastRanks      = 32
	// leaderTimeout is the time without a message after which the leader counts
	// as stopped. Each agent adds leaderTimeoutStep times its rank, so that one
	// takes over before the others.
	leaderTimeout     = 700 * time.Millisecond
	leaderTimeoutStep = 50 * time.Millisecond
	// maxReportAge is the age from which a rank's report is ignored, because its
	// agent may have stopped. No switch begins without a recent report of each
	// rank.
	maxReportAge = 350 * time.Millisecond
	// goalPath receives goals, expertsPath returns the experts of the map in
	// force, and endHoldPath ends the hold of an aborted switch.
	goalPath    = "/rank/want"
	expertsPath = "/rank/experts"
	endHoldPath = "/rank/end"
	// maxGoalBytes bounds the encoded size of a goal.
	maxGoalBytes = 256 << 10
	// goalTimeout bounds the work on a goal, even if its leader has stopped.
	goalTimeout = 8 * time.Second
)

// Settings are the settings of an agent.
type Settings struct {
	Node          string
	FailureDomain string
	// PeerAddress is the address at which the other processes of the system
	// reach the agent.
	PeerAddress string
	Seeds       []string
	// Endpoint is the address of the engine.
	Endpoint string
	// ConfigTable and NodesTable are the names of tables in the platform's
	// store.
	ConfigTable, NodesTable string
	// Service is the engine's service. If it is empty, the only service with
	// experts is used.
	Service string
	// LimitPeers limits the connections from other processes; nil for no limit.
	LimitPeers gossip.ListenerLimit
}

// DecodeConfig decodes the configuration from a copy of the table. It returns
// false if there is no configuration yet.
type DecodeConfig func(c follow.Copy) (route.Config, bool, error)

// Agent is the process that runs beside an engine.
type Agent struct {
	settings   Settings
	engine     Engine
	dialEngine func(address string) Engine
	reconciler *Reconciler
	log        *slog.Logger
	decode     DecodeConfig
	config     *follow.Follower
	// configVersion is the version of the configuration in use. Only setConfig uses it.
	configVersion uint64
	registry      *gossip.Registry
	gossip        *gossip.Gossiper
	client        *http.Client
	// engineModel is the configured model of the engines.
	engineModel atomic.Pointer[route.Engine]
	// targetGap is the shortest target for the pause between two events of an
	// answer, over all routes to the service; zero if no route sets one.
	targetGap atomic.Int64
	state     atomic.Pointer[State]
	lead      *leader
	passes    passTimer
	maps      mapCache

	mu sync.Mutex
	// leaderRank is the rank of the group's leader, noRank while there is none,
	// and leaderSeenAt the time of its last message.
	leaderRank   int
	leaderSeenAt time.Time
	loads        map[string]timedLoad
	// recovering is true while this agent ends an abandoned hold.
	recovering bool

	// The fields below are used only by pollEngine. holdSince is when the
	// current hold was first seen, zero without a hold. blockedSince is when
	// that hold began to block the group, zero if it does not.
	holdSince    time.Time
	blockedSince time.Time
	demand       *demandEstimator
	reportedAt   time.Time
	reports      int
	engineDown   bool
}

// timedLoad is a load report with the time of its arrival.
type timedLoad struct {
	gossip.Load
	at time.Time
}

// Store reads and writes the platform's tables.
type Store = gossip.Store

// configTiming uses long intervals, because an agent needs only parts of the
// configuration that hardly ever change.
var configTiming = follow.Timing{PollTimeout: 25 * time.Second, MinInterval: 20 * time.Second, Backoff: time.Second}

// NewAgent returns an agent that is idle until Run. dialEngine returns a client
// of an engine on another VM, for use when the agent there does not answer.
func NewAgent(s Settings, engine Engine, dialEngine func(address string) Engine, store Store, decode DecodeConfig, log *slog.Logger) *Agent {
	a := &Agent{
		settings: s, engine: engine, dialEngine: dialEngine, reconciler: NewReconciler(engine), log: log, decode: decode,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 5 * time.Second, DisableCompression: true, ReadBufferSize: 1 << 10, WriteBufferSize: 1 << 10, MaxResponseHeaderBytes: gossip.MaxHeadBytes}},
		loads:  make(map[string]timedLoad), leaderRank: noRank, leaderSeenAt: time.Now(),
	}
	a.lead = newLeader(a)
	a.config = follow.New(s.ConfigTable, store, configTiming, log, a.setConfig)
	a.registry = gossip.NewRegistry(s.NodesTable, store, gossip.Node{
		Name: s.Node, Kind: gossip.KindAgent, Address: s.PeerAddress, FailureDomain: s.FailureDomain, Endpoint: s.Endpoint,
	}, log, func([]gossip.Node) {})
	a.gossip = gossip.NewGossiper(s.PeerAddress, s.Seeds, a.registry, []*follow.Follower{a.config, a.registry.Follower()}, log, a.storeLoads)
	a.gossip.LimitConnections(s.LimitPeers)
	a.gossip.OnDatagram(a.onDatagram)
	a.gossip.Handle(goalPath, a.serveGoal)
	a.gossip.Handle(expertsPath, a.serveExperts)
	a.gossip.Handle(endHoldPath, a.serveEndHold)
	return a
}

// Run runs the agent until the context ends.
func (a *Agent) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	for _, task := range []func(context.Context){a.config.Run, a.registry.Run, a.gossip.Run, a.pollEngine, a.lead.run, a.lead.runBroadcast} {
		tasks.Go(func() { task(ctx) })
	}
	tasks.Wait()
}

// setConfig records the parts of the configuration that the agent uses. It ignores one that is
// older than the one in use, which a restored store has until the operators write again.
func (a *Agent) setConfig(c follow.Copy) {
	cfg, ok, err := a.decode(c)
	if err != nil {
		a.log.Error("configuration cannot be used", "error", err.Error(), "as_of", c.AsOf)
		return
	}
	if !ok || cfg.Version < a.configVersion {
		return
	}
	a.configVersion = cfg.Version
	for i := range cfg.Services {
		s := &cfg.Services[i]
		if s.Engine != nil && s.Engine.Experts != nil && (a.settings.Service == "" || s.Name == a.settings.Service) {
			a.engineModel.Store(s.Engine)
			a.targetGap.Store(int64(shortestTargetGap(cfg.Routes, s.Name)))
		}
	}
}

// shortestTargetGap returns the shortest target gap among the routes to the
// service, zero if no route sets one.
func shortestTargetGap(routes []route.Route, service string) time.Duration {
	shortest := time.Duration(0)
	for i := range routes {
		r := &routes[i]
		routed := slices.ContainsFunc(r.Split, func(s route.Share) bool { return s.Service == service })
		if routed && r.TargetGap > 0 && (shortest == 0 || r.TargetGap < shortest) {
			shortest = r.TargetGap
		}
	}
	return shortest
}

// pollEngine reads the engine's state and reports its load.
func (a *Agent) pollEngine(ctx context.Context) {
	ticker := time.NewTicker(statePollPeriod)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			a.pollOnce(ctx, now)
		case <-ctx.Done():
			return
		}
	}
}

func (a *Agent) pollOnce(ctx context.Context, now time.Time) {
	state, err := a.reconciler.state(ctx)
	if (err != nil) != a.engineDown {
		a.engineDown = err != nil
		a.logEngineDown(err)
	}
	if err != nil {
		return
	}
	a.state.Store(&state)
	a.passes.observe(state, now)
	if state.Group == "" {
		return
	}
	a.registry.SetRank(state.Group, state.Rank, state.Size)
	a.watchHold(ctx, state, now)
	if now.Sub(a.reportedAt) >= reportPeriodOf(state.Size)-statePollPeriod/2 {
		a.reportedAt = now
		a.report(ctx, state, now)
	}
}

// reportPeriodOf returns the report period of a group with a number of ranks.
func reportPeriodOf(ranks int) time.Duration {
	if ranks > maxFastRanks {
		return largeReportPeriod
	}
	return reportPeriod
}

func (a *Agent) logEngineDown(err error) {
	if err != nil {
		a.log.Warn("engine does not answer", "endpoint", a.settings.Endpoint, "error", err.Error())
		return
	}
	a.log.Info("engine answers", "endpoint", a.settings.Endpoint)
}

// shape returns the shape of the group's maps, including the slots that are
// reserved for loading weights.
func (a *Agent) shape(state State) expertmap.Shape {
	model := a.engineModel.Load()
	if model == nil {
		return expertmap.Shape{}
	}
	e := model.Experts
	return expertmap.Shape{Layers: e.Layers, Experts: e.ExpertsPerLayer, Ranks: state.Size, Slots: e.SlotsPerRank + e.SpareSlots}
}

// currentLeader returns the rank of the group's leader and whether it is this
// agent. If the leader has sent nothing for this agent's timeout, this agent
// becomes the leader.
func (a *Agent) currentLeader(state State, now time.Time) (rank int, isLeader bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	timeout := leaderTimeout + time.Duration(state.Rank)*leaderTimeoutStep
	if a.leaderRank != state.Rank && now.Sub(a.leaderSeenAt) >= timeout {
		a.log.Info("leading the group", "group", state.Group, "rank", state.Rank, "former", a.leaderRank, "silent", now.Sub(a.leaderSeenAt).String())
		a.leaderRank = state.Rank
	}
	if a.leaderRank == state.Rank {
		a.leaderSeenAt = now
	}
	return a.leaderRank, a.leaderRank == state.Rank
}

// onDatagram processes a datagram of another agent.
func (a *Agent) onDatagram(d gossip.Datagram) {
	state := a.state.Load()
	if state == nil {
		return
	}
	a.lead.setDemand(d.Rank, d.ExpertDemand.Counts(), time.Now())
	if d.LeadsGroup != state.Group || d.LeadsGroup == "" {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	// Of two leaders, the one with the lower rank remains the leader.
	if a.leaderRank == state.Rank && d.Rank > state.Rank && time.Since(a.leaderSeenAt) < leaderTimeout {
		return
	}
	if a.leaderRank != d.Rank {
		a.log.Info("another agent leads the group", "group", d.LeadsGroup, "rank", d.Rank)
	}
	a.leaderRank, a.leaderSeenAt = d.Rank, time.Now()
}

// serveGoal brings the engine to a goal that the leader has sent.
func (a *Agent) serveGoal(w http.ResponseWriter, r *http.Request) {
	var goal Goal
	if err := json.NewDecoder(io.LimitReader(r.Body, maxGoalBytes)).Decode(&goal); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), goalTimeout)
	defer cancel()
	state := State{}
	goal, err := a.maps.resolve(goal)
	if err == nil {
		state, err = a.reconciler.Ensure(ctx, goal)
	}
	a.log.Info("goal of the leader processed", "want", string(goal.Kind), "token", goal.Token, "map", goal.Version, "epoch", goal.Epoch,
		"step", goal.Step, "error", errorText(err))
	writeJSON(w, goalResponse{State: state, Failure: encodeError(err)}, a.log)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// expertsResponse lists the experts of the map in force that a rank holds.
type expertsResponse struct {
	Version uint64               `json:"version"`
	Experts [][]expertmap.Expert `json:"experts"`
}

func (a *Agent) serveExperts(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), goalTimeout)
	defer cancel()
	version, experts, err := a.engine.Experts(ctx)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	writeJSON(w, expertsResponse{Version: version, Experts: experts}, a.log)
}

func writeJSON(w http.ResponseWriter, v any, log *slog.Logger) {
	if err := json.NewEncoder(w).Encode(v); err != nil {
		log.Warn("response not sent to a peer", "error", err.Error())
	}
}

// groupClient returns a client for the agents of all ranks.
func (a *Agent) groupClient(state State) (*httpGroupClient, error) {
	c := &httpGroupClient{client: a.client, addresses: make([]string, state.Size), endpoints: make([]string, state.Size), dialEngine: a.dialEngine, log: a.log, selfRank: state.Rank, reconciler: a.reconciler}
	for _, n := range a.registry.GroupAgents(state.Group) {
		if n.Size == state.Size && n.Rank >= 0 && n.Rank < state.Size {
			c.addresses[n.Rank], c.endpoints[n.Rank] = n.Address, n.Endpoint
		}
	}
	for rank, address := range c.addresses {
		if address == "" {
			return nil, &UnknownRankError{Group: state.Group, Rank: rank}
		}
	}
	return c, nil
}
