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
)

func TestDatagramIsWhole(t *testing.T) {
	want := Datagram{
		From: "10.0.0.1:7000", TableVersions: map[string]uint64{"t": 7}, LeadsGroup: "g", Rank: 3,
		Loads:        []Load{{Endpoint: "10.0.0.2:80", Running: 5, Queued: 2, Group: "g", Rank: 1, Open: true, Pace: 2.5, PassTime: 70, PassElapsed: 900}},
		ExpertDemand: PackCounts([]uint32{0, 4, 9}),
	}
	data, err := want.encode(forDomain)
	assert.NilError(t, err)
	got, who, err := decodeDatagram(data)
	assert.NilError(t, err)
	assert.Equal(t, who, byte(forDomain))
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

// TestReportsFitTheLink: the counts of a rank with 12 layers of 128 experts come
// ten times a second from each of 31 ranks, and have to leave room on a link of
// 8 Mbit/s: a quarter of it is theirs at most. The loads of 32 ranks fit a few
// packets.
func TestReportsFitTheLink(t *testing.T) {
	counts := make([]uint32, 12*128)
	for i := range counts {
		counts[i] = rand.Uint32N(500)
	}
	data, err := Datagram{From: "10.0.0.1:7000", ExpertDemand: PackCounts(counts)}.encode(forOne)
	assert.NilError(t, err)
	assert.Assert(t, len(data)*31*10*8 <= 8_000_000/4, "%d bytes", len(data))
	d := Datagram{From: "10.0.0.1:7000"}
	for rank := range 32 {
		d.Loads = append(d.Loads, Load{Endpoint: "10.123.123.123:8240", Running: 12, Queued: 30, Group: "g0-12", Rank: rank, Open: true, Pace: 1.1, PassTime: 120, PassElapsed: 900})
	}
	data, err = d.encode(forDomain)
	assert.NilError(t, err)
	assert.Assert(t, len(data) <= 3*1472, "%d bytes", len(data))
}

// TestPackedCounts: the square root of each count is kept to half of a fifteenth
// of the largest one's.
func TestPackedCounts(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		counts := make([]uint32, 1+rng.IntN(64))
		most := uint32(0)
		for i := range counts {
			counts[i] = rng.Uint32N(1 + rng.Uint32N(100_000))
			most = max(most, counts[i])
		}
		got := PackCounts(counts).Counts()
		assert.Equal(t, len(got), len(counts))
		for i, n := range counts {
			off := math.Abs(math.Sqrt(float64(got[i])) - math.Sqrt(float64(n)))
			assert.Assert(t, off <= math.Sqrt(float64(most))/(2*packedMost)+0.5, "%d became %d, most %d", n, got[i], most)
			if n == 0 {
				assert.Equal(t, got[i], uint32(0))
			}
		}
	}
	assert.Assert(t, PackCounts(nil).Counts() == nil)
	assert.Assert(t, PackedCounts{N: 5, Bits: []byte{1}}.Counts() == nil, "does not fit together")
}

// TestSpreadReachesEveryEntry: with two datagrams to each failure domain, all
// entry nodes get the news, and no agent does.
func TestSpreadReachesEveryEntry(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	var nodes []Node
	var mu sync.Mutex
	heard := map[string]int{}
	spread := false
	var peers []*Gossiper
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
		p := NewGossiper(n.Address, nil, r, nil, log, func(loads []Load) {
			mu.Lock()
			defer mu.Unlock()
			if !spread || loads[0].Endpoint == "spread" {
				heard[n.Name]++
			}
		})
		peers = append(peers, p)
		running.Go(func() { p.Run(ctx) })
	}
	count := func() int {
		mu.Lock()
		defer mu.Unlock()
		return len(heard)
	}
	report := func(endpoint string) Datagram { return Datagram{From: "sender", Loads: []Load{{Endpoint: endpoint}}} }
	// All listen once each has heard a report of its own.
	for ; count() < 9; time.Sleep(time.Millisecond) {
		for _, n := range nodes {
			peers[8].Send(n.Address, report("ready"))
		}
	}
	mu.Lock()
	clear(heard)
	spread = true
	mu.Unlock()
	// One is enough, as loopback loses nothing; without passing on it reaches four.
	peers[8].Broadcast(report("spread"))
	for watchdog := time.Now().Add(time.Minute); count() < 8; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(watchdog), "%d of 8 entry nodes heard", count())
	}
	mu.Lock()
	defer mu.Unlock()
	assert.Equal(t, heard["i"], 0, "an agent")
}

// freeAddress returns a loopback address that nobody listens at.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// TestSpreadCountsOnce: what comes by two ways counts once, nothing older than what
// is known counts, and a process that started anew is heard.
func TestSpreadCountsOnce(t *testing.T) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	p := NewGossiper("a:1", nil, NewRegistry("nodes", nil, Node{}, log, func([]Node) {}), nil, log, func([]Load) {})
	const life = 1 << lifeShift
	from := func(sender string, number uint64) bool { return p.isNew(Datagram{From: sender, Sequence: number}) }
	assert.Assert(t, from("b:1", 7*life+1))
	assert.Assert(t, !from("b:1", 7*life+1))
	assert.Assert(t, from("b:1", 7*life+3))
	assert.Assert(t, !from("b:1", 7*life+2))
	assert.Assert(t, from("c:1", 7*life+2), "another sender")
	assert.Assert(t, from("b:1", 3*life+1), "another life")
	for range 2 {
		assert.Assert(t, from("b:1", 0), "came by one way")
	}
}
