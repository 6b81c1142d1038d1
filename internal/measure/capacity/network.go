package main

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
	"github.com/cyclamenpoint/cyclamenpoint/membership"
)

const (
	failureDomains  = 6
	domainsByRegion = 3
	oneWay          = time.Millisecond
	seeds           = 6
)

// network carries messages between members in memory, encoded as on the wire.
type network struct {
	mu              sync.Mutex
	nodes           map[string]*membership.Node
	all             []*membership.Node
	bytes, messages atomic.Int64
}

// startNetwork runs count members until ctx ends.
func startNetwork(ctx context.Context, count int) *network {
	n := &network{nodes: make(map[string]*membership.Node)}
	var known []string
	for i := range min(seeds, count) {
		known = append(known, addressOf(i))
	}
	for i := range count {
		n.start(ctx, i, known)
	}
	return n
}

func addressOf(i int) string {
	return "10.0." + strconv.Itoa(i/250) + "." + strconv.Itoa(i%250) + ":7000"
}

// start runs one member.
func (n *network) start(ctx context.Context, i int, known []string) {
	domain := i % failureDomains
	self := membership.Record{
		Name:          "endpoint-" + strconv.Itoa(i),
		Address:       addressOf(i),
		FailureDomain: "domain-" + strconv.Itoa(domain),
		Region:        "region-" + strconv.Itoa(domain/domainsByRegion),
		VM:            "vm-" + strconv.Itoa(i),
		Kind:          membership.KindAgent,
		Incarnation:   uint64(time.Now().UnixNano()),
	}
	node := membership.NewNode(membership.Config{
		Self: self, Seeds: known, Transport: port{n},
		Rand: rand.New(rand.NewPCG(uint64(i), 1)), Timing: membership.DefaultTiming(),
	})
	n.mu.Lock()
	n.nodes[self.Address] = node
	n.all = append(n.all, node)
	n.mu.Unlock()
	go node.Run(ctx)
}

// whole says whether every member knows all others as alive.
func (n *network) whole() bool {
	for _, node := range n.all {
		alive := 0
		for _, m := range node.Members() {
			if m.Health == membership.Alive {
				alive++
			}
		}
		if alive < len(n.all) {
			return false
		}
	}
	return true
}

func (n *network) at(address string) *membership.Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nodes[address]
}

// port is the transport of all members.
type port struct{ net *network }

// NoMemberError tells that nobody is at an address.
type NoMemberError struct{ Address string }

// Error says which.
func (e *NoMemberError) Error() string { return "no member at " + e.Address }

// send moves one encoded message.
func (p port) send(ctx context.Context, in, out proto.Message) error {
	b, err := proto.Marshal(in)
	if err != nil {
		return err
	}
	p.net.messages.Add(1)
	p.net.bytes.Add(int64(len(b)))
	pause(ctx, oneWay)
	return proto.Unmarshal(b, out)
}

// Exchange implements membership.Transport.
func (p port) Exchange(ctx context.Context, address string, req *pb.ExchangeRequest) (*pb.ExchangeResponse, error) {
	to := p.net.at(address)
	if to == nil {
		return nil, &NoMemberError{Address: address}
	}
	got, resp := &pb.ExchangeRequest{}, &pb.ExchangeResponse{}
	if err := p.send(ctx, req, got); err != nil {
		return nil, err
	}
	if err := p.send(ctx, to.HandleExchange(got), resp); err != nil {
		return nil, err
	}
	return resp, nil
}

// Check implements membership.Transport.
func (p port) Check(ctx context.Context, address string, req *pb.CheckRequest) (*pb.CheckResponse, error) {
	to := p.net.at(address)
	if to == nil {
		return nil, &NoMemberError{Address: address}
	}
	got, resp := &pb.CheckRequest{}, &pb.CheckResponse{}
	if err := p.send(ctx, req, got); err != nil {
		return nil, err
	}
	if err := p.send(ctx, to.HandleCheck(ctx, got), resp); err != nil {
		return nil, err
	}
	return resp, nil
}
