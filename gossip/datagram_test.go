package gossip

import (
	"context"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/follow"
)

// TestEncodeDecode checks that a datagram survives encoding, and that damaged and
// truncated ones are rejected.
func TestEncodeDecode(t *testing.T) {
	want := Datagram{
		From: "10.0.0.1:7000", TableVersions: map[string]follow.Position{"t": {Era: 2, Version: 7}}, LeadsGroup: "g", Rank: 3,
		Loads:        []Load{{Endpoint: "10.0.0.2:80", Running: 5, Queued: 2, Group: "g", Rank: 1, GroupReady: true, Slowdown: 2.5, PassTime: 70, PassElapsed: 900}},
		ExpertDemand: PackCounts([]uint32{0, 4, 9}),
	}
	data, err := want.encode(forDomain)
	assert.NilError(t, err)
	got, audience, err := decodeDatagram(data)
	assert.NilError(t, err)
	assert.Equal(t, audience, byte(forDomain))
	assert.DeepEqual(t, got, want)
	var fault *DatagramError
	for _, bad := range [][]byte{nil, {'{', '}'}, {0}} {
		_, _, err := decodeDatagram(bad)
		assert.Assert(t, errors.As(err, &fault), "%v", bad)
	}
	for end := 1; end < len(data); end++ {
		_, _, err := decodeDatagram(data[:end])
		assert.Assert(t, err != nil, "cut at %d", end)
	}
}

// TestReportsFitTheLink bounds the size of reports. The leader of 32 ranks
// receives counts for 12 layers of 128 experts from 31 ranks, ten times a second
// each; they may use at most a quarter of an 8 Mbit/s link. The loads of 32 ranks
// must fit into three packets.
func TestReportsFitTheLink(t *testing.T) {
	counts := make([]uint32, 12*128)
	for i := range counts {
		counts[i] = rand.Uint32N(500)
	}
	data, err := Datagram{From: "10.0.0.1:7000", ExpertDemand: PackCounts(counts)}.encode(forReceiver)
	assert.NilError(t, err)
	assert.Assert(t, len(data)*31*10*8 <= 8_000_000/4, "%d bytes", len(data))
	d := Datagram{From: "10.0.0.1:7000"}
	for rank := range 32 {
		d.Loads = append(d.Loads, Load{Endpoint: "10.123.123.123:8240", Running: 12, Queued: 30, Group: "g0-12", Rank: rank, GroupReady: true, Slowdown: 1.1, PassTime: 120, PassElapsed: 900})
	}
	data, err = d.encode(forDomain)
	assert.NilError(t, err)
	assert.Assert(t, len(data) <= 3*1472, "%d bytes", len(data))
}

// TestPackedCounts checks the quantization error: at most half of a fifteenth of
// the largest square root.
func TestPackedCounts(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		counts := make([]uint32, 1+rng.IntN(64))
		largest := uint32(0)
		for i := range counts {
			counts[i] = rng.Uint32N(1 + rng.Uint32N(100_000))
			largest = max(largest, counts[i])
		}
		got := PackCounts(counts).Counts()
		assert.Equal(t, len(got), len(counts))
		for i, n := range counts {
			off := math.Abs(math.Sqrt(float64(got[i])) - math.Sqrt(float64(n)))
			assert.Assert(t, off <= math.Sqrt(float64(largest))/(2*maxPacked)+0.5, "%d became %d, largest %d", n, got[i], largest)
			if n == 0 {
				assert.Equal(t, got[i], uint32(0))
			}
		}
	}
	assert.Assert(t, PackCounts(nil).Counts() == nil)
	assert.Assert(t, PackedCounts{N: 5, Bits: []byte{1}}.Counts() == nil, "N does not match the length of Bits")
}

// TestBroadcastReachesEveryEntry: although a broadcast goes to two nodes in each
// failure domain only, all entry nodes receive it, and no agent does.
func TestBroadcastReachesEveryEntry(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	var nodes []Node
	var mu sync.Mutex
	received := map[string]int{}
	broadcasting := false
	var gossipers []*Gossiper
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	for i := range 9 {
		n := Node{Name: string(rune('a' + i)), Kind: KindEntry, Address: freeAddress(t), FailureDomain: string(rune('x' + i%2))}
		if i == 8 {
			n.Kind = KindAgent
		}
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		r := NewRegistry("nodes", nil, n, log, func([]Node) {})
		r.nodes.Store(&nodes)
		g := NewGossiper(n.Address, nil, r, nil, log, func(loads []Load) {
			mu.Lock()
			defer mu.Unlock()
			if !broadcasting || loads[0].Endpoint == "broadcast" {
				received[n.Name]++
			}
		})
		gossipers = append(gossipers, g)
		running.Go(func() { g.Run(ctx) })
	}
	count := func() int {
		mu.Lock()
		defer mu.Unlock()
		return len(received)
	}
	report := func(endpoint string) Datagram { return Datagram{From: "sender", Loads: []Load{{Endpoint: endpoint}}} }
	// Once each has received a report, all of them listen.
	for ; count() < 9; time.Sleep(time.Millisecond) {
		for _, n := range nodes {
			gossipers[8].Send(n.Address, report("ready"))
		}
	}
	mu.Lock()
	clear(received)
	broadcasting = true
	mu.Unlock()
	// One broadcast is enough, since loopback loses nothing. Without relaying it
	// would reach four nodes.
	gossipers[8].Broadcast(report("broadcast"))
	for watchdog := time.Now().Add(time.Minute); count() < 8; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(watchdog), "%d of 8 entry nodes received the broadcast", count())
	}
	mu.Lock()
	defer mu.Unlock()
	assert.Equal(t, received["i"], 0, "an agent")
}

// freeAddress returns an unused loopback address.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// TestBroadcastIsHandledOnce: duplicates and broadcasts older than the last one
// are dropped, but not those of a sender that has restarted.
func TestBroadcastIsHandledOnce(t *testing.T) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	g := NewGossiper("a:1", nil, NewRegistry("nodes", nil, Node{}, log, func([]Node) {}), nil, log, func([]Load) {})
	const start = 1 << startIDShift
	from := func(sender string, sequence uint64) bool { return g.isNew(Datagram{From: sender, Sequence: sequence}) }
	assert.Assert(t, from("b:1", 7*start+1))
	assert.Assert(t, !from("b:1", 7*start+1))
	assert.Assert(t, from("b:1", 7*start+3))
	assert.Assert(t, !from("b:1", 7*start+2))
	assert.Assert(t, from("c:1", 7*start+2), "another sender")
	assert.Assert(t, from("b:1", 3*start+1), "another start")
	for range 2 {
		assert.Assert(t, from("b:1", 0), "not a broadcast")
	}
}

// TestConfirmationReachesEveryEntry: the confirmation of a copy by one entry node reaches
// the others in all failure domains.
func TestConfirmationReachesEveryEntry(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	var nodes []Node
	for i := range 7 {
		nodes = append(nodes, Node{Name: string(rune('a' + i)), Kind: KindEntry, Address: freeAddress(t), FailureDomain: string(rune('x' + i%2))})
	}
	var followers []*follow.Follower
	var gossipers []*Gossiper
	for _, n := range nodes {
		r := NewRegistry("nodes", nil, n, log, func([]Node) {})
		r.nodes.Store(&nodes)
		f := follow.New("t", nil, follow.Timing{}, log, func(follow.Copy) {})
		assert.Assert(t, f.InstallIfNewer(follow.Copy{Rows: map[string]follow.Row{}, AsOf: follow.Position{Version: 5}}))
		g := NewGossiper(n.Address, nil, r, []*follow.Follower{f}, log, func([]Load) {})
		followers, gossipers = append(followers, f), append(gossipers, g)
		running.Go(func() { g.Run(ctx) })
	}
	confirmed := func() bool {
		for _, f := range followers[1:] {
			if f.Current().AsOf.Version != 9 {
				return false
			}
		}
		return true
	}
	// Not all of them may listen yet when the first ones are sent.
	for !confirmed() {
		gossipers[0].broadcastConfirmation(follow.Confirmation{Table: "t", AsOf: follow.Position{Version: 9}})
		time.Sleep(time.Millisecond)
	}
}

// TestLatestRowComesLast guards against goals that go to the agent of a VM that was
// replaced: its row stays in the table, and which row counted for a rank was random.
func TestLatestRowComesLast(t *testing.T) {
	r := NewRegistry("nodes", nil, Node{}, slog.New(slog.DiscardHandler), func([]Node) {})
	rows := make(map[string]follow.Row)
	for i, name := range []string{"d", "a", "e", "b", "c"} {
		rows[name] = follow.Row{Key: name, Value: []byte(`{"name":"` + name + `","kind":"agent","group":"g","rank":3,"size":8}`), Version: uint64(i + 1)}
	}
	for range 20 {
		r.update(follow.Copy{Rows: rows})
		agents := r.GroupAgents("g")
		assert.Equal(t, agents[len(agents)-1].Name, "c")
	}
}

// TestCopyOfLaterEraIsFetched guards against a process without access to the store that keeps a
// copy from before a restore because its version is higher.
func TestCopyOfLaterEraIsFetched(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	log := slog.New(slog.DiscardHandler)
	nodes := []Node{{Name: "a", Kind: KindEntry, Address: freeAddress(t)}, {Name: "b", Kind: KindEntry, Address: freeAddress(t)}}
	positions := []follow.Position{{Era: 1, Version: 65}, {Era: 2, Version: 64}}
	var followers []*follow.Follower
	for i, n := range nodes {
		r := NewRegistry("nodes", nil, n, log, func([]Node) {})
		r.nodes.Store(&nodes)
		f := follow.New("t", nil, follow.Timing{}, log, func(follow.Copy) {})
		rows := map[string]follow.Row{"k": {Key: "k", Value: []byte{byte(i)}, Version: 60}}
		assert.Assert(t, f.InstallIfNewer(follow.Copy{Rows: rows, AsOf: positions[i], Changed: positions[i]}))
		g := NewGossiper(n.Address, nil, r, []*follow.Follower{f}, log, func([]Load) {})
		followers = append(followers, f)
		running.Go(func() { g.Run(ctx) })
	}
	for followers[0].Current().AsOf != positions[1] {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, followers[1].Current().AsOf, positions[1])
}

// TestProcessLostInRestoreStaysListed guards against shares of limits and budgets that grow
// because the rows of running processes were lost in a restore of the store.
func TestProcessLostInRestoreStaysListed(t *testing.T) {
	var listed []Node
	r := NewRegistry("nodes", nil, Node{}, slog.New(slog.DiscardHandler), func(nodes []Node) { listed = nodes })
	row := func(name string, version uint64) follow.Row {
		return follow.Row{Key: name, Value: []byte(`{"name":"` + name + `","kind":"entry"}`), Version: version}
	}
	r.update(follow.Copy{
		Rows:     map[string]follow.Row{"a": row("a", 1), "b": row("b", 2)},
		Retained: map[string]follow.Row{"c": row("c", 9)},
	})
	assert.Equal(t, len(listed), 3)
	assert.Equal(t, r.EntryCount(), 3)
}
