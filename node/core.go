package node

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/cyclamenpoint/cyclamenpoint/config"
	"github.com/cyclamenpoint/cyclamenpoint/decision"
	"github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1/cyclamenpointv1connect"
	"github.com/cyclamenpoint/cyclamenpoint/membership"
	"github.com/cyclamenpoint/cyclamenpoint/objectstore"
	"github.com/cyclamenpoint/cyclamenpoint/peer"
	"github.com/cyclamenpoint/cyclamenpoint/quarantine"
	"github.com/cyclamenpoint/cyclamenpoint/quota"
	"github.com/cyclamenpoint/cyclamenpoint/rollout"
	"github.com/cyclamenpoint/cyclamenpoint/settings"
	"github.com/cyclamenpoint/cyclamenpoint/table"
	"github.com/cyclamenpoint/cyclamenpoint/vmlist"
)

// core holds what entry nodes and agents have in common: the membership, the
// configuration in force, the recorded crashes, and the listeners for peers and
// operators.
type core struct {
	settings    *settings.Node
	role        string
	started     time.Time
	incarnation uint64
	security    *peer.Security
	transport   *peer.Transport
	client      *http.Client
	table       *table.Client
	objects     *objectstore.Client
	holder      *config.Holder
	registry    *rollout.Registry
	follower    *rollout.Follower
	members     *membership.Node
	configPeers *configPeers
	suspects    *quarantine.List
	demandSums  *quota.Sum
	decisions   *decision.Log
	listeners   []*listener
	cancel      context.CancelFunc
	tasks       sync.WaitGroup
}

// newCore creates the common parts of a process. name is the name of the process
// in the membership. newCore starts no listener and no task.
func newCore(s *settings.Node, secret peer.Secret, role string, name string, kind membership.Kind) (*core, error) {
	security, err := peer.NewSecurity(secret, s.TLS)
	if err != nil {
		return nil, err
	}
	suspects, err := quarantine.NewList(quarantineConfig)
	if err != nil {
		return nil, err
	}
	transport := security.Transport()
	c := &core{
		settings:    s,
		role:        role,
		started:     time.Now(),
		incarnation: uint64(time.Now().UnixNano()),
		security:    security,
		transport:   transport,
		client:      &http.Client{Transport: transport},
		table:       table.NewClient(table.Settings{URL: s.Platform.TableURL, Timeout: s.Platform.TableTimeout}, nil),
		objects:     objectstore.NewClient(objectstore.Settings{URL: s.Platform.ObjectStoreURL, Timeout: s.Platform.ObjectTimeout}, nil),
		holder:      &config.Holder{},
		suspects:    suspects,
		demandSums:  quota.NewSum(quota.DefaultReportTTL),
		decisions:   decision.NewLog(maxDecisions),
	}
	c.members = c.newMembers(name, kind)
	c.registry = rollout.NewRegistry(c.table, c.objects)
	c.configPeers = newConfigPeers(c)
	c.follower = rollout.NewFollower(rollout.Settings{Node: s.Name}, c.table, c.objects, c.configPeers, &consumer{holder: c.holder, registry: c.registry}, newRandom())
	return c, nil
}

func (c *core) newMembers(name string, kind membership.Kind) *membership.Node {
	s := c.settings
	vms := vmlist.NewClient(vmlist.Settings{URL: s.Platform.VMListURL, Timeout: s.Platform.VMListTimeout}, nil)
	return membership.NewNode(membership.Config{
		Self: membership.Record{
			Name: name, Address: s.PeerAddress, FailureDomain: s.FailureDomain, Region: s.Region, VM: s.VM,
			Kind: kind, Incarnation: c.incarnation,
		},
		Seeds:     s.Seeds,
		Transport: membership.NewHTTPTransport(c.client),
		VMs:       vmLister{vms},
		Rand:      newRandom(),
		Timing:    membership.DefaultTiming(),
	})
}

// newRandom returns a random source with a random seed.
func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// newUniqueID returns an identifier that is unique in the deployment.
func newUniqueID() string { return uuid.NewString() }

// vmLister reads the platform's VM list for the membership.
type vmLister struct {
	client *vmlist.Client
}

// List implements membership.VMs.
func (p vmLister) List(ctx context.Context) ([]membership.VM, error) {
	listed, err := p.client.VMs(ctx)
	if err != nil {
		return nil, err
	}
	vms := make([]membership.VM, 0, len(listed))
	for _, vm := range listed {
		vms = append(vms, membership.VM{Name: vm.Name, Leaving: vm.State == vmlist.StateLeaving})
	}
	return vms, nil
}

// start opens the listeners for peers and operators and starts the background
// tasks. addHandlers adds the handlers for peers that belong to one kind of
// process.
func (c *core) start(sockets Sockets, service *service, addHandlers func(*http.ServeMux)) error {
	mux := http.NewServeMux()
	mux.Handle(membership.NewHandler(c.members))
	mux.Handle(cyclamenpointv1connect.NewPeerServiceHandler(&peerService{core: c}, peer.ServerOptions()))
	addHandlers(mux)
	peers, err := sockets.listenSecured("peers", c.settings.PeerAddress, c.security, mux)
	if err != nil {
		return err
	}
	c.listeners = append(c.listeners, peers)
	operators, err := sockets.listenSecured("operators", c.settings.OperatorAddress, c.security, operatorsMux(service))
	if err != nil {
		return err
	}
	c.listeners = append(c.listeners, operators)
	c.publishVars()
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.runTask(ctx, c.members.Run)
	c.runTask(ctx, c.follower.Run)
	c.runTask(ctx, c.configPeers.run)
	c.runTask(ctx, c.syncFacts)
	return nil
}

// runTask starts run in a goroutine that stopTasks waits for.
func (c *core) runTask(ctx context.Context, run func(context.Context)) {
	c.tasks.Go(func() { run(ctx) })
}

// Ready implements entry.Readiness.
func (c *core) Ready() string {
	if err := c.follower.Ready(); err != nil {
		return err.Error()
	}
	return ""
}

// close stops the background tasks and then the listeners.
func (c *core) close() {
	c.stopTasks()
	for _, l := range c.listeners {
		l.close()
	}
}

// abort closes all connections at once, as if the process had been killed, and
// then stops the background tasks.
func (c *core) abort() {
	for _, l := range c.listeners {
		l.abort()
	}
	c.stopTasks()
}

// stopTasks cancels the background tasks and waits for them.
func (c *core) stopTasks() {
	if c.cancel != nil {
		c.cancel()
	}
	c.tasks.Wait()
	c.transport.CloseIdleConnections()
}
