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

// Parameters of a rank group. A switch of maps is proposed switchLeadSteps
// steps ahead, and is withdrawn if it is not agreed on switchMarginSteps steps
// before it.
const (
	switchLeadSteps           = 32
	switchMarginSteps         = 8
	inquireTicks              = 10
	unresponsiveRounds        = 10
	switchTickInterval        = 100 * time.Millisecond
	orderTimeout              = time.Second
	switchSendTimeout         = time.Second
	recordTimeout             = 2 * time.Second
	recordRetryInterval       = time.Second
	collectInterval           = 500 * time.Millisecond
	collectTimeout            = time.Second
	expertWindowSteps         = 25
	weightStoreBytesPerSecond = 1 << 30
)

// placementVars counts the changes of expert maps that this process decided.
var placementVars = expvar.NewMap("placement")

// group holds what an agent runs as a member of its rank group.
type group struct {
	name   string
	node   *mapswitch.Node
	placer *placer.Placer
	server *placerrpc.Server
	// switches and reports handle the calls of the group's other agents.
	switches http.Handler
	reports  http.Handler
}

// startPlacement starts the tasks of an engine's agent in its rank group; they
// run until ctx ends. The ranks of the group are those of the configuration in
// force at the start; later configurations do not change them.
func (n *Agent) startPlacement(ctx context.Context, endpoint *deployment.Endpoint) {
	deploy := n.core.holder.Current().Deployment
	configured := deploy.Group(endpoint.Group)
	if configured == nil {
		return
	}
	g, leaderLease := n.newGroup(configured, endpoint, deploy.Ranks(endpoint.Group))
	n.group.Store(g)
	n.core.runTask(ctx, leaderLease.Run)
	n.core.runTask(ctx, g.node.Run)
	n.core.runTask(ctx, g.placer.Run)
	n.core.runTask(ctx, g.publishVars)
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
	rows := &abortableTable{table: n.core.table, aborted: &n.aborted}
	leaderLease := lease.New(lease.Settings{
		Name: placer.LeaseName(configured.Name), Owner: n.core.settings.Name, Nonce: newUniqueID(),
	}, rows, newRandom())
	store := placer.NewStore(configured.Name, rows)
	orders := engine.NewOrderClient(endpoint.Address)
	g := &group{name: configured.Name}
	g.node = mapswitch.NewNode(switchConfig(configured.Name, mapswitch.Rank(endpoint.Rank), peers), mapswitch.Dependencies{
		Lease: leaderLease, Store: store, Attacher: orders,
		Transport:      switchrpc.NewTransport(configured.Name, n.core.client, urls),
		NewIncarnation: incarnations(n.core.incarnation),
	})
	g.placer = placer.New(placer.Config{
		Group: *configured, FailureDomains: domains, Interval: collectInterval, CollectTimeout: collectTimeout,
		WindowSteps: expertWindowSteps, StoreBytesPerSecond: weightStoreBytesPerSecond,
	}, placer.Dependencies{
		Lease: leaderLease, Switch: g.node, Records: store,
		Source: placerrpc.NewSource(configured.Name, endpoint.Name, n.core.client, urls),
	})
	g.server = placerrpc.NewServer(configured.Name, mapswitch.Rank(endpoint.Rank), orders)
	_, g.switches = cyclamenpointv1connect.NewRankGroupServiceHandler(switchrpc.NewServer(configured.Name, g.node))
	_, g.reports = cyclamenpointv1connect.NewPlacementServiceHandler(g.server)
	return g, leaderLease
}

func switchConfig(name string, rank mapswitch.Rank, peers mapswitch.RankSet) mapswitch.Config {
	return mapswitch.Config{
		Group: name, Rank: rank, Peers: peers,
		Limits: mapswitch.Limits{
			LeadSteps: switchLeadSteps, MarginSteps: switchMarginSteps, InquireTicks: inquireTicks, UnresponsiveRounds: unresponsiveRounds,
		},
		TickInterval: switchTickInterval, OrderTimeout: orderTimeout, SendTimeout: switchSendTimeout,
		StoreTimeout: recordTimeout, StoreRetry: recordRetryInterval,
	}
}

// incarnations returns a generator of increasing numbers above first, the
// incarnation of this process. A later process starts from a higher number, since
// the incarnation of a process is its start time in nanoseconds.
func incarnations(first uint64) func() uint64 {
	next := first
	return func() uint64 {
		next++
		return next
	}
}

// registerPlacementHandlers adds the handlers of the rank group. They answer
// with status 503 until the agent has a group.
func (n *Agent) registerPlacementHandlers(mux *http.ServeMux) {
	forward := func(handler func(*group) http.Handler) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			g := n.group.Load()
			if g == nil {
				http.Error(w, "the agent has no rank group yet", http.StatusServiceUnavailable)
				return
			}
			handler(g).ServeHTTP(w, r)
		}
	}
	mux.Handle("/"+cyclamenpointv1connect.RankGroupServiceName+"/", forward(func(g *group) http.Handler { return g.switches }))
	mux.Handle("/"+cyclamenpointv1connect.PlacementServiceName+"/", forward(func(g *group) http.Handler { return g.reports }))
}

// groupStatus returns the state of the agent's rank group.
func (n *Agent) groupStatus() []*pb.GroupStatus {
	g := n.group.Load()
	if g == nil {
		return nil
	}
	snap := g.node.Snapshot()
	status := g.server.CoordinatorStatus()
	return []*pb.GroupStatus{{
		Group: g.name, MapVersion: snap.Map.Version, Epoch: snap.Epoch, Coordinator: status.Coordinator, Skew: status.Skew,
	}}
}

// publishVars updates placementVars until ctx ends.
func (g *group) publishVars(ctx context.Context) {
	ticker := time.NewTicker(collectInterval)
	defer ticker.Stop()
	var previous placer.Status
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		current := g.placer.Status()
		placementVars.Add("changes", current.Changes-previous.Changes)
		placementVars.Add("moves", current.Moves-previous.Moves)
		placementVars.Add("bytes", current.Bytes-previous.Bytes)
		placementVars.Add("switches", current.Switches-previous.Switches)
		if current.Active {
			setFloat("skew."+g.name, current.Skew)
			setFloat("in_force_seconds."+g.name, current.LastSwitchDuration.Seconds())
		}
		previous = current
	}
}

func setFloat(name string, value float64) {
	v := new(expvar.Float)
	v.Set(value)
	placementVars.Set(name, v)
}

// abortableTable passes calls to the table, and refuses writes after the
// process was aborted.
type abortableTable struct {
	table   lease.Table
	aborted *atomic.Bool
}

// AbortedError reports a write after the process was aborted.
type AbortedError struct{}

// Error implements error.
func (AbortedError) Error() string { return "the process was aborted" }

// Get implements lease.Table.
func (t *abortableTable) Get(ctx context.Context, key string) (table.Row, error) {
	return t.table.Get(ctx, key)
}

// Write implements lease.Table.
func (t *abortableTable) Write(ctx context.Context, ops []table.Op) ([]string, error) {
	if t.aborted.Load() {
		return nil, AbortedError{}
	}
	return t.table.Write(ctx, ops)
}
