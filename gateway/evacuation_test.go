package gateway_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/metric"
	"github.com/cyclamenpoint/cyclamenpoint/standin/endpoint"
	"github.com/cyclamenpoint/cyclamenpoint/standin/rowstore"
)

// logRecorder keeps log lines.
type logRecorder struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (r *logRecorder) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.Write(p)
}

// count returns the number of log lines that contain all of the texts.
func (r *logRecorder) count(texts ...string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
lines:
	for line := range strings.Lines(r.text.String()) {
		for _, text := range texts {
			if !strings.Contains(line, text) {
				continue lines
			}
		}
		n++
	}
	return n
}

// await waits until n log lines contain all of the texts.
func (r *logRecorder) await(n int, texts ...string) {
	for r.count(texts...) < n {
		time.Sleep(2 * time.Millisecond)
	}
}

// Log lines of evacuations, and the key of the row that evacuates d1.
const (
	lineInForce = "evacuation in force"
	lineEnded   = "evacuation ended"
	evacuateD1  = "evacuate/d1"
)

// twoDomains is a gateway with one endpoint in each of the failure domains d1 and d2.
type twoDomains struct {
	*testGateway
	e1, e2 *endpoint.Endpoint
	log    *logRecorder
}

// newTwoDomains returns a gateway that has not started.
func newTwoDomains(t *testing.T) *twoDomains {
	g := &twoDomains{e1: endpoint.New("e1"), e2: endpoint.New("e2"), log: &logRecorder{}}
	g.testGateway = &testGateway{t: t, store: rowstore.New(), servers: make(map[string]*httptest.Server), grace: 400 * time.Millisecond, node: "n1", log: g.log}
	g.configure(1, testRoutes())
	g.addEndpointIn("d1", g.e1)
	g.addEndpointIn("d2", g.e2)
	return g
}

// startTwoDomains returns a gateway that is ready.
func startTwoDomains(t *testing.T) *twoDomains {
	g := newTwoDomains(t)
	g.start(g.store)
	g.waitReady()
	return g
}

// checkEvacuated checks that requests are served, none of them by e1.
func (g *twoDomains) checkEvacuated() {
	g.t.Helper()
	before := g.e1.Arrivals()
	for _, path := range []string{"/safe/1", "/once/1", "/stream/1", "/single/1"} {
		for range 10 {
			assert.Equal(g.t, g.call("POST", path, "").status, http.StatusOK)
		}
	}
	assert.Equal(g.t, g.e1.Arrivals(), before, "requests reached an endpoint of an evacuated failure domain")
}

// awaitServed sends requests until e1 gets one.
func (g *twoDomains) awaitServed() {
	g.t.Helper()
	for before := g.e1.Arrivals(); g.e1.Arrivals() == before; {
		assert.Equal(g.t, g.call("GET", "/safe/1", "").status, http.StatusOK)
	}
}

// TestEvacuation guards against requests to an evacuated failure domain while the version of
// the configuration stays the same, against streams that an evacuation cuts, and against a
// domain that stays empty after the evacuation was withdrawn.
func TestEvacuation(t *testing.T) {
	g := newTwoDomains(t)
	g.e1.StreamLength, g.e1.EventInterval = 400, 5*time.Millisecond
	g.start(g.store)
	g.waitReady()
	streams := make(chan answer, 6)
	for i := range cap(streams) {
		caller := &testGateway{t: t, address: g.address, nextID: 1000 * (i + 1)}
		go func() { streams <- caller.call("POST", "/single/1", "") }()
	}
	for len(g.e1.Runs()) == 0 {
		time.Sleep(time.Millisecond)
	}
	g.store.Put("op", evacuateD1, []byte("{}"))
	g.log.await(1, lineInForce, "domain=d1", "as_of=")
	g.checkEvacuated()
	for range cap(streams) {
		a := <-streams
		assert.NilError(t, a.err)
		assert.Assert(t, strings.Count(a.body, "data:") >= 5, "a stream was cut")
	}
	g.checkEvacuated()
	g.store.Remove("op", evacuateD1)
	g.log.await(1, lineEnded, "domain=d1", "as_of=")
	g.awaitServed()
	// A new configuration changes nothing about evacuations.
	g.store.Put("op", "evacuate/d2", nil)
	g.log.await(1, lineInForce, "domain=d2")
	g.configure(2, testRoutes()[:1])
	g.log.await(1, "configuration in force", "config=2")
	before := g.e2.Arrivals()
	for range 20 {
		assert.Equal(t, g.call("GET", "/safe/1", "").status, http.StatusOK)
	}
	assert.Equal(t, g.e2.Arrivals(), before)
	assert.Equal(t, g.log.count(lineInForce), 2)
	assert.Equal(t, g.log.count(lineEnded), 1)
}

// TestEvacuationOfRetries guards against a retry or a resumed stream at an endpoint of an
// evacuated domain after the only other endpoint has failed.
func TestEvacuationOfRetries(t *testing.T) {
	for path, fault := range map[string]endpoint.Fault{"/safe/1": endpoint.ServerError, "/once/1": endpoint.Reject, "/stream/1": endpoint.ResetMidAnswer} {
		t.Run(path, func(t *testing.T) {
			g := startTwoDomains(t)
			g.store.Put("op", evacuateD1, []byte("{}"))
			g.log.await(1, lineInForce)
			g.e2.SetFault(func(string, int) endpoint.Fault { return fault })
			a := g.call("POST", path, "")
			assert.Assert(t, a.err != nil || a.status >= 500, "status %d", a.status)
			assert.Equal(t, g.e2.Arrivals(), 1)
			assert.Equal(t, g.e1.Arrivals(), 0)
		})
	}
}

// TestEvacuationDuringStream guards against a stream that is resumed in a domain that was
// evacuated after the stream had begun.
func TestEvacuationDuringStream(t *testing.T) {
	g := startTwoDomains(t)
	var once sync.Once
	var before atomic.Int64
	before.Store(-1)
	g.e2.SetFault(func(string, int) endpoint.Fault {
		once.Do(func() {
			g.store.Put("op", evacuateD1, []byte("{}"))
			g.log.await(1, lineInForce)
			before.Store(int64(g.e1.Arrivals()))
		})
		return endpoint.ResetMidAnswer
	})
	// The last call is the one that reaches e2, and its stream cannot be resumed.
	for before.Load() < 0 {
		a := g.call("POST", "/stream/1", "")
		assert.Equal(t, a.err != nil, before.Load() >= 0)
	}
	assert.Equal(t, int64(g.e1.Arrivals()), before.Load())
}

// TestEvacuationWithoutStore guards against a gateway that keeps sending requests to an
// evacuated domain because the store rejects it, while another gateway has the copy.
func TestEvacuationWithoutStore(t *testing.T) {
	g := startTwoDomains(t)
	second := &twoDomains{e1: g.e1, e2: g.e2, log: &logRecorder{}}
	second.testGateway = &testGateway{t: t, store: g.store, servers: g.servers, grace: g.grace, node: "n2", nextID: 5000, log: second.log}
	var rejected atomic.Bool
	second.start(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if rejected.Load() {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		g.store.ServeHTTP(w, r)
	}), g.peerAddress)
	second.waitReady()
	rejected.Store(true)
	second.log.await(1, "store does not answer", "table=op")
	g.store.Put("op", evacuateD1, []byte("{}"))
	second.log.await(1, lineInForce, "domain=d1")
	second.checkEvacuated()
	g.store.Remove("op", evacuateD1)
	second.log.await(1, lineEnded, "domain=d1")
	second.awaitServed()
}

// TestStartDuringEvacuation guards against a gateway that serves before it knows which
// domains are evacuated.
func TestStartDuringEvacuation(t *testing.T) {
	g := newTwoDomains(t)
	g.store.Put("op", evacuateD1, []byte("{}"))
	g.start(g.store)
	for range 200 {
		g.call("GET", "/safe/1", "")
	}
	g.waitReady()
	g.checkEvacuated()
	assert.Equal(t, g.e1.Arrivals(), 0)
	g.log.await(1, lineInForce, "domain=d1")
}

// TestEvacuationAfterLostHistory guards against an evacuation, or its end, that is missed
// because the store no longer keeps the change and the table is read as a whole.
func TestEvacuationAfterLostHistory(t *testing.T) {
	g := startTwoDomains(t)
	missed := func(change func()) {
		lost, back := g.log.count("store does not answer", "table=op"), g.log.count("store answers", "table=op")
		g.store.SetMode(func(string) rowstore.Mode { return rowstore.ServiceUnavailable })
		g.log.await(lost+1, "store does not answer", "table=op")
		change()
		g.store.DropHistory()
		g.store.SetMode(func(string) rowstore.Mode { return rowstore.Normal })
		g.log.await(back+1, "store answers", "table=op")
	}
	missed(func() { g.store.Put("op", evacuateD1, []byte("{}")) })
	g.log.await(1, lineInForce, "domain=d1")
	g.checkEvacuated()
	missed(func() { g.store.Remove("op", evacuateD1) })
	g.log.await(1, lineEnded, "domain=d1")
	g.awaitServed()
}

// TestEvacuationWithSilentPoll guards against an evacuation that is missed because the store
// leaves the long poll unanswered.
func TestEvacuationWithSilentPoll(t *testing.T) {
	g := newTwoDomains(t)
	var silent atomic.Bool
	g.start(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		if silent.Load() && q.Get("table") == "op" && q.Get("wait_ms") != "0" && q.Has("wait_ms") {
			<-r.Context().Done()
			return
		}
		g.store.ServeHTTP(w, r)
	}))
	g.waitReady()
	silent.Store(true)
	// The poll that is pending since before is answered once more.
	g.configure(2, testRoutes())
	g.log.await(1, "configuration in force", "config=2")
	g.store.Put("op", evacuateD1, []byte("{}"))
	g.log.await(1, lineInForce, "domain=d1")
	g.checkEvacuated()
	g.store.Remove("op", evacuateD1)
	g.log.await(1, lineEnded, "domain=d1")
	g.awaitServed()
}

// TestRepeatedEvacuation guards against an evacuation that needs as many withdrawals as there
// were requests for it, and against one whose end is missed within one poll.
func TestRepeatedEvacuation(t *testing.T) {
	g := startTwoDomains(t)
	g.store.Put("op", evacuateD1, []byte("{}"))
	g.log.await(1, lineInForce)
	g.store.Put("op", evacuateD1, []byte(`{"again":1}`))
	g.configure(2, testRoutes())
	g.log.await(1, "configuration in force", "config=2")
	g.checkEvacuated()
	assert.Equal(t, g.log.count(lineInForce), 1)
	g.store.Remove("op", evacuateD1)
	g.log.await(1, lineEnded)
	g.awaitServed()
	for range 20 {
		g.store.Put("op", evacuateD1, []byte("{}"))
		g.store.Remove("op", evacuateD1)
	}
	g.configure(3, testRoutes())
	g.log.await(1, "configuration in force", "config=3")
	g.awaitServed()
	assert.Equal(t, g.log.count(lineInForce), g.log.count(lineEnded))
}

// TestOddEvacuations guards against an unknown domain or an invalid key that affects other
// domains or fills the log.
func TestOddEvacuations(t *testing.T) {
	g := startTwoDomains(t)
	g.store.Put("op", "evacuate/d9", []byte("{}"))
	g.store.Put("op", "evacuate/", []byte("{}"))
	g.store.Put("op", "evacuate/d 1", nil)
	g.store.Put("op", evacuateD1, []byte("\xff"))
	g.log.await(1, lineInForce, "domain=d1")
	for version := range 3 {
		g.configure(2+version, testRoutes())
	}
	g.log.await(1, "configuration in force", "config=4")
	g.checkEvacuated()
	assert.Equal(t, g.log.count(lineInForce), 1)
	assert.Equal(t, g.log.count("d9"), 1)
	assert.Equal(t, g.log.count("level=ERROR", "invalid evacuation"), 2)
	// The evacuation of a domain takes effect once an endpoint is listed in it.
	e9 := endpoint.New("e9")
	g.addEndpointIn("d9", e9)
	g.log.await(1, lineInForce, "domain=d9")
	g.log.await(1, "endpoint listed", "endpoint=e9")
	g.checkEvacuated()
	assert.Equal(t, e9.Arrivals(), 0)
	g.store.Remove("op", "evacuate/d9")
	g.log.await(1, lineEnded, "domain=d9")
	for e9.Arrivals() == 0 {
		assert.Equal(t, g.call("GET", "/safe/1", "").status, http.StatusOK)
	}
}

// TestAllDomainsEvacuated guards against requests that wait although no endpoint may get
// them. They are refused as not run, with a Retry-After.
func TestAllDomainsEvacuated(t *testing.T) {
	g := startTwoDomains(t)
	refusals := metric.Refusals("plain", "evacuated")
	before := refusals.Get()
	g.store.Put("op", evacuateD1, []byte("{}"))
	g.store.Put("op", "evacuate/d2", []byte("{}"))
	g.log.await(2, lineInForce)
	for _, path := range []string{"/safe/1", "/once/1", "/stream/1"} {
		a := g.call("POST", path, "")
		assert.NilError(t, a.err)
		assert.Equal(t, a.status, http.StatusServiceUnavailable)
		assert.Assert(t, a.header.Get("Retry-After") != "")
		assert.Assert(t, strings.Contains(a.body, "not-run"), a.body)
	}
	assert.Equal(t, refusals.Get()-before, uint64(3))
	assert.Equal(t, g.e1.Arrivals()+g.e2.Arrivals(), 0)
	assert.Assert(t, g.gateway.Ready())
	g.store.Remove("op", evacuateD1)
	g.log.await(1, lineEnded, "domain=d1")
	assert.Equal(t, g.call("GET", "/safe/1", "").status, http.StatusOK)
	assert.Equal(t, g.e1.Arrivals(), 1)
}
