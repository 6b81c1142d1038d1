// Package slowclient tests the system's processes against uncontrolled callers: each test
// starts a process with low limits of memory and descriptors, plays one kind of load against
// it, and checks that the process lives within its limits and answers ordinary requests.
// The tests run one at a time, since each load takes much memory and time of the machine.
package slowclient

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// writeTimeout ends a write to a process that does not read. Backpressure is allowed.
	writeTimeout = 3 * time.Second
	// sampleInterval is the time between two counts of open descriptors.
	sampleInterval = 100 * time.Millisecond
)

// load is one kind of uncontrolled client.
type load struct {
	address     string
	connections int
	// play writes to one connection, which stays open until the end of the test.
	play func(conn net.Conn)
}

// run plays a load against a process. It checks the process while all connections that it
// has not closed are still open.
func (l load) run(p *process) {
	p.t.Helper()
	var clients sync.WaitGroup
	var mu sync.Mutex
	var conns []net.Conn
	defer func() {
		for _, conn := range conns {
			conn.Close()
		}
	}()
	for range l.connections {
		clients.Go(func() {
			conn, err := net.DialTimeout("tcp", l.address, writeTimeout)
			if err != nil {
				// The process may refuse connections.
				return
			}
			mu.Lock()
			conns = append(conns, conn)
			mu.Unlock()
			l.play(conn)
		})
	}
	played := make(chan struct{})
	go func() {
		clients.Wait()
		close(played)
	}()
	descriptors := 0
	for ended := false; !ended; {
		descriptors = max(descriptors, p.descriptors())
		select {
		case <-played:
			ended = true
		case <-time.After(sampleInterval):
		}
	}
	p.check(max(descriptors, p.settledDescriptors()))
}

// write writes text and reports whether the process took all of it.
func write(conn net.Conn, text string) bool {
	if conn.SetWriteDeadline(time.Now().Add(writeTimeout)) != nil {
		return false
	}
	_, err := io.WriteString(conn, text)
	return err == nil
}

// repeat writes text a number of times, or until the process does not take it.
func repeat(conn net.Conn, text string, times int) bool {
	for range times {
		if !write(conn, text) {
			return false
		}
	}
	return true
}

// head returns the head of a request with more header lines, without the empty line at the
// end.
func head(path, lines string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: hostile\r\nX-Credential: key\r\n" + lines
}

const (
	chunkedHead = "Transfer-Encoding: chunked\r\n\r\n"
	// missingBytes is what the bodies stop short of.
	missingBytes = 10
)

// bodyClients is the number of clients that send bodies.
const bodyClients = 100

func lengthHead(length int) string {
	return head("/safe/x", fmt.Sprintf("Content-Length: %d\r\n\r\n", length))
}

// callerLoads are the loads on the port for callers.
var callerLoads = map[string]load{
	// Many heads of 60 KB, one long line each, that do not end.
	"UnfinishedHeads": {callerAddress, 2000, func(conn net.Conn) {
		_ = write(conn, head("/safe/x", "X-Long: ")) && repeat(conn, strings.Repeat("a", 6<<10), 10)
	}},
	// Many heads of the legal size that do not end.
	"UnfinishedLegalHeads": {callerAddress, 2000, func(conn net.Conn) {
		_ = write(conn, head("/safe/x", "X-Long: "+strings.Repeat("a", maxHeaderBytes-200)))
	}},
	"EndlessHead": {callerAddress, bodyClients, func(conn net.Conn) {
		_ = write(conn, head("/safe/x", "X-Long: ")) && repeat(conn, strings.Repeat("a", 64<<10), 64)
	}},
	"SmallHeaders": {callerAddress, bodyClients, func(conn net.Conn) {
		_ = write(conn, head("/safe/x", "")) && repeat(conn, strings.Repeat("A: 1\r\n", 1<<10), 64)
	}},
	"EmptyLines": {callerAddress, bodyClients, func(conn net.Conn) {
		_ = repeat(conn, strings.Repeat("\r\n", 8<<10), 256)
	}},
	"EmptyLinesAfterRequest": {callerAddress, bodyClients, func(conn net.Conn) {
		_ = write(conn, lengthHead(1)+"x") && repeat(conn, strings.Repeat("\r\n", 8<<10), 256)
	}},
	"WholeBodies": {callerAddress, bodyClients, func(conn net.Conn) {
		_ = write(conn, lengthHead(maxBodyBytes)+strings.Repeat("x", maxBodyBytes-missingBytes))
	}},
	"BodiesInPieces": {callerAddress, bodyClients, func(conn net.Conn) {
		_ = write(conn, lengthHead(maxBodyBytes)) && repeat(conn, strings.Repeat("x", 16<<10), maxBodyBytes/(16<<10)-1) &&
			write(conn, strings.Repeat("x", 16<<10-missingBytes))
	}},
	"LargeChunks": {callerAddress, bodyClients, func(conn net.Conn) {
		_ = write(conn, head("/safe/x", chunkedHead)) && repeat(conn, "10000\r\n"+strings.Repeat("x", 1<<16)+"\r\n", 60)
	}},
	// Bodies of 1 MB. The process parses each chunk, so larger ones take long.
	"TinyChunks": {callerAddress, 150, func(conn net.Conn) {
		_ = write(conn, head("/safe/x", chunkedHead)) && repeat(conn, strings.Repeat("1\r\nx\r\n", 4<<10), 256)
	}},
	"MediumBodies": {callerAddress, 600, func(conn net.Conn) {
		_ = write(conn, lengthHead(512<<10)+strings.Repeat("x", 512<<10-missingBytes))
	}},
	"ChunkExtensions": {callerAddress, bodyClients, func(conn net.Conn) {
		_ = write(conn, head("/safe/x", chunkedHead)+"1;") && repeat(conn, strings.Repeat("a", 64<<10), 64)
	}},
	"Trailers": {callerAddress, bodyClients, func(conn net.Conn) {
		_ = write(conn, head("/safe/x", chunkedHead)+"1\r\nx\r\n0\r\n") && repeat(conn, strings.Repeat("A: 1\r\n", 10<<10), 64)
	}},
	// Answers of 3 MB that are not read.
	"SlowReaders": {callerAddress, 400, func(conn net.Conn) {
		if tcp, ok := conn.(*net.TCPConn); ok {
			// A small window keeps the answer in the process.
			_ = tcp.SetReadBuffer(4 << 10)
		}
		_ = write(conn, head("/long/x", "Content-Length: 0\r\n\r\n"))
		// A trickle of reads keeps the connection in use.
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			_ = conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
			if _, err := conn.Read(make([]byte, 64)); err != nil {
				return
			}
		}
	}},
	// Refused requests whose bodies do not end.
	"UnreadBodies": {callerAddress, 1500, func(conn net.Conn) {
		_ = write(conn, strings.Replace(lengthHead(1000), "/safe/x", "/unknown", 1)+"x")
	}},
	// Bodies of some bytes that do not end.
	"SmallBodies": {callerAddress, 1500, func(conn net.Conn) {
		_ = write(conn, lengthHead(1000)+"x")
	}},
	"IdleConnections": {callerAddress, 1500, func(net.Conn) {}},
	// Connections on which one request was served.
	"IdleAfterRequest": {callerAddress, 1500, func(conn net.Conn) {
		_ = write(conn, lengthHead(1)+"x")
	}},
}

// runLoad plays one of callerLoads against a gateway. The tests that call it guard against
// callers that make a gateway use more memory or descriptors than its VM has, which ends the
// process and the requests of all callers.
func runLoad(t *testing.T) {
	t.Helper()
	l, ok := callerLoads[strings.TrimPrefix(t.Name(), "Test")]
	if !ok {
		t.Fatal("no such load")
	}
	l.run(startGateway(t))
}

func TestUnfinishedHeads(t *testing.T)        { runLoad(t) }
func TestUnfinishedLegalHeads(t *testing.T)   { runLoad(t) }
func TestEndlessHead(t *testing.T)            { runLoad(t) }
func TestSmallHeaders(t *testing.T)           { runLoad(t) }
func TestEmptyLines(t *testing.T)             { runLoad(t) }
func TestEmptyLinesAfterRequest(t *testing.T) { runLoad(t) }
func TestWholeBodies(t *testing.T)            { runLoad(t) }
func TestBodiesInPieces(t *testing.T)         { runLoad(t) }
func TestLargeChunks(t *testing.T)            { runLoad(t) }
func TestTinyChunks(t *testing.T)             { runLoad(t) }
func TestMediumBodies(t *testing.T)           { runLoad(t) }
func TestChunkExtensions(t *testing.T)        { runLoad(t) }
func TestTrailers(t *testing.T)               { runLoad(t) }
func TestSlowReaders(t *testing.T)            { runLoad(t) }
func TestUnreadBodies(t *testing.T)           { runLoad(t) }
func TestSmallBodies(t *testing.T)            { runLoad(t) }
func TestIdleConnections(t *testing.T)        { runLoad(t) }
func TestIdleAfterRequest(t *testing.T)       { runLoad(t) }

// TestLargestRequest guards against limits that refuse a request of the largest legal size
// when there is no other load.
func TestLargestRequest(t *testing.T) {
	startGateway(t)
	for range 3 {
		if err := request("http://"+callerAddress+"/safe/"+strings.Repeat("x", maxHeaderBytes-1<<10), strings.Repeat("x", maxBodyBytes)); err != nil {
			t.Fatal(err)
		}
	}
}

// TestSlowRequest guards against a minimum progress that a legal caller on a slow link does
// not reach: a head within header_timeout_ms and a body that arrives slowly.
func TestSlowRequest(t *testing.T) {
	startGateway(t)
	conn, err := net.Dial("tcp", callerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	text := head("/safe/x", "X-Long: "+strings.Repeat("a", 200)+"\r\nContent-Length: 200\r\n\r\n")
	for i := 0; i < len(text); i += 16 {
		time.Sleep(2500 * time.Millisecond / time.Duration(len(text)/16+1))
		if !write(conn, text[i:min(i+16, len(text))]) {
			t.Fatal("the head is not read")
		}
	}
	for range 20 {
		time.Sleep(200 * time.Millisecond)
		if !write(conn, strings.Repeat("x", 10)) {
			t.Fatal("the body is not read")
		}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Fatal(resp.Status)
	}
}

// otherPorts are the ports of a gateway that are not for callers.
var otherPorts = []struct{ name, address string }{{"readiness", readyAddress}, {"peers", peerAddress}, {"metrics", metricsAddress}}

// TestIdleConnectionsOtherPorts guards against idle connections to the ports for readiness
// checks, peers and metrics that use up the descriptors of a gateway.
func TestIdleConnectionsOtherPorts(t *testing.T) {
	for _, port := range otherPorts {
		t.Run(port.name, func(t *testing.T) {
			load{port.address, 1500, func(net.Conn) {}}.run(startGateway(t))
		})
	}
}

// TestBodiesOtherPorts guards against unfinished bodies on the ports for readiness checks, peers
// and metrics that use up the connections or the memory of a gateway.
func TestBodiesOtherPorts(t *testing.T) {
	for _, port := range otherPorts {
		t.Run(port.name, func(t *testing.T) {
			p := startGateway(t)
			callers := p.ordinary
			p.ordinary = func() error {
				if err := request("http://"+readyAddress+"/v1/ready", ""); err != nil {
					return err
				}
				return callers()
			}
			load{port.address, 1500, func(conn net.Conn) {
				_ = write(conn, strings.Replace(lengthHead(1<<20), "/safe/x", "/copies", 1)+"{") && repeat(conn, strings.Repeat(" ", 32<<10), 16)
			}}.run(p)
		})
	}
}

// TestHeadsOtherPorts guards against unfinished heads on the ports for readiness checks, peers
// and metrics that use up the memory of a gateway.
func TestHeadsOtherPorts(t *testing.T) {
	for _, port := range otherPorts {
		t.Run(port.name, func(t *testing.T) {
			load{port.address, 500, func(conn net.Conn) {
				_ = write(conn, head("/", "X-Long: ")) && repeat(conn, strings.Repeat("a", 64<<10), 14)
			}}.run(startGateway(t))
		})
	}
}

// demoLoads are the loads on the product's own interface for callers.
var demoLoads = map[string]load{
	"WholeBodies": {demoAddress, bodyClients, func(conn net.Conn) {
		_ = write(conn, demoHead+fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes)+strings.Repeat("x", maxBodyBytes-missingBytes))
	}},
	"LargeChunks": {demoAddress, bodyClients, func(conn net.Conn) {
		_ = write(conn, demoHead+chunkedHead) && repeat(conn, "10000\r\n"+strings.Repeat("x", 1<<16)+"\r\n", 60)
	}},
	"UnreadBodies": {demoAddress, 4500, func(conn net.Conn) {
		_ = write(conn, strings.Replace(demoHead, "Bearer ", "Bearer unknown-", 1)+"Content-Length: 1000\r\n\r\nx")
	}},
	"IdleConnections": {demoAddress, 4500, func(net.Conn) {}},
}

// TestDemo guards against callers of the product's own interface that make an entry node use
// more memory or descriptors than its default limits. The demo runs other nodes in the same
// process, so the bounds leave room for them.
func TestDemo(t *testing.T) {
	for _, name := range []string{"WholeBodies", "LargeChunks", "UnreadBodies", "IdleConnections"} {
		t.Run(name, func(t *testing.T) { demoLoads[name].run(startDemo(t)) })
	}
}

// TestAgentPorts guards against idle connections and unfinished heads that use up the
// descriptors or the memory of an agent. Its ordinary request reads its metrics.
func TestAgentPorts(t *testing.T) {
	for _, port := range []struct{ name, address string }{{"peers", agentPeer}, {"metrics", agentMetrics}} {
		t.Run(port.name, func(t *testing.T) {
			_, store := newStore(t)
			p := start(t, "agent", platformSettings("agent-0", agentIP, store, "app="+agentIP+":8148", "service=engines"), "cyclamenpoint-agent", "--platform")
			p.ordinary = func() error { return request("http://"+agentMetrics+"/metrics", "") }
			p.waitOrdinary()
			load{port.address, 1500, func(conn net.Conn) {
				_ = write(conn, head("/", "X-Long: ")) && repeat(conn, strings.Repeat("a", 64<<10), 14)
			}}.run(p)
		})
	}
}
