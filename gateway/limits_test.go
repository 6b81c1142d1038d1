package gateway_test

import (
	"fmt"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/standin/endpoint"
)

// TestRateLimitOfEndpoint guards against an endpoint in need that gets more requests from
// two gateways than the rate that it states, and against callers who are refused although
// another endpoint has room.
func TestRateLimitOfEndpoint(t *testing.T) {
	limited, free := endpoint.New("limited"), endpoint.New("free")
	limited.SetRateLimit("2")
	first := newTestGateway(t, limited, free)
	second := &testGateway{t: t, store: first.store, servers: first.servers, grace: first.grace, node: "n2", nextID: 1000}
	second.start(first.store, first.peerAddress)
	second.waitReady()
	// The gateways find each other by the table of processes.
	time.Sleep(1500 * time.Millisecond)
	// The first answers tell the gateways of the limit.
	for len(limited.Runs()) == 0 {
		assert.Equal(t, first.call("POST", "/stream/1", "").status, 200)
	}
	time.Sleep(500 * time.Millisecond)
	const length = 4 * time.Second
	before := len(limited.Runs())
	var wg sync.WaitGroup
	for _, gw := range []*testGateway{first, second} {
		wg.Go(func() {
			for start := time.Now(); time.Since(start) < length; time.Sleep(20 * time.Millisecond) {
				assert.Check(t, gw.call("POST", "/stream/1", "").status == 200, "a request is refused although an endpoint has room")
			}
		})
	}
	wg.Wait()
	got := len(limited.Runs()) - before
	assert.Assert(t, got <= 8+5, "%d requests in %s at a limit of 2 a second", got, length)
	assert.Assert(t, got >= 4, "only %d requests in %s at a limit of 2 a second", got, length)
}

// TestAllEndpointsLimited checks that requests above the limits of all endpoints wait for a
// slot, or are refused as not run with the time of the next one.
func TestAllEndpointsLimited(t *testing.T) {
	e := endpoint.New("e")
	e.SetRateLimit("1")
	gw := newTestGateway(t, e)
	assert.Equal(t, gw.call("POST", "/stream/1", "").status, 200)
	served, start := 0, time.Now()
	for i := range 8 {
		a := gw.call("POST", fmt.Sprintf("/stream/%d", i), "")
		if a.status == 200 {
			served++
			continue
		}
		assert.Equal(t, a.status, 503, a.body)
		assert.Assert(t, a.header.Get("Retry-After") != "")
	}
	slots := int(time.Since(start).Seconds())
	assert.Assert(t, served >= slots-1, "%d of 8 served in %d slots", served, slots)
	e.SetRateLimit("")
	for range 3 {
		assert.Equal(t, gw.call("POST", "/stream/1", "").status, 200)
	}
}

// TestEndpointCooldown guards against an endpoint in need that gets requests although it
// has refused one for some time: it is left alone, callers are served elsewhere, and after
// the time a single request tries it.
func TestEndpointCooldown(t *testing.T) {
	cooling, free := endpoint.New("cooling"), endpoint.New("free")
	cooling.SetFault(func(string, int) endpoint.Fault { return endpoint.Reject })
	cooling.SetRetryAfter("3")
	gw := newTestGateway(t, cooling, free)
	for cooling.Arrivals() == 0 {
		assert.Equal(t, gw.call("GET", "/safe/1", "").status, 200)
	}
	refusedAt := time.Now()
	for time.Since(refusedAt) < 1500*time.Millisecond {
		assert.Equal(t, gw.call("GET", "/safe/1", "").status, 200)
		time.Sleep(5 * time.Millisecond)
	}
	assert.Equal(t, cooling.Arrivals(), 1)
	for cooling.Arrivals() == 1 {
		assert.Equal(t, gw.call("GET", "/safe/1", "").status, 200)
	}
	for range 50 {
		assert.Equal(t, gw.call("GET", "/safe/1", "").status, 200)
	}
	assert.Equal(t, cooling.Arrivals(), 2, "more than one request tried the endpoint")
	cooling.SetFault(func(string, int) endpoint.Fault { return endpoint.NoFault })
	for len(cooling.Runs()) < 5 {
		assert.Equal(t, gw.call("GET", "/safe/1", "").status, 200)
		time.Sleep(5 * time.Millisecond)
	}
}

// TestAllEndpointsCoolDown: while all endpoints have a cooldown, callers are refused at once, with
// a Retry-After of about the end of the first one.
func TestAllEndpointsCoolDown(t *testing.T) {
	e := endpoint.New("e1")
	e.SetFault(func(string, int) endpoint.Fault { return endpoint.Reject })
	e.SetRetryAfter("30")
	gw := newTestGateway(t, e)
	assert.Equal(t, gw.call("GET", "/safe/1", "").status, 503)
	arrived := e.Arrivals()
	for range 20 {
		began := time.Now()
		a := gw.call("GET", "/safe/1", "")
		assert.Equal(t, a.status, 503)
		assert.Assert(t, time.Since(began) < 500*time.Millisecond, "refused after %s", time.Since(began))
		after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, after > 25 && after < 40, "%g s", after)
	}
	assert.Equal(t, e.Arrivals(), arrived)
}
