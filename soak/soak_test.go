package soak

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/standin/endpoint"
	"github.com/cyclamenpoint/cyclamenpoint/standin/rankengine"
	"github.com/cyclamenpoint/cyclamenpoint/standin/rowstore"
)

var (
	seedCount     = flag.Int("soak.seeds", 2, "number of seeds to run")
	firstSeed     = flag.Uint64("soak.first", 1, "first seed")
	faultDuration = flag.Duration("soak.length", 8*time.Second, "time during which faults are injected, for each seed")
	gatewayCount  = flag.Int("soak.gateways", 3, "number of entry nodes")
	keepLogs      = flag.Bool("soak.keep", false, "keep the logs of passing seeds, too")
	clientCount   = flag.Int("soak.clients", 12, "number of concurrent callers")
	rankCount     = flag.Int("soak.ranks", 4, "number of engines, each with an agent")
)

// regressions are the seeds that have failed before, with the cause. They run
// before the other seeds.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{306, "with 6 ranks: a gateway panicked when it stopped, by a log line after the logger had stopped"},
	{7009, "a fault of the proxy: a connection that had lost data went on when a delay followed the loss"},
}

// testbed is the system under test of one seed, with its stand-ins and callers.
type testbed struct {
	t   *testing.T
	rng *rand.Rand
	// endpointRNG selects the faults of endpoints that follow other faults. It leaves the
	// sequence of the others as it is for a seed.
	endpointRNG *rand.Rand
	// statementRNG selects what endpoints state and crashes of engines, in the same way.
	statementRNG *rand.Rand
	// evacuationRNG selects evacuations, in the same way.
	evacuationRNG *rand.Rand
	// restoreRNG selects restores of the store, in the same way.
	restoreRNG *rand.Rand
	store      *rowstore.Store
	rows       *rowWriter
	storeProxy *proxy
	endpoints  []*endpoint.Endpoint
	// endpointProxies are the proxies in front of the endpoints, by index.
	endpointProxies []*proxy
	group           *rankengine.Group
	gateways        []*process
	agents          []*process
	history         *history
	logDir          string
	// served is the number of requests with a complete successful answer.
	served    atomic.Int64
	requestID atomic.Int64
	// started counts the endpoints that have started again.
	started atomic.Int64
}

// TestSoak runs the programs under injected faults, with one random fault plan for
// each seed. It fails if a request that must be executed at most once is executed
// twice or although it was rejected, if an endpoint executes a request that no
// caller sent, for another organisation or with the caller's credential, if an
// answer or event belongs to another request or is out of order, if the ranks run a
// pass with different maps, if a request reaches an endpoint of a failure domain that its
// gateway has evacuated, or if a process panics.
func TestSoak(t *testing.T) {
	gateway, agent := buildPrograms(t)
	for _, r := range regressions {
		t.Run(fmt.Sprintf("regression-%d", r.seed), func(t *testing.T) { runSeed(t, r.seed, gateway, agent) })
	}
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSeed(t, seed, gateway, agent) })
	}
}

// runSeed runs the fault plan of one seed. After the faults have ended, it waits
// until all gateways are ready, callers are served and the rank group runs
// passes, and then verifies the outcome.
func runSeed(t *testing.T, seed uint64, gateway, agent string) {
	b := &testbed{t: t, rng: rand.New(rand.NewPCG(seed, 7)), endpointRNG: rand.New(rand.NewPCG(seed, 8)), statementRNG: rand.New(rand.NewPCG(seed, 9)), evacuationRNG: rand.New(rand.NewPCG(seed, 10)), restoreRNG: rand.New(rand.NewPCG(seed, 11)), store: rowstore.New(), history: &history{requests: make(map[string]request)}}
	logDir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	assert.NilError(t, err)
	b.logDir, b.rows = logDir, newRowWriter(b.store)
	b.start(seed, gateway, agent)
	for i := range b.gateways {
		b.waitReady(i)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var tasks sync.WaitGroup
	tasks.Go(func() { b.group.Run(ctx) })
	for client := range *clientCount {
		rng := rand.New(rand.NewPCG(seed, uint64(100+client)))
		tasks.Go(func() { b.runClient(ctx, rng) })
	}
	plan := b.faultPlan()
	for _, f := range plan {
		time.Sleep(f.pause)
		f.inject()
	}
	b.rows.restores.Wait()
	b.endFaults()
	for i := range b.gateways {
		b.waitReady(i)
	}
	for before := b.served.Load(); b.served.Load() < before+50; {
		time.Sleep(10 * time.Millisecond)
	}
	for step, _ := b.group.Progress(); ; {
		if now, _ := b.group.Progress(); now > step+20 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	violations := b.checkEvacuation()
	cancel()
	tasks.Wait()
	b.verify(plan, violations)
}

// verify fails the test if any check reports a violation, or there are violations already.
// It deletes the logs of a passing seed unless -soak.keep is set.
func (b *testbed) verify(plan []fault, violations []string) {
	var runs []endpoint.Run
	for _, e := range b.endpoints {
		runs = append(runs, e.Runs()...)
	}
	violations = append(violations, check(b.history.all(), runs)...)
	violations = append(violations, b.group.Violations()...)
	for _, p := range append(b.gateways, b.agents...) {
		violations = append(violations, p.crashes()...)
	}
	_, switches := b.group.Progress()
	b.t.Logf("%d requests, %d served, %d runs, %d map switches", len(b.history.all()), b.served.Load(), len(runs), switches)
	if len(violations) == 0 && !*keepLogs {
		assert.NilError(b.t, os.RemoveAll(b.logDir))
		return
	}
	b.t.Logf("logs are in %s", b.logDir)
	if len(violations) == 0 {
		return
	}
	for _, f := range plan {
		b.t.Logf("plan: after %s %s", f.pause, f.name)
	}
	b.t.Fatalf("%d violations:\n%s", len(violations), strings.Join(violations[:min(len(violations), 20)], "\n"))
}

// start starts the stand-ins and the programs.
func (b *testbed) start(seed uint64, gateway, agent string) {
	dir := b.logDir
	store := httptest.NewServer(b.store)
	b.t.Cleanup(store.CloseClientConnections)
	storeProxy, err := newProxy("127.0.0.1:0", strings.TrimPrefix(store.URL, "http://"))
	assert.NilError(b.t, err)
	b.storeProxy = storeProxy
	storeAddress := storeProxy.listener.Addr().String()
	b.putConfig(1)
	for i := range 4 {
		b.addEndpoint(fmt.Sprintf("e%d", i))
	}
	b.group = rankengine.New(rankengine.Shape{Layers: 2, Experts: 16, Ranks: *rankCount}, 20*time.Millisecond, seed)
	for i := range *gatewayCount {
		ip := gatewayIP(i)
		b.gateways = append(b.gateways, startProcess(b.t, dir, fmt.Sprintf("gateway-%d", i),
			settingsFor(fmt.Sprintf("gateway-%d", i), ip, storeAddress, "listen.front="+ip+":8227", "listen.ready="+ip+":8220", "listen.control="+ip+":8229"),
			gateway, "gateway"))
	}
	for i := range *rankCount {
		ip := agentIP(i)
		listener, err := net.Listen("tcp", ip+":8148")
		assert.NilError(b.t, err)
		server := &http.Server{Handler: b.group.Handler(i)}
		go func() {
			// Serve returns when the test closes the server.
			_ = server.Serve(listener)
		}()
		b.t.Cleanup(func() { server.Close() })
		b.agents = append(b.agents, startProcess(b.t, dir, fmt.Sprintf("agent-%d", i),
			settingsFor(fmt.Sprintf("agent-%d", i), ip, storeAddress, "app="+ip+":8148", "service=engines"), agent, "--platform"))
	}
	b.t.Cleanup(func() {
		for _, p := range append(b.gateways, b.agents...) {
			p.end()
		}
	})
}

// addEndpoint starts an endpoint with a proxy in front of it and adds it to the
// store.
func (b *testbed) addEndpoint(id string) {
	e := endpoint.New(id)
	e.StreamLength, e.EventInterval = streamEvents, 10*time.Millisecond
	server := httptest.NewServer(e)
	b.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	endpointProxy, err := newProxy("127.0.0.1:0", strings.TrimPrefix(server.URL, "http://"))
	assert.NilError(b.t, err)
	b.endpoints, b.endpointProxies = append(b.endpoints, e), append(b.endpointProxies, endpointProxy)
	b.listEndpoint(len(b.endpoints)-1, firstStart)
}

// firstStart is the start time of the endpoints' first incarnations.
const firstStart = 1

// listEndpoint writes the entry of an endpoint with its start time.
func (b *testbed) listEndpoint(i int, started int64) {
	b.rows.put("servers", b.endpoints[i].ID(), []byte(fmt.Sprintf(`{"service":"plain","address":%q,"zone":%q,"slots":16,"state":"ready","born":%d}`, b.endpointProxies[i].address, domainOf(i), started)))
}

// checkedDomain is the failure domain of the last endpoint. No fault evacuates it, only
// checkEvacuation does.
const checkedDomain = "d3"

// domainOf returns the failure domain of an endpoint.
func domainOf(i int) string { return []string{"d1", "d1", "d2", checkedDomain}[i] }

// randomEvacuation returns the evacuation of a failure domain, as randomFault does.
func (b *testbed) randomEvacuation() (string, func()) {
	key := "evacuate/" + domainOf(b.evacuationRNG.IntN(3))
	duration := time.Duration(b.evacuationRNG.IntN(1500)) * time.Millisecond
	return key, func() {
		b.rows.put("op", key, []byte("{}"))
		time.AfterFunc(duration, func() { b.rows.remove("op", key) })
	}
}

// checkEvacuation evacuates a failure domain while no fault is injected, and returns a
// violation for each request to it that was sent after all gateways had applied this. It
// returns once the evacuation is withdrawn and the domain gets requests again.
func (b *testbed) checkEvacuation() []string {
	last := b.endpoints[len(b.endpoints)-1]
	var logged []int
	for _, p := range b.gateways {
		logged = append(logged, len(p.logText()))
	}
	b.rows.put("op", "evacuate/"+checkedDomain, []byte("{}"))
	for i, p := range b.gateways {
		for !strings.Contains(p.logText()[logged[i]:], `"domain":"`+checkedDomain+`"`) {
			time.Sleep(20 * time.Millisecond)
		}
	}
	applied := b.requestID.Load()
	for before := b.served.Load(); b.served.Load() < before+100; {
		time.Sleep(10 * time.Millisecond)
	}
	var violations []string
	runs := last.Runs()
	for _, run := range runs {
		if number, err := strconv.ParseInt(strings.TrimPrefix(run.ID, "r"), 10, 64); err == nil && number > applied {
			violations = append(violations, "evacuated: "+run.ID+" was executed in an evacuated failure domain")
		}
	}
	b.rows.remove("op", "evacuate/"+checkedDomain)
	for len(last.Runs()) == len(runs) {
		time.Sleep(10 * time.Millisecond)
	}
	return violations
}

// putConfig writes a version of the configuration to the store.
func (b *testbed) putConfig(version int) {
	body, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "safe", "hostname": "h", "prefix": "/0/", "kind": "safe", "service": "plain", "timeout_ms": 2000, "max_attempts": 2},
			map[string]any{"name": "once", "hostname": "h", "prefix": "/1/", "kind": "unsafe", "service": "plain", "timeout_ms": 2000, "max_attempts": 2},
			map[string]any{"name": "stream", "hostname": "h", "prefix": "/2/", "kind": "streaming", "service": "plain", "timeout_ms": 2000, "max_attempts": 3, "resumable": true},
		},
		"services": []any{
			map[string]any{"name": "plain", "max_connections": 300},
			map[string]any{"name": "engines", "engine": map[string]any{
				"slots": 12, "step_ms": 5, "stride": 2, "link_mbps": 92000, "sets": 2, "experts": 16, "placements": 6, "spare": 2,
				"expert_mb": 50, "expert_share": 0.85, "usual": map[string]any{"prompt": 100, "answer": 20}}},
		},
		"tenants": []any{map[string]any{"name": "org", "api_keys": []string{"key"}}},
	})
	assert.NilError(b.t, err)
	b.rows.put("op", "config", body)
}

// waitReady waits until a gateway reports that it accepts connections.
func (b *testbed) waitReady(i int) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		resp, err := client.Get("http://" + gatewayIP(i) + ":8220/v1/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// runClient sends requests one after the other over persistent connections until
// the context is canceled.
func (b *testbed) runClient(ctx context.Context, rng *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}, Timeout: 4 * time.Second}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		q := request{id: fmt.Sprintf("r%d", b.requestID.Add(1)), kind: kind(rng.IntN(3))}
		// The request is recorded before it can be executed.
		b.history.set(q)
		timeout := 4 * time.Second
		if rng.IntN(20) == 0 {
			timeout = time.Duration(rng.IntN(100)) * time.Millisecond
		}
		b.history.set(send(ctx, client, gatewayIP(rng.IntN(*gatewayCount)), q, timeout, &b.served))
		time.Sleep(time.Duration(rng.IntN(10)) * time.Millisecond)
	}
}

// send sends a request and returns it with its answer. It does not stop when ctx
// is canceled, so that the last requests are answered.
func send(ctx context.Context, client *http.Client, ip string, q request, timeout time.Duration, served *atomic.Int64) request {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:8227/%d/x", ip, q.kind), strings.NewReader(bodyOf(q.id)))
	if err != nil {
		return q
	}
	// Without GetBody the client cannot retry the request by itself.
	req.GetBody = nil
	req.Host = "h"
	req.Header.Set("X-Request-Id", q.id)
	req.Header.Set("X-Credential", "key")
	req.Header.Set("X-Deadline-Ms", "2000")
	if q.kind == stream {
		req.Header.Set("X-Model", "m")
		req.Header.Set("X-Prompt-Prefix", fmt.Sprintf("shared%d:40,%s:7", len(q.id)%3, q.id))
	}
	resp, err := client.Do(req)
	if err != nil {
		return q
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	q.status, q.body, q.seal, q.complete = resp.StatusCode, string(body), resp.Header.Get("X-Response-Seal"), err == nil
	if q.status == http.StatusOK && q.complete {
		served.Add(1)
	}
	return q
}

// fault is one entry of a fault plan.
type fault struct {
	// pause is the time to wait before the injection, after the previous one.
	pause  time.Duration
	name   string
	inject func()
}

// faultPlan returns the seed's random series of faults. Faults may overlap.
func (b *testbed) faultPlan() []fault {
	var faults []fault
	for elapsed := time.Duration(0); elapsed < *faultDuration; {
		pause := time.Duration(b.rng.IntN(500)) * time.Millisecond
		elapsed += pause
		name, inject := b.randomFault()
		faults = append(faults, fault{pause, name, inject})
		if b.endpointRNG.IntN(3) == 0 {
			name, inject := b.randomEndpointFault()
			faults = append(faults, fault{0, name, inject})
		}
		if b.statementRNG.IntN(4) == 0 {
			name, inject := b.randomStatement()
			faults = append(faults, fault{0, name, inject})
		}
		if b.evacuationRNG.IntN(4) == 0 {
			name, inject := b.randomEvacuation()
			faults = append(faults, fault{0, name, inject})
		}
		if b.restoreRNG.IntN(8) == 0 {
			name, inject := b.randomRestore()
			faults = append(faults, fault{0, name, inject})
		}
	}
	return faults
}

// randomEndpointFault returns a crash of an endpoint or a rate limit that it states, as
// randomFault does.
func (b *testbed) randomEndpointFault() (string, func()) {
	i := b.endpointRNG.IntN(len(b.endpointProxies))
	duration := time.Duration(b.endpointRNG.IntN(1500)) * time.Millisecond
	if b.endpointRNG.IntN(2) == 0 {
		return fmt.Sprintf("e%d crashes", i), func() { b.endpointProxies[i].crash(duration) }
	}
	limit := fmt.Sprint(1 + b.endpointRNG.IntN(20))
	return fmt.Sprintf("e%d states a limit of %s requests a second", i, limit), func() {
		b.endpoints[i].SetRateLimit(limit)
		time.AfterFunc(duration, func() { b.endpoints[i].SetRateLimit("") })
	}
}

// randomStatement returns a departure or a cooldown that an endpoint states, or the crash of
// an engine, as randomFault does. An endpoint that has stated its departure ends and starts
// again as another incarnation.
func (b *testbed) randomStatement() (string, func()) {
	i := b.statementRNG.IntN(len(b.endpointProxies))
	duration := time.Duration(b.statementRNG.IntN(1500)) * time.Millisecond
	switch b.statementRNG.IntN(3) {
	case 0:
		return fmt.Sprintf("e%d states its departure", i), func() {
			b.endpoints[i].SetLeaving(true)
			time.AfterFunc(duration, func() { b.restartEndpoint(i) })
		}
	case 1:
		return fmt.Sprintf("e%d refuses requests for a second each", i), func() {
			b.endpoints[i].SetRetryAfter("1")
			b.endpoints[i].SetFault(func(string, int) endpoint.Fault { return endpoint.Reject })
			time.AfterFunc(duration, func() { b.endpoints[i].SetFault(func(string, int) endpoint.Fault { return endpoint.NoFault }) })
		}
	default:
		rank := b.statementRNG.IntN(*rankCount)
		return fmt.Sprintf("engine of rank %d crashes", rank), func() { b.group.Crash(rank, duration/2) }
	}
}

// restartEndpoint ends an endpoint and starts it again at its address.
func (b *testbed) restartEndpoint(i int) {
	b.endpointProxies[i].crash(100 * time.Millisecond)
	b.endpoints[i].SetLeaving(false)
	b.listEndpoint(i, firstStart+b.started.Add(1))
}

// randomFault returns the name of a random fault and the function that injects
// it. Faults that last for a time end by themselves.
func (b *testbed) randomFault() (string, func()) {
	processes := append(append([]*process{}, b.gateways...), b.agents...)
	p := processes[b.rng.IntN(len(processes))]
	i := b.rng.IntN(len(b.endpointProxies))
	duration := time.Duration(b.rng.IntN(1500)) * time.Millisecond
	atEnd := func(endFault func()) { time.AfterFunc(duration, endFault) }
	switch b.rng.IntN(9) {
	case 0:
		return "kill " + p.name, func() { p.signal(syscall.SIGKILL) }
	case 1:
		return "stop " + p.name, func() { p.signal(syscall.SIGTERM) }
	case 2:
		return "pause " + p.name, func() {
			p.signal(syscall.SIGSTOP)
			atEnd(func() { p.signal(syscall.SIGCONT) })
		}
	case 3:
		proxyFault := []linkFault{delayAll, dropAll, dropAnswers}[b.rng.IntN(3)]
		return fmt.Sprintf("connections to e%d have fault %d", i, proxyFault), func() {
			b.endpointProxies[i].setFault(proxyFault)
			atEnd(func() { b.endpointProxies[i].setFault(noLinkFault) })
		}
	case 4:
		return fmt.Sprintf("reset the connections to e%d", i), b.endpointProxies[i].reset
	case 5:
		mode := []rowstore.Mode{rowstore.ServiceUnavailable, rowstore.RateLimited, rowstore.Unresponsive, rowstore.DropAnswers}[b.rng.IntN(4)]
		return fmt.Sprintf("store in mode %d", mode), func() {
			b.store.SetMode(func(string) rowstore.Mode { return mode })
			atEnd(func() { b.store.SetMode(func(string) rowstore.Mode { return rowstore.Normal }) })
		}
	case 6:
		version := 2 + b.rng.IntN(50)
		return "store drops its history, new configuration", func() {
			b.putConfig(version)
			b.store.DropHistory()
			b.storeProxy.reset()
		}
	case 7:
		endpointFault := endpoint.Fault(1 + b.rng.IntN(int(endpoint.Hang)-1))
		return fmt.Sprintf("e%d has fault %d", i, endpointFault), func() {
			b.endpoints[i].SetFault(func(_ string, arrival int) endpoint.Fault {
				if arrival%3 == 0 {
					return endpointFault
				}
				return endpoint.NoFault
			})
			atEnd(func() { b.endpoints[i].SetFault(func(string, int) endpoint.Fault { return endpoint.NoFault }) })
		}
	default:
		orderFaults := rankengine.Faults{AnswerLostRatio: 0.3 * b.rng.Float64(), DelayedRatio: 0.3 * b.rng.Float64()}
		return "engine orders are delayed or not answered", func() {
			b.group.SetFaults(orderFaults)
			atEnd(func() { b.group.SetFaults(rankengine.Faults{}) })
		}
	}
}

// endFaults ends all faults.
func (b *testbed) endFaults() {
	b.store.SetMode(func(string) rowstore.Mode { return rowstore.Normal })
	b.group.SetFaults(rankengine.Faults{})
	for i := range b.endpointProxies {
		b.endpointProxies[i].setFault(noLinkFault)
		b.endpoints[i].SetFault(func(string, int) endpoint.Fault { return endpoint.NoFault })
		b.endpoints[i].SetRateLimit("")
		b.endpoints[i].SetRetryAfter("")
	}
	for _, p := range append(append([]*process{}, b.gateways...), b.agents...) {
		p.signal(syscall.SIGCONT)
	}
}
