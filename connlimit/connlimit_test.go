package connlimit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/membudget"
)

const testHeadBytes = 8 << 10

// testServer is a server behind a Listener.
type testServer struct {
	t        *testing.T
	listener *Listener
	memory   *membudget.Budget
	handled  atomic.Int64
	// caller is the expected address of callers.
	caller netip.Addr
	// block makes handlers wait until it is closed; nil for not at all.
	block chan struct{}
}

func serve(t *testing.T, cfg Config) *testServer {
	s := &testServer{t: t, caller: netip.MustParseAddr("127.0.0.1"), memory: membudget.New(membudget.Config{MaxWait: 10 * time.Millisecond, PressureStall: time.Minute, MaxStall: time.Minute})}
	cfg.Memory = s.memory
	cfg.MaxHeadBytes = func() int { return testHeadBytes }
	cfg.OnRefusal = NewReporter("test", func(string, ...any) {}).Refused
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{MaxHeaderBytes: 64 << 10, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.handled.Add(1)
		assert.Check(t, Caller(r.Context()) == s.caller)
		if s.block != nil {
			<-s.block
		}
		_, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
		}
	})}
	s.listener = Listen(inner, server, cfg)
	go func() { _ = server.Serve(s.listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func (s *testServer) dial() net.Conn {
	conn, err := net.Dial("tcp", s.listener.Addr().String())
	assert.NilError(s.t, err)
	s.t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// call sends a request and returns the status of the answer; 0 if the connection was closed.
func (s *testServer) call(conn net.Conn, head, body string) int {
	_, err := fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\n%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	if err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// waitUntil waits for a state that another goroutine brings about.
func waitUntil(t *testing.T, what string, reached func() bool) {
	t.Helper()
	for range 2000 {
		if reached() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal(what)
}

// TestEviction guards against idle connections that keep others out, and against the closing
// of a connection whose request is handled or that was used last.
func TestEviction(t *testing.T) {
	s := serve(t, Config{MaxConnections: 4})
	idle, kept := s.dial(), s.dial()
	assert.Equal(t, s.call(idle, "", ""), 200)
	assert.Equal(t, s.call(kept, "", ""), 200)
	s.block = make(chan struct{})
	busy := s.dial()
	answer := make(chan int)
	go func() { answer <- s.call(busy, "", "body") }()
	waitUntil(t, "no request is handled", func() bool { return s.handled.Load() == 3 })
	latest := s.dial()
	// The longest idle connection is closed.
	_, err := idle.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
	close(s.block)
	assert.Equal(t, <-answer, 200)
	assert.Equal(t, s.call(kept, "", ""), 200)
	assert.Equal(t, s.call(latest, "", ""), 200)
	assert.Equal(t, s.listener.Open(), 3)
}

// TestUnusedFirst guards against callers that open connections without a request and make the
// idle connections of others close.
func TestUnusedFirst(t *testing.T) {
	s := serve(t, Config{MaxConnections: 4})
	kept := s.dial()
	assert.Equal(t, s.call(kept, "", ""), 200)
	unused := []net.Conn{s.dial(), s.dial()}
	waitUntil(t, "connections are not accepted", func() bool { return s.listener.Open() == 3 })
	s.listener.mu.Lock()
	for c := s.listener.unused.oldest; c != nil; c = c.newer {
		c.waitingSince = c.waitingSince.Add(-newTime)
	}
	s.listener.mu.Unlock()
	for _, conn := range unused {
		assert.Equal(t, s.call(s.dial(), "", ""), 200)
		_, err := conn.Read(make([]byte, 1))
		assert.Assert(t, err != nil)
	}
	assert.Equal(t, s.call(kept, "", ""), 200)
	// A new connection is not closed for the next one.
	first, second := s.dial(), s.dial()
	assert.Equal(t, s.call(first, "", ""), 200)
	assert.Equal(t, s.call(second, "", ""), 200)
}

// TestShare guards against a caller that takes all connections: others can still connect, and
// the connections of others are not closed for its next ones.
func TestShare(t *testing.T) {
	s := serve(t, Config{MaxConnections: 8})
	dialFrom := func(ip string) net.Conn {
		dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
		conn, err := dialer.Dial("tcp", s.listener.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	other := dialFrom("127.0.0.2")
	s.caller = netip.MustParseAddr("127.0.0.2")
	assert.Equal(t, s.call(other, "", ""), 200)
	s.caller = netip.MustParseAddr("127.0.0.1")
	for range 20 {
		assert.Equal(t, s.call(s.dial(), "", ""), 200)
	}
	assert.Equal(t, s.listener.Open(), 7)
	s.caller = netip.MustParseAddr("127.0.0.2")
	assert.Equal(t, s.call(other, "", ""), 200)
	assert.Equal(t, s.call(dialFrom("127.0.0.2"), "", ""), 200)
	assert.Equal(t, s.listener.Open(), 8)
}

// TestFull guards against a limit that is exceeded when no connection can be closed.
func TestFull(t *testing.T) {
	s := serve(t, Config{MaxConnections: 2})
	s.block = make(chan struct{})
	answers := make(chan int)
	for range 2 {
		conn := s.dial()
		go func() { answers <- s.call(conn, "", "") }()
	}
	waitUntil(t, "requests are not handled", func() bool { return s.handled.Load() == 2 })
	refused := s.dial()
	_, err := refused.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
	close(s.block)
	assert.Equal(t, <-answers, 200)
	assert.Equal(t, <-answers, 200)
	assert.Equal(t, s.call(s.dial(), "", ""), 200)
}

// TestHeads guards against heads that exceed the limit or find no memory: they are refused
// before they are handled, and their memory is returned.
func TestHeads(t *testing.T) {
	s := serve(t, Config{MaxConnections: 100})
	line := func(n int) string { return "X-A: " + strings.Repeat("a", n) + "\r\n" }
	assert.Equal(t, s.call(s.dial(), line(testHeadBytes-100), ""), 200)
	// Beyond headSlack the connection may be reset before the answer is read.
	status := s.call(s.dial(), line(testHeadBytes+headSlack+100), "")
	assert.Assert(t, status == http.StatusRequestHeaderFieldsTooLarge || status == 0, "%d", status)
	other := s.memory.Open(netip.Addr{})
	other.ForceGrow(s.memory.Stats().Size)
	status = s.call(s.dial(), line(testHeadBytes-100), "")
	assert.Assert(t, status == http.StatusServiceUnavailable || status == 0, "%d", status)
	// A head that fits into the buffers of a connection needs no memory of the budget.
	assert.Equal(t, s.call(s.dial(), line(1000), strings.Repeat("x", 1<<20)), 200)
	other.Release()
	conn := s.dial()
	for range 3 {
		assert.Equal(t, s.call(conn, line(testHeadBytes-100), strings.Repeat("x", 1<<20)), 200)
	}
	assert.Equal(t, s.handled.Load(), int64(5))
	waitUntil(t, "memory is not returned", func() bool { return s.memory.Stats().Used == 0 })
}

// FuzzConnection guards against requests that make the server panic or keep memory, whatever
// their bytes are.
func FuzzConnection(f *testing.F) {
	for _, text := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\n", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;a=b\r\nx\r\n0\r\nA: 1\r\n\r\n",
		"\r\n\r\n\r\n", "GET / HTTP/1.1\r\nA: " + strings.Repeat("a", 2*testHeadBytes),
		"POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 9000\r\n\r\n" + strings.Repeat("b", 9000) + "GET / HTTP/1.1\r\n",
	} {
		f.Add([]byte(text), true)
		f.Add([]byte(text), false)
	}
	f.Fuzz(func(t *testing.T, text []byte, countBodies bool) {
		s := serve(t, Config{MaxConnections: 2, CountBodies: countBodies})
		conn := s.dial()
		// The server may close the connection before it has read all.
		_, _ = conn.Write(text)
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
		var timeout net.Error
		_, err := io.Copy(io.Discard, conn)
		assert.Assert(t, !errors.As(err, &timeout) || !timeout.Timeout(), "the server does not close the connection")
		waitUntil(t, "the connection stays open", func() bool { return s.listener.Open() == 0 })
		waitUntil(t, "memory is not returned", func() bool { return s.memory.Stats().Used == 0 })
		assert.Equal(t, s.call(s.dial(), "", "body"), 200)
	})
}

// TestCountBodies guards against bodies that take memory without a limit on listeners whose
// handlers do not reserve any.
func TestCountBodies(t *testing.T) {
	s := serve(t, Config{MaxConnections: 100, CountBodies: true})
	assert.Equal(t, s.call(s.dial(), "", strings.Repeat("x", 256<<10)), 200)
	waitUntil(t, "memory is not returned", func() bool { return s.memory.Stats().Used == 0 })
	s.memory.Open(netip.Addr{}).ForceGrow(s.memory.Stats().Size)
	status := s.call(s.dial(), "", strings.Repeat("x", 256<<10))
	assert.Assert(t, status == http.StatusBadRequest || status == 0, "%d", status)
}

// TestWithoutBodies guards against connections that stay open for a body that nobody reads.
func TestWithoutBodies(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: WithoutBodies(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))}
	go func() { _ = server.Serve(inner) }()
	defer server.Close()
	conn, err := net.Dial("tcp", inner.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nx")
	assert.NilError(t, err)
	// The server closes the connection.
	_, err = io.Copy(io.Discard, conn)
	assert.NilError(t, err)
	resp, err := http.Get("http://" + inner.Addr().String())
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}
