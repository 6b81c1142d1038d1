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
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/expertmap"
	"github.com/cyclamenpoint/cyclamenpoint/follow"
	"github.com/cyclamenpoint/cyclamenpoint/gossip"
	"github.com/cyclamenpoint/cyclamenpoint/route"
)

// fastCopyExperts is the model of a group whose copies take almost no time.
func fastCopyExperts() *route.Experts {
	return &route.Experts{Layers: 6, ExpertsPerLayer: 64, SlotsPerRank: 11, SpareSlots: 4, ExpertBytes: 1000, LoadBytesPerSecond: 1e9, WorkShare: 0.85}
}

// TestPolicyRates: loads that take long are few, but one per rank is always
// allowed. The horizon is longer than a change.
func TestPolicyRates(t *testing.T) {
	p := NewPolicy(fastCopyExperts(), 8, 1, Pace{SwitchTime: 300 * time.Millisecond})
	assert.Equal(t, p.Horizon, planningHorizon)
	assert.Equal(t, p.MaxLoadsPerRank, 6*4, "all spare slots")
	assert.Equal(t, p.SwitchTime, 300*time.Millisecond)
	slow := fastCopyExperts()
	slow.LoadBytesPerSecond = 500
	p = NewPolicy(slow, 8, 1, Pace{SwitchTime: 300 * time.Millisecond, TargetGap: 120 * time.Millisecond})
	assert.Equal(t, p.TargetStep, time.Duration(0), "the time of a pass is unknown")
	assert.Equal(t, p.MaxLoadsPerRank, 1)
	assert.Equal(t, p.Horizon, horizonChanges*2300*time.Millisecond)
	assert.Equal(t, NewPolicy(slow, 8, 0, Pace{}).Objective.Skew, 0.0, "no gain counts")
}

// TestExpectedSwitchTime guards against plans for a time in which no switch
// completes: in a group of 96 ranks switches took 2 s while the plans expected
// some ms. The expectation follows recent switches without the loads, slow passes,
// and gates that stay closed while orders go unanswered.
func TestExpectedSwitchTime(t *testing.T) {
	now := time.Unix(100, 0)
	l := newLeader(&Agent{})
	assert.Equal(t, l.expectedSwitchTime(now), time.Duration(0))
	l.recordSwitchTime(900*time.Millisecond, 400*time.Millisecond)
	assert.Equal(t, l.expectedSwitchTime(now), 500*time.Millisecond)
	for range 20 {
		l.recordSwitchTime(1300*time.Millisecond, 300*time.Millisecond)
	}
	got := l.expectedSwitchTime(now)
	assert.Assert(t, got > 980*time.Millisecond && got <= time.Second, "%s", got)
	l.agent.passes.observe(State{Step: 1, Running: 1}, now)
	assert.Equal(t, l.expectedSwitchTime(now.Add(500*time.Millisecond)), (minStepsAhead+1)*500*time.Millisecond, "the current pass is slow")
	l.gateClosed = time.Minute
	assert.Equal(t, l.expectedSwitchTime(now), maxSwitchTime)
}

// TestRecordedClosedTime guards against a group that keeps an unsuitable map for 15 s after
// its leader's VM was frozen for 4 s in the middle of a switch: the leader took the freeze for
// the time for which its gate was closed, and waited four times as long before the next
// switch. The agent beside the gate had ended the hold after 0.2 s.
func TestRecordedClosedTime(t *testing.T) {
	const freeze = 4 * time.Second
	fenced := errors.WithMessage(&FencedError{Token: 1, Newest: 2}, "hold")
	assert.Equal(t, recordedClosedTime(freeze, fenced), time.Duration(0))
	assert.Equal(t, recordedClosedTime(300*time.Millisecond, nil), 300*time.Millisecond)
	rest := closedRestFactor * (recordedClosedTime(freeze, errors.New("no answer")) - usualClosedTime)
	assert.Assert(t, rest < freeze, "%s", rest)
}

// TestInitialMapIsReplacedAtOnce guards against a group that keeps its initial map, with a
// skew above 3, for the first 0.5 to 1.2 s of its work: while few requests run, a shorter
// step gains nothing, but the callers who return after a power failure come within a
// second. A map that follows the demand is changed only for a gain.
func TestInitialMapIsReplacedAtOnce(t *testing.T) {
	const idle, pass, gap = 0.1, 30 * time.Millisecond, 120 * time.Millisecond
	assert.Equal(t, gainWeight(initialMap, idle, nil, pass, gap), 1.0)
	assert.Equal(t, gainWeight(7, idle, nil, pass, gap), 0.0)
	assert.Equal(t, gainWeight(7, 1, nil, pass, gap), 1.0)
}

// TestPassAfterShift guards against a decision that takes the passes of before a shift
// for those after it: a gain had no weight, and the switch waited for one more pass of
// 135 ms, while the reports showed the shift already.
func TestPassAfterShift(t *testing.T) {
	const gap = 120 * time.Millisecond
	now, e := time.Unix(100, 0), fastCopyExperts()
	l := newLeader(&Agent{})
	for step := range uint64(20) {
		l.agent.passes.observe(State{Step: step, Running: 1}, now.Add(time.Duration(step)*60*time.Millisecond))
		l.recordPass(e, 1.2)
	}
	even := l.evenPass
	assert.Assert(t, even > 50*time.Millisecond && even < 53*time.Millisecond, "%s", even)
	pass := l.expectedPass(e, 3)
	assert.Assert(t, pass > 135*time.Millisecond && pass < 145*time.Millisecond, "%s", pass)
	assert.Equal(t, latencyWeight(pass, gap), 1.0)
	l.gateClosed = 50 * time.Millisecond
	assert.Equal(t, l.extraSteps(pass), uint64(0))
	assert.Equal(t, l.extraSteps(60*time.Millisecond), uint64(1))
	l.recordPass(e, 3)
	assert.Equal(t, l.evenPass, even, "the recorded passes had the former skew")
	l.recordPass(e, 3)
	assert.Assert(t, l.evenPass < even)
}

// TestReportsExpire: the reports of the ranks count while they are recent.
func TestReportsExpire(t *testing.T) {
	a := &Agent{loads: make(map[string]timedLoad)}
	a.lead = newLeader(a)
	a.storeLoads([]gossip.Load{{Endpoint: "e0", Rank: 0, Slowdown: 1}, {Endpoint: "e1", Rank: 1, Slowdown: 9}, {Endpoint: "e7", Rank: 7, Slowdown: 5}})
	now := time.Now()
	ranks := a.rankStates(now, 2)
	assert.Equal(t, len(ranks), 2)
	assert.Equal(t, ranks[1].Slowdown, 9.0)
	assert.Equal(t, a.rankStates(now.Add(2*maxReportAge), 2)[1].Slowdown, 0.0, "report expired")
	a.lead.setDemand(0, []uint32{1}, now)
	a.lead.setDemand(0, []uint32{2}, now)
	a.lead.setDemand(1, nil, now)
	assert.DeepEqual(t, a.lead.recentDemands(now), map[int][]uint32{0: {2}})
	assert.Equal(t, len(a.lead.recentDemands(now.Add(2*maxReportAge))), 0)
}

// TestPolicyOfInstantCopies: copies that take no time do not cause a division by
// zero.
func TestPolicyOfInstantCopies(t *testing.T) {
	e := fastCopyExperts()
	e.ExpertBytes, e.LoadBytesPerSecond = 1, 1e12
	p := NewPolicy(e, 8, 1, Pace{})
	assert.Assert(t, p.MaxLoadsPerRank >= 1 && p.LoadTime > 0 && p.Objective.Move >= 0)
}

// loadingGroup is a GroupClient whose ranks load a map until the context ends, or
// until loaded is closed.
type loadingGroup struct{ loaded chan struct{} }

func (loadingGroup) Size() int { return 3 }

func (g loadingGroup) Ensure(ctx context.Context, rank int, _ Goal) (State, error) {
	select {
	case <-g.loaded:
		return State{Rank: rank}, nil
	case <-ctx.Done():
		return State{}, ctx.Err()
	}
}

func (loadingGroup) Hold(context.Context, int, Order) error { return nil }
func (loadingGroup) EndHold(context.Context, int) error     { return nil }

// TestOutdatedPlanIsDropped guards against switches to maps for a demand that has
// shifted while they were loaded: the leader could decide again only after them. A
// demand that stays lets the loads end.
func TestOutdatedPlanIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLeader(&Agent{})
		l.demand = newGroupDemand(expertmap.Shape{Layers: 1, Experts: 2, Ranks: 3, Slots: 2})
		m, err := expertmap.Static(l.demand.shape)
		assert.NilError(t, err)
		report := func(first uint32) {
			for rank := range 3 {
				l.setDemand(rank, []uint32{first, 1000 - first}, time.Now())
			}
		}
		report(900)
		l.demand.update(l.recentDemands(time.Now()))
		group := loadingGroup{loaded: make(chan struct{})}
		began := time.Now()
		time.AfterFunc(200*time.Millisecond, func() { report(400) })
		_, err = l.prepareWhileCurrent(context.Background(), group, Plan{Version: 7, Map: m})
		var outdated *OutdatedPlanError
		assert.Assert(t, errors.As(err, &outdated), "%v", err)
		assert.Assert(t, time.Since(began) <= 200*time.Millisecond+outdatedPeriod)

		l.demand.update(l.recentDemands(time.Now()))
		time.AfterFunc(time.Second, func() { close(group.loaded) })
		states, err := l.prepareWhileCurrent(context.Background(), group, Plan{Version: 8, Map: m})
		assert.NilError(t, err)
		assert.Equal(t, len(states), 3)
	})
}

// fixedNodeStore is a store whose tables hold the given processes and never
// change.
type fixedNodeStore []gossip.Node

func (f fixedNodeStore) Read(context.Context, string) (follow.Copy, error) {
	c := follow.Copy{Rows: make(map[string]follow.Row), AsOf: follow.Position{Version: 1}, Changed: follow.Position{Version: 1}}
	for _, n := range f {
		value, err := json.Marshal(n)
		if err != nil {
			return c, err
		}
		c.Rows[n.Name] = follow.Row{Value: value, Version: 1}
	}
	return c, nil
}

func (f fixedNodeStore) Changes(ctx context.Context, _ string, after uint64, _ time.Duration) ([]follow.Change, follow.Position, error) {
	<-ctx.Done()
	return nil, follow.Position{Version: after}, ctx.Err()
}

func (f fixedNodeStore) Eras() *follow.Eras { return &follow.Eras{} }

func (f fixedNodeStore) Put(context.Context, string, string, []byte) (follow.Position, error) {
	return follow.Position{Version: 1}, nil
}

// TestLeaderNotifiesRanksFirst: load reports that fill a link must not make the
// ranks lose their leader. So each rank gets a datagram of the leader before
// the first load report goes to an entry node.
func TestLeaderNotifiesRanksFirst(t *testing.T) {
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	defer socket.Close()
	here := socket.LocalAddr().String()
	own, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := own.Addr().String()
	assert.NilError(t, own.Close())
	// All of them have the same socket, so that datagrams arrive in the order in
	// which they were sent.
	nodes := fixedNodeStore{
		{Name: "a-entry", Kind: gossip.KindEntry, Address: here, FailureDomain: "x"},
		{Name: "b-rank", Kind: gossip.KindAgent, Address: here, Group: "the-group", Rank: 1, Size: 3},
		{Name: "c-rank", Kind: gossip.KindAgent, Address: here, Group: "the-group", Rank: 2, Size: 3},
		{Name: "z-entry", Kind: gossip.KindEntry, Address: here, FailureDomain: "y"},
	}
	a := NewAgent(Settings{Node: "own", PeerAddress: address}, nil, nil, nodes, nil, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { a.registry.Run(ctx) })
	running.Go(func() { a.gossip.Run(ctx) })
	defer running.Wait()
	defer cancel()
	for len(a.registry.Nodes()) < len(nodes) {
		time.Sleep(time.Millisecond)
	}
	a.storeLoads([]gossip.Load{{Endpoint: "the-endpoint"}})
	buffer := make([]byte, 16<<10)
	// The peer starts to listen a little later.
	for ready := false; !ready; {
		a.gossip.Send(here, gossip.Datagram{LeadsGroup: "ready"})
		assert.NilError(t, socket.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
		n, err := socket.Read(buffer)
		ready = err == nil && bytes.Contains(buffer[:n], []byte("ready"))
	}
	assert.NilError(t, socket.SetReadDeadline(time.Time{}))
	a.lead.broadcast(State{Group: "the-group", Rank: 0, Size: 3, GroupReady: true}, time.Now())
	kinds := ""
	for strings.Count(kinds, " ") < 4 {
		n, err := socket.Read(buffer)
		assert.NilError(t, err)
		switch {
		case !bytes.Contains(buffer[:n], []byte("the-group")):
			// A datagram of the regular exchange with a random peer.
		case bytes.Contains(buffer[:n], []byte("the-endpoint")):
			kinds += "load "
		default:
			kinds += "lead "
		}
	}
	assert.Equal(t, kinds, "lead lead load load ")
}
