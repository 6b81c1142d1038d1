package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/membudget"
	"github.com/cyclamenpoint/cyclamenpoint/standin/endpoint"
	"github.com/cyclamenpoint/cyclamenpoint/standin/rowstore"
)

const largestBody = 4 << 20

// newBodyGateway starts a gateway with a budget and an endpoint.
func newBodyGateway(t *testing.T, cfg membudget.Config, e http.Handler) *testGateway {
	gw := &testGateway{
		t: t, store: rowstore.New(), grace: 400 * time.Millisecond, node: "n1", memory: membudget.New(cfg), maxBodyBytes: largestBody,
	}
	gw.configure(1, testRoutes())
	server := httptest.NewServer(e)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	gw.listEndpoint("e1", strings.TrimPrefix(server.URL, "http://"), "ready")
	gw.start(gw.store)
	gw.waitReady()
	return gw
}

// waitReleased fails the test unless all memory is returned.
func (gw *testGateway) waitReleased(used int64) {
	gw.t.Helper()
	for range 1000 {
		if gw.memory.Stats().Used == used {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	gw.t.Fatalf("memory is not returned: %+v", gw.memory.Stats())
}

// unsized hides the length of a body, so that it is sent in chunks.
type unsized struct{ io.Reader }

// TestBodies guards against bodies that change on their way, whatever their size and the
// pieces in which they arrive, and against memory that is not returned.
func TestBodies(t *testing.T) {
	e := endpoint.New("e1")
	gw := newBodyGateway(t, membudget.DefaultConfig(0), e)
	text := make([]byte, largestBody)
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range text {
		text[i] = 'a' + byte(rng.IntN(26))
	}
	for _, size := range []int{0, 1, 4<<10 - 1, 4 << 10, 4<<10 + 1, 8 << 10, 8<<10 + 1, 128 << 10, 1 << 20, largestBody - 1, largestBody} {
		for _, chunked := range []bool{false, true} {
			body := string(text[:size])
			req, err := http.NewRequest(http.MethodPost, "http://"+gw.address+"/once/1", strings.NewReader(body))
			assert.NilError(t, err)
			if chunked {
				req.ContentLength, req.Body = -1, io.NopCloser(unsized{strings.NewReader(body)})
			}
			req.Host = "h"
			req.Header.Set("X-Request-Id", "r")
			req.Header.Set("X-Credential", "key")
			resp, err := http.DefaultClient.Do(req)
			assert.NilError(t, err)
			assert.NilError(t, resp.Body.Close())
			assert.Equal(t, resp.StatusCode, http.StatusOK, "%d bytes, chunked %v", size, chunked)
			runs := e.Runs()
			assert.Assert(t, runs[len(runs)-1].Body == body, "%d bytes, chunked %v", size, chunked)
		}
	}
	assert.Equal(t, gw.call("POST", "/once/1", string(text)+"x").status, http.StatusRequestEntityTooLarge)
	gw.waitReleased(0)
}

// TestNoMemory guards against requests that are refused for want of memory and run all the
// same, or get no time after which to come again.
func TestNoMemory(t *testing.T) {
	e := endpoint.New("e1")
	cfg := membudget.DefaultConfig(0)
	cfg.MaxWait = 20 * time.Millisecond
	gw := newBodyGateway(t, cfg, e)
	other := gw.memory.Open(netip.Addr{})
	other.ForceGrow(gw.memory.Stats().Size)
	for _, path := range []string{"/once/1", "/safe/1", "/stream/1"} {
		a := gw.call("POST", path, "body")
		assert.NilError(t, a.err)
		assert.Equal(t, a.status, http.StatusServiceUnavailable)
		assert.Equal(t, a.header.Get("Retry-After"), "1.000")
		assert.Assert(t, strings.Contains(a.body, `"outcome":"not-run"`), "%s", a.body)
	}
	// Requests without a body need no memory.
	assert.Equal(t, gw.call("GET", "/safe/1", "").status, http.StatusOK)
	assert.Equal(t, e.Arrivals(), 1)
	gw.waitReleased(gw.memory.Stats().Size)
	other.Release()
	assert.Equal(t, gw.call("POST", "/once/1", "body").status, http.StatusOK)
	gw.waitReleased(0)
}

// TestStalledBody guards against unfinished bodies that keep their memory while others wait
// for it, and against memory that stays reserved after the caller has left.
func TestStalledBody(t *testing.T) {
	e := endpoint.New("e1")
	cfg := membudget.DefaultConfig(0)
	cfg.PressureStall = 50 * time.Millisecond
	gw := newBodyGateway(t, cfg, e)
	send := func(text string) net.Conn {
		conn, err := net.Dial("tcp", gw.address)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		_, err = fmt.Fprintf(conn, "POST /once/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: stalled\r\nX-Credential: key\r\nContent-Length: %d\r\n\r\n%s", largestBody, text)
		assert.NilError(t, err)
		return conn
	}
	gone := send("x")
	stalled := send(strings.Repeat("x", largestBody-10))
	waitReserved := func(n int64) {
		for gw.memory.Stats().Used < n {
			time.Sleep(time.Millisecond)
		}
	}
	waitReserved(largestBody)
	assert.NilError(t, gone.Close())
	other := gw.memory.Open(netip.Addr{})
	other.ForceGrow(gw.memory.Stats().Size - gw.memory.Stats().Used)
	// This one waits, and gets the memory of the one that has stalled.
	assert.Equal(t, gw.call("POST", "/once/1", "body").status, http.StatusOK)
	resp, err := http.ReadResponse(bufio.NewReader(stalled), nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, resp.Header.Get("Retry-After") != "")
	other.Release()
	gw.waitReleased(0)
	assert.Equal(t, e.Arrivals(), 1)
}

// TestSlowReader guards against long answers that are not read and keep their memory while
// others wait for it.
func TestSlowReader(t *testing.T) {
	cfg := membudget.DefaultConfig(0)
	cfg.PressureStall = 50 * time.Millisecond
	text := []byte(strings.Repeat("x", largestBody))
	gw := newBodyGateway(t, cfg, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Response-Seal", "seal")
		if r.URL.Path == "/safe/long" {
			_, _ = w.Write(text)
		}
	}))
	conn, err := net.Dial("tcp", gw.address)
	assert.NilError(t, err)
	defer conn.Close()
	tcp, ok := conn.(*net.TCPConn)
	assert.Assert(t, ok)
	assert.NilError(t, tcp.SetReadBuffer(4<<10))
	_, err = io.WriteString(conn, "GET /safe/long HTTP/1.1\r\nHost: h\r\nX-Request-Id: long\r\nX-Credential: key\r\n\r\n")
	assert.NilError(t, err)
	for gw.memory.Stats().Used < 1<<20 {
		time.Sleep(time.Millisecond)
	}
	// The answer is complete, and the caller does not read it.
	time.Sleep(200 * time.Millisecond)
	other := gw.memory.Open(netip.Addr{})
	other.ForceGrow(gw.memory.Stats().Size - gw.memory.Stats().Used)
	assert.Equal(t, gw.call("POST", "/safe/1", "body").status, http.StatusOK)
	other.Release()
	gw.waitReleased(0)
}
