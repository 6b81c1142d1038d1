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
	// reachable holds the members that are not cut off, by address.
	reachable map[string]*membership.Node
	// members holds all members, in the order in which they were added.
	members         []*membership.Node
	bytes, messages atomic.Int64
}

// startNetwork starts count members, which run until ctx ends.
func startNetwork(ctx context.Context, count int) *network {
	n := &network{reachable: make(map[string]*membership.Node)}
	for i := range count {
		go n.add(i, seedAddresses(count)).Run(ctx)
	}
	return n
}

// seedAddresses returns the addresses of the seeds of count members.
func seedAddresses(count int) []string {
	var seeds []string
	for i := range min(seedCount, count) {
		seeds = append(seeds, addressOf(i))
	}
	return seeds
}

func addressOf(i int) string {
	return "10.0." + strconv.Itoa(i/250) + "." + strconv.Itoa(i%250) + ":7000"
}

// add adds member i, which the caller starts.
func (n *network) add(i int, seeds []string) *membership.Node {
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
		Self: self, Seeds: seeds, Transport: memoryTransport{net: n, self: self.Address},
		Rand: rand.New(rand.NewPCG(uint64(i), 1)), Timing: membership.DefaultTiming(),
	})
	n.mu.Lock()
	n.reachable[self.Address] = node
	n.members = append(n.members, node)
	n.mu.Unlock()
	return node
}

// converged reports whether every member sees all members as alive.
func (n *network) converged() bool {
	for _, node := range n.members {
		alive := 0
		for _, m := range node.Members() {
			if m.Health == membership.Alive {
				alive++
			}
		}
		if alive < len(n.members) {
			return false
		}
	}
	return true
}

// memoryTransport implements membership.Transport in memory for the member at
// address self.
type memoryTransport struct {
	net  *network
	self string
}

// peer returns the member at the given address. It returns an UnreachableError if
// that member or the caller is cut off.
func (t memoryTransport) peer(address string) (*membership.Node, error) {
	t.net.mu.Lock()
	defer t.net.mu.Unlock()
	for _, end := range []string{t.self, address} {
		if t.net.reachable[end] == nil {
			return nil, &UnreachableError{Address: end}
		}
	}
	return t.net.reachable[address], nil
}

// UnreachableError reports that no member can be reached at an address.
type UnreachableError struct{ Address string }

// Error implements error.
func (e *UnreachableError) Error() string { return "no reachable member at address " + e.Address }

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
	member, err := t.peer(address)
	if err != nil {
		return nil, err
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
	member, err := t.peer(address)
	if err != nil {
		return nil, err
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
