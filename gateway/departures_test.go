package gateway_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/standin/endpoint"
	"github.com/cyclamenpoint/cyclamenpoint/standin/rowstore"
)

// TestEndpointStatesDeparture guards against requests to an endpoint that has said in an
// answer that it is about to stop, while its entry still says that it is ready: they would
// be cut when it stops. The other node stops too, also without the store. Streams in flight
// go on, and a new incarnation gets requests again.
func TestEndpointStatesDeparture(t *testing.T) {
	leaving, staying := endpoint.New("leaving"), endpoint.New("staying")
	leaving.StreamLength, leaving.EventInterval = 100, 10*time.Millisecond
	staying.StreamLength, staying.EventInterval = 100, 10*time.Millisecond
	first := newTestGateway(t, leaving, staying)
	second := &testGateway{t: t, store: first.store, servers: first.servers, grace: first.grace, node: "n2", nextID: 1000}
	second.start(first.store, first.peerAddress)
	second.waitReady()
	// The gateways find each other by the table of processes.
	time.Sleep(1500 * time.Millisecond)
	stream := make(chan answer, 6)
	for i := range 6 {
		caller := &testGateway{t: t, address: first.address, nextID: 2000 + 10*i}
		go func() { stream <- caller.call("POST", "/stream/1", "") }()
	}
	// A stream that begins later could show the departure before the requests below.
	for len(leaving.Runs()) == 0 || len(leaving.Runs())+len(staying.Runs()) < cap(stream) {
		time.Sleep(time.Millisecond)
	}
	first.store.SetMode(func(string) rowstore.Mode { return rowstore.Unresponsive })
	leaving.SetLeaving(true)
	for ran := len(leaving.Runs()); len(leaving.Runs()) <= ran; {
		assert.Equal(t, first.call("GET", "/safe/1", "").status, 200)
	}
	time.Sleep(100 * time.Millisecond)
	ran := len(leaving.Runs())
	for range 40 {
		assert.Equal(t, first.call("GET", "/safe/1", "").status, 200)
		assert.Equal(t, second.call("GET", "/safe/1", "").status, 200)
	}
	assert.Equal(t, len(leaving.Runs()), ran, "requests went to an endpoint that is about to stop")
	for range 6 {
		a := <-stream
		assert.NilError(t, a.err)
		assert.Equal(t, strings.Count(a.body, "data:"), 100)
	}
	first.store.SetMode(func(string) rowstore.Mode { return rowstore.Normal })
	leaving.SetLeaving(false)
	first.store.Put("servers", "leaving", []byte(strings.ReplaceAll(`{"service":"plain","address":"ADDRESS","zone":"d1","slots":8,"state":"ready","born":2}`,
		"ADDRESS", strings.TrimPrefix(first.servers["leaving"].URL, "http://"))))
	for len(leaving.Runs()) == ran {
		assert.Equal(t, first.call("GET", "/safe/1", "").status, 200)
		time.Sleep(5 * time.Millisecond)
	}
}

// TestAllEndpointsLeave: a request is refused at once if all endpoints are about to stop.
func TestAllEndpointsLeave(t *testing.T) {
	e := endpoint.New("e1")
	e.SetLeaving(true)
	gw := newTestGateway(t, e)
	assert.Equal(t, gw.call("POST", "/once/1", "").status, 200)
	began := time.Now()
	a := gw.call("POST", "/once/1", "")
	assert.Equal(t, a.status, 503)
	assert.Assert(t, a.header.Get("Retry-After") != "")
	assert.Assert(t, time.Since(began) < 2*time.Second, "%s", time.Since(began))
	assert.Equal(t, len(e.Runs()), 1)
}
