package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// partCount is the number of shared parts of a prompt. They take 6 bytes each of the head,
	// which may have 16,384.
	partCount = 2600
	// deadlyPart is the part that crashes each worker which begins to write an answer on it.
	deadlyPart = "dead"
	// firstPart is the id of the first shared part.
	firstPart = 0x100
	// workerCount is the number of model workers. One that has crashed is back after
	// workerRestart.
	workerCount   = 6
	workerRestart = 3 * time.Second
	// deadlyRounds is the number of times that requests with deadlyPart come, one at each
	// machine, each deadlyInterval.
	deadlyRounds   = 4
	deadlyInterval = 8 * time.Second
	// partsTimeout is the timeout_ms of all routes, and partsLate how much later the answer
	// must have come.
	partsTimeout = 4 * time.Second
	partsLate    = 500 * time.Millisecond
)

// prompt returns a number of shared parts of a prompt in order, with another one in the middle
// and a last one that belongs to the request alone.
func prompt(count int, other, last string) string {
	parts := make([]string, 0, count+2)
	for i := range count {
		parts = append(parts, strconv.FormatInt(int64(firstPart+i), 16)+":1")
		if i == count/2 && other != "" {
			parts = append(parts, other+":1")
		}
	}
	return strings.Join(append(parts, last+":20"), ",")
}

// worker is a model worker that crashes when it begins to write an answer on deadlyPart.
type worker struct {
	w       *world
	store   *platformStore
	id      string
	address string
	// prefill is the time until the first event of an answer, restart that from a crash to
	// the next start.
	prefill, restart time.Duration

	mu     sync.Mutex
	server *http.Server
	conns  map[net.Conn]struct{}
	// running are the requests without a complete answer.
	running map[string]bool
	// cut counts the requests that were running at a crash, besides the cause; deadly holds
	// the times at which requests with deadlyPart arrived, and crashes those of the crashes.
	cut             int
	deadly, crashes []time.Time
}

func (w *world) startWorker(s *platformStore, id, ip string, prefill, restart time.Duration) (*worker, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	one := &worker{w: w, store: s, id: id, address: listener.Addr().String(), prefill: prefill, restart: restart, running: make(map[string]bool)}
	return one, one.serve(listener)
}

// serve starts an incarnation of the worker and registers it.
func (k *worker) serve(listener net.Listener) error {
	server := &http.Server{Handler: k}
	k.mu.Lock()
	k.server, k.conns = server, make(map[net.Conn]struct{})
	k.mu.Unlock()
	server.ConnState = func(c net.Conn, state http.ConnState) {
		k.mu.Lock()
		defer k.mu.Unlock()
		if state == http.StateClosed {
			delete(k.conns, c)
		} else {
			k.conns[c] = struct{}{}
		}
	}
	go func() { _ = server.Serve(listener) }()
	k.w.onClose(func() { _ = server.Close() })
	k.w.note("worker %s starts", k.id)
	return k.store.putJSON("servers", k.id, serverRow("drafting", k.address, "ready", time.Now()))
}

// crash ends the worker as a killed process ends: its port refuses connections, and the open
// ones are reset. It is back after a time.
func (k *worker) crash(request string) {
	k.mu.Lock()
	server, conns := k.server, k.conns
	k.server, k.conns = nil, make(map[net.Conn]struct{})
	if server != nil {
		k.crashes = append(k.crashes, time.Now())
		k.cut += len(k.running) - 1
		k.running = make(map[string]bool)
	}
	k.mu.Unlock()
	if server == nil {
		return
	}
	k.w.note("worker %s crashes as it begins the answer to %s", k.id, request)
	for c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	_ = server.Close()
	time.AfterFunc(k.restart, func() {
		listener, err := net.Listen("tcp", k.address)
		if err != nil {
			k.w.note("worker %s cannot start again: %v", k.id, err)
			return
		}
		_ = k.serve(listener)
	})
}

// ServeHTTP implements http.Handler.
func (k *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	h := w.Header()
	h.Set("X-Request-Id", id)
	if r.Header.Get("X-Expect-Instance") != k.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	k.w.note("worker %s runs %s", k.id, id)
	isDeadly := strings.Contains(r.Header.Get("X-Prompt-Prefix"), ","+deadlyPart+":")
	k.mu.Lock()
	if isDeadly {
		k.deadly = append(k.deadly, time.Now())
	}
	k.running[id] = true
	k.mu.Unlock()
	defer func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.running, id)
	}()
	time.Sleep(k.prefill)
	if isDeadly {
		k.crash(id)
		return
	}
	h.Set("X-Response-Seal", k.id+"."+id)
	h.Set("Content-Type", "text/event-stream")
	from, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		from = 0
	}
	for event := from + 1; event <= 10; event++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", event, event); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		time.Sleep(80 * time.Millisecond)
	}
}

// runParts lets requests come one of whose parts crashes workers. All prompts have many
// parts.
//
// CONFIG: of the requests that are unanswered at their route's timeout, at most a quarter (or
// fewer than eight) have no answer half a second later.
func runParts(w *world) (verdict, error) {
	s, err := w.startStore()
	if err != nil {
		return verdict{}, err
	}
	cfg := deskConfig(3, nil)
	cfg["routes"] = append(cfg["routes"].([]any), map[string]any{
		"name": "drafts", "hostname": "desk.example", "prefix": "/drafts/", "kind": "streaming", "resumable": true, "target_latency_ms": 400, "target_gap_ms": 120,
		"timeout_ms": partsTimeout.Milliseconds(), "priority": 1, "max_attempts": 2, "allow_anonymous": true, "service": "drafting",
	})
	cfg["services"] = append(cfg["services"].([]any), map[string]any{"name": "drafting", "health_path": "/health", "max_connections": 516})
	if err := s.putJSON("op", "config", cfg); err != nil {
		return verdict{}, err
	}
	for i := range 2 {
		if _, err := w.startServer(s, fmt.Sprintf("i-desk-%d", i+1), "desk", w.ip(2, i), 30*time.Millisecond); err != nil {
			return verdict{}, err
		}
	}
	for i := range workerCount {
		if _, err := w.startWorker(s, fmt.Sprintf("i-drafting-%d", i+1), w.ip(4, i), 100*time.Millisecond, workerRestart); err != nil {
			return verdict{}, err
		}
	}
	ips, guards, err := w.startEdges(s, edgeMB, 700)
	if err != nil {
		return verdict{}, err
	}
	orders := &clients{w: w, host: "desk.example", path: "/orders/new", method: "POST", timeout: partsTimeout, prefix: "q"}
	drafts := &clients{w: w, host: "desk.example", path: "/drafts/x", method: "POST", timeout: partsTimeout, prefix: "s"}
	deadly := &clients{w: w, host: "desk.example", path: "/drafts/x", method: "POST", timeout: partsTimeout, prefix: "d"}
	var senders sync.WaitGroup
	stop := make(chan struct{})
	for _, g := range guards {
		senders.Go(func() { g.watch(w, stop) })
	}
	every := func(interval time.Duration, send func(n int)) {
		senders.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(interval):
					send(n)
				}
			}
		})
	}
	every(50*time.Millisecond, func(n int) { orders.batch(ips[n%len(ips)], 1) })
	every(100*time.Millisecond, func(n int) {
		drafts.batchWith(ips[n%len(ips)], map[string]string{"X-Prompt-Prefix": prompt(partCount, "", fmt.Sprintf("a%05x", n))})
	})
	time.Sleep(8 * time.Second)
	for n := range deadlyRounds {
		for i, ip := range ips {
			if w.trouble {
				deadly.batchWith(ip, map[string]string{"X-Prompt-Prefix": prompt(partCount, deadlyPart, fmt.Sprintf("b%04x%d", n, i))})
			}
		}
		time.Sleep(deadlyInterval)
	}
	time.Sleep(2 * time.Second)
	close(stop)
	senders.Wait()
	orders.wait()
	drafts.wait()
	v := judgeParts(w, orders, drafts)
	for _, g := range guards {
		v.summary += fmt.Sprintf("; %s: at most %d MB, %d kills", g.process.name, g.peak/1e6, g.kills)
	}
	return v, nil
}

// judgeParts applies CONFIG to the requests of sound clients.
func judgeParts(w *world, all ...*clients) verdict {
	var requests, unanswered, late int
	for _, c := range all {
		c.mu.Lock()
		for _, q := range c.all {
			requests++
			if q.ended.Sub(q.at) < partsTimeout {
				continue
			}
			unanswered++
			if q.status == 0 || q.ended.Sub(q.at) > partsTimeout+partsLate {
				late++
				w.noteAt(q.ended, "CONFIG: %s, sent at %.3f, has no answer %s later", q.id, q.at.Sub(w.began).Seconds(), (partsTimeout + partsLate).String())
			}
		}
		c.mu.Unlock()
	}
	summary := fmt.Sprintf("of %d sound requests %d were unanswered at their route's timeout, and %d of these half a second later", requests, unanswered, late)
	if late >= 8 && late*4 > unanswered {
		return verdict{broken: true, summary: "broken: CONFIG: " + summary}
	}
	return verdict{summary: "held: " + summary}
}
