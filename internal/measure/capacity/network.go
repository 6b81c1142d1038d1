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
	failureDomains   = 6
	domainsPerRegion = 3
	// messageDelay is the time that a message takes in one direction.
	messageDelay = time.Millisecond
	// seedCount is the number of members or agents that are membership seeds.
	seedCount = 6
)

// network delivers messages between members in memory, in their encoded form, and
// counts them.
type network struct {
	mu sync.Mutex
	// nodes holds the members that can be reached, by address.
	nodes map[string]*membership.Node
	// all holds all members, in the order of their start.
	all             []*membership.Node
	bytes, messages atomic.Int64
}

// startNetwork starts count members, which run until ctx ends.
func startNetwork(ctx context.Context, count int) *network {
	n := &network{nodes: make(map[string]*membership.Node)}
	var seeds []string
	for i := range min(seedCount, count) {
		seeds = append(seeds, addressOf(i))
	}
	for i := range count {
		n.start(ctx, i, seeds)
	}
	return n
}

func addressOf(i int) string {
	return "10.0." + strconv.Itoa(i/250) + "." + strconv.Itoa(i%250) + ":7000"
}

// start starts member i.
func (n *network) start(ctx context.Context, i int, seeds []string) {
	domain := i % failureDomains
	self := membership.Record{
		Name:          "endpoint-" + strconv.Itoa(i),
		Address:       addressOf(i),
		FailureDomain: "domain-" + strconv.Itoa(domain),
		Region:        "region-" + strconv.Itoa(domain/domainsPerRegion),
		VM:            "vm-" + strconv.Itoa(i),
		Kind:          membership.KindAgent,
		Incarnation:   uint64(time.Now().UnixNano()),
	}
	node := membership.NewNode(membership.Config{
		Self: self, Seeds: seeds, Transport: memoryTransport{n},
		Rand: rand.New(rand.NewPCG(uint64(i), 1)), Timing: membership.DefaultTiming(),
	})
	n.mu.Lock()
	n.nodes[self.Address] = node
	n.all = append(n.all, node)
	n.mu.Unlock()
	go node.Run(ctx)
}

// converged reports whether every member sees all members as alive.
func (n *network) converged() bool {
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

// memberAt returns the member with the given address, or nil if there is none.
func (n *network) memberAt(address string) *membership.Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nodes[address]
}

// memoryTransport implements membership.Transport.
type memoryTransport struct{ net *network }

// UnknownAddressError reports that no member has an address.
type UnknownAddressError struct{ Address string }

// Error implements error.
func (e *UnknownAddressError) Error() string { return "no member at address " + e.Address }

// send encodes in, counts it, and decodes it into out after messageDelay.
func (t memoryTransport) send(ctx context.Context, in, out proto.Message) error {
	b, err := proto.Marshal(in)
	if err != nil {
		return err
	}
	t.net.messages.Add(1)
	t.net.bytes.Add(int64(len(b)))
	sleep(ctx, messageDelay)
	return proto.Unmarshal(b, out)
}

// Exchange implements membership.Transport.
func (t memoryTransport) Exchange(ctx context.Context, address string, req *pb.ExchangeRequest) (*pb.ExchangeResponse, error) {
	member := t.net.memberAt(address)
	if member == nil {
		return nil, &UnknownAddressError{Address: address}
	}
	received, resp := &pb.ExchangeRequest{}, &pb.ExchangeResponse{}
	if err := t.send(ctx, req, received); err != nil {
		return nil, err
	}
	if err := t.send(ctx, member.HandleExchange(received), resp); err != nil {
		return nil, err
	}
	return resp, nil
}

// Check implements membership.Transport.
func (t memoryTransport) Check(ctx context.Context, address string, req *pb.CheckRequest) (*pb.CheckResponse, error) {
	member := t.net.memberAt(address)
	if member == nil {
		return nil, &UnknownAddressError{Address: address}
	}
	received, resp := &pb.CheckRequest{}, &pb.CheckResponse{}
	if err := t.send(ctx, req, received); err != nil {
		return nil, err
	}
	if err := t.send(ctx, member.HandleCheck(ctx, received), resp); err != nil {
		return nil, err
	}
	return resp, nil
}
