package gateway_test

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/standin/endpoint"
)

// TestNoMoreThanTwoRequestsInCooldown guards against requests to an endpoint that has asked for a
// cooldown, while its entry lapses and comes back, or comes back as that of another start.
func TestNoMoreThanTwoRequestsInCooldown(t *testing.T) {
	const (
		cooldown = 4 * time.Second
		// inFlight is the time in which requests may arrive that were sent before the refusal.
		inFlight = 500 * time.Millisecond
	)
	for name, born := range map[string]string{"same start": "1", "another start": "2"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			refusing := endpoint.New("e1")
			gw := newTestGateway(t, refusing, endpoint.New("e2"))
			refusing.SetRetryAfter("4")
			refusing.SetFault(func(string, int) endpoint.Fault { return endpoint.Reject })
			for refusing.Arrivals() == 0 {
				gw.call("GET", "/safe/1", "")
			}
			refused := time.Now()
			time.Sleep(inFlight)
			before := refusing.Arrivals()
			gw.store.Remove("servers", "e1")
			time.Sleep(propagationTime)
			address := strings.TrimPrefix(gw.servers["e1"].URL, "http://")
			gw.store.Put("servers", "e1", []byte(`{"service":"plain","address":"`+address+`","zone":"d1","slots":8,"state":"ready","born":`+born+`}`))
			var callers sync.WaitGroup
			for i := range 8 {
				caller := &testGateway{t: t, address: gw.address, nextID: 1000 * (i + 1)}
				callers.Go(func() {
					for time.Since(refused) < cooldown {
						caller.call("GET", "/safe/1", "")
					}
				})
			}
			callers.Wait()
			assert.Assert(t, refusing.Arrivals()-before <= 2, "%d requests arrived during the cooldown", refusing.Arrivals()-before)
		})
	}
}

// TestRefusalWhileOthersAreFree guards against callers who are told to wait for the endpoint that
// has refused them, while others take requests, and against retries that wait without need.
func TestRefusalWhileOthersAreFree(t *testing.T) {
	refuse := func(id string) *endpoint.Endpoint {
		e := endpoint.New(id)
		e.SetRetryAfter("30")
		e.SetFault(func(string, int) endpoint.Fault { return endpoint.Reject })
		return e
	}
	gw := newTestGateway(t, refuse("e1"), refuse("e2"), endpoint.New("e3"))
	for range 40 {
		began := time.Now()
		a := gw.call("GET", "/safe/1", "")
		assert.Assert(t, time.Since(began) < 200*time.Millisecond, "answered after %s", time.Since(began))
		if a.status == http.StatusOK {
			continue
		}
		after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, a.status == http.StatusServiceUnavailable && after < 1, "status %d, Retry-After %g s", a.status, after)
	}
}
