package gateway_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/platform"
	"github.com/cyclamenpoint/cyclamenpoint/standin/endpoint"
	"github.com/cyclamenpoint/cyclamenpoint/standin/rowstore"
)

// deadlyEndpoints returns endpoints that crash for good as they begin an answer to a
// request with a part of the prompt. crashes returns how many did.
func deadlyEndpoints(t *testing.T, n int, part string) (endpoints []*endpoint.Endpoint, install func(*testGateway), crashes func() int) {
	crashed := make(chan string, n)
	for i := range n {
		e := endpoint.New(fmt.Sprintf("e%d", i+1))
		e.DeadlyPart = part
		endpoints = append(endpoints, e)
	}
	install = func(gw *testGateway) {
		for _, e := range endpoints {
			server := gw.servers[e.ID()]
			e.Crash = func() {
				assert.Check(t, server.Listener.Close())
				go server.CloseClientConnections()
				crashed <- e.ID()
			}
		}
	}
	return endpoints, install, func() int { return len(crashed) }
}

const promptHeader = "X-Prompt-Prefix"

// TestRequestsWithDeadlyPartCrashOneEndpoint guards against requests with one prompt part
// that crash endpoint after endpoint, at two gateways and under different contents.
func TestRequestsWithDeadlyPartCrashOneEndpoint(t *testing.T) {
	endpoints, install, crashes := deadlyEndpoints(t, 8, "bad")
	first := newTestGateway(t, endpoints...)
	install(first)
	second := &testGateway{t: t, store: first.store, servers: first.servers, grace: first.grace, node: "n2", nextID: 1000}
	second.start(first.store, first.peerAddress)
	second.waitReady()
	// The gateways find each other by the table of processes.
	time.Sleep(1500 * time.Millisecond)

	sound := func(gw *testGateway, i int) {
		a := gw.call("POST", fmt.Sprintf("/stream/%d", i), "sound", promptHeader, fmt.Sprintf("shared:40,own%d:7", i))
		assert.NilError(t, a.err)
		assert.Equal(t, a.status, 200, a.body)
	}
	for i := range 25 {
		sound(first, i)
	}
	for i := range 6 {
		gw := first
		if i%2 == 1 {
			gw = second
		}
		a := gw.call("POST", fmt.Sprintf("/stream/%d", i), fmt.Sprint("deadly ", i), promptHeader, fmt.Sprintf("shared:40,bad:9,own%d:7", i))
		assert.Assert(t, a.status != 200)
		if i > 0 {
			assert.Equal(t, a.status, 503, "a request that is known to crash endpoints is not refused as not run: %s", a.body)
			assert.Assert(t, a.header.Get("Retry-After") != "")
		}
		// The second gateway learns of the crash by a datagram.
		time.Sleep(100 * time.Millisecond)
	}
	assert.Equal(t, crashes(), 1)
	for i := range 6 {
		sound(first, 100+i)
		sound(second, 100+i)
	}
}

// TestRequestThatCrashesEndpoints guards against a whole request that crashes endpoints
// and is repeated by its caller.
func TestRequestThatCrashesEndpoints(t *testing.T) {
	endpoints, install, crashes := deadlyEndpoints(t, 8, "bad")
	gw := newTestGateway(t, endpoints...)
	install(gw)
	for range 5 {
		// The part is the request's own, so that only the content identifies it.
		a := gw.call("POST", "/stream/1", "deadly", promptHeader, "shared:40,bad:9")
		assert.Assert(t, a.status != 200)
	}
	assert.Assert(t, crashes() <= 3, "%d crashes", crashes())
	a := gw.call("POST", "/stream/1", "sound", promptHeader, "shared:40,own:9")
	assert.Equal(t, a.status, 200, a.body)
}

// TestRequestThatCrashesEndpointsAfterFirstEvent guards against a request that crashes
// endpoint after endpoint because the first event of its answer clears it, at two gateways
// and under new ids.
func TestRequestThatCrashesEndpointsAfterFirstEvent(t *testing.T) {
	endpoints, install, crashes := deadlyEndpoints(t, 8, "bad")
	for _, e := range endpoints {
		e.DeadlyAfterEvent = true
	}
	first := newTestGateway(t, endpoints...)
	install(first)
	second := &testGateway{t: t, store: first.store, servers: first.servers, grace: first.grace, node: "n2", nextID: 1000}
	second.start(first.store, first.peerAddress)
	second.waitReady()
	// The gateways find each other by the table of processes.
	time.Sleep(1500 * time.Millisecond)
	for i := range 6 {
		gw := []*testGateway{first, second}[i%2]
		a := gw.call("POST", "/stream/1", "deadly", promptHeader, "shared:40,bad:9")
		assert.Assert(t, a.err != nil || a.status != 200)
		// The other gateway learns of the crash by a datagram.
		time.Sleep(100 * time.Millisecond)
	}
	assert.Assert(t, crashes() <= 3, "%d crashes", crashes())
	a := second.call("POST", "/stream/1", "sound", promptHeader, "shared:40,own:9")
	assert.Equal(t, a.status, 200, a.body)
}

// TestCrashesOutlastAllGateways guards against requests with a deadly part that crash
// endpoints again after all gateways have stopped at once.
func TestCrashesOutlastAllGateways(t *testing.T) {
	endpoints, install, crashes := deadlyEndpoints(t, 8, "bad")
	gw := newTestGateway(t, endpoints...)
	install(gw)
	send := func(gw *testGateway, i int) {
		a := gw.call("POST", "/stream/1", fmt.Sprint("deadly ", i), promptHeader, fmt.Sprintf("shared:40,bad:9,own%d:7", i))
		assert.Assert(t, a.err != nil || a.status != 200)
	}
	for i := range 25 {
		a := gw.call("POST", "/stream/1", "sound", promptHeader, fmt.Sprintf("shared:40,own%d:7", i))
		assert.Equal(t, a.status, 200, a.body)
	}
	send(gw, 0)
	assert.Equal(t, crashes(), 1)
	for !strings.Contains(gw.storedCrashes(), "n1") {
		time.Sleep(time.Millisecond)
	}
	gw.gateway.Stop()
	for i := range 3 {
		later := &testGateway{t: t, store: gw.store, servers: gw.servers, grace: gw.grace, node: fmt.Sprint("later", i), nextID: 1000 * (i + 1)}
		later.start(gw.store)
		later.waitReady()
		send(later, i+1)
		later.gateway.Stop()
	}
	assert.Equal(t, crashes(), 1)
}

// storedCrashes returns the table of crashes in the store.
func (gw *testGateway) storedCrashes() string {
	w := httptest.NewRecorder()
	gw.store.ServeHTTP(w, httptest.NewRequest("GET", "/v1/rows-get?table="+platform.TableCrashes+"&part=&limit=500", nil))
	return w.Body.String()
}

// TestBrokenConnectionIsNoCrash guards against requests that are held because endpoints
// reset connections though they are alive.
func TestBrokenConnectionIsNoCrash(t *testing.T) {
	e1, e2 := endpoint.New("e1"), endpoint.New("e2")
	gw := newTestGateway(t, e1, e2)
	for _, e := range []*endpoint.Endpoint{e1, e2} {
		e.SetFault(func(id string, _ int) endpoint.Fault {
			if strings.HasPrefix(id, "broken") {
				return endpoint.ResetBeforeAnswer
			}
			return endpoint.NoFault
		})
	}
	for i := range 3 {
		gw.call("POST", "/stream/1", "x", promptHeader, "shared:40,new:9,own:7", "X-Request-Id", fmt.Sprint("broken", i))
	}
	a := gw.call("POST", "/stream/1", "x", promptHeader, "shared:40,new:9,own:7")
	assert.Equal(t, a.status, 200, a.body)
}

// TestServesWithoutTableOfCrashes guards against a gateway that is not ready, or does not
// recognise crashes, while the store does not answer for the table of crashes.
func TestServesWithoutTableOfCrashes(t *testing.T) {
	endpoints, install, crashes := deadlyEndpoints(t, 8, "bad")
	gw := &testGateway{t: t, store: rowstore.New(), servers: make(map[string]*httptest.Server), grace: 400 * time.Millisecond, node: "n1"}
	gw.configure(1, testRoutes())
	for _, e := range endpoints {
		gw.addEndpoint(e)
	}
	gw.start(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("table") == platform.TableCrashes {
			<-r.Context().Done()
			return
		}
		gw.store.ServeHTTP(w, r)
	}))
	install(gw)
	gw.waitReady()
	for i := range 5 {
		gw.call("POST", "/stream/1", fmt.Sprint("deadly ", i), promptHeader, fmt.Sprintf("shared:40,bad:9,own%d:7", i))
	}
	assert.Assert(t, crashes() <= 3, "%d crashes", crashes())
}
