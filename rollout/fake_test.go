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
	// Flags of the command line are parsed later and win.
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

// Times of the fake network.
const (
	heartbeatEvery = 500 * time.Millisecond
	forgetAfter    = 3 * time.Second
	messageDelay   = 20 * time.Millisecond
)

// sighting is what a node last heard of another one.
type sighting struct {
	held  Digest
	ready bool
	at    time.Time
}

// hub is a fake network in which each node tells all others what it holds.
type hub struct {
	mu    sync.Mutex
	nodes []*node
	// side splits the network: only nodes of one side hear each other.
	side []int
}

// node is one process of the fake deployment. It is its follower's Peers and
// Consumer.
type node struct {
	hub      *hub
	index    int
	follower *Follower
	cancel   context.CancelFunc
	done     chan struct{}
	dead     bool
	held     Digest
	ready    bool
	seen     map[int]sighting
	installs func(n *node, d Digest)
	unusable func(body []byte) error
}

// world is a deployment of followers on one table.
type world struct {
	hub     hub
	table   Table
	objects *objectstandin.Store
	begun   time.Time
	started uint64

	mu      sync.Mutex
	records []inForce
}

// inForce is one entry of the record that the checker reads.
type inForce struct {
	at          time.Duration
	node        int
	incarnation uint64
	digest      Digest
	// majority is set when more than half of the nodes held the version.
	majority bool
}

// newWorld makes a deployment of size nodes.
func newWorld(t Table, size int) *world {
	w := &world{table: t, objects: objectstandin.New(), begun: time.Now()}
	w.hub.nodes, w.hub.side = make([]*node, size), make([]int, size)
	return w
}

// start starts node i, as a new incarnation with an optional fault.
func (w *world) start(i int, fault func(*node)) *node {
	w.started++
	incarnation := w.started
	n := &node{hub: &w.hub, index: i, seen: map[int]sighting{}, done: make(chan struct{})}
	n.installs = func(n *node, d Digest) {
		record := inForce{time.Since(w.begun), i, incarnation, d, w.hub.majorityHolds(d)}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.records = append(w.records, record)
	}
	if fault != nil {
		fault(n)
	}
	random := rand.New(rand.NewPCG(incarnation, 3))
	n.follower = NewFollower(Settings{Node: strconv.Itoa(i)}, w.table, w.objects, n, n, random)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	w.hub.mu.Lock()
	w.hub.nodes[i] = n
	w.hub.mu.Unlock()
	go func() { n.follower.Run(ctx); close(n.done) }()
	go n.beat(ctx)
	return n
}

// stop ends a node at once.
func (n *node) stop() {
	n.hub.mu.Lock()
	n.dead = true
	n.hub.mu.Unlock()
	n.cancel()
	<-n.done
}

// beat repeats what the node holds.
func (n *node) beat(ctx context.Context) {
	ticker := time.NewTicker(heartbeatEvery)
	defer ticker.Stop()
	for {
		n.tell()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Announce implements Peers.
func (n *node) Announce(held Digest, ready bool) {
	n.hub.mu.Lock()
	n.held, n.ready = held, ready
	n.hub.mu.Unlock()
	n.tell()
}

// tell sends what the node holds to all that can hear it.
func (n *node) tell() {
	n.hub.mu.Lock()
	message := sighting{held: n.held, ready: n.ready}
	n.hub.mu.Unlock()
	time.AfterFunc(messageDelay, func() { n.deliver(message) })
}

// deliver brings a message to all that can hear the sender now.
func (n *node) deliver(message sighting) {
	n.hub.mu.Lock()
	defer n.hub.mu.Unlock()
	if n.dead {
		return
	}
	message.at = time.Now()
	for i, other := range n.hub.nodes {
		if other == nil || other == n || other.dead || n.hub.side[i] != n.hub.side[n.index] {
			continue
		}
		other.seen[n.index] = message
		other.follower.Observe(message.held)
	}
}

// Summary implements Peers.
func (n *node) Summary(d Digest) PeerSummary {
	n.hub.mu.Lock()
	defer n.hub.mu.Unlock()
	c := PeerSummary{Members: len(n.hub.nodes)}
	for _, s := range n.seen {
		if !s.ready || time.Since(s.at) > forgetAfter {
			continue
		}
		c.Ready++
		if s.held.Number >= d.Number {
			c.Holding++
		}
		if s.held.Number > c.Newest.Number {
			c.Newest = s.held
		}
	}
	return c
}

// lostError is the failure of a fetch in the fake network.
type lostError struct{}

func (lostError) Error() string { return "no peer has it" }

// Fetch implements Peers.
func (n *node) Fetch(_ context.Context, d Digest) ([]byte, error) {
	n.hub.mu.Lock()
	defer n.hub.mu.Unlock()
	for i, other := range n.hub.nodes {
		if other == nil || other == n || other.dead || n.hub.side[i] != n.hub.side[n.index] {
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

// majorityHolds tells whether more than half of the nodes truly hold d.
func (h *hub) majorityHolds(d Digest) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	count := 0
	for _, n := range h.nodes {
		if n != nil && !n.dead && n.ready && n.held.Number >= d.Number {
			count++
		}
	}
	return 2*count > len(h.nodes)
}

// split puts the nodes whose bit is set on the other side; zero heals.
func (h *hub) split(bits int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.side {
		h.side[i] = bits >> i & 1
	}
}
