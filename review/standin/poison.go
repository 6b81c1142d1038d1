package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	poisonCalm = 4 * time.Second
	// poisonPeriod is the time between two attempts of the client of the request that
	// crashes workers, poisonAttempts their number.
	poisonPeriod   = time.Second
	poisonAttempts = 30
	// crashDown is how long a crashed worker is down, expiry the time after which the
	// entry of the crashed incarnation is removed: three heartbeats.
	crashDown = 3 * time.Second
	expiry    = 3600 * time.Millisecond
	// eventPeriod is the time between two events of a stream.
	eventPeriod = 20 * time.Millisecond
	poisonBody  = "poison"
)

// streamWorker is a model worker without a group. Each start is a new incarnation with a
// new id.
type streamWorker struct {
	b       *testbed
	name    string
	address string
	// early makes the worker crash before the first event, not after it.
	early bool

	mu     sync.Mutex
	starts int
	server *http.Server
	id     string
}

// poisonLog is what the workers saw of the request that crashes them.
type poisonLog struct {
	mu      sync.Mutex
	crashes []time.Duration
	// reached holds when an attempt of the client first reached a worker, by its id.
	reached map[string]time.Duration
}

var poisoned = poisonLog{reached: make(map[string]time.Duration)}

func (w *streamWorker) start() {
	var l net.Listener
	var err error
	if w.address == "" {
		l = listen(w.b.net.ip(30))
		w.address = l.Addr().String()
	} else if l, err = net.Listen("tcp", w.address); err != nil {
		cannotRun(err.Error())
	}
	w.mu.Lock()
	w.starts++
	w.id = fmt.Sprintf("i-%s-%d", w.name, w.starts)
	id, server := w.id, &http.Server{}
	server.Handler = http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.serve(rw, r, id, server) })
	w.server = server
	w.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	w.b.store.Put("servers", id, entryOf("drafting-llm", w.address, 12))
	w.b.rec.line("worker starts", "worker", id)
}

// crash ends the worker's process: its listener and all connections close. It starts
// again later.
func (w *streamWorker) crash(id, request string, server *http.Server) {
	w.mu.Lock()
	if w.server != server {
		w.mu.Unlock()
		return
	}
	w.server = nil
	w.mu.Unlock()
	_ = server.Close()
	poisoned.mu.Lock()
	poisoned.crashes = append(poisoned.crashes, w.b.rec.now())
	poisoned.mu.Unlock()
	w.b.rec.line("worker crashes", "worker", id, "request", request)
	time.AfterFunc(expiry, func() { w.b.store.Remove("servers", id) })
	time.AfterFunc(crashDown, w.start)
}

func (w *streamWorker) serve(rw http.ResponseWriter, r *http.Request, id string, server *http.Server) {
	text, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	request := r.Header.Get("X-Request-Id")
	rw.Header().Set("X-Request-Id", request)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != id {
		rw.Header().Set("X-Instance-Id", id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	poison := string(text) == poisonBody && w.b.trouble
	if poison {
		poisoned.mu.Lock()
		if _, ok := poisoned.reached[request]; !ok {
			poisoned.reached[request] = w.b.rec.now()
		}
		poisoned.mu.Unlock()
	}
	if poison && w.early {
		w.crash(id, request, server)
		return
	}
	after, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		after = 0
	}
	w.b.rec.line("run", "request", request, "worker", id, "after", after)
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set("X-Response-Seal", "seal-"+id+"-"+request)
	for event := after + 1; event <= streamEvents; event++ {
		time.Sleep(eventPeriod)
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: token %d\n\n", event, event); err != nil {
			return
		}
		if http.NewResponseController(rw).Flush() != nil {
			return
		}
		if poison {
			time.Sleep(eventPeriod)
			w.crash(id, request, server)
			return
		}
	}
}

// playPoison sends a request that crashes each worker that runs it, again and again,
// beside sound requests.
func playPoison(b *testbed) bool {
	const service = "drafting-llm"
	b.putConfig(3, []object{
		{"name": "draft", "hostname": hostname, "prefix": "/draft/", "kind": "streaming", "resumable": true, "service": service, "timeout_ms": 8000, "target_latency_ms": 400, "target_gap_ms": 120, "max_attempts": 2, "priority": 1, "sticky": true},
	}, []object{{"name": service, "health_path": "/health", "max_connections": 516}})
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		(&streamWorker{b: b, name: name, early: os.Getenv("CRASH") == "early"}).start()
	}
	c := newClients(b.rec, []*gateway{b.machines.startGateway(0), b.machines.startGateway(1)})
	c.awaitReady(15 * time.Second)
	stop, sending := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(sending)
		tick := time.NewTicker(100 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
			case <-stop:
				return
			}
			c.send(&request{kind: "streaming", method: "POST", path: "/draft/2f", body: "complaint", deadline: 8 * time.Second})
		}
	}()
	time.Sleep(poisonCalm)
	attempts := poisonAttempts
	if n, err := strconv.Atoi(os.Getenv("ATTEMPTS")); err == nil {
		attempts = n
	}
	for n := range attempts {
		if n%6 == 5 && os.Getenv("GATEWAYS") == "killed" {
			kill(500*time.Millisecond, b.machines.all...)
			b.rec.note("all gateways killed")
		}
		c.send(&request{kind: "streaming", method: "POST", path: "/draft/2f", body: poisonBody, prefix: "5c1e07a2:40,91bd3f06:410,e4402b7d:250", deadline: 8 * time.Second})
		time.Sleep(poisonPeriod)
	}
	close(stop)
	<-sending
	cut, sound := 0, share{}
	for _, r := range c.all() {
		if r.body == poisonBody {
			continue
		}
		sound.add(r.served())
		if !r.complete && strings.Contains(r.failure, "EOF") {
			cut++
		}
	}
	poisoned.mu.Lock()
	defer poisoned.mu.Unlock()
	late := 0
	if len(poisoned.crashes) >= 3 {
		for _, at := range poisoned.reached {
			if at > poisoned.crashes[2]+contactTime {
				late++
			}
		}
	}
	b.rec.note("result", "crashes of workers", len(poisoned.crashes), "attempts that reached a worker", len(poisoned.reached),
		"of these later than contact_ms after the third crash", late, "sound requests served", sound, "of these cut", cut)
	return late > 3
}
