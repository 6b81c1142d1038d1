package gateway_test

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/gossip"
	"github.com/cyclamenpoint/cyclamenpoint/platform"
	"github.com/cyclamenpoint/cyclamenpoint/standin/endpoint"
	"github.com/cyclamenpoint/cyclamenpoint/standin/rowstore"
)

// TestStartWhileGroupForms guards against requests that a gateway sends to engines whose
// rank group is still forming, after a power failure that stopped both: the engine rejects
// them, and the caller, who returns only once, is refused. A request waits for the first
// load report of the group instead, which comes once it is ready, and reaches the engine
// once.
func TestStartWhileGroupForms(t *testing.T) {
	first, second, third := endpoint.New("e1"), endpoint.New("e2"), endpoint.New("e3")
	arrivals := func() int { return first.Arrivals() + second.Arrivals() + third.Arrivals() }
	var formed atomic.Bool
	fault := func(string, int) endpoint.Fault {
		if formed.Load() {
			return endpoint.NoFault
		}
		return endpoint.Reject
	}
	gw := &testGateway{t: t, store: rowstore.New(), grace: 400 * time.Millisecond, node: "n1"}
	gw.servers = make(map[string]*httptest.Server)
	gw.configureEngines()
	for _, e := range []*endpoint.Endpoint{first, second, third} {
		e.SetFault(fault)
		gw.addEndpoint(e)
	}
	gw.start(gw.store)
	gw.waitReady()
	got := make(chan answer, 1)
	go func() { got <- gw.call("POST", "/stream/1", "", "X-Deadline-Ms", "8000") }()

	agent := newReporter(t)
	report := func(ready bool, endpoints ...*endpoint.Endpoint) {
		var loads []gossip.Load
		for _, e := range endpoints {
			loads = append(loads, gossip.Load{Endpoint: strings.TrimPrefix(gw.servers[e.ID()].URL, "http://"), Group: "g", GroupReady: ready})
		}
		agent.Send(gw.peerAddress, gossip.Datagram{Loads: loads})
		time.Sleep(100 * time.Millisecond)
	}
	// All requests that wait would go to the endpoint that is reported first.
	report(true, first)
	assert.Equal(t, arrivals(), 0)
	// The third one is still forming too.
	report(false, first, second)
	assert.Equal(t, arrivals(), 0)
	report(false, first, second, third)
	assert.Equal(t, arrivals(), 0)
	formed.Store(true)
	report(true, first, second, third)
	a := <-got
	assert.NilError(t, a.err)
	assert.Equal(t, a.status, 200)
	assert.Equal(t, arrivals(), 1)
}

// TestStartWithoutReports guards against a gateway that serves nobody as long as no agent
// sends load reports.
func TestStartWithoutReports(t *testing.T) {
	e := endpoint.New("e1")
	gw := &testGateway{t: t, store: rowstore.New(), grace: 400 * time.Millisecond, node: "n1"}
	gw.servers = make(map[string]*httptest.Server)
	gw.configureEngines()
	gw.addEndpoint(e)
	gw.start(gw.store)
	gw.waitReady()
	// A request that arrives within the period may wait for less time than it lasts.
	time.Sleep(time.Second)
	assert.Equal(t, gw.call("POST", "/stream/1", "", "X-Deadline-Ms", "8000").status, 200)
}

// configureEngines writes a configuration whose service has engines in rank groups.
func (gw *testGateway) configureEngines() {
	body, err := json.Marshal(map[string]any{
		"version": 1, "routes": testRoutes(),
		"services": []any{map[string]any{"name": "plain", "max_connections": 100, "engine": map[string]any{
			"slots": 8, "stride": 7, "step_ms": 5, "per_seq_ms": 0.4, "sets": 1, "experts": 4, "placements": 4,
		}}},
		"limits":  map[string]any{"max_body_bytes": 1000},
		"tenants": []any{map[string]any{"name": "org", "api_keys": []string{"key"}}},
	})
	assert.NilError(gw.t, err)
	gw.store.Put("op", "config", body)
}

// newReporter returns a peer that sends load reports as an agent does.
func newReporter(t *testing.T) *gossip.Gossiper {
	log, address := slog.New(slog.DiscardHandler), freeAddress(t)
	store := platform.NewStore("127.0.0.1:1", nil)
	registry := gossip.NewRegistry(platform.TableNodes, store, gossip.Node{Name: "a1", Kind: gossip.KindAgent, Address: address}, log, func([]gossip.Node) {})
	agent := gossip.NewGossiper(address, nil, registry, nil, log, func([]gossip.Load) {})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		agent.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	// Send drops datagrams until Run has opened the socket.
	time.Sleep(100 * time.Millisecond)
	return agent
}
