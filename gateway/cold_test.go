package gateway_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/gateway"
	"github.com/cyclamenpoint/cyclamenpoint/platform"
	"github.com/cyclamenpoint/cyclamenpoint/standin/endpoint"
	"github.com/cyclamenpoint/cyclamenpoint/standin/rowstore"
)

const (
	// coldBound is the number of requests within a second that a cold endpoint sustains: 10 a
	// second times 1.5 and 5.
	coldBound = 20
	// coldSetup is a time after which the gateways have read the tables and may use their
	// slots: a process uses none in the first two seconds.
	coldSetup = 3 * time.Second
	coldTime  = 4 * time.Second
)

// coldGateways returns gateways that share a store and limit the requests to cold
// endpoints. All have the list of all of them from the start.
func coldGateways(t *testing.T, n int, endpoints ...*endpoint.Endpoint) []*testGateway {
	first := &testGateway{
		t: t, store: rowstore.New(), servers: make(map[string]*httptest.Server), grace: 400 * time.Millisecond, node: "n0",
		cold:    gateway.ColdSettings{Overage: 1.5, Slack: 5},
		service: map[string]any{"cold_start_s": coldTime.Seconds(), "cold_per_s": 10, "max_connections": 3000},
	}
	first.configure(1, testRoutes())
	for _, e := range endpoints {
		first.addEndpoint(e)
		first.listCold(e, 1, 0)
	}
	for i := range n {
		name := "n" + strconv.Itoa(i)
		first.store.Put(platform.TableNodes, name, []byte(fmt.Sprintf(`{"name":%q,"kind":"entry","address":"127.0.0.1:1","failure_domain":"d1"}`, name)))
	}
	all := []*testGateway{first}
	first.start(first.store)
	first.waitReady()
	for i := 1; i < n; i++ {
		gw := &testGateway{t: t, store: first.store, servers: first.servers, grace: first.grace, node: "n" + strconv.Itoa(i), nextID: 100_000 * i, cold: first.cold}
		gw.start(first.store, first.peerAddress)
		gw.waitReady()
		all = append(all, gw)
	}
	return all
}

// listCold lists an incarnation of an endpoint with the remaining time of its cold start.
func (gw *testGateway) listCold(e *endpoint.Endpoint, born int, remaining time.Duration) {
	gw.store.Put("servers", e.ID(), []byte(fmt.Sprintf(`{"service":"plain","address":%q,"zone":"d1","slots":1000,"state":"ready","born":%d,"cold_remaining_ms":%d}`,
		strings.TrimPrefix(gw.servers[e.ID()].URL, "http://"), born, remaining.Milliseconds())))
}

// crashOnOverload makes an endpoint that gets more requests than it sustains close its
// connections. The returned value is true once it has.
func crashOnOverload(gw *testGateway, e *endpoint.Endpoint) *atomic.Bool {
	crashed := &atomic.Bool{}
	server := gw.servers[e.ID()]
	e.Crash = func() {
		crashed.Store(true)
		go server.CloseClientConnections()
	}
	return crashed
}

// callAll lets callers at each gateway send one request after the other while the condition
// holds, and counts the answers by status.
func callAll(gateways []*testGateway, callers int, while func() bool) map[int]int {
	var (
		wg     sync.WaitGroup
		mu     sync.Mutex
		status = make(map[int]int)
	)
	for _, gw := range gateways {
		for i := range callers {
			caller := &testGateway{t: gw.t, address: gw.address, nextID: gw.nextID + 1000*(i+1)}
			wg.Go(func() {
				for while() {
					a := caller.call("GET", "/safe/1", "")
					mu.Lock()
					status[a.status]++
					mu.Unlock()
				}
			})
		}
	}
	wg.Wait()
	return status
}

// TestColdEndpointOfSeveralGateways guards against an endpoint that returns cold, is empty,
// and crashes because all gateways send to it at once; and against callers who are refused
// although another endpoint has room.
func TestColdEndpointOfSeveralGateways(t *testing.T) {
	returned, warm := endpoint.New("returned"), endpoint.New("warm")
	gateways := coldGateways(t, 3, returned, warm)
	first := gateways[0]
	crashed := crashOnOverload(first, returned)
	time.Sleep(coldSetup)
	returned.BecomeCold(coldTime, coldBound)
	first.listCold(returned, 2, coldTime)
	// The gateways learn of the new incarnation with the list.
	time.Sleep(1500 * time.Millisecond)
	began := time.Now()
	status := callAll(gateways, 4, func() bool { return time.Since(began) < 2*time.Second })
	assert.Assert(t, !crashed.Load(), "%d requests within a second", returned.ColdPeak())
	assert.Assert(t, returned.ColdPeak() > 0, "the cold endpoint got nothing")
	assert.Equal(t, len(status), 1, "%v", status)
	assert.Assert(t, status[200] > 0, "%v", status)
	t.Logf("%v, at most %d within a second", status, returned.ColdPeak())
	// Once it is warm, there is no limit any more.
	ran := len(returned.Runs())
	callAll(gateways, 4, func() bool { return len(returned.Runs()) < ran+6*coldBound })
}

// TestEvacuatedDomainReturnsCold guards against an endpoint that crashes because its
// failure domain is evacuated no more: it is cold, and neither its row nor an answer has said so.
func TestEvacuatedDomainReturnsCold(t *testing.T) {
	e, warm := endpoint.New("e"), endpoint.New("warm")
	// Without the end of the evacuation, all these requests would be sent before the first
	// answer.
	e.AnswerDelay = 200 * time.Millisecond
	gateways := coldGateways(t, 3, e, warm)
	first := gateways[0]
	crashed := crashOnOverload(first, e)
	first.store.Put("servers", e.ID(), []byte(fmt.Sprintf(`{"service":"plain","address":%q,"zone":"d2","slots":1000,"state":"ready","born":1,"cold_remaining_ms":0}`,
		strings.TrimPrefix(first.servers[e.ID()].URL, "http://"))))
	time.Sleep(coldSetup)
	first.store.Put("op", "evacuate/d2", []byte("{}"))
	time.Sleep(time.Second)
	for range 20 {
		assert.Equal(t, first.call("GET", "/safe/1", "").status, 200)
	}
	assert.Equal(t, e.Arrivals(), 0)
	e.BecomeCold(time.Minute, coldBound)
	first.store.Remove("op", "evacuate/d2")
	began := time.Now()
	status := callAll(gateways, 5*coldBound, func() bool { return time.Since(began) < 2*time.Second })
	assert.Assert(t, !crashed.Load(), "%d requests within a second", e.ColdPeak())
	assert.Assert(t, e.ColdPeak() > 0)
	assert.Equal(t, len(status), 1, "%v", status)
}

// TestEndpointBecomesColdWhileItServes guards against an endpoint that becomes cold without a
// change of its row: the gateway that gets its answer tells the others before they send many
// requests.
func TestEndpointBecomesColdWhileItServes(t *testing.T) {
	e, warm := endpoint.New("e"), endpoint.New("warm")
	// Without the note, all these requests would be sent before the first answer.
	e.AnswerDelay = 200 * time.Millisecond
	gateways := coldGateways(t, 3, e, warm)
	crashed := crashOnOverload(gateways[0], e)
	time.Sleep(coldSetup)
	e.BecomeCold(coldTime, coldBound)
	for ran := len(e.Runs()); len(e.Runs()) == ran; {
		assert.Equal(t, gateways[0].call("GET", "/safe/1", "").status, 200)
	}
	time.Sleep(500 * time.Millisecond)
	began := time.Now()
	status := callAll(gateways[1:], 5*coldBound, func() bool { return time.Since(began) < time.Second })
	assert.Assert(t, !crashed.Load(), "%d requests within a second", e.ColdPeak())
	assert.Equal(t, len(status), 1, "%v", status)
}

// TestGatewayStartsBesideColdEndpoint guards against a gateway that starts and does not know
// that an endpoint is cold, because its row does not say so.
func TestGatewayStartsBesideColdEndpoint(t *testing.T) {
	e, warm := endpoint.New("e"), endpoint.New("warm")
	e.AnswerDelay = 200 * time.Millisecond
	first := coldGateways(t, 1, e, warm)[0]
	crashed := crashOnOverload(first, e)
	time.Sleep(coldSetup)
	e.BecomeCold(coldTime, coldBound)
	for ran := len(e.Runs()); len(e.Runs()) == ran; {
		assert.Equal(t, first.call("GET", "/safe/1", "").status, 200)
	}
	second := &testGateway{t: t, store: first.store, servers: first.servers, grace: first.grace, node: "n1", nextID: 100_000, cold: first.cold}
	second.start(first.store, first.peerAddress)
	second.waitReady()
	began := time.Now()
	callAll([]*testGateway{second}, 8*coldBound, func() bool { return time.Since(began) < 500*time.Millisecond })
	assert.Assert(t, !crashed.Load(), "%d requests within a second", e.ColdPeak())
}

// TestColdEndpointBeforeNodesAreKnown guards against a gateway that takes itself for the only
// one while the store rejects its reads of the table of processes: it sends nothing to a cold
// endpoint, and its callers are served elsewhere.
func TestColdEndpointBeforeNodesAreKnown(t *testing.T) {
	cold, warm := endpoint.New("cold"), endpoint.New("warm")
	cold.BecomeCold(time.Minute, 0)
	gw := &testGateway{
		t: t, store: rowstore.New(), servers: make(map[string]*httptest.Server), grace: 400 * time.Millisecond, node: "n0",
		cold:    gateway.ColdSettings{Overage: 1.5, Slack: 5},
		service: map[string]any{"cold_start_s": 60, "cold_per_s": 10},
	}
	gw.configure(1, testRoutes())
	gw.addEndpoint(cold)
	gw.addEndpoint(warm)
	gw.listCold(cold, 1, time.Minute)
	gw.listCold(warm, 1, 0)
	gw.start(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("table") == platform.TableNodes {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		gw.store.ServeHTTP(w, r)
	}))
	gw.waitReady()
	time.Sleep(coldSetup)
	for range 50 {
		assert.Equal(t, gw.call("GET", "/safe/1", "").status, 200)
	}
	assert.Equal(t, cold.Arrivals(), 0)
}

// TestOnlyColdEndpoints checks that requests above the bound wait or are refused as not run,
// with the time until a slot, if no other endpoint is left.
func TestOnlyColdEndpoints(t *testing.T) {
	e := endpoint.New("e")
	gw := coldGateways(t, 1, e)[0]
	crashed := crashOnOverload(gw, e)
	time.Sleep(coldSetup)
	e.BecomeCold(coldTime, coldBound)
	gw.listCold(e, 2, coldTime)
	time.Sleep(1500 * time.Millisecond)
	var wg sync.WaitGroup
	var served, refused atomic.Int32
	for i := range 4 * coldBound {
		caller := &testGateway{t: t, address: gw.address, nextID: 1000 + i}
		wg.Go(func() {
			a := caller.call("GET", "/safe/1", "", "X-Deadline-Ms", "2000")
			if a.status == 200 {
				served.Add(1)
				return
			}
			refused.Add(1)
			after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
			assert.Check(t, a.status == 503 && err == nil && after > 0, "%d, Retry-After %s", a.status, a.header.Get("Retry-After"))
		})
	}
	wg.Wait()
	assert.Assert(t, !crashed.Load())
	assert.Assert(t, served.Load() > 0 && refused.Load() > 0, "%d served, %d refused", served.Load(), refused.Load())
	assert.Equal(t, len(e.Runs()), int(served.Load()), "a refused request has run")
}

// TestWithoutColdLimit checks that nothing is limited in a deployment without the settings or
// for a service without a limit, whatever rows and answers state.
func TestWithoutColdLimit(t *testing.T) {
	for name, c := range map[string]struct {
		settings gateway.ColdSettings
		service  map[string]any
	}{
		"no settings":           {gateway.ColdSettings{}, map[string]any{"cold_start_s": 60, "cold_per_s": 10}},
		"only slack":            {gateway.ColdSettings{Slack: 5}, map[string]any{"cold_start_s": 60, "cold_per_s": 10}},
		"no limit of a service": {gateway.ColdSettings{Overage: 1.5, Slack: 5}, map[string]any{"cold_start_s": 60}},
	} {
		t.Run(name, func(t *testing.T) {
			e := endpoint.New("e")
			e.BecomeCold(time.Minute, 1<<20)
			gw := &testGateway{
				t: t, store: rowstore.New(), servers: make(map[string]*httptest.Server), grace: 400 * time.Millisecond, node: "n0",
				cold: c.settings, service: c.service,
			}
			gw.configure(1, testRoutes())
			gw.addEndpoint(e)
			gw.listCold(e, 1, time.Minute)
			gw.start(gw.store)
			gw.waitReady()
			// The process has just started, so a limit would refuse the first requests.
			for range 3 * coldBound {
				assert.Equal(t, gw.call("GET", "/safe/1", "").status, 200)
			}
		})
	}
}
