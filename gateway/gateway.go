// Package gateway implements the entry node of a deployment whose endpoints register
// themselves in a store. It accepts callers' requests, routes them by the latest
// configuration and forwards them directly to endpoints. It connects the packages that
// route, pick and forward; the protocol and the store of the platform are supplied
// through the Protocol and Store interfaces.
package gateway

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/connlimit"
	"github.com/cyclamenpoint/cyclamenpoint/discovery"
	"github.com/cyclamenpoint/cyclamenpoint/evacuation"
	"github.com/cyclamenpoint/cyclamenpoint/follow"
	"github.com/cyclamenpoint/cyclamenpoint/forward"
	"github.com/cyclamenpoint/cyclamenpoint/gossip"
	"github.com/cyclamenpoint/cyclamenpoint/membudget"
	"github.com/cyclamenpoint/cyclamenpoint/metric"
	"github.com/cyclamenpoint/cyclamenpoint/outstanding"
	"github.com/cyclamenpoint/cyclamenpoint/pacing"
	"github.com/cyclamenpoint/cyclamenpoint/resource"
	"github.com/cyclamenpoint/cyclamenpoint/retry"
	"github.com/cyclamenpoint/cyclamenpoint/route"
	"github.com/cyclamenpoint/cyclamenpoint/upstream"
)

// Caller holds the values from the headers of a caller's request.
type Caller struct {
	ID  string
	Key string
	// Timeout is how long the caller waits for the answer; zero if not stated.
	Timeout time.Duration
	// LastEvent is the id of the last stream event that the caller received.
	LastEvent string
	// PromptTokens is the size of the prompt and MaxAnswerTokens the limit for the
	// answer; zero if unknown. LikelyAnswerTokens is the caller's estimate of the
	// answer's size, which may exceed MaxAnswerTokens.
	PromptTokens, MaxAnswerTokens, LikelyAnswerTokens int
	// PromptParts holds the ids of the parts of the prompt that other requests may have
	// too, in order. The last part of a prompt, which belongs to the request alone or to
	// its session, is not included.
	PromptParts []string
	// InvalidHeaders holds the names of the optional headers that could not be parsed.
	// Their values count as unknown.
	InvalidHeaders []string
}

// answerTokens returns the expected size of the answer, zero if unknown.
func (c Caller) answerTokens() int {
	if c.MaxAnswerTokens > 0 {
		return min(c.LikelyAnswerTokens, c.MaxAnswerTokens)
	}
	return c.LikelyAnswerTokens
}

// Protocol encodes and decodes the headers of callers and endpoints and the entries of
// the store.
type Protocol interface {
	forward.Codec
	// DecodeCaller reads the headers of a caller's request.
	DecodeCaller(h http.Header) (Caller, error)
	// ForwardedHeaders returns the headers of the caller that are passed to endpoints.
	ForwardedHeaders(h http.Header) http.Header
	SetRetryAfter(h http.Header, after time.Duration)
	SetRequestID(h http.Header, id string)
	// DecodeConfig decodes the configuration; it returns false if there is none yet.
	DecodeConfig(c follow.Copy) (route.Config, bool, error)
	// DecodeEndpoints decodes the list of endpoints, with an error for each invalid
	// entry.
	DecodeEndpoints(c follow.Copy) ([]discovery.Endpoint, []error)
	// DecodeEvacuations decodes the evacuated failure domains in the table of the
	// configuration, with an error for each invalid entry.
	DecodeEvacuations(c follow.Copy) (domains []string, errs []error)
}

// Tables holds the names of the store's tables that a gateway uses. Crashes is empty if facts
// about crashes are not kept.
type Tables struct {
	Config, Endpoints, Nodes, Crashes string
}

// Settings configures a gateway.
type Settings struct {
	// Node is the name of this node, FailureDomain the domain that it runs in.
	Node          string
	FailureDomain string
	// CallerAddress and ReadinessAddress are the listen addresses for callers and for
	// the platform's readiness checks.
	CallerAddress, ReadinessAddress string
	// PeerAddress is the address for other processes of the system, for TCP and UDP.
	PeerAddress string
	// Seeds are addresses of peers to contact at the start.
	Seeds []string
	// FirstStart is true if the whole system starts for the first time, so there is no
	// existing state to catch up with.
	FirstStart bool
	Tables     Tables
	// RelistPeriod is the time within which live endpoints register again after an
	// outage of the store.
	RelistPeriod time.Duration
	// GracePeriod is the time between the stop signal and the forced end of the
	// process.
	GracePeriod time.Duration
	// Budget limits the retries to each service.
	Budget retry.WindowConfig
	// Cold limits the requests to cold endpoints.
	Cold ColdSettings
	// Plan holds the limits of connections; the zero value stands for the default limits.
	Plan resource.Plan
	// Memory is the budget of the process for callers; nil for one of the plan's size.
	Memory *membudget.Budget
}

// Store reads and writes the platform's tables.
type Store interface {
	follow.Source
	// Put returns the state of the store after the write.
	Put(ctx context.Context, table, key string, value []byte) (follow.Position, error)
}

// Gateway is a running entry node.
type Gateway struct {
	settings Settings
	protocol Protocol
	log      *slog.Logger
	// memory is the budget for heads, bodies and answers of callers, and refusals counts
	// the callers that were refused because of it or of the limit of connections.
	memory   *membudget.Budget
	refusals *connlimit.Reporter

	table          atomic.Pointer[route.Table]
	endpoints      atomic.Pointer[discovery.Set]
	loads          *outstanding.Tracker
	budgets        *forward.RetryBudgets
	pool           *upstream.Pool
	forwarder      *forward.Forwarder
	configFollower *follow.Follower
	// configEra is the era of the store in which the configuration in force was read. Only
	// setConfig uses it.
	configEra         uint64
	endpointsFollower *follow.Follower
	registry          *gossip.Registry
	gossip            *gossip.Gossiper
	notes             *notes
	crashes           *crashes
	limits            *limits
	departures        *departures
	evacuations       *evacuations
	// former is used only within setEndpoints.
	former *formerEndpoints
	cold   *coldEndpoints

	// draining is true once the node is stopping, closing once it takes no more requests.
	draining, closing atomic.Bool
	// requests ends when the remaining requests of a stopping node have to be answered.
	requests       context.Context
	cancelRequests context.CancelFunc
	inFlight       atomic.Int64
	cancel         context.CancelFunc
	background     sync.WaitGroup
	servers        []*http.Server
	// listeners are those of servers.
	listeners []net.Listener
}

// Timing of the followers of tables.
var (
	// configTiming applies a new configuration at once. A long poll without changes
	// costs the store little.
	configTiming = follow.Timing{PollTimeout: 20 * time.Second, MinInterval: 50 * time.Millisecond, Backoff: 300 * time.Millisecond, VerifyInterval: verifyInterval, RetainLost: retainEvacuations}
	// endpointTiming batches the changes of many endpoints into one call. MinInterval
	// must stay well below the time within which a leaving endpoint must no longer
	// get requests.
	endpointTiming = follow.Timing{PollTimeout: 20 * time.Second, MinInterval: 900 * time.Millisecond, Backoff: 300 * time.Millisecond, VerifyInterval: verifyInterval}
)

// retainEvacuations is the time for which an evacuation stays in force that the store has lost
// in a restore. The operators write it again within about two seconds.
const retainEvacuations = 5 * time.Second

// verifyInterval must stay below the time within which a configuration has to be in
// force and a leaving endpoint must no longer get requests.
const verifyInterval = 1500 * time.Millisecond

// upstreamTimeouts are the timeouts of connections to endpoints. A live endpoint
// accepts a new connection within some ms; an unreachable one never does.
var upstreamTimeouts = upstream.Timeouts{Connect: 400 * time.Millisecond, Ack: time.Second}

// unknownNodes is the number of entry nodes that is assumed until the list of processes
// has been read: that of the largest deployments. With fewer, each of the nodes that
// start after a power failure would use the retries of all.
const unknownNodes = 350

// Start starts a gateway. The error is a *net.OpError if it cannot listen at an
// address.
func Start(s Settings, protocol Protocol, store Store, log *slog.Logger) (*Gateway, error) {
	if s.Plan == (resource.Plan{}) {
		s.Plan = resource.NewPlan(0, 0, connlimit.ConnectionBytes)
	}
	if s.Memory == nil {
		s.Memory = membudget.New(membudget.DefaultConfig(s.Plan.RequestBytes))
	}
	g := &Gateway{
		settings: s, protocol: protocol, log: log, memory: s.Memory, refusals: connlimit.NewReporter("callers", log.Warn),
		loads: outstanding.New(), budgets: forward.NewRetryBudgets(s.Budget), pool: upstream.NewPool(upstreamTimeouts),
	}
	g.pool.SetMaxConnections(s.Plan.Endpoints)
	g.endpoints.Store(discovery.NewSet(nil))
	g.budgets.SetNodes(unknownNodes)
	g.forwarder = forward.New(protocol, &endpointPicker{g}, g.pool, g.budgets, g.memory, log)
	g.configFollower = follow.New(s.Tables.Config, store, configTiming, log, g.setConfig)
	timing := endpointTiming
	timing.FastStart = !s.FirstStart
	g.endpointsFollower = follow.New(s.Tables.Endpoints, store, timing, log, g.setEndpoints)
	g.registry = gossip.NewRegistry(s.Tables.Nodes, store, gossip.Node{
		Name: s.Node, Kind: gossip.KindEntry, Address: s.PeerAddress, FailureDomain: s.FailureDomain,
	}, log, g.setNodes)
	g.gossip = gossip.NewGossiper(s.PeerAddress, s.Seeds, g.registry, []*follow.Follower{g.configFollower, g.endpointsFollower, g.registry.Follower()}, log, g.setLoadReports)
	g.gossip.LimitConnections(connlimit.Limiter("peers", s.Plan.Peers, gossip.MaxHeadBytes, g.memory, log.Warn))
	g.notes = newNotes(s.PeerAddress, g.gossip, g.registry, log)
	g.crashes = newCrashes(s.Node, g.notes, g.loads, log)
	g.limits = newLimits(g.notes, log)
	g.departures = newDepartures(g.notes, log)
	g.evacuations = newEvacuations(log)
	g.former = newFormerEndpoints()
	g.cold = newColdEndpoints(s.Cold, s.Node, g.notes, log)
	g.cold.evacuationEnd = g.evacuations.endedAt
	metric.RegisterGauge("caller_memory_bytes", func() float64 { return float64(g.memory.Stats().Used) })
	metric.RegisterGauge("caller_memory_waiting", func() float64 { return float64(g.memory.Stats().Waiting) })
	metric.RegisterGauge("requests_in_flight", func() float64 { return float64(g.inFlight.Load()) })
	metric.RegisterGauge("failure_domains_evacuated", func() float64 { return float64(g.evacuations.inForce()) })
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	g.requests, g.cancelRequests = context.WithCancel(context.Background())
	if err := g.listen(ctx); err != nil {
		cancel()
		return nil, err
	}
	g.runInBackground(ctx, g.configFollower.Run)
	g.runInBackground(ctx, g.endpointsFollower.Run)
	g.runInBackground(ctx, g.registry.Run)
	g.runInBackground(ctx, g.gossip.Run)
	g.runInBackground(ctx, g.pool.Run)
	g.runInBackground(ctx, g.memory.Run)
	g.runInBackground(ctx, g.crashes.run)
	if s.Tables.Crashes != "" {
		kept := &crashStore{crashes: g.crashes, store: store, table: s.Tables.Crashes, node: s.Node}
		g.runInBackground(ctx, kept.run)
	}
	g.runInBackground(ctx, g.cold.run)
	if s.FirstStart {
		g.notes.synced.Store(true)
	} else {
		g.runInBackground(ctx, g.notes.askAtStart)
	}
	return g, nil
}

// runInBackground runs a function in a goroutine until ctx ends.
func (g *Gateway) runInBackground(ctx context.Context, run func(context.Context)) {
	g.background.Go(func() { run(ctx) })
}

// setConfig applies a new configuration and new evacuations, which are rows of the same
// table. It ignores a configuration that is invalid or older than the current one: a restored
// store has an older one until the operators write again. One of the same version is applied
// once in each era, as it may have another content. The
// evacuations come first, so that the node serves no request without them after its start.
func (g *Gateway) setConfig(c follow.Copy) {
	domains, errs := g.protocol.DecodeEvacuations(c.WithRetained())
	g.evacuations.set(evacuation.NewSet(domains), errs, c.AsOf)
	cfg, ok, err := g.protocol.DecodeConfig(c)
	if err != nil {
		g.log.Error("invalid configuration, keeping the previous one", "error", err.Error(), "as_of", c.AsOf)
		return
	}
	current := g.table.Load()
	if !ok || (current != nil && cfg.Version == current.Version() && c.AsOf.Era == g.configEra) {
		return
	}
	if current != nil && cfg.Version < current.Version() {
		g.log.Warn("the store has an older configuration, keeping the one in force", "config", current.Version(), "stored", cfg.Version, "as_of", c.AsOf)
		return
	}
	g.table.Store(route.NewTable(cfg))
	g.configEra = c.AsOf.Era
	metric.SetConfigVersion(cfg.Version)
	g.log.Info("configuration in force", "config", cfg.Version, "routes", len(cfg.Routes), "organisations", len(cfg.Organisations), "as_of", c.AsOf)
	g.cold.setConfig(cfg)
}

// setEndpoints applies a new list of endpoints. After an outage or a restore of the store,
// endpoints that are missing from the list stay in use for RelistPeriod. What a restored store
// says of endpoints that were draining or no longer listed may be from before that.
func (g *Gateway) setEndpoints(c follow.Copy) {
	list, errs := g.protocol.DecodeEndpoints(c)
	for _, err := range errs {
		g.log.Warn("invalid entry in the list of endpoints", "error", err.Error(), "as_of", c.AsOf)
	}
	now := time.Now()
	restored := g.former.restored(c.AsOf.Era)
	if restored {
		for _, i := range g.former.leaving(g.endpoints.Load()) {
			g.departures.add(i)
		}
		g.former.hide(list, now)
		time.AfterFunc(formerHidden, g.reapplyEndpoints)
	}
	list = g.former.visible(list, now)
	_, backAt := g.endpointsFollower.OutageTimes()
	if left := time.Until(backAt.Add(g.settings.RelistPeriod)); left > 0 {
		list = withUnlisted(list, g.endpoints.Load())
		// This removes the endpoints that have not registered again by then.
		time.AfterFunc(left, g.reapplyEndpoints)
	}
	g.installEndpoints(list, c.AsOf, restored)
}

// reapplyEndpoints applies the latest list of endpoints again.
func (g *Gateway) reapplyEndpoints() { g.endpointsFollower.Renotify() }

// installEndpoints replaces the list of endpoints and logs the changes. restored is true if the
// list is the first one of another era of the store.
func (g *Gateway) installEndpoints(list []discovery.Endpoint, asOf follow.Position, restored bool) {
	old, set := g.endpoints.Load(), discovery.NewSet(list)
	byAddress := make(map[string]string, len(list))
	for _, e := range list {
		byAddress[e.Address] = e.ID
		previous, known := old.Find(e.ID)
		switch {
		case !known:
			g.log.Info("endpoint listed", "endpoint", e.ID, "service", e.Service, "address", e.Address, "draining", e.Draining, "as_of", asOf)
		case previous.Draining != e.Draining || previous.Address != e.Address || !previous.Started.Equal(e.Started):
			g.log.Info("endpoint changed", "endpoint", e.ID, "address", e.Address, "draining", e.Draining, "as_of", asOf)
		}
	}
	for id, e := range old.All() {
		if _, ok := set.Find(id); !ok {
			g.log.Info("endpoint no longer listed", "endpoint", id, "service", e.Service, "as_of", asOf)
			g.pool.CloseIdle(e.Address)
		}
	}
	g.former.update(old, set, time.Now())
	g.loads.SetEndpoints(byAddress)
	g.evacuations.setListed(set)
	g.cold.setEndpoints(set, restored)
	g.endpoints.Store(set)
	g.departures.retain(set)
	g.limits.pacer.Retain(func(e pacing.Endpoint) bool {
		listed, ok := set.Find(e.ID)
		return ok && pacedEndpoint(listed) == e
	}, time.Now())
}

// setNodes applies a new list of the system's own processes.
func (g *Gateway) setNodes(nodes []gossip.Node) {
	turn := 0
	var entries []string
	for i := range nodes {
		if nodes[i].Kind != gossip.KindEntry {
			continue
		}
		entries = append(entries, nodes[i].Name)
		if nodes[i].Name < g.settings.Node {
			turn++
		}
	}
	g.budgets.SetNodes(len(entries))
	g.loads.SetNodes(len(entries))
	g.limits.pacer.SetNodes(turn, len(entries))
	g.cold.slots.SetNodes(entries, time.Now())
}

// setLoadReports stores the load reports of agents of rank groups.
func (g *Gateway) setLoadReports(loads []gossip.Load) {
	for _, l := range loads {
		g.loads.SetReport(l.Endpoint, outstanding.Report{
			Running: l.Running, Queued: l.Queued, Group: l.Group, GroupReady: l.GroupReady, Slowdown: float64(l.Slowdown),
			PassTime: time.Duration(l.PassTime) * time.Millisecond, PassElapsed: time.Duration(l.PassElapsed) * time.Millisecond,
		})
	}
}

// Ready reports whether the node can serve requests: it has a configuration, endpoints
// and what the other nodes know about endpoints, and is not stopping.
func (g *Gateway) Ready() bool {
	return g.notes.synced.Load() && !g.draining.Load() && g.table.Load() != nil && len(g.endpoints.Load().All()) > 0
}
