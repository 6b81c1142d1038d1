// Package gateway is the entry node of a deployment whose endpoints announce
// themselves: it serves callers by the newest configuration and forwards their
// requests straight to endpoints. It joins the packages that decide; what the
// platform speaks comes in through Protocol and Store.
package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/discovery"
	"github.com/cyclamenpoint/cyclamenpoint/follow"
	"github.com/cyclamenpoint/cyclamenpoint/forward"
	"github.com/cyclamenpoint/cyclamenpoint/gossip"
	"github.com/cyclamenpoint/cyclamenpoint/metric"
	"github.com/cyclamenpoint/cyclamenpoint/outstanding"
	"github.com/cyclamenpoint/cyclamenpoint/retry"
	"github.com/cyclamenpoint/cyclamenpoint/route"
	"github.com/cyclamenpoint/cyclamenpoint/upstream"
)

// Caller is what the headers of a caller's request say.
type Caller struct {
	ID  string
	Key string
	// Deadline is how long the caller waits; zero if it does not say.
	Deadline time.Duration
	// LastEvent is the id of the last event that the caller holds of a stream.
	LastEvent string
	// PromptTokens and MaxAnswerTokens tell the size of a generation; zero for
	// unknown. LikelyAnswerTokens is the caller's guess, which may exceed the most.
	PromptTokens, MaxAnswerTokens, LikelyAnswerTokens int
	// InvalidHeaders names the headers that only inform and could not be read; what they
	// tell counts as unknown.
	InvalidHeaders []string
}

// answerTokens is the likely size of the answer, zero for unknown.
func (c Caller) answerTokens() int {
	if c.MaxAnswerTokens > 0 {
		return min(c.LikelyAnswerTokens, c.MaxAnswerTokens)
	}
	return c.LikelyAnswerTokens
}

// Protocol is what callers, endpoints and the store speak.
type Protocol interface {
	forward.Codec
	// DecodeCaller reads the headers of a caller's request.
	DecodeCaller(h http.Header) (Caller, error)
	// ForwardedHeaders returns the caller's headers that an endpoint gets.
	ForwardedHeaders(h http.Header) http.Header
	SetRetryAfter(h http.Header, after time.Duration)
	SetRequestID(h http.Header, id string)
	// DecodeConfig returns false if the copy holds no configuration yet.
	DecodeConfig(c follow.Copy) (route.Config, bool, error)
	// DecodeEndpoints returns an error for each entry that cannot be used.
	DecodeEndpoints(c follow.Copy) ([]discovery.Endpoint, []error)
}

// Tables names the store's tables that a gateway follows.
type Tables struct {
	Config, Endpoints, Nodes string
}

// Settings is what a gateway is told.
type Settings struct {
	Node          string
	FailureDomain string
	// CallerAddress and ReadinessAddress are where it listens.
	CallerAddress, ReadinessAddress string
	// PeerAddress is where the system's other processes reach it, by TCP and UDP.
	PeerAddress string
	// Seeds are peers' addresses that are known from the start.
	Seeds []string
	// FirstStart is true when the whole system starts for the first time: nothing has
	// to be caught up with.
	FirstStart bool
	Tables     Tables
	// RelistPeriod is the time in which live endpoints are listed again after an outage
	// of the store.
	RelistPeriod time.Duration
	// GracePeriod is the time between the signal to stop and the kill.
	GracePeriod time.Duration
	Budget      retry.WindowConfig
}

// Store reads and writes the platform's tables.
type Store interface {
	follow.Source
	Put(ctx context.Context, table, key string, value []byte) error
}

// Gateway is a running entry node.
type Gateway struct {
	settings Settings
	protocol Protocol
	log      *slog.Logger

	table    atomic.Pointer[route.Table]
	set      atomic.Pointer[discovery.Set]
	loads    *outstanding.Tracker
	budgets  *forward.RetryBudgets
	pool     *upstream.Pool
	forward  *forward.Forwarder
	config   *follow.Follower
	listed   *follow.Follower
	registry *gossip.Registry
	news     *gossip.Gossiper

	draining atomic.Bool
	inFlight atomic.Int64
	cancel   context.CancelFunc
	duties   sync.WaitGroup
	servers  []*http.Server
}

// Timing of the tables' followers.
var (
	// configTiming brings a configuration into force at once; a call that hears
	// nothing costs the store little.
	configTiming = follow.Timing{PollTimeout: 20 * time.Second, MinInterval: 50 * time.Millisecond, Backoff: 300 * time.Millisecond}
	// endpointTiming gathers the changes of many endpoints into one call. It has
	// to stay well below the time in which a leaving endpoint must be left alone.
	endpointTiming = follow.Timing{PollTimeout: 20 * time.Second, MinInterval: 600 * time.Millisecond, Backoff: 300 * time.Millisecond}
)

// endpointTimes bounds the connections to endpoints. An endpoint answers a new
// connection within some ms; one that is dark never does.
var endpointTimes = upstream.Timeouts{Connect: 400 * time.Millisecond, Ack: time.Second}

// Start starts a gateway. The error is a *net.OpError for an address that
// cannot be listened at.
func Start(s Settings, protocol Protocol, store Store, log *slog.Logger) (*Gateway, error) {
	g := &Gateway{
		settings: s, protocol: protocol, log: log,
		loads: outstanding.New(), budgets: forward.NewRetryBudgets(s.Budget), pool: upstream.NewPool(endpointTimes),
	}
	g.set.Store(discovery.NewSet(nil))
	g.forward = forward.New(protocol, &picking{g}, g.pool, g.budgets, log)
	g.config = follow.New(s.Tables.Config, store, configTiming, log, g.setConfig)
	timing := endpointTiming
	timing.FastStart = !s.FirstStart
	g.listed = follow.New(s.Tables.Endpoints, store, timing, log, g.setEndpoints)
	g.registry = gossip.NewRegistry(s.Tables.Nodes, store, gossip.Node{
		Name: s.Node, Kind: gossip.KindEntry, Address: s.PeerAddress, FailureDomain: s.FailureDomain,
	}, log, g.setNodes)
	g.news = gossip.NewGossiper(s.PeerAddress, s.Seeds, g.registry, []*follow.Follower{g.config, g.listed, g.registry.Follower()}, log, g.learnLoads)
	metric.RegisterGauge("requests_in_flight", func() float64 { return float64(g.inFlight.Load()) })
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	if err := g.listen(ctx); err != nil {
		cancel()
		return nil, err
	}
	g.duty(ctx, g.config.Run)
	g.duty(ctx, g.listed.Run)
	g.duty(ctx, g.registry.Run)
	g.duty(ctx, g.news.Run)
	g.duty(ctx, g.pool.Run)
	return g, nil
}

func (g *Gateway) duty(ctx context.Context, run func(context.Context)) {
	g.duties.Go(func() { run(ctx) })
}

// setConfig puts a configuration in force unless it is older than the one that
// is.
func (g *Gateway) setConfig(c follow.Copy) {
	cfg, ok, err := g.protocol.DecodeConfig(c)
	if err != nil {
		g.log.Error("configuration cannot be used, the former one stays in force", "error", err.Error(), "as_of", c.AsOf)
		return
	}
	now := g.table.Load()
	if !ok || (now != nil && cfg.Version <= now.Version()) {
		return
	}
	g.table.Store(route.NewTable(cfg))
	metric.SetConfigVersion(cfg.Version)
	g.log.Info("configuration in force", "config", cfg.Version, "routes", len(cfg.Routes), "organisations", len(cfg.Organisations), "as_of", c.AsOf)
}

// setEndpoints takes a new list of endpoints.
func (g *Gateway) setEndpoints(c follow.Copy) {
	list, faults := g.protocol.DecodeEndpoints(c)
	for _, err := range faults {
		g.log.Warn("entry of the list names no endpoint to use", "error", err.Error(), "as_of", c.AsOf)
	}
	_, backAt := g.listed.OutageTimes()
	if left := time.Until(backAt.Add(g.settings.RelistPeriod)); left > 0 {
		list = withDeparted(list, g.set.Load())
		// What has not come back by then is gone.
		time.AfterFunc(left, g.relist)
	}
	g.install(list, c.AsOf)
}

// relist takes the newest list of endpoints again.
func (g *Gateway) relist() { g.listed.Renotify() }

// install puts a list of endpoints in force.
func (g *Gateway) install(list []discovery.Endpoint, asOf uint64) {
	old, set := g.set.Load(), discovery.NewSet(list)
	byAddress := make(map[string]string, len(list))
	for _, e := range list {
		byAddress[e.Address] = e.ID
		was, known := old.Find(e.ID)
		switch {
		case !known:
			g.log.Info("endpoint listed", "endpoint", e.ID, "service", e.Service, "address", e.Address, "draining", e.Draining, "as_of", asOf)
		case was.Draining != e.Draining || was.Address != e.Address || !was.Started.Equal(e.Started):
			g.log.Info("endpoint changed", "endpoint", e.ID, "address", e.Address, "draining", e.Draining, "as_of", asOf)
		}
	}
	for id, e := range old.All() {
		if _, ok := set.Find(id); !ok {
			g.log.Info("endpoint no longer listed", "endpoint", id, "service", e.Service, "as_of", asOf)
			g.pool.CloseIdle(e.Address)
		}
	}
	g.loads.SetEndpoints(byAddress)
	g.set.Store(set)
}

// setNodes takes a new list of the system's own processes.
func (g *Gateway) setNodes(nodes []gossip.Node) {
	entries := 0
	for i := range nodes {
		if nodes[i].Kind == gossip.KindEntry {
			entries++
		}
	}
	g.budgets.SetNodes(entries)
	g.loads.SetNodes(entries)
}

// learnLoads takes what a group's agents report of their endpoints.
func (g *Gateway) learnLoads(loads []gossip.Load) {
	for _, l := range loads {
		g.loads.SetReport(l.Endpoint, outstanding.Report{
			Running: l.Running, Queued: l.Queued, Group: l.Group, GroupReady: l.GroupReady, Slowdown: float64(l.Slowdown),
			PassTime: time.Duration(l.PassTime) * time.Millisecond, PassElapsed: time.Duration(l.PassElapsed) * time.Millisecond,
		})
	}
}

// Ready reports whether the node can serve: it has a configuration and
// endpoints, and is not stopping.
func (g *Gateway) Ready() bool {
	return !g.draining.Load() && g.table.Load() != nil && len(g.set.Load().All()) > 0
}
