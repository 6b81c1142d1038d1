package gateway_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/gateway"
	"github.com/cyclamenpoint/cyclamenpoint/membudget"
	"github.com/cyclamenpoint/cyclamenpoint/platform"
	"github.com/cyclamenpoint/cyclamenpoint/retry"
	"github.com/cyclamenpoint/cyclamenpoint/standin/endpoint"
	"github.com/cyclamenpoint/cyclamenpoint/standin/rowstore"
)

// testGateway is a gateway whose store and endpoints are stand-ins.
type testGateway struct {
	t           testing.TB
	store       *rowstore.Store
	address     string
	peerAddress string
	gateway     *gateway.Gateway
	nextID      int
	grace       time.Duration
	servers     map[string]*httptest.Server
	// node is the gateway's name.
	node string
	// log receives the log lines of the gateway; nil discards them.
	log io.Writer
	// cold holds the settings for cold endpoints, service further fields of the service.
	cold    gateway.ColdSettings
	service map[string]any
	// memory is the budget for callers; nil for the default one. maxBodyBytes is the limit of
	// the configuration.
	memory       *membudget.Budget
	maxBodyBytes int
}

// routeConfig is a route of the configuration under test.
type routeConfig map[string]any

func testRoutes() []routeConfig {
	return []routeConfig{
		{"name": "safe", "hostname": "h", "prefix": "/safe/", "kind": "safe", "service": "plain", "timeout_ms": 5000, "max_attempts": 2},
		{"name": "once", "hostname": "h", "prefix": "/once/", "kind": "unsafe", "service": "plain", "timeout_ms": 5000, "max_attempts": 2},
		{"name": "stream", "hostname": "h", "prefix": "/stream/", "kind": "streaming", "service": "plain", "timeout_ms": 5000, "max_attempts": 3, "resumable": true},
		{"name": "single", "hostname": "h", "prefix": "/single/", "kind": "streaming", "service": "plain", "timeout_ms": 5000, "max_attempts": 3},
		{"name": "short", "hostname": "h", "prefix": "/short/", "kind": "safe", "service": "plain", "timeout_ms": 100, "max_attempts": 1},
	}
}

// newTestGateway starts a gateway with a configuration and endpoints in its store.
func newTestGateway(t *testing.T, endpoints ...*endpoint.Endpoint) *testGateway {
	gw := &testGateway{t: t, grace: 400 * time.Millisecond, node: "n1"}
	gw.prepare()
	for _, e := range endpoints {
		gw.addEndpoint(e)
	}
	gw.start(gw.store)
	gw.waitReady()
	return gw
}

// prepare puts a configuration into a new store.
func (gw *testGateway) prepare() {
	gw.store, gw.servers = rowstore.New(), make(map[string]*httptest.Server)
	gw.configure(1, testRoutes())
}

func freeAddress(t testing.TB) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// start starts the gateway with a store, which may differ from gw.store.
func (gw *testGateway) start(store http.Handler, seeds ...string) {
	server := httptest.NewServer(store)
	gw.t.Cleanup(server.CloseClientConnections)
	g, err := gw.startAt(server.URL, seeds)
	for range startRetries {
		if !errors.Is(err, syscall.EADDRINUSE) {
			break
		}
		g, err = gw.startAt(server.URL, seeds)
	}
	assert.NilError(gw.t, err)
	gw.gateway = g
	gw.t.Cleanup(g.Stop)
}

// startRetries bounds the further tries with other ports if another process has bound
// a port between freeAddress and the gateway's own listen.
const startRetries = 5

// startAt starts a gateway at free addresses with the store at a URL.
func (gw *testGateway) startAt(storeURL string, seeds []string) (*gateway.Gateway, error) {
	log := slog.New(slog.DiscardHandler)
	if gw.log != nil {
		log = slog.New(slog.NewTextHandler(gw.log, nil))
	}
	gw.address, gw.peerAddress = freeAddress(gw.t), freeAddress(gw.t)
	return gateway.Start(gateway.Settings{
		Node: gw.node, FailureDomain: "d1", CallerAddress: gw.address, ReadinessAddress: freeAddress(gw.t), PeerAddress: gw.peerAddress, Seeds: seeds,
		Tables:       gateway.Tables{Config: platform.TableConfig, Endpoints: platform.TableEndpoints, Nodes: platform.TableNodes, Crashes: platform.TableCrashes},
		RelistPeriod: 2 * time.Second, GracePeriod: gw.grace,
		Budget: retry.WindowConfig{Ratio: 0.2, Reserve: 1000, Period: 10 * time.Second},
		Cold:   gw.cold, Memory: gw.memory,
	}, platform.Protocol{}, platform.NewStore(strings.TrimPrefix(storeURL, "http://"), http.DefaultTransport), log)
}

func (gw *testGateway) configure(version int, routes []routeConfig) {
	service := map[string]any{"name": "plain", "max_connections": 100}
	maps.Copy(service, gw.service)
	body, err := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []any{service},
		"limits":   map[string]any{"max_body_bytes": max(gw.maxBodyBytes, 1000)},
		"tenants":  []any{map[string]any{"name": "org", "api_keys": []string{"key"}}},
	})
	assert.NilError(gw.t, err)
	gw.store.Put("op", "config", body)
}

// addEndpoint starts an endpoint and lists it in the store.
func (gw *testGateway) addEndpoint(e *endpoint.Endpoint) { gw.addEndpointIn("d1", e) }

// addEndpointIn starts an endpoint and lists it in a failure domain.
func (gw *testGateway) addEndpointIn(domain string, e *endpoint.Endpoint) {
	server := httptest.NewServer(e)
	gw.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	gw.servers[e.ID()] = server
	gw.listEndpointIn(domain, e.ID(), strings.TrimPrefix(server.URL, "http://"), "ready")
}

func (gw *testGateway) listEndpoint(id, address, state string) {
	gw.listEndpointIn("d1", id, address, state)
}

func (gw *testGateway) listEndpointIn(domain, id, address, state string) {
	gw.store.Put("servers", id, []byte(fmt.Sprintf(`{"service":"plain","address":%q,"zone":%q,"slots":8,"state":%q,"born":1}`, address, domain, state)))
}

func (gw *testGateway) waitReady() {
	for !gw.gateway.Ready() {
		time.Sleep(time.Millisecond)
	}
}

// answer is an answer as received by the caller.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// call sends a request; header holds alternating names and values.
func (gw *testGateway) call(method, path, body string, header ...string) answer {
	gw.nextID++
	req, err := http.NewRequest(method, "http://"+gw.address+path, strings.NewReader(body))
	assert.NilError(gw.t, err)
	req.Host = "h"
	req.Header.Set("X-Request-Id", "r"+strconv.Itoa(gw.nextID))
	req.Header.Set("X-Credential", "key")
	req.Header.Set("X-Deadline-Ms", "4000")
	if strings.HasPrefix(path, "/stream/") || strings.HasPrefix(path, "/single/") {
		req.Header.Set("X-Model", "m")
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(text), err: err}
}

func TestServes(t *testing.T) {
	e := endpoint.New("e1")
	gw := newTestGateway(t, e)
	a := gw.call("POST", "/once/1?x=%2F", "hello", "X-Tenant", "forged")
	assert.NilError(t, a.err)
	assert.Equal(t, a.status, 200)
	assert.Equal(t, a.header.Get("X-Response-Seal"), "seal-of-e1")
	assert.Equal(t, a.body, "answer of e1 to r1")
	run := e.Runs()[0]
	assert.Equal(t, run.Path, "/once/1?x=%2F")
	assert.Equal(t, run.Body, "hello")
	assert.Equal(t, run.Tenant, "org")
	assert.Equal(t, run.Credential, "")
	assert.Assert(t, run.DeadlineMillis > 0 && run.DeadlineMillis <= 4000)
}

func TestDenied(t *testing.T) {
	e := endpoint.New("e1")
	gw := newTestGateway(t, e)
	assert.Equal(t, gw.call("GET", "/none/1", "").status, 404)
	assert.Equal(t, gw.call("GET", "/safe/1", "", "X-Credential", "other").status, 401)
	assert.Equal(t, gw.call("POST", "/once/1", strings.Repeat("x", 1001)).status, 413)
	assert.Equal(t, gw.call("GET", "/safe/1", "", "X-Deadline-Ms", "soon").status, 400)
	assert.Equal(t, len(e.Runs()), 0)
}

// TestFaults injects a fault into the first attempt, or into all, and checks the answer
// and the number of requests that ran.
func TestFaults(t *testing.T) {
	for _, c := range []struct {
		name   string
		path   string
		fault  endpoint.Fault
		always bool
		status int
		runs   int
	}{
		{"safe, full once", "/safe/1", endpoint.Reject, false, 200, 1},
		{"safe, full always", "/safe/1", endpoint.Reject, true, 503, 0},
		{"safe, broken once", "/safe/1", endpoint.ResetBeforeAnswer, false, 200, 2},
		{"safe, half an answer once", "/safe/1", endpoint.ResetMidAnswer, false, 200, 2},
		{"safe, failed once", "/safe/1", endpoint.ServerError, false, 200, 2},
		{"safe, failed always", "/safe/1", endpoint.ServerError, true, 500, 2},
		{"safe, unsealed once", "/safe/1", endpoint.NoSeal, false, 200, 2},
		{"safe, an answer to another request first", "/safe/1", endpoint.StrayAnswer, true, 200, 1},
		{"safe, 503 without proof always", "/safe/1", endpoint.RejectUnmarked, true, 502, 0},
		{"once, full once", "/once/1", endpoint.Reject, false, 200, 1},
		{"once, full always", "/once/1", endpoint.Reject, true, 503, 0},
		{"once, broken", "/once/1", endpoint.ResetBeforeAnswer, false, 502, 1},
		{"once, half an answer", "/once/1", endpoint.ResetMidAnswer, false, 502, 1},
		{"once, failed", "/once/1", endpoint.ServerError, false, 500, 1},
		{"once, unsealed", "/once/1", endpoint.NoSeal, false, 502, 1},
		{"once, 503 without proof", "/once/1", endpoint.RejectUnmarked, false, 502, 0},
		{"stream, full once", "/stream/1", endpoint.Reject, false, 200, 1},
		{"stream, broken once before its first event", "/stream/1", endpoint.ResetBeforeAnswer, false, 200, 2},
		{"safe, without a length", "/safe/1", endpoint.Unframed, true, 200, 1},
		{"stream, without a length", "/stream/1", endpoint.Unframed, true, 200, 1},
		{"stream, without a length, cut inside an event once", "/stream/1", endpoint.UnframedCut, false, 200, 2},
		{"stream that may not be resumed, broken", "/single/1", endpoint.ResetBeforeAnswer, false, 502, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			e1, e2 := endpoint.New("e1"), endpoint.New("e2")
			gw := newTestGateway(t, e1, e2)
			var arrived atomic.Int32
			fault := func(string, int) endpoint.Fault {
				if first := arrived.Add(1) == 1; c.always || first {
					return c.fault
				}
				return endpoint.NoFault
			}
			e1.SetFault(fault)
			e2.SetFault(fault)
			a := gw.call("POST", c.path, "")
			assert.NilError(t, a.err)
			assert.Equal(t, a.status, c.status, a.body)
			assert.Equal(t, len(e1.Runs())+len(e2.Runs()), c.runs)
			if c.status == 200 && strings.HasPrefix(c.path, "/stream/") {
				assert.Equal(t, a.body, "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\nid: 3\ndata: token 3\n\nid: 4\ndata: token 4\n\nid: 5\ndata: token 5\n\n")
			}
			if c.status == 503 {
				after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
				assert.NilError(t, err)
				assert.Assert(t, after > 0)
			}
			if c.status == 500 {
				assert.Assert(t, strings.HasPrefix(a.header.Get("X-Response-Seal"), "seal-of-"), "the error response is not the endpoint's own")
			}
		})
	}
}

// TestRetriesBeforeNodesAreKnown guards against a fleet that exceeds its retry budget
// after a power failure: while the store did not answer for the table of processes, each
// of 26 gateways took itself for the only one and used the whole reserve.
func TestRetriesBeforeNodesAreKnown(t *testing.T) {
	e1, e2 := endpoint.New("e1"), endpoint.New("e2")
	gw := &testGateway{t: t, store: rowstore.New(), servers: make(map[string]*httptest.Server), grace: 400 * time.Millisecond}
	gw.configure(1, testRoutes())
	gw.addEndpoint(e1)
	gw.addEndpoint(e2)
	gw.start(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("table") == platform.TableNodes {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		gw.store.ServeHTTP(w, r)
	}))
	gw.waitReady()
	var arrived atomic.Int32
	fault := func(string, int) endpoint.Fault {
		arrived.Add(1)
		return endpoint.ServerError
	}
	e1.SetFault(fault)
	e2.SetFault(fault)
	const calls = 12
	for range calls {
		a := gw.call("GET", "/safe/1", "")
		assert.NilError(t, a.err)
		assert.Equal(t, a.status, 500)
	}
	// A fifth of the requests, and this gateway's part of the reserve.
	assert.Assert(t, arrived.Load() <= calls+calls/5+2, "%d arrivals", arrived.Load())
}

// TestStreamResumed checks that a stream that breaks in the middle of an event continues at
// another endpoint, as one answer with the headers of the first endpoint.
func TestStreamResumed(t *testing.T) {
	e1, e2 := endpoint.New("e1"), endpoint.New("e2")
	gw := newTestGateway(t, e1, e2)
	var arrived atomic.Int32
	fault := func(string, int) endpoint.Fault {
		if arrived.Add(1) == 1 {
			return endpoint.ResetMidAnswer
		}
		return endpoint.NoFault
	}
	e1.SetFault(fault)
	e2.SetFault(fault)
	a := gw.call("POST", "/stream/1", "")
	assert.NilError(t, a.err)
	first, second := e1, e2
	if len(e1.Runs()) == 0 || e1.Runs()[0].LastEventID != "" {
		first, second = e2, e1
	}
	assert.Equal(t, a.header.Get("X-Response-Seal"), "seal-of-"+first.ID())
	assert.Equal(t, second.Runs()[0].LastEventID, "2")
	want := ""
	for id := 1; id <= 5; id++ {
		want += fmt.Sprintf("id: %d\ndata: token %d\n\n", id, id)
	}
	assert.Equal(t, a.body, want)
}

// TestStreamNotResumable checks that a stream that must not run again ends with an error.
func TestStreamNotResumable(t *testing.T) {
	e := endpoint.New("e1")
	gw := newTestGateway(t, e)
	e.SetFault(func(string, int) endpoint.Fault { return endpoint.ResetMidAnswer })
	a := gw.call("POST", "/single/1", "")
	assert.Assert(t, a.err != nil, "the answer must not look complete: %q", a.body)
	assert.Equal(t, len(e.Runs()), 1)
}

// TestTimeout checks that a request is answered when the timeout of its route has passed.
func TestTimeout(t *testing.T) {
	e := endpoint.New("e1")
	gw := newTestGateway(t, e)
	e.SetFault(func(string, int) endpoint.Fault { return endpoint.Hang })
	assert.Equal(t, gw.call("GET", "/short/1", "").status, 504)
	for !e.Runs()[0].CallerGone {
		time.Sleep(time.Millisecond)
	}
}

// TestCallerLeaves checks that the endpoint's work is cancelled when the caller
// disconnects, before the answer and during a stream.
func TestCallerLeaves(t *testing.T) {
	for _, c := range []struct {
		path  string
		fault endpoint.Fault
	}{{"/once/1", endpoint.Hang}, {"/stream/1", endpoint.NoFault}} {
		t.Run(c.path, func(t *testing.T) {
			e := endpoint.New("e1")
			e.StreamLength, e.EventInterval = 1<<30, 5*time.Millisecond
			gw := newTestGateway(t, e)
			e.SetFault(func(string, int) endpoint.Fault { return c.fault })
			ctx, leave := context.WithCancel(context.Background())
			req, err := http.NewRequestWithContext(ctx, "POST", "http://"+gw.address+c.path, nil)
			assert.NilError(t, err)
			req.Host = "h"
			req.Header.Set("X-Request-Id", "r")
			req.Header.Set("X-Credential", "key")
			req.Header.Set("X-Model", "m")
			done := make(chan struct{})
			go func() {
				defer close(done)
				resp, err := http.DefaultClient.Do(req)
				if err == nil {
					// The read ends when the caller disconnects.
					_, _ = bufio.NewReader(resp.Body).ReadString(0)
					resp.Body.Close()
				}
			}()
			for len(e.Runs()) == 0 {
				time.Sleep(time.Millisecond)
			}
			leave()
			<-done
			for !e.Runs()[0].CallerGone {
				time.Sleep(time.Millisecond)
			}
		})
	}
}

// TestConfiguration checks that a newer configuration is applied and that an older and an
// invalid one are ignored.
func TestConfiguration(t *testing.T) {
	gw := newTestGateway(t, endpoint.New("e1"))
	added := append(testRoutes(), routeConfig{"name": "new", "hostname": "h", "prefix": "/new/", "kind": "safe", "service": "plain", "max_attempts": 1})
	gw.configure(5, added)
	for gw.call("GET", "/new/1", "").status != 200 {
		time.Sleep(5 * time.Millisecond)
	}
	gw.configure(3, testRoutes())
	gw.store.Put("op", "config", []byte(`{"version":9,"routes":[{"name":"x","kind":"odd"}]}`))
	gw.configure(6, added[1:])
	for gw.call("GET", "/safe/1", "").status != 404 {
		assert.Equal(t, gw.call("GET", "/new/1", "").status, 200)
		time.Sleep(5 * time.Millisecond)
	}
}

// TestLeavingEndpoint checks that an endpoint that drains or was replaced at its address gets
// no requests, and that invalid entries of the list are ignored.
func TestLeavingEndpoint(t *testing.T) {
	e1, e2 := endpoint.New("e1"), endpoint.New("e2")
	gw := newTestGateway(t, e1, e2)
	gw.store.Put("servers", "nonsense", []byte("\xff{"))
	gw.store.Put("servers", "typed", []byte(`{"service":"plain","address":7}`))
	gw.listEndpoint("e1", strings.TrimPrefix(gw.servers["e1"].URL, "http://"), "draining")
	for ran := 0; ; {
		assert.Equal(t, gw.call("GET", "/safe/1", "").status, 200)
		if now := len(e1.Runs()); now == ran && len(e2.Runs()) > 30 {
			break
		} else if now != ran {
			ran = now
		}
		time.Sleep(20 * time.Millisecond)
	}
	ran := len(e1.Runs())
	// e3 has replaced e2 at its address; the entry of e2 still exists.
	e2.Replace("e3")
	gw.listEndpoint("e3", strings.TrimPrefix(gw.servers["e2"].URL, "http://"), "ready")
	for gw.call("GET", "/safe/1", "").status != 200 {
		time.Sleep(5 * time.Millisecond)
	}
	assert.Equal(t, len(e1.Runs()), ran)
}

// TestRemovedAfterStart checks that an endpoint whose entry is removed soon after the start
// of the node gets no more requests: the start must not count as the end of an outage of
// the store.
func TestRemovedAfterStart(t *testing.T) {
	e1, e2 := endpoint.New("e1"), endpoint.New("e2")
	gw := newTestGateway(t, e1, e2)
	gw.store.Remove("servers", "e1")
	for ran := -1; ran != len(e1.Runs()); {
		ran = len(e1.Runs())
		for range 40 {
			assert.Equal(t, gw.call("GET", "/safe/1", "").status, 200)
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// TestOutage checks that endpoints whose entries expire during an outage of the store stay
// in use, and are removed if they do not register again soon after.
func TestOutage(t *testing.T) {
	e1, e2 := endpoint.New("e1"), endpoint.New("e2")
	gw := newTestGateway(t, e1, e2)
	gw.store.SetMode(func(string) rowstore.Mode { return rowstore.ServiceUnavailable })
	gw.store.Remove("servers", "e1")
	gw.store.Remove("servers", "e2")
	time.Sleep(1500 * time.Millisecond)
	gw.store.SetMode(func(string) rowstore.Mode { return rowstore.Normal })
	gw.listEndpoint("e2", strings.TrimPrefix(gw.servers["e2"].URL, "http://"), "ready")
	for ran := -1; ran != len(e1.Runs()); {
		ran = len(e1.Runs())
		for range 40 {
			assert.Equal(t, gw.call("GET", "/safe/1", "").status, 200)
			time.Sleep(20 * time.Millisecond)
		}
	}
	assert.Assert(t, len(e2.Runs()) > 0)
}

// TestTablesFromPeer checks that a node that cannot reach the store gets the configuration
// and the endpoints from a peer. While its configuration may be outdated it answers 503
// instead of 404.
func TestTablesFromPeer(t *testing.T) {
	gw := newTestGateway(t, endpoint.New("e1"))
	unavailable := rowstore.New()
	unavailable.SetMode(func(string) rowstore.Mode { return rowstore.ServiceUnavailable })
	second := &testGateway{t: t, store: gw.store, servers: gw.servers}
	second.start(unavailable, gw.peerAddress)
	assert.Equal(t, second.call("GET", "/none/1", "").status, 503)
	second.waitReady()
	assert.Equal(t, second.call("GET", "/safe/1", "").status, 200)
	gw.configure(8, testRoutes()[1:])
	for second.call("GET", "/safe/1", "").status != 503 {
		time.Sleep(5 * time.Millisecond)
	}
}

// TestStop checks that a shutdown does not interrupt requests in flight and that the node
// reports itself as not ready.
func TestStop(t *testing.T) {
	e := endpoint.New("e1")
	e.StreamLength, e.EventInterval = 60, 10*time.Millisecond
	gw := newTestGateway(t, e)
	gw.gateway.Stop()
	gw.grace = 3 * time.Second
	gw.start(gw.store)
	gw.waitReady()
	answers := make(chan answer, 5)
	for range 5 {
		gw.nextID++
		caller := &testGateway{t: gw.t, address: gw.address, nextID: 100 * gw.nextID}
		go func() { answers <- caller.call("POST", "/stream/1", "") }()
	}
	for len(e.Runs()) < 5 {
		time.Sleep(time.Millisecond)
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		gw.gateway.Stop()
	}()
	for range 5 {
		a := <-answers
		assert.NilError(t, a.err)
		assert.Equal(t, strings.Count(a.body, "data:"), 60)
	}
	<-stopped
	assert.Assert(t, !gw.gateway.Ready())
}

// TestOddEntries guards against a node that ends, or stops following the list of
// endpoints, because of one odd entry in it.
func TestOddEntries(t *testing.T) {
	for name, entry := range map[string]string{
		"deeply nested":       strings.Repeat(`{"service":[`, 5000),
		"number too large":    `{"service":"plain","address":"ADDRESS","zone":"d1","slots":8,"state":"ready","born":9223372036854775807}`,
		"port out of range":   `{"service":"plain","address":"127.0.0.1:65536","zone":"d1","slots":9223372036854775807,"state":"ready","born":1}`,
		"bytes of no meaning": "\xff\x00\xfe",
	} {
		t.Run(name, func(t *testing.T) {
			e1, e2 := endpoint.New("e1"), endpoint.New("e2")
			gw := newTestGateway(t, e1)
			address := strings.TrimPrefix(gw.servers["e1"].URL, "http://")
			gw.store.Put("servers", "odd", []byte(strings.ReplaceAll(entry, "ADDRESS", address)))
			// Changes of the list arrive within a second.
			for range 60 {
				assert.Equal(t, gw.call("GET", "/safe/1", "").status, 200)
				time.Sleep(20 * time.Millisecond)
			}
			gw.addEndpoint(e2)
			for len(e2.Runs()) == 0 {
				assert.Equal(t, gw.call("GET", "/safe/1", "").status, 200)
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
}
