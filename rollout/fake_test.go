package rollout

import (
	"context"
	"flag"
	"io"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"k8s.io/klog/v2"

	objectstandin "github.com/cyclamenpoint/cyclamenpoint/standin/objectstore"
)

func TestMain(m *testing.M) {
	// Flags on the command line are parsed later and take precedence.
	for _, f := range [][2]string{{"rapid.seed", "1"}, {"rapid.nofailfile", "true"}} {
		if err := flag.Set(f[0], f[1]); err != nil {
			panic(err)
		}
	}
	logs := flag.NewFlagSet("logs", flag.PanicOnError)
	klog.InitFlags(logs)
	if err := logs.Parse([]string{"-logtostderr=false", "-stderrthreshold=FATAL"}); err != nil {
		panic(err)
	}
	klog.SetOutput(io.Discard)
	os.Exit(m.Run())
}

// Intervals and delays of the fake network.
const (
	heartbeatInterval = 500 * time.Millisecond
	heartbeatTTL      = 3 * time.Second
	messageDelay      = 20 * time.Millisecond
)

// heartbeat is the latest state that a node has received from another one.
type heartbeat struct {
	held  Digest
	ready bool
	at    time.Time
}

// network is a fake network in which each node broadcasts its state to all others.
type network struct {
	mu    sync.Mutex
	nodes []*node
	// side is the side of a network partition that each node is on. Only nodes on
	// the same side receive each other's messages.
	side []int
}

// node is one process of the fake deployment. It implements Peers and Consumer for
// its follower.
type node struct {
	network    *network
	index      int
	follower   *Follower
	cancel     context.CancelFunc
	done       chan struct{}
	dead       bool
	held       Digest
	ready      bool
	heartbeats map[int]heartbeat
	installs   func(n *node, d Digest)
	unusable   func(body []byte) error
}

// deployment is a set of nodes that share one table.
type deployment struct {
	network network
	table   Table
	objects *objectstandin.Store
	begun   time.Time
	started uint64

	mu      sync.Mutex
	records []inForce
}

// inForce records that a node put a version in force.
type inForce struct {
	at          time.Duration
	node        int
	incarnation uint64
	digest      Digest
	// majority is true if more than half of the nodes held the version.
	majority bool
}

// newDeployment returns a deployment of size nodes, which are not started.
func newDeployment(t Table, size int) *deployment {
	dep := &deployment{table: t, objects: objectstandin.New(), begun: time.Now()}
	dep.network.nodes, dep.network.side = make([]*node, size), make([]int, size)
	return dep
}

// start starts node i as a new incarnation with an optional injected fault.
func (dep *deployment) start(i int, fault func(*node)) *node {
	dep.started++
	incarnation := dep.started
	n := &node{network: &dep.network, index: i, heartbeats: map[int]heartbeat{}, done: make(chan struct{})}
	n.installs = func(n *node, d Digest) {
		record := inForce{time.Since(dep.begun), i, incarnation, d, dep.network.majorityHolds(d)}
		dep.mu.Lock()
		defer dep.mu.Unlock()
		dep.records = append(dep.records, record)
	}
	if fault != nil {
		fault(n)
	}
	random := rand.New(rand.NewPCG(incarnation, 3))
	n.follower = NewFollower(Settings{Node: strconv.Itoa(i)}, dep.table, dep.objects, n, n, random)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	dep.network.mu.Lock()
	dep.network.nodes[i] = n
	dep.network.mu.Unlock()
	go func() { n.follower.Run(ctx); close(n.done) }()
	go n.sendHeartbeats(ctx)
	return n
}

// stop stops a node immediately.
func (n *node) stop() {
	n.network.mu.Lock()
	n.dead = true
	n.network.mu.Unlock()
	n.cancel()
	<-n.done
}

// sendHeartbeats broadcasts the node's state periodically.
func (n *node) sendHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		n.broadcast()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Announce implements Peers.
func (n *node) Announce(held Digest, ready bool) {
	n.network.mu.Lock()
	n.held, n.ready = held, ready
	n.network.mu.Unlock()
	n.broadcast()
}

// broadcast sends the node's state to all nodes on the same side.
func (n *node) broadcast() {
	n.network.mu.Lock()
	message := heartbeat{held: n.held, ready: n.ready}
	n.network.mu.Unlock()
	time.AfterFunc(messageDelay, func() { n.deliver(message) })
}

// deliver delivers a message to all nodes that are now on the sender's side.
func (n *node) deliver(message heartbeat) {
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	if n.dead {
		return
	}
	message.at = time.Now()
	for i, other := range n.network.nodes {
		if other == nil || other == n || other.dead || n.network.side[i] != n.network.side[n.index] {
			continue
		}
		other.heartbeats[n.index] = message
		other.follower.Observe(message.held)
	}
}

// Summary implements Peers.
func (n *node) Summary(d Digest) PeerSummary {
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	summary := PeerSummary{Members: len(n.network.nodes)}
	for _, s := range n.heartbeats {
		if !s.ready || time.Since(s.at) > heartbeatTTL {
			continue
		}
		summary.Ready++
		if s.held.Number >= d.Number {
			summary.Holding++
		}
		if s.held.Number > summary.Newest.Number {
			summary.Newest = s.held
		}
	}
	return summary
}

// lostError is the error of a failed fetch.
type lostError struct{}

func (lostError) Error() string { return "no peer has it" }

// Fetch implements Peers.
func (n *node) Fetch(_ context.Context, d Digest) ([]byte, error) {
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	for i, other := range n.network.nodes {
		if other == nil || other == n || other.dead || n.network.side[i] != n.network.side[n.index] {
			continue
		}
		if body, ok := other.follower.Body(d); ok {
			return body, nil
		}
	}
	return nil, lostError{}
}

// Check implements Consumer.
func (n *node) Check(d Digest, body []byte) (func(), error) {
	if n.unusable != nil {
		if err := n.unusable(body); err != nil {
			return nil, err
		}
	}
	return func() { n.installs(n, d) }, nil
}

// majorityHolds reports whether more than half of the nodes actually hold d.
func (nw *network) majorityHolds(d Digest) bool {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	count := 0
	for _, n := range nw.nodes {
		if n != nil && !n.dead && n.ready && n.held.Number >= d.Number {
			count++
		}
	}
	return 2*count > len(nw.nodes)
}

// split partitions the network into the nodes whose bit is set and the other nodes.
// Zero removes the partition.
func (nw *network) split(bits int) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	for i := range nw.side {
		nw.side[i] = bits >> i & 1
	}
}
