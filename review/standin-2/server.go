package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request that reached a server.
type arrival struct {
	id string
	at time.Time
	// ended is when its answer was written, zero if it was not.
	ended time.Time
}

// server is a sound application server: it runs a request for some time and answers.
type server struct {
	w       *world
	id      string
	service string
	work    time.Duration
	address string
	born    time.Time
	http    *http.Server
	// leaving is true once the server is about to stop, which all its answers say then.
	leaving atomic.Bool

	mu       sync.Mutex
	arrivals map[string]*arrival
}

// startServer starts a server and registers it.
func (w *world) startServer(s *platformStore, id, service, ip string, work time.Duration) (*server, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	a := &server{w: w, id: id, service: service, work: work, address: listener.Addr().String(), born: time.Now(), arrivals: make(map[string]*arrival)}
	a.http = &http.Server{Handler: a}
	go func() { _ = a.http.Serve(listener) }()
	w.onClose(func() { _ = a.http.Close() })
	w.note("server %s of %s at %s starts", id, service, a.address)
	return a, s.putJSON("servers", id, serverRow(service, a.address, "ready", a.born))
}

// serverRow is what a server writes of itself.
func serverRow(service, address, state string, born time.Time) map[string]any {
	return map[string]any{
		"service": service, "address": address, "zone": "zone-a", "version": "v1", "slots": 12, "state": state,
		"cold_remaining_ms": 0, "sequence": 1, "born": born.UnixMilli(),
	}
}

// ServeHTTP implements http.Handler.
func (a *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	at := time.Now()
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Instance-Id", a.id)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if r.Header.Get("X-Expect-Instance") != a.id {
		a.w.noteAt(at, "server %s turns away %s: 421", a.id, id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	one := &arrival{id: id, at: at}
	a.mu.Lock()
	a.arrivals[id] = one
	a.mu.Unlock()
	a.w.noteAt(at, "server %s runs %s", a.id, id)
	time.Sleep(a.work)
	w.Header().Set("X-Response-Seal", a.id+"."+id)
	if a.leaving.Load() {
		w.Header().Set("Server-Leaving", "1")
	}
	body := fmt.Sprintf("answer of %s to %s", a.id, id)
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	if _, err := io.WriteString(w, body); err == nil {
		a.mu.Lock()
		one.ended = time.Now()
		a.mu.Unlock()
	}
}

// all returns the requests that have reached the server.
func (a *server) all() []arrival {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]arrival, 0, len(a.arrivals))
	for _, one := range a.arrivals {
		out = append(out, *one)
	}
	return out
}

// exit ends the server as a process does that exits: connections are cut.
func (a *server) exit() {
	a.w.note("server %s exits", a.id)
	_ = a.http.Close()
}
