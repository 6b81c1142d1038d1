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
	seeds    = flag.Int("soak.seeds", 2, "how many seeds to play")
	first    = flag.Uint64("soak.first", 1, "the first seed")
	length   = flag.Duration("soak.length", 8*time.Second, "how long each seed is played")
	gateways = flag.Int("soak.gateways", 3, "entry nodes")
	keep     = flag.Bool("soak.keep", false, "keep the logs of seeds that pass, too")
	clients  = flag.Int("soak.clients", 12, "callers at once")
	ranks    = flag.Int("soak.ranks", 4, "engines with agents")
)

// regressions are the seeds that ever failed, with the cause.
var regressions = []struct {
	seed  uint64
	cause string
}{}

// world is one seed's play.
type world struct {
	t        *testing.T
	rng      *rand.Rand
	store    *rowstore.Store
	storeWay *proxy
	servers  []*endpoint.Endpoint
	ways     []*proxy
	group    *rankengine.Group
	gateways []*process
	agents   []*process
	seen     *record
	logs     string
	served   atomic.Int64
	nextID   atomic.Int64
}

// TestSoak plays the seeds one after the other.
func TestSoak(t *testing.T) {
	gateway, agent := programs(t)
	for _, r := range regressions {
		t.Run(fmt.Sprintf("regression-%d", r.seed), func(t *testing.T) { play(t, r.seed, gateway, agent) })
	}
	for seed := *first; seed < *first+uint64(*seeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { play(t, seed, gateway, agent) })
	}
}

func play(t *testing.T, seed uint64, gateway, agent string) {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 7)), store: rowstore.New(), seen: &record{requests: make(map[string]request)}}
	logs, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	assert.NilError(t, err)
	w.logs = logs
	w.build(seed, gateway, agent)
	for i := range w.gateways {
		w.waitReady(i)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var duties sync.WaitGroup
	duties.Go(func() { w.group.Run(ctx) })
	for client := range *clients {
		rng := rand.New(rand.NewPCG(seed, uint64(100+client)))
		duties.Go(func() { w.client(ctx, rng) })
	}
	plan := w.plan()
	for _, step := range plan {
		time.Sleep(step.pause)
		step.do()
	}
	w.calm()
	// All that was killed or cut comes back, and callers are served again.
	for i := range w.gateways {
		w.waitReady(i)
	}
	for before := w.served.Load(); w.served.Load() < before+50; {
		time.Sleep(10 * time.Millisecond)
	}
	for step, _ := w.group.Progress(); ; {
		if now, _ := w.group.Progress(); now > step+20 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	cancel()
	duties.Wait()
	w.judge(plan)
}

// judge checks the promises.
func (w *world) judge(plan []step) {
	var runs []endpoint.Run
	for _, e := range w.servers {
		runs = append(runs, e.Runs()...)
	}
	broken := append(check(w.seen.all(), runs), w.group.Violations()...)
	for _, p := range append(w.gateways, w.agents...) {
		broken = append(broken, p.crashes()...)
	}
	_, switches := w.group.Progress()
	w.t.Logf("%d requests, %d served, %d runs, %d map switches", len(w.seen.all()), w.served.Load(), len(runs), switches)
	if len(broken) == 0 && !*keep {
		assert.NilError(w.t, os.RemoveAll(w.logs))
		return
	}
	w.t.Logf("logs are in %s", w.logs)
	if len(broken) == 0 {
		return
	}
	for _, s := range plan {
		w.t.Logf("plan: after %s %s", s.pause, s.name)
	}
	w.t.Fatalf("%d promises broken:\n%s", len(broken), strings.Join(broken[:min(len(broken), 20)], "\n"))
}

// build starts the stand-ins and the programs.
func (w *world) build(seed uint64, gateway, agent string) {
	dir := w.logs
	store := httptest.NewServer(w.store)
	w.t.Cleanup(store.CloseClientConnections)
	way, err := newProxy("127.0.0.1:0", strings.TrimPrefix(store.URL, "http://"))
	assert.NilError(w.t, err)
	w.storeWay = way
	storeAddress := way.listener.Addr().String()
	w.configure(1)
	for i := range 4 {
		w.addServer(fmt.Sprintf("e%d", i))
	}
	w.group = rankengine.New(rankengine.Shape{Layers: 2, Experts: 16, Ranks: *ranks}, 20*time.Millisecond, seed)
	for i := range *gateways {
		ip := gatewayIP(i)
		w.gateways = append(w.gateways, startProcess(w.t, dir, fmt.Sprintf("gateway-%d", i),
			settingsFor(fmt.Sprintf("gateway-%d", i), ip, storeAddress, "listen.front="+ip+":8227", "listen.ready="+ip+":8220", "listen.control="+ip+":8229"),
			gateway, "gateway"))
	}
	for i := range *ranks {
		ip := agentIP(i)
		listener, err := net.Listen("tcp", ip+":8148")
		assert.NilError(w.t, err)
		server := &http.Server{Handler: w.group.Handler(i)}
		go func() {
			// The listener ends with the test.
			_ = server.Serve(listener)
		}()
		w.t.Cleanup(func() { server.Close() })
		w.agents = append(w.agents, startProcess(w.t, dir, fmt.Sprintf("agent-%d", i),
			settingsFor(fmt.Sprintf("agent-%d", i), ip, storeAddress, "app="+ip+":8148", "service=engines"), agent, "--platform"))
	}
	w.t.Cleanup(func() {
		for _, p := range append(w.gateways, w.agents...) {
			p.end()
		}
	})
}

func (w *world) addServer(id string) {
	e := endpoint.New(id)
	e.StreamLength, e.EventInterval = streamEvents, 10*time.Millisecond
	server := httptest.NewServer(e)
	w.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	way, err := newProxy("127.0.0.1:0", strings.TrimPrefix(server.URL, "http://"))
	assert.NilError(w.t, err)
	w.servers, w.ways = append(w.servers, e), append(w.ways, way)
	w.store.Put("servers", id, []byte(fmt.Sprintf(`{"service":"plain","address":%q,"zone":"d1","slots":16,"state":"ready","born":1}`, way.listener.Addr())))
}

func (w *world) configure(version int) {
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
	assert.NilError(w.t, err)
	w.store.Put("op", "config", body)
}

// waitReady waits until a gateway says that it takes connections.
func (w *world) waitReady(i int) {
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

// client sends requests over connections that it keeps until they end.
func (w *world) client(ctx context.Context, rng *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}, Timeout: 4 * time.Second}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		q := request{id: fmt.Sprintf("r%d", w.nextID.Add(1)), kind: kind(rng.IntN(3))}
		// The record is there before the request can run.
		w.seen.add(q)
		patience := 4 * time.Second
		if rng.IntN(20) == 0 {
			patience = time.Duration(rng.IntN(100)) * time.Millisecond
		}
		w.seen.add(send(ctx, client, gatewayIP(rng.IntN(*gateways)), q, patience, &w.served))
		time.Sleep(time.Duration(rng.IntN(10)) * time.Millisecond)
	}
}

func send(ctx context.Context, client *http.Client, ip string, q request, patience time.Duration, served *atomic.Int64) request {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:8227/%d/x", ip, q.kind), strings.NewReader(bodyOf(q.id)))
	if err != nil {
		return q
	}
	// The client must not send a request a second time by itself.
	req.GetBody = nil
	req.Host = "h"
	req.Header.Set("X-Request-Id", q.id)
	req.Header.Set("X-Credential", "key")
	req.Header.Set("X-Deadline-Ms", "2000")
	if q.kind == stream {
		req.Header.Set("X-Model", "m")
	}
	resp, err := client.Do(req)
	if err != nil {
		return q
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	q.status, q.body, q.seal, q.whole = resp.StatusCode, string(body), resp.Header.Get("X-Response-Seal"), err == nil
	if q.status == http.StatusOK && q.whole {
		served.Add(1)
	}
	return q
}

// step is one thing that the plan does.
type step struct {
	pause time.Duration
	name  string
	do    func()
}

// plan draws the seed's series of faults; they overlap.
func (w *world) plan() []step {
	var steps []step
	for passed := time.Duration(0); passed < *length; {
		pause := time.Duration(w.rng.IntN(500)) * time.Millisecond
		passed += pause
		name, do := w.draw()
		steps = append(steps, step{pause, name, do})
	}
	return steps
}

// draw draws one fault.
func (w *world) draw() (string, func()) {
	processes := append(append([]*process{}, w.gateways...), w.agents...)
	p := processes[w.rng.IntN(len(processes))]
	i := w.rng.IntN(len(w.ways))
	hold := time.Duration(w.rng.IntN(1500)) * time.Millisecond
	later := func(do func()) { time.AfterFunc(hold, do) }
	switch w.rng.IntN(9) {
	case 0:
		return "kill " + p.name, func() { p.signal(syscall.SIGKILL) }
	case 1:
		return "stop " + p.name, func() { p.signal(syscall.SIGTERM) }
	case 2:
		return "pause " + p.name, func() {
			p.signal(syscall.SIGSTOP)
			later(func() { p.signal(syscall.SIGCONT) })
		}
	case 3:
		state := []trouble{delayed, silent, oneWay}[w.rng.IntN(3)]
		return fmt.Sprintf("way to e%d in trouble %d", i, state), func() {
			w.ways[i].set(state)
			later(func() { w.ways[i].set(calm) })
		}
	case 4:
		return fmt.Sprintf("reset the way to e%d", i), w.ways[i].reset
	case 5:
		mode := []rowstore.Mode{rowstore.ServiceUnavailable, rowstore.RateLimited, rowstore.Unresponsive, rowstore.DropAnswers}[w.rng.IntN(4)]
		return fmt.Sprintf("store in mode %d", mode), func() {
			w.store.SetMode(func(string) rowstore.Mode { return mode })
			later(func() { w.store.SetMode(func(string) rowstore.Mode { return rowstore.Normal }) })
		}
	case 6:
		version := 2 + w.rng.IntN(50)
		return "store forgets, new configuration", func() {
			w.configure(version)
			w.store.DropHistory()
			w.storeWay.reset()
		}
	case 7:
		fault := endpoint.Fault(1 + w.rng.IntN(int(endpoint.Hang)-1))
		return fmt.Sprintf("e%d has fault %d", i, fault), func() {
			w.servers[i].SetFault(func(_ string, run int) endpoint.Fault {
				if run%3 == 0 {
					return fault
				}
				return endpoint.NoFault
			})
			later(func() { w.servers[i].SetFault(func(string, int) endpoint.Fault { return endpoint.NoFault }) })
		}
	default:
		f := rankengine.Faults{AnswerLostRatio: 0.3 * w.rng.Float64(), DelayedRatio: 0.3 * w.rng.Float64()}
		return "orders get lost", func() {
			w.group.SetFaults(f)
			later(func() { w.group.SetFaults(rankengine.Faults{}) })
		}
	}
}

// calm ends all faults.
func (w *world) calm() {
	w.store.SetMode(func(string) rowstore.Mode { return rowstore.Normal })
	w.group.SetFaults(rankengine.Faults{})
	for i := range w.ways {
		w.ways[i].set(calm)
		w.servers[i].SetFault(func(string, int) endpoint.Fault { return endpoint.NoFault })
	}
	for _, p := range append(append([]*process{}, w.gateways...), w.agents...) {
		p.signal(syscall.SIGCONT)
	}
}
