package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// worker is a worker of a plain service.
type worker struct {
	rec         *record
	id, service string
	work        time.Duration
	listener    net.Listener
	server      *http.Server
	slots       chan struct{}

	mu   sync.Mutex
	runs []run
	// running counts the requests that the worker works on.
	running int
}

// run is one execution of a request.
type run struct {
	id, method, uri string
	arrivedAt       time.Duration
	cut             bool
}

// workerSlots is the number of requests that a worker processes at once; as many
// more wait.
const workerSlots = 6

func startWorker(rec *record, ip, id, service string, work time.Duration) *worker {
	w := &worker{rec: rec, id: id, service: service, work: work, listener: listen(ip), slots: make(chan struct{}, workerSlots)}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(w.listener) }()
	return w
}

// entry returns the worker's entry in the store.
func (w *worker) entry() []byte { return entryOf(w.service, w.listener.Addr().String(), workerSlots) }

func entryOf(service, address string, slots int) []byte {
	text, err := json.Marshal(map[string]any{
		"service": service, "address": address, "zone": "zone-a", "version": "1", "slots": slots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	if err != nil {
		cannotRun(err.Error())
	}
	return text
}

// exit ends the worker: it closes its listener and all connections.
func (w *worker) exit() (running int) {
	w.mu.Lock()
	running = w.running
	w.mu.Unlock()
	_ = w.server.Close()
	return running
}

// allRuns returns the requests run so far.
func (w *worker) allRuns() []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]run(nil), w.runs...)
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	arrived := w.rec.now()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	rw.Header().Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		rw.Header().Set("X-Instance-Id", w.id)
		rw.Header().Set("At-Server", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case w.slots <- struct{}{}:
	case <-time.After(time.Second):
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	defer func() { <-w.slots }()
	n := w.begin(run{id: id, method: r.Method, uri: r.RequestURI, arrivedAt: arrived})
	select {
	case <-time.After(w.work):
	case <-r.Context().Done():
		w.end(n, true)
		return
	}
	w.end(n, false)
	body := "answer of " + w.id + " to " + id
	rw.Header().Set("X-Response-Seal", "seal-"+w.id+"-"+id)
	rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(rw, body)
}

func (w *worker) begin(r run) int {
	w.rec.line("run", "request", r.id, "worker", w.id, "method", r.method, "uri", r.uri)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, r)
	w.running++
	return len(w.runs) - 1
}

func (w *worker) end(n int, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[n].cut = cut
	w.running--
	if cut {
		w.rec.line("cut", "request", w.runs[n].id, "worker", w.id)
	}
}
