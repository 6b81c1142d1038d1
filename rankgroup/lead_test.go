package rankgroup

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/follow"
	"github.com/cyclamenpoint/cyclamenpoint/gossip"
	"github.com/cyclamenpoint/cyclamenpoint/route"
)

// quickCopies is a group whose copies take next to nothing.
func quickCopies() *route.Experts {
	return &route.Experts{Layers: 6, ExpertsPerLayer: 64, SlotsPerRank: 11, SpareSlots: 4, ExpertBytes: 1000, LoadBytesPerSecond: 1e9, WorkShare: 0.85}
}

// TestPolicyRates: a change has to outlast its own making, however quick copies
// are; where they are slow, one change holds at least one of them.
func TestPolicyRates(t *testing.T) {
	p := policy(quickCopies(), 8, 1, batchTime)
	assert.Equal(t, p.Horizon, horizonBatches*batchTime)
	slow := quickCopies()
	slow.LoadBytesPerSecond = 100
	p = policy(slow, 8, 1, batchTime)
	assert.Equal(t, p.MaxLoadsPerRank, 1)
	assert.Equal(t, p.Horizon, horizonCopies*fillTime(slow))
	assert.Equal(t, policy(slow, 8, 0, batchTime).Objective.Skew, 0.0, "no gain counts")
}

// TestBatchTime: the copies of one change grow with what a switch takes.
func TestBatchTime(t *testing.T) {
	now := time.Unix(100, 0)
	l := newLeader(&Agent{})
	assert.Equal(t, l.batchTime(now), batchTime)
	l.closed = 600 * time.Millisecond
	assert.Equal(t, l.batchTime(now), 600*time.Millisecond, "orders go unanswered")
	l.closed = time.Minute
	assert.Equal(t, l.batchTime(now), batchMost)
	l.closed = 0
	l.a.passes.see(State{Step: 1, Running: 1}, now)
	assert.Equal(t, l.batchTime(now.Add(400*time.Millisecond)), 800*time.Millisecond, "the pass under way is slow")
}

// TestRanksAndAsks: what ranks said counts while it is new.
func TestRanksAndAsks(t *testing.T) {
	a := &Agent{loads: make(map[string]timedLoad)}
	a.lead = newLeader(a)
	a.takeLoads([]gossip.Load{{Endpoint: "e0", Rank: 0, Slowdown: 1}, {Endpoint: "e1", Rank: 1, Slowdown: 9}, {Endpoint: "e7", Rank: 7, Slowdown: 5}})
	now := time.Now()
	ranks := a.ranks(now, 2)
	assert.Equal(t, len(ranks), 2)
	assert.Equal(t, ranks[1].Slowdown, 9.0)
	assert.Equal(t, a.ranks(now.Add(2*reportLimit), 2)[1].Slowdown, 0.0, "not known any more")
	a.lead.hear(0, []uint32{1}, now)
	a.lead.hear(0, []uint32{2}, now)
	a.lead.hear(1, nil, now)
	assert.DeepEqual(t, a.lead.fresh(now), map[int][]uint32{0: {2}})
	assert.Equal(t, len(a.lead.fresh(now.Add(2*reportLimit))), 0)
}

// TestPolicyOfInstantCopies: copies that take no time divide nothing by zero.
func TestPolicyOfInstantCopies(t *testing.T) {
	e := quickCopies()
	e.ExpertBytes, e.LoadBytesPerSecond = 1, 1e12
	p := policy(e, 8, 1, batchTime)
	assert.Assert(t, p.MaxLoadsPerRank >= 1 && p.Objective.Move >= 0)
}

// fixedNodes is a store whose tables hold the given processes and never change.
type fixedNodes []gossip.Node

func (f fixedNodes) Read(context.Context, string) (follow.Copy, error) {
	c := follow.Copy{Rows: make(map[string]follow.Row), AsOf: 1, Changed: 1}
	for _, n := range f {
		value, err := json.Marshal(n)
		if err != nil {
			return c, err
		}
		c.Rows[n.Name] = follow.Row{Value: value, Version: 1}
	}
	return c, nil
}

func (f fixedNodes) Changes(ctx context.Context, _ string, after uint64, _ time.Duration) ([]follow.Change, uint64, error) {
	<-ctx.Done()
	return nil, after, ctx.Err()
}

func (f fixedNodes) Put(context.Context, string, string, []byte) error { return nil }

// TestLeaderTellsRanksFirst: what fills a link must not make the ranks lose their
// leader, so each hears of it before the first load goes to an entry node.
func TestLeaderTellsRanksFirst(t *testing.T) {
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	defer socket.Close()
	here := socket.LocalAddr().String()
	own, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := own.Addr().String()
	assert.NilError(t, own.Close())
	// All of them are at one socket, which keeps the order.
	nodes := fixedNodes{
		{Name: "a-entry", Kind: gossip.KindEntry, Address: here, FailureDomain: "x"},
		{Name: "b-rank", Kind: gossip.KindAgent, Address: here, Group: "the-group", Rank: 1, Size: 3},
		{Name: "c-rank", Kind: gossip.KindAgent, Address: here, Group: "the-group", Rank: 2, Size: 3},
		{Name: "z-entry", Kind: gossip.KindEntry, Address: here, FailureDomain: "y"},
	}
	a := NewAgent(Settings{Node: "own", PeerAddress: address}, nil, nil, nodes, nil, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { a.registry.Run(ctx) })
	running.Go(func() { a.news.Run(ctx) })
	defer running.Wait()
	defer cancel()
	for len(a.registry.Nodes()) < len(nodes) {
		time.Sleep(time.Millisecond)
	}
	a.takeLoads([]gossip.Load{{Endpoint: "the-endpoint"}})
	buffer := make([]byte, 16<<10)
	// The peer listens a little later.
	for ready := false; !ready; {
		a.news.Send(here, gossip.Datagram{LeadsGroup: "ready"})
		assert.NilError(t, socket.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
		n, err := socket.Read(buffer)
		ready = err == nil && bytes.Contains(buffer[:n], []byte("ready"))
	}
	assert.NilError(t, socket.SetReadDeadline(time.Time{}))
	a.lead.spread(State{Group: "the-group", Rank: 0, Size: 3, Open: true}, time.Now())
	kinds := ""
	for strings.Count(kinds, " ") < 4 {
		n, err := socket.Read(buffer)
		assert.NilError(t, err)
		switch {
		case !bytes.Contains(buffer[:n], []byte("the-group")):
			// News to a random peer.
		case bytes.Contains(buffer[:n], []byte("the-endpoint")):
			kinds += "load "
		default:
			kinds += "lead "
		}
	}
	assert.Equal(t, kinds, "lead lead load load ")
}
