package membership_test

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	cyclamenpointv1 "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
	"github.com/cyclamenpoint/cyclamenpoint/membership"
)

// cpu returns the CPU time used by this process.
func cpu(t *testing.T) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	assert.NilError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heap returns the bytes in the heap and in stacks after a collection.
func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

// TestMeasure prints the cost of membership for a node: number of processes,
// messages and bytes per second sent and received, percent of a core, and heap
// and stacks in KB. It measures first without changes, then with an item
// published every 10 s and a restart every 30 s.
func TestMeasure(t *testing.T) {
	if !testing.Verbose() || testing.Short() {
		t.Skip("prints a table; run with -run Measure -v")
	}
	for _, count := range []int{16, 64, 256, 600, 950} {
		before := heap()
		run(t, func(t *testing.T, n *network) {
			all := n.startAll(t, count, nil)
			t.Logf("| %d | start, 60 s |%s", count, n.cost(t, count, time.Minute, func() {}))
			t.Logf("| %d | rest |%s %d |", count, n.cost(t, count, time.Minute, func() { time.Sleep(time.Minute) }), (heap()-before)/uint64(count)/1024)
			t.Logf("| %d | changes |%s %d |", count, n.cost(t, count, time.Minute, func() { makeChanges(t, n, all) }), (heap()-before)/uint64(count)/1024)
			took := killSome(n, all)
			t.Logf("| %d | no new work to the dead | median %s | p99 %s | longest %s |", count, took[len(took)/2], took[len(took)*99/100], took[len(took)-1])
		})
	}
}

// killSome kills processes under message loss and returns, in ascending order,
// how long others would still have sent them work.
func killSome(n *network, all []*process) []time.Duration {
	n.setLoss(lossShare)
	var took []time.Duration
	for k := range 5 {
		p := all[len(all)-1-k]
		n.kill(p)
		took = append(took, timeToExclusion(all[:8], []*process{p}, 20*time.Second)...)
		time.Sleep(7300 * time.Millisecond)
	}
	slices.Sort(took)
	return took
}

// TestMeasureSuspicions counts false suspicions in four hours of virtual time.
func TestMeasureSuspicions(t *testing.T) {
	if !testing.Verbose() || testing.Short() {
		t.Skip("prints a figure; run with -run Measure -v")
	}
	count, nodeDays := suspicions(t, 4*time.Hour, false)
	t.Logf("%d false suspicions in %.2f node-days at 1%% loss", count, nodeDays)
}

// makeChanges publishes an item every 10 s and restarts a process every 30 s,
// for one minute.
func makeChanges(t *testing.T, n *network, all []*process) {
	for k := range 6 {
		item := membership.Item{ItemKey: membership.ItemKey{Kind: "config"}, Version: uint64(k + 1), Value: make([]byte, 64)}
		assert.NilError(t, all[k].node.Publish(item))
		if k%3 == 0 {
			n.kill(all[8+k])
		}
		time.Sleep(10 * time.Second)
		if k%3 == 2 {
			all[8+k-2] = n.start(t.Context(), 8+k-2, firstIncarnation+1, nil)
		}
	}
}

// cost runs work and returns the cost per node, as table columns. If work takes
// no virtual time, it returns the cost since the network was created.
func (n *network) cost(t *testing.T, count int, period time.Duration, work func()) string {
	t.Helper()
	n.mu.Lock()
	bytes, messages := n.bytes, n.messages
	n.mu.Unlock()
	start, began := cpu(t), time.Now()
	work()
	if time.Since(began) == 0 {
		bytes, messages = 0, 0
	}
	used := cpu(t) - start
	n.mu.Lock()
	defer n.mu.Unlock()
	per := float64(count) * period.Seconds()
	// Each message is sent by one node and received by another.
	return " " + strconv.FormatFloat(2*float64(n.messages-messages)/per, 'f', 1, 64) +
		" | " + strconv.FormatFloat(2*float64(n.bytes-bytes)/per, 'f', 0, 64) +
		" | " + strconv.FormatFloat(100*used.Seconds()/per, 'f', 3, 64) + " |"
}

// countingConn counts the bytes read and written on a connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// TestHTTPTransport calls a node over loopback with HTTP/1.1 and HTTP/2.
func TestHTTPTransport(t *testing.T) {
	for _, version := range []string{"HTTP/1.1", "HTTP/2"} {
		t.Run(version, func(t *testing.T) {
			protocols := new(http.Protocols)
			protocols.SetHTTP1(version == "HTTP/1.1")
			protocols.SetUnencryptedHTTP2(version == "HTTP/2")
			callOverLoopback(t, protocols)
		})
	}
}

// callOverLoopback makes calls to a node and logs the bytes per call.
func callOverLoopback(t *testing.T, protocols *http.Protocols) {
	t.Helper()
	self := membership.Record{Name: "a", Address: "127.0.0.1:1", Incarnation: 4, Kind: membership.KindEntry}
	address := serve(t, self, protocols)
	var bytes atomic.Int64
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countingConn{conn, &bytes}, err
	}
	transport := membership.NewHTTPTransport(&http.Client{Transport: &http.Transport{DialContext: dial, Protocols: protocols}})
	req := &cyclamenpointv1.ExchangeRequest{To: "a", All: true}
	payload := proto.Size(req)
	const calls = 100
	for range calls {
		resp, err := transport.Exchange(t.Context(), address, req)
		assert.NilError(t, err)
		assert.Equal(t, resp.GetName(), "a")
		assert.Equal(t, len(resp.GetMembers()), 1)
		payload += proto.Size(resp)
	}
	t.Logf("%d bytes a call, of these %d payload", bytes.Load()/calls, payload/calls)
}

// serve serves a new node over HTTP and returns its address.
func serve(t testing.TB, self membership.Record, protocols *http.Protocols) string {
	t.Helper()
	node := membership.NewNode(membership.Config{Self: self, Timing: membership.DefaultTiming()})
	mux := http.NewServeMux()
	mux.Handle(membership.NewHandler(node))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: mux, Protocols: protocols}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// BenchmarkHTTPExchange measures an exchange over HTTP/2 on loopback.
func BenchmarkHTTPExchange(b *testing.B) {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	address := serve(b, membership.Record{Name: "a"}, protocols)
	transport := membership.NewHTTPTransport(&http.Client{Transport: &http.Transport{Protocols: protocols}})
	req := &cyclamenpointv1.ExchangeRequest{To: "a"}
	for b.Loop() {
		_, err := transport.Exchange(b.Context(), address, req)
		assert.NilError(b, err)
	}
}
