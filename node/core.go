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

// core is what entry nodes and agents have in common: their part in the
// membership, the configuration in force, and what is known of crashes.
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
	census      *census
	suspects    *quarantine.List
	sum         *quota.Sum
	decisions   *decision.Log
	listeners   []*listener
	cancel      context.CancelFunc
	duties      sync.WaitGroup
}

// newCore assembles the common parts of a process called name.
func newCore(s *settings.Node, secret peer.Secret, role string, name string, kind membership.Kind) (*core, error) {
	security, err := peer.NewSecurity(secret, s.TLS)
	if err != nil {
		return nil, err
	}
	suspects, err := quarantine.NewList(quarantineBounds)
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
		table:       table.NewClient(table.Settings{URL: s.Platform.Table, Timeout: s.Platform.TableTimeout}, nil),
		objects:     objectstore.NewClient(objectstore.Settings{URL: s.Platform.Objects, Timeout: s.Platform.ObjectTimeout}, nil),
		holder:      &config.Holder{},
		suspects:    suspects,
		sum:         quota.NewSum(quota.DefaultReportTTL),
		decisions:   decision.NewLog(decisionsKept),
	}
	c.members = c.newMembers(name, kind)
	c.registry = rollout.NewRegistry(c.table, c.objects)
	c.census = newCensus(c)
	c.follower = rollout.NewFollower(rollout.Settings{Node: s.Name}, c.table, c.objects, c.census, &consumer{holder: c.holder, registry: c.registry}, newRandom())
	return c, nil
}

func (c *core) newMembers(name string, kind membership.Kind) *membership.Node {
	s := c.settings
	vms := vmlist.NewClient(vmlist.Settings{URL: s.Platform.VMs, Timeout: s.Platform.VMsTimeout}, nil)
	return membership.NewNode(membership.Config{
		Self: membership.Record{
			Name: name, Address: s.Peers, FailureDomain: s.FailureDomain, Region: s.Region, VM: s.VM,
			Kind: kind, Incarnation: c.incarnation,
		},
		Seeds:     s.Seeds,
		Transport: membership.NewHTTPTransport(c.client),
		VMs:       platformVMs{vms},
		Rand:      newRandom(),
		Timing:    membership.DefaultTiming(),
	})
}

// newRandom returns a source that is seeded by the runtime.
func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// newNonce returns a text that no other process has.
func newNonce() string { return uuid.NewString() }

// platformVMs reads the platform's list for the membership.
type platformVMs struct {
	client *vmlist.Client
}

// List implements membership.VMs.
func (p platformVMs) List(ctx context.Context) ([]membership.VM, error) {
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

// start opens the listeners for peers and operators and begins the duties.
// more adds a process's own handlers for peers.
func (c *core) start(sockets Sockets, service *service, more func(*http.ServeMux)) error {
	mux := http.NewServeMux()
	mux.Handle(membership.NewHandler(c.members))
	mux.Handle(cyclamenpointv1connect.NewPeerServiceHandler(&peerService{core: c}, peer.ServerOptions()))
	more(mux)
	peers, err := sockets.guarded("peers", c.settings.Peers, c.security, mux)
	if err != nil {
		return err
	}
	c.listeners = append(c.listeners, peers)
	operators, err := sockets.guarded("operators", c.settings.Operators, c.security, operatorsMux(service))
	if err != nil {
		return err
	}
	c.listeners = append(c.listeners, operators)
	c.publish()
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.duty(ctx, c.members.Run)
	c.duty(ctx, c.follower.Run)
	c.duty(ctx, c.census.run)
	c.duty(ctx, c.shareCrashes)
	return nil
}

// duty runs one duty in a goroutine until the process ends.
func (c *core) duty(ctx context.Context, run func(context.Context)) {
	c.duties.Go(func() { run(ctx) })
}

// Ready implements entry.Readiness.
func (c *core) Ready() string {
	if err := c.follower.Ready(); err != nil {
		return err.Error()
	}
	return ""
}

// close ends the duties and then the listeners.
func (c *core) close() {
	c.end()
	for _, l := range c.listeners {
		l.close()
	}
}

// abort ends the process at once, as its death does.
func (c *core) abort() {
	for _, l := range c.listeners {
		l.abort()
	}
	c.end()
}

func (c *core) end() {
	if c.cancel != nil {
		c.cancel()
	}
	c.duties.Wait()
	c.transport.CloseIdleConnections()
}
