package node

import (
	"context"
	"expvar"
	"net/http"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/cyclamenpoint/cyclamenpoint/deployment"
	"github.com/cyclamenpoint/cyclamenpoint/engine"
	pb "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
	"github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1/cyclamenpointv1connect"
	"github.com/cyclamenpoint/cyclamenpoint/lease"
	"github.com/cyclamenpoint/cyclamenpoint/mapswitch"
	switchrpc "github.com/cyclamenpoint/cyclamenpoint/mapswitch/rpc"
	"github.com/cyclamenpoint/cyclamenpoint/placer"
	placerrpc "github.com/cyclamenpoint/cyclamenpoint/placer/rpc"
	"github.com/cyclamenpoint/cyclamenpoint/table"
)

// Terms of a group's duties. A switch is proposed for switchLead steps ahead
// and withdrawn switchMargin steps before it begins.
const (
	switchLead      = 32
	switchMargin    = 8
	inquireTicks    = 10
	silentRounds    = 10
	switchTick      = 100 * time.Millisecond
	orderTimeout    = time.Second
	messageTimeout  = time.Second
	recordTimeout   = 2 * time.Second
	recordRetry     = time.Second
	collectInterval = 500 * time.Millisecond
	collectTimeout  = time.Second
	expertWindow    = 25
	weightStoreRate = 1 << 30
)

// placementVars publishes what this process has decided on expert maps.
var placementVars = expvar.NewMap("placement")

// group is an agent's part in its rank group.
type group struct {
	name   string
	node   *mapswitch.Node
	placer *placer.Placer
	server *placerrpc.Server
	// switches and reports serve the other agents of the group.
	switches http.Handler
	reports  http.Handler
}

// servePlacement runs the part of an engine's agent in its rank group, until
// ctx ends. The group's ranks are those of the configuration at the start.
func (n *Agent) servePlacement(ctx context.Context, endpoint *deployment.Endpoint) {
	deploy := n.core.holder.Current().Deployment
	configured := deploy.Group(endpoint.Group)
	if configured == nil {
		return
	}
	g, held := n.newGroup(configured, endpoint, deploy.Ranks(endpoint.Group))
	n.group.Store(g)
	n.core.duty(ctx, held.Run)
	n.core.duty(ctx, g.node.Run)
	n.core.duty(ctx, g.placer.Run)
	n.core.duty(ctx, g.publish)
	klog.Infof("placement: endpoint %s is rank %d of group %s.", endpoint.Name, endpoint.Rank, g.name)
}

func (n *Agent) newGroup(configured *deployment.Group, endpoint *deployment.Endpoint, ranks []deployment.Endpoint) (*group, *lease.Lease) {
	var peers mapswitch.RankSet
	var domains []string
	urls := make(map[mapswitch.Rank]string)
	for _, r := range ranks {
		peers = peers.With(mapswitch.Rank(r.Rank))
		urls[mapswitch.Rank(r.Rank)] = "http://" + r.Agent
		domains = append(domains, r.FailureDomain)
	}
	rows := &livingTable{table: n.core.table, dead: &n.dead}
	held := lease.New(lease.Settings{
		Name: placer.LeaseName(configured.Name), Owner: n.core.settings.Name, Nonce: newNonce(),
	}, rows, newRandom())
	store := placer.NewStore(configured.Name, rows)
	orders := engine.NewOrderClient(endpoint.Address)
	g := &group{name: configured.Name}
	g.node = mapswitch.NewNode(switchConfig(configured.Name, mapswitch.Rank(endpoint.Rank), peers), mapswitch.Dependencies{
		Lease: held, Store: store, Attacher: orders,
		Transport:      switchrpc.NewTransport(configured.Name, n.core.client, urls),
		NewIncarnation: incarnations(n.core.incarnation),
	})
	g.placer = placer.New(placer.Config{
		Group: *configured, FailureDomains: domains, Interval: collectInterval, CollectTimeout: collectTimeout,
		WindowSteps: expertWindow, StoreBytesPerSecond: weightStoreRate,
	}, placer.Dependencies{
		Lease: held, Switch: g.node, Records: store,
		Source: placerrpc.NewSource(configured.Name, endpoint.Name, n.core.client, urls),
	})
	g.server = placerrpc.NewServer(configured.Name, mapswitch.Rank(endpoint.Rank), orders)
	_, g.switches = cyclamenpointv1connect.NewRankGroupServiceHandler(switchrpc.NewServer(configured.Name, g.node))
	_, g.reports = cyclamenpointv1connect.NewPlacementServiceHandler(g.server)
	return g, held
}

func switchConfig(name string, rank mapswitch.Rank, peers mapswitch.RankSet) mapswitch.Config {
	return mapswitch.Config{
		Group: name, Rank: rank, Peers: peers,
		Limits: mapswitch.Limits{
			LeadSteps: switchLead, MarginSteps: switchMargin, InquireTicks: inquireTicks, UnresponsiveRounds: silentRounds,
		},
		TickInterval: switchTick, OrderTimeout: orderTimeout, SendTimeout: messageTimeout,
		StoreTimeout: recordTimeout, StoreRetry: recordRetry,
	}
}

// incarnations returns numbers from that of this process on. A later process
// begins with a later time in nanoseconds.
func incarnations(first uint64) func() uint64 {
	next := first
	return func() uint64 {
		next++
		return next
	}
}

// handlePlacement passes the group's calls on once the agent knows its group.
func (n *Agent) handlePlacement(mux *http.ServeMux) {
	pass := func(pick func(*group) http.Handler) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			g := n.group.Load()
			if g == nil {
				http.Error(w, "the agent has no rank group yet", http.StatusServiceUnavailable)
				return
			}
			pick(g).ServeHTTP(w, r)
		}
	}
	mux.Handle("/"+cyclamenpointv1connect.RankGroupServiceName+"/", pass(func(g *group) http.Handler { return g.switches }))
	mux.Handle("/"+cyclamenpointv1connect.PlacementServiceName+"/", pass(func(g *group) http.Handler { return g.reports }))
}

// groupStatus returns the state of the agent's rank group.
func (n *Agent) groupStatus() []*pb.GroupStatus {
	g := n.group.Load()
	if g == nil {
		return nil
	}
	snap := g.node.Snapshot()
	news := g.server.CoordinatorStatus()
	return []*pb.GroupStatus{{
		Group: g.name, MapVersion: snap.Map.Version, Epoch: snap.Epoch, Coordinator: news.Coordinator, Skew: news.Skew,
	}}
}

// publish adds to the process's figures, until ctx ends.
func (g *group) publish(ctx context.Context) {
	ticker := time.NewTicker(collectInterval)
	defer ticker.Stop()
	var before placer.Status
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := g.placer.Status()
		placementVars.Add("changes", now.Changes-before.Changes)
		placementVars.Add("moves", now.Moves-before.Moves)
		placementVars.Add("bytes", now.Bytes-before.Bytes)
		placementVars.Add("switches", now.Switches-before.Switches)
		if now.Active {
			setFloat("skew."+g.name, now.Skew)
			setFloat("in_force_seconds."+g.name, now.LastSwitchDuration.Seconds())
		}
		before = now
	}
}

func setFloat(name string, value float64) {
	v := new(expvar.Float)
	v.Set(value)
	placementVars.Set(name, v)
}

// livingTable is the table service to a process that may die: a dead one writes
// nothing more.
type livingTable struct {
	table lease.Table
	dead  *atomic.Bool
}

// AbortedError says that the process was aborted.
type AbortedError struct{}

// Error implements error.
func (AbortedError) Error() string { return "the process was aborted" }

// Get implements lease.Table.
func (t *livingTable) Get(ctx context.Context, key string) (table.Row, error) {
	return t.table.Get(ctx, key)
}

// Write implements lease.Table.
func (t *livingTable) Write(ctx context.Context, ops []table.Op) ([]string, error) {
	if t.dead.Load() {
		return nil, AbortedError{}
	}
	return t.table.Write(ctx, ops)
}
