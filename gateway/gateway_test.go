package gateway_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/gateway"
	"github.com/cyclamenpoint/cyclamenpoint/platform"
	"github.com/cyclamenpoint/cyclamenpoint/retry"
	"github.com/cyclamenpoint/cyclamenpoint/standin/endpoint"
	"github.com/cyclamenpoint/cyclamenpoint/standin/rowstore"
)

// site is a gateway before stand-ins.
type site struct {
	t       *testing.T
	store   *rowstore.Store
	address string
	peers   string
	gateway *gateway.Gateway
	nextID  int
	grace   time.Duration
	servers map[string]*httptest.Server
}

// route is a route of a test's configuration.
type route map[string]any

func testRoutes() []route {
	return []route{
		{"name": "safe", "hostname": "h", "prefix": "/safe/", "kind": "safe", "service": "plain", "timeout_ms": 5000, "max_attempts": 2},
		{"name": "once", "hostname": "h", "prefix": "/once/", "kind": "unsafe", "service": "plain", "timeout_ms": 5000, "max_attempts": 2},
		{"name": "stream", "hostname": "h", "prefix": "/stream/", "kind": "streaming", "service": "plain", "timeout_ms": 5000, "max_attempts": 3, "resumable": true},
		{"name": "single", "hostname": "h", "prefix": "/single/", "kind": "streaming", "service": "plain", "timeout_ms": 5000, "max_attempts": 3},
		{"name": "short", "hostname": "h", "prefix": "/short/", "kind": "safe", "service": "plain", "timeout_ms": 100, "max_attempts": 1},
	}
}

// newSite starts a gateway whose store holds a configuration and the endpoints.
func newSite(t *testing.T, endpoints ...*endpoint.Endpoint) *site {
	s := &site{t: t, store: rowstore.New(), servers: make(map[string]*httptest.Server), grace: 400 * time.Millisecond}
	s.configure(1, testRoutes())
	for _, e := range endpoints {
		s.add(e)
	}
	s.start(s.store)
	s.waitReady()
	return s
}

func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// start starts the gateway before a store, which may be another one than the
// site's own.
func (s *site) start(store *rowstore.Store, seeds ...string) {
	server := httptest.NewServer(store)
	s.t.Cleanup(server.CloseClientConnections)
	s.address, s.peers = freeAddress(s.t), freeAddress(s.t)
	g, err := gateway.Start(gateway.Settings{
		Node: "n1", FailureDomain: "d1", CallerAddress: s.address, ReadinessAddress: freeAddress(s.t), PeerAddress: s.peers, Seeds: seeds,
		Tables:       gateway.Tables{Config: platform.TableConfig, Endpoints: platform.TableEndpoints, Nodes: platform.TableNodes},
		RelistPeriod: 2 * time.Second, GracePeriod: s.grace,
		Budget: retry.WindowConfig{Ratio: 0.2, Reserve: 1000, Period: 10 * time.Second},
	}, platform.Protocol{}, platform.NewStore(strings.TrimPrefix(server.URL, "http://"), http.DefaultTransport), slog.New(slog.DiscardHandler))
	assert.NilError(s.t, err)
	s.gateway = g
	s.t.Cleanup(g.Stop)
}

func (s *site) configure(version int, routes []route) {
	body, err := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{"name": "plain", "max_connections": 100}},
		"limits":   map[string]any{"max_body_bytes": 1000},
		"tenants":  []any{map[string]any{"name": "org", "api_keys": []string{"key"}}},
	})
	assert.NilError(s.t, err)
	s.store.Put("op", "config", body)
}

// add starts an endpoint and lists it.
func (s *site) add(e *endpoint.Endpoint) {
	server := httptest.NewServer(e)
	s.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	s.servers[e.ID()] = server
	s.list(e.ID(), strings.TrimPrefix(server.URL, "http://"), "ready")
}

func (s *site) list(id, address, state string) {
	s.store.Put("servers", id, []byte(fmt.Sprintf(`{"service":"plain","address":%q,"zone":"d1","slots":8,"state":%q,"born":1}`, address, state)))
}

func (s *site) waitReady() {
	for !s.gateway.Ready() {
		time.Sleep(time.Millisecond)
	}
}

// answer is an answer as its caller read it.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// call sends a request; header holds pairs of names and values.
func (s *site) call(method, path, body string, header ...string) answer {
	s.nextID++
	req, err := http.NewRequest(method, "http://"+s.address+path, strings.NewReader(body))
	assert.NilError(s.t, err)
	req.Host = "h"
	req.Header.Set("X-Request-Id", "r"+strconv.Itoa(s.nextID))
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
	s := newSite(t, e)
	a := s.call("POST", "/once/1?x=%2F", "hello", "X-Tenant", "forged")
	assert.NilError(t, a.err)
	assert.Equal(t, a.status, 200)
	assert.Equal(t, a.header.Get("X-Response-Seal"), "seal-of-e1")
	assert.Equal(t, a.body, "answer of e1 to r1")
	run := e.Runs()[0]
	assert.Equal(t, run.Path, "/once/1?x=%2F")
	assert.Equal(t, run.Body, "hello")
	assert.Equal(t, run.Tenant, "org")
	assert.Equal(t, run.Key, "")
	assert.Assert(t, run.Left > 0 && run.Left <= 4000)
}

func TestDenied(t *testing.T) {
	e := endpoint.New("e1")
	s := newSite(t, e)
	assert.Equal(t, s.call("GET", "/none/1", "").status, 404)
	assert.Equal(t, s.call("GET", "/safe/1", "", "X-Credential", "other").status, 401)
	assert.Equal(t, s.call("POST", "/once/1", strings.Repeat("x", 1001)).status, 413)
	assert.Equal(t, s.call("GET", "/safe/1", "", "X-Deadline-Ms", "soon").status, 400)
	assert.Equal(t, len(e.Runs()), 0)
}

// TestFaults plays each fault of the first endpoint, or of both, and checks what
// the caller gets and what has run.
func TestFaults(t *testing.T) {
	for _, c := range []struct {
		name   string
		path   string
		first  endpoint.Fault
		always bool
		status int
		runs   int
	}{
		{"safe, full once", "/safe/1", endpoint.Full, false, 200, 1},
		{"safe, full always", "/safe/1", endpoint.Full, true, 503, 0},
		{"safe, broken once", "/safe/1", endpoint.ResetBefore, false, 200, 2},
		{"safe, half an answer once", "/safe/1", endpoint.ResetMidway, false, 200, 2},
		{"safe, failed once", "/safe/1", endpoint.Fails, false, 200, 2},
		{"safe, failed always", "/safe/1", endpoint.Fails, true, 500, 2},
		{"safe, unsealed once", "/safe/1", endpoint.Unsealed, false, 200, 2},
		{"safe, an answer to another request first", "/safe/1", endpoint.Twice, true, 200, 1},
		{"safe, 503 without proof always", "/safe/1", endpoint.FullUnproved, true, 502, 0},
		{"once, full once", "/once/1", endpoint.Full, false, 200, 1},
		{"once, full always", "/once/1", endpoint.Full, true, 503, 0},
		{"once, broken", "/once/1", endpoint.ResetBefore, false, 502, 1},
		{"once, half an answer", "/once/1", endpoint.ResetMidway, false, 502, 1},
		{"once, failed", "/once/1", endpoint.Fails, false, 500, 1},
		{"once, unsealed", "/once/1", endpoint.Unsealed, false, 502, 1},
		{"once, 503 without proof", "/once/1", endpoint.FullUnproved, false, 502, 0},
		{"stream, full once", "/stream/1", endpoint.Full, false, 200, 1},
		{"stream, broken once before its first event", "/stream/1", endpoint.ResetBefore, false, 200, 2},
		{"stream that may not be resumed, broken", "/single/1", endpoint.ResetBefore, false, 502, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			e1, e2 := endpoint.New("e1"), endpoint.New("e2")
			s := newSite(t, e1, e2)
			var arrived atomic.Int32
			fault := func(string, int) endpoint.Fault {
				if first := arrived.Add(1) == 1; c.always || first {
					return c.first
				}
				return endpoint.None
			}
			e1.SetFault(fault)
			e2.SetFault(fault)
			a := s.call("POST", c.path, "")
			assert.NilError(t, a.err)
			assert.Equal(t, a.status, c.status, a.body)
			assert.Equal(t, len(e1.Runs())+len(e2.Runs()), c.runs)
			if c.status == 503 {
				after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
				assert.NilError(t, err)
				assert.Assert(t, after > 0)
			}
			if c.status == 500 {
				assert.Assert(t, strings.HasPrefix(a.header.Get("X-Response-Seal"), "seal-of-"), "the endpoint's own failure")
			}
		})
	}
}

// TestStreamResumed: a stream that breaks in the middle of an event goes on at
// another endpoint, within one answer under the first one's head.
func TestStreamResumed(t *testing.T) {
	e1, e2 := endpoint.New("e1"), endpoint.New("e2")
	s := newSite(t, e1, e2)
	var arrived atomic.Int32
	fault := func(string, int) endpoint.Fault {
		if arrived.Add(1) == 1 {
			return endpoint.ResetMidway
		}
		return endpoint.None
	}
	e1.SetFault(fault)
	e2.SetFault(fault)
	a := s.call("POST", "/stream/1", "")
	assert.NilError(t, a.err)
	first, second := e1, e2
	if len(e1.Runs()) == 0 || e1.Runs()[0].After != "" {
		first, second = e2, e1
	}
	assert.Equal(t, a.header.Get("X-Response-Seal"), "seal-of-"+first.ID())
	assert.Equal(t, second.Runs()[0].After, "2")
	want := ""
	for id := 1; id <= 5; id++ {
		want += fmt.Sprintf("id: %d\ndata: token %d\n\n", id, id)
	}
	assert.Equal(t, a.body, want)
}

// TestStreamNotResumable: a stream that must not run again ends as broken.
func TestStreamNotResumable(t *testing.T) {
	e := endpoint.New("e1")
	s := newSite(t, e)
	e.SetFault(func(string, int) endpoint.Fault { return endpoint.ResetMidway })
	a := s.call("POST", "/single/1", "")
	assert.Assert(t, a.err != nil, "the answer must not look complete: %q", a.body)
	assert.Equal(t, len(e.Runs()), 1)
}

// TestTimeout: a request is answered at its route's time-out, not held.
func TestTimeout(t *testing.T) {
	e := endpoint.New("e1")
	s := newSite(t, e)
	e.SetFault(func(string, int) endpoint.Fault { return endpoint.Hangs })
	assert.Equal(t, s.call("GET", "/short/1", "").status, 504)
	for !e.Runs()[0].Cut {
		time.Sleep(time.Millisecond)
	}
}

// TestCallerLeaves: the work of a caller that has left ends at the endpoint,
// before its answer and in a stream.
func TestCallerLeaves(t *testing.T) {
	for _, c := range []struct {
		path  string
		fault endpoint.Fault
	}{{"/once/1", endpoint.Hangs}, {"/stream/1", endpoint.None}} {
		t.Run(c.path, func(t *testing.T) {
			e := endpoint.New("e1")
			e.Events, e.Gap = 1<<30, 5*time.Millisecond
			s := newSite(t, e)
			e.SetFault(func(string, int) endpoint.Fault { return c.fault })
			ctx, leave := context.WithCancel(context.Background())
			req, err := http.NewRequestWithContext(ctx, "POST", "http://"+s.address+c.path, nil)
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
					// The stream ends with its caller.
					_, _ = bufio.NewReader(resp.Body).ReadString(0)
					resp.Body.Close()
				}
			}()
			for len(e.Runs()) == 0 {
				time.Sleep(time.Millisecond)
			}
			leave()
			<-done
			for !e.Runs()[0].Cut {
				time.Sleep(time.Millisecond)
			}
		})
	}
}

// TestConfiguration: a newer configuration is in force, an older one and one
// that cannot be read change nothing.
func TestConfiguration(t *testing.T) {
	s := newSite(t, endpoint.New("e1"))
	added := append(testRoutes(), route{"name": "new", "hostname": "h", "prefix": "/new/", "kind": "safe", "service": "plain", "max_attempts": 1})
	s.configure(5, added)
	for s.call("GET", "/new/1", "").status != 200 {
		time.Sleep(5 * time.Millisecond)
	}
	s.configure(3, testRoutes())
	s.store.Put("op", "config", []byte(`{"version":9,"routes":[{"name":"x","kind":"odd"}]}`))
	s.configure(6, added[1:])
	for s.call("GET", "/safe/1", "").status != 404 {
		assert.Equal(t, s.call("GET", "/new/1", "").status, 200)
		time.Sleep(5 * time.Millisecond)
	}
}

// TestLeavingEndpoint: an endpoint that leaves, or was replaced at its address,
// gets no work; one that says nonsense of itself is no endpoint.
func TestLeavingEndpoint(t *testing.T) {
	e1, e2 := endpoint.New("e1"), endpoint.New("e2")
	s := newSite(t, e1, e2)
	s.store.Put("servers", "nonsense", []byte("\xff{"))
	s.store.Put("servers", "typed", []byte(`{"service":"plain","address":7}`))
	s.list("e1", strings.TrimPrefix(s.servers["e1"].URL, "http://"), "draining")
	for ran := 0; ; {
		assert.Equal(t, s.call("GET", "/safe/1", "").status, 200)
		if now := len(e1.Runs()); now == ran && len(e2.Runs()) > 30 {
			break
		} else if now != ran {
			ran = now
		}
		time.Sleep(20 * time.Millisecond)
	}
	ran := len(e1.Runs())
	// e3 took e2's address: e2's entry still stands.
	e2.Replace("e3")
	s.list("e3", strings.TrimPrefix(s.servers["e2"].URL, "http://"), "ready")
	for s.call("GET", "/safe/1", "").status != 200 {
		time.Sleep(5 * time.Millisecond)
	}
	assert.Equal(t, len(e1.Runs()), ran)
}

// TestRemovedAfterStart: an endpoint whose entry goes soon after the node's
// start gets no more work; the start is no outage of the store.
func TestRemovedAfterStart(t *testing.T) {
	e1, e2 := endpoint.New("e1"), endpoint.New("e2")
	s := newSite(t, e1, e2)
	s.store.Remove("servers", "e1")
	for ran := -1; ran != len(e1.Runs()); {
		ran = len(e1.Runs())
		for range 40 {
			assert.Equal(t, s.call("GET", "/safe/1", "").status, 200)
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// TestOutage: endpoints whose entries lapse in an outage of the store are used
// on, and dropped if they do not come back to the list soon.
func TestOutage(t *testing.T) {
	e1, e2 := endpoint.New("e1"), endpoint.New("e2")
	s := newSite(t, e1, e2)
	s.store.SetMode(func(string) rowstore.Mode { return rowstore.Busy })
	s.store.Remove("servers", "e1")
	s.store.Remove("servers", "e2")
	time.Sleep(1500 * time.Millisecond)
	s.store.SetMode(func(string) rowstore.Mode { return rowstore.Serves })
	s.list("e2", strings.TrimPrefix(s.servers["e2"].URL, "http://"), "ready")
	for ran := -1; ran != len(e1.Runs()); {
		ran = len(e1.Runs())
		for range 40 {
			assert.Equal(t, s.call("GET", "/safe/1", "").status, 200)
			time.Sleep(20 * time.Millisecond)
		}
	}
	assert.Assert(t, len(e2.Runs()) > 0)
}

// TestPeerBringsNews: a node that the store does not serve learns configuration
// and endpoints from a peer, and says 503 rather than 404 while it knows too
// little.
func TestPeerBringsNews(t *testing.T) {
	s := newSite(t, endpoint.New("e1"))
	away := rowstore.New()
	away.SetMode(func(string) rowstore.Mode { return rowstore.Busy })
	second := &site{t: t, store: s.store, servers: s.servers}
	second.start(away, s.peers)
	assert.Equal(t, second.call("GET", "/none/1", "").status, 503)
	second.waitReady()
	assert.Equal(t, second.call("GET", "/safe/1", "").status, 200)
	s.configure(8, testRoutes()[1:])
	for second.call("GET", "/safe/1", "").status != 503 {
		time.Sleep(5 * time.Millisecond)
	}
}

// TestStop: a stop cuts off no answer, and the platform learns of it first.
func TestStop(t *testing.T) {
	e := endpoint.New("e1")
	e.Events, e.Gap = 60, 10*time.Millisecond
	s := newSite(t, e)
	s.gateway.Stop()
	s.grace = 3 * time.Second
	s.start(s.store)
	s.waitReady()
	answers := make(chan answer, 5)
	for range 5 {
		s.nextID++
		one := &site{t: s.t, address: s.address, nextID: 100 * s.nextID}
		go func() { answers <- one.call("POST", "/stream/1", "") }()
	}
	for len(e.Runs()) < 5 {
		time.Sleep(time.Millisecond)
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		s.gateway.Stop()
	}()
	for range 5 {
		a := <-answers
		assert.NilError(t, a.err)
		assert.Equal(t, strings.Count(a.body, "data:"), 60)
	}
	<-stopped
	assert.Assert(t, !s.gateway.Ready())
}
