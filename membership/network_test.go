package membership_test

import (
	"context"
	"flag"
	"io"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"k8s.io/klog/v2"

	cyclamenpointv1 "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
	"github.com/cyclamenpoint/cyclamenpoint/membership"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	os.Exit(m.Run())
}

const (
	domains   = 6
	perRegion = 3
	latency   = time.Millisecond
	// callBytes is an allowance for the HTTP and TCP headers of a call, both ways.
	callBytes        = 600
	firstIncarnation = 1_000
)

// network carries messages between nodes in memory, encoded as on the wire.
type network struct {
	mu    sync.Mutex
	rng   *rand.Rand
	nodes map[string]*process
	// loss is the share of requests and responses that are lost.
	loss float64
	// cut reports whether messages from one process to another are lost.
	cut func(from, to *process) bool
	// failChecks injects a fault: every Check responds that the target was not
	// reached.
	failChecks atomic.Bool

	bytes, messages int64
}

// process is a node in the network.
type process struct {
	node   *membership.Node
	self   membership.Record
	index  int
	down   bool
	cancel context.CancelFunc
}

func newNetwork() *network {
	return &network{rng: rand.New(rand.NewPCG(1, 1)), nodes: make(map[string]*process)}
}

// start runs a process with index i.
func (n *network) start(ctx context.Context, i int, incarnation uint64, vms membership.VMs) *process {
	domain := i % domains
	p := &process{index: i, self: membership.Record{
		Name:          "node-" + strconv.Itoa(i),
		Address:       "10.0.0." + strconv.Itoa(i) + ":7000",
		FailureDomain: "domain-" + strconv.Itoa(domain),
		Region:        "region-" + strconv.Itoa(domain/perRegion),
		VM:            "vm-" + strconv.Itoa(i),
		Kind:          membership.KindAgent,
		Incarnation:   incarnation,
	}}
	ctx, p.cancel = context.WithCancel(ctx)
	p.node = membership.NewNode(membership.Config{
		Self:      p.self,
		Seeds:     []string{"10.0.0.0:7000", "10.0.0.1:7000", "10.0.0.2:7000"},
		Transport: &transport{net: n, from: p},
		VMs:       vms,
		Rand:      rand.New(rand.NewPCG(uint64(i), incarnation)),
		Timing:    membership.DefaultTiming(),
	})
	n.mu.Lock()
	n.nodes[p.self.Address] = p
	n.mu.Unlock()
	go p.node.Run(ctx)
	return p
}

// startAll runs count processes and waits until they have found each other.
func (n *network) startAll(t *testing.T, count int, vms membership.VMs) []*process {
	t.Helper()
	all := make([]*process, count)
	for i := range all {
		all[i] = n.start(t.Context(), i, firstIncarnation, vms)
	}
	time.Sleep(time.Minute)
	for _, p := range all {
		assert.Equal(t, aliveAt(p), count, "%s did not find all", p.self.Name)
	}
	return all
}

func (n *network) setLoss(share float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss = share
}

// kill stops a process without notice.
func (n *network) kill(p *process) {
	n.mu.Lock()
	p.down = true
	n.mu.Unlock()
	p.cancel()
}

// deliver counts a message and reports whether it arrives.
func (n *network) deliver(from, to *process, size int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.messages++
	n.bytes += int64(size + callBytes/2)
	if to == nil || to.down || from.down || n.rng.Float64() < n.loss {
		return false
	}
	return n.cut == nil || !n.cut(from, to)
}

func (n *network) at(address string) *process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nodes[address]
}

// transport is the Transport of one process.
type transport struct {
	net  *network
	from *process
}

// send delivers an encoded message. If the message is lost, it waits until the
// context ends and returns false.
func (t *transport) send(ctx context.Context, from, to *process, in, out proto.Message) bool {
	b, _ := proto.Marshal(in)
	if !t.net.deliver(from, to, len(b)) {
		<-ctx.Done()
		return false
	}
	time.Sleep(latency)
	return proto.Unmarshal(b, out) == nil
}

func (t *transport) Exchange(ctx context.Context, address string, req *cyclamenpointv1.ExchangeRequest) (*cyclamenpointv1.ExchangeResponse, error) {
	to := t.net.at(address)
	got, resp := &cyclamenpointv1.ExchangeRequest{}, &cyclamenpointv1.ExchangeResponse{}
	if !t.send(ctx, t.from, to, req, got) {
		return nil, ctx.Err()
	}
	if !t.send(ctx, to, t.from, to.node.HandleExchange(got), resp) {
		return nil, ctx.Err()
	}
	return resp, nil
}

func (t *transport) Check(ctx context.Context, address string, req *cyclamenpointv1.CheckRequest) (*cyclamenpointv1.CheckResponse, error) {
	to := t.net.at(address)
	got, resp := &cyclamenpointv1.CheckRequest{}, &cyclamenpointv1.CheckResponse{}
	if !t.send(ctx, t.from, to, req, got) {
		return nil, ctx.Err()
	}
	answer := to.node.HandleCheck(ctx, got)
	answer.Reached = answer.Reached && !t.net.failChecks.Load()
	if !t.send(ctx, to, t.from, answer, resp) {
		return nil, ctx.Err()
	}
	return resp, nil
}

// vmList is a VM list that tests can change.
type vmList struct {
	mu      sync.Mutex
	vms     int
	leaving map[string]bool
}

func (l *vmList) List(context.Context) ([]membership.VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]membership.VM, l.vms)
	for i := range all {
		name := "vm-" + strconv.Itoa(i)
		all[i] = membership.VM{Name: name, Leaving: l.leaving[name]}
	}
	return all, nil
}

// eligible reports whether p may send new work to other.
func eligible(p, other *process) bool {
	m, ok := p.node.Member(other.self.Name)
	return ok && m.Health == membership.Alive && !m.Leaving
}
