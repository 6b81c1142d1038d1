package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/platform"
	"github.com/cyclamenpoint/cyclamenpoint/standin/endpoint"
	"github.com/cyclamenpoint/cyclamenpoint/standin/rowstore"
)

// propagationTime is the time within which a confirmed configuration has to be in force, and
// settleTime that after a disturbance of the store.
const (
	propagationTime = 2 * time.Second
	settleTime      = 3 * time.Second
)

// routesWith returns the test routes and one more, for paths below prefix.
func routesWith(prefix string) []routeConfig {
	return append(testRoutes(), routeConfig{"name": prefix, "hostname": "h", "prefix": prefix, "kind": "safe", "service": "plain", "timeout_ms": 5000, "max_attempts": 2})
}

// waitServed waits until requests below a path are served.
func (gw *testGateway) waitServed(path string, timeout time.Duration) {
	gw.t.Helper()
	end := time.Now().Add(timeout)
	for gw.call("GET", path, "").status != http.StatusOK {
		assert.Assert(gw.t, time.Now().Before(end), "%s is not served after %s", path, timeout)
		time.Sleep(10 * time.Millisecond)
	}
}

// TestConfigurationConfirmedAfterRestoreIsInForce guards against configurations that are
// missed because the restored store gives versions out again.
func TestConfigurationConfirmedAfterRestoreIsInForce(t *testing.T) {
	for name, overtaken := range map[string]bool{"versions below those known": false, "versions above those known": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gw := newTestGateway(t, endpoint.New("e1"))
			snapshot := gw.store.Snapshot()
			gw.configure(2, routesWith("/second/"))
			gw.waitServed("/second/", propagationTime)
			gw.store.SetMode(func(string) rowstore.Mode { return rowstore.ServiceUnavailable })
			gw.store.Restore(snapshot)
			if overtaken {
				gw.configure(3, routesWith("/third/"))
				for i := range 20 {
					gw.store.Put("other", fmt.Sprint(i), nil)
				}
			}
			gw.store.SetMode(func(string) rowstore.Mode { return rowstore.Normal })
			if !overtaken {
				time.Sleep(settleTime)
				gw.configure(3, routesWith("/third/"))
			}
			gw.waitServed("/third/", propagationTime)
		})
	}
}

// TestEvacuationOutlastsRestore guards against requests to an evacuated failure domain after the
// store has lost the evacuation in a restore, until the operator has written it again.
func TestEvacuationOutlastsRestore(t *testing.T) {
	t.Parallel()
	g := startTwoDomains(t)
	snapshot := g.store.Snapshot()
	g.store.Put("op", evacuateD1, []byte("{}"))
	g.log.await(1, lineInForce, "domain=d1")
	arrived := g.e1.Arrivals()
	g.store.Restore(snapshot)
	restored := time.Now()
	for time.Since(restored) < settleTime {
		assert.Equal(t, g.call("GET", "/safe/1", "").status, http.StatusOK)
		time.Sleep(20 * time.Millisecond)
	}
	g.store.Put("op", evacuateD1, []byte("{}"))
	for time.Since(restored) < 3*settleTime {
		assert.Equal(t, g.call("GET", "/safe/1", "").status, http.StatusOK)
		time.Sleep(20 * time.Millisecond)
	}
	assert.Equal(t, g.e1.Arrivals(), arrived, "requests reached the evacuated domain")
	g.store.Remove("op", evacuateD1)
	g.log.await(1, lineEnded, "domain=d1")
}

// TestCrashesLostInRestoreAreWrittenAgain guards against requests with a deadly part that crash
// endpoints again after a restore of the store and a stop of all gateways.
func TestCrashesLostInRestoreAreWrittenAgain(t *testing.T) {
	t.Parallel()
	endpoints, install, _ := deadlyEndpoints(t, 4, "bad")
	gw := newTestGateway(t, endpoints...)
	install(gw)
	snapshot := gw.store.Snapshot()
	gw.call("POST", "/stream/1", "deadly", promptHeader, "shared:40,bad:9,own:7")
	awaitStored := func() {
		for end := time.Now().Add(2 * settleTime); !strings.Contains(gw.storedCrashes(), `"n1"`); time.Sleep(time.Millisecond) {
			assert.Assert(t, time.Now().Before(end), "the crash is not in the store")
		}
	}
	awaitStored()
	time.Sleep(settleTime)
	gw.store.Restore(snapshot)
	awaitStored()
	_, version := gw.store.Rows(platform.TableCrashes)
	time.Sleep(settleTime)
	_, later := gw.store.Rows(platform.TableCrashes)
	assert.Equal(t, later, version, "the row is written once")
}

// TestLeavingEndpointOutlastsRestore guards against requests to endpoints that were draining or no
// longer listed before a restore, after which the store lists them as ready.
func TestLeavingEndpointOutlastsRestore(t *testing.T) {
	for _, state := range []string{"draining", "removed", "draining, then removed"} {
		t.Run(state, func(t *testing.T) {
			t.Parallel()
			leaving, other := endpoint.New("e1"), endpoint.New("e2")
			gw := newTestGateway(t, leaving, other)
			snapshot := gw.store.Snapshot()
			address := strings.TrimPrefix(gw.servers["e1"].URL, "http://")
			if strings.HasPrefix(state, "draining") {
				gw.listEndpoint("e1", address, "draining")
				time.Sleep(propagationTime)
			}
			if strings.HasSuffix(state, "removed") {
				gw.store.Remove("servers", "e1")
			}
			time.Sleep(propagationTime)
			arrived := leaving.Arrivals()
			gw.store.Restore(snapshot)
			restored := time.Now()
			for time.Since(restored) < settleTime {
				assert.Equal(t, gw.call("GET", "/safe/1", "").status, http.StatusOK)
				time.Sleep(20 * time.Millisecond)
			}
			assert.Equal(t, leaving.Arrivals(), arrived, "requests reached the endpoint that leaves")
			if state != "removed" {
				return
			}
			// An endpoint that writes its entry again is in use.
			gw.listEndpoint("e1", address, "ready")
			for leaving.Arrivals() == arrived {
				assert.Assert(t, time.Since(restored) < settleTime+propagationTime, "the endpoint gets no requests")
				assert.Equal(t, gw.call("GET", "/safe/1", "").status, http.StatusOK)
			}
		})
	}
}

// TestEndpointLostInRestoreStaysInUse guards against refusals because a restored store lacks the
// entries of running endpoints.
func TestEndpointLostInRestoreStaysInUse(t *testing.T) {
	t.Parallel()
	ended := endpoint.New("e1")
	gw := newTestGateway(t, ended)
	snapshot := gw.store.Snapshot()
	gw.addEndpoint(endpoint.New("e2"))
	time.Sleep(propagationTime)
	gw.store.Remove("servers", "e1")
	time.Sleep(propagationTime)
	arrived := ended.Arrivals()
	gw.store.Restore(snapshot)
	restored := time.Now()
	for time.Since(restored) < propagationTime {
		assert.Equal(t, gw.call("GET", "/safe/1", "").status, http.StatusOK, "%s after the restore", time.Since(restored))
		time.Sleep(10 * time.Millisecond)
	}
	assert.Equal(t, ended.Arrivals(), arrived)
}
