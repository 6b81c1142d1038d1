package main

import (
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/standin/rowstore"
)

// The bounds of the deployment that the check uses.
const (
	drainTimeout = 2 * time.Second
	contactTime  = 3 * time.Second
)

const (
	// drainCalm is the time between the start of the traffic and the replacement.
	drainCalm = 6 * time.Second
	// leaveAfterNew is the time between the entry of the new worker and the removal of
	// that of the old one.
	leaveAfterNew = 300 * time.Millisecond
	// discardAfterLeave is the time between the removal and the loss of the history.
	discardAfterLeave = 300 * time.Millisecond
	// lingers is how long the old worker serves after its entry was removed.
	lingers = 10 * time.Second
	// outageAfterNew is the time between the entry of the new worker and the outage, and
	// outageTime the length of the outage.
	outageAfterNew = 400 * time.Millisecond
	outageTime     = 4500 * time.Millisecond
	// contactMargin is added to contactTime.
	contactMargin = 500 * time.Millisecond
)

// playDrain replaces one worker by another one. The old one never reports that it
// drains: its entry is removed, it serves for some seconds more, and ends. The
// disruption is that the store discards its history after the removal.
func playDrain(b *testbed) bool {
	p := startPlainService(b)
	time.Sleep(drainCalm)
	old := p.workers[0]
	p.add("i-7f3a91c3")
	time.Sleep(leaveAfterNew)
	p.remove(old)
	removedAt := b.rec.now()
	time.Sleep(discardAfterLeave)
	discardedAt := b.rec.now()
	if b.trouble {
		b.store.DropHistory()
		b.rec.note("the store has discarded its history")
	}
	time.Sleep(lingers - discardAfterLeave)
	p.exit(old)
	// Machines are in touch again contactTime after the disruption.
	return p.lateRuns(old, max(removedAt+drainTimeout, discardedAt+contactTime)) > 0
}

// playOutage does the same. The disruption is that the store is down and answers nothing for
// some seconds. Calls that arrive meanwhile are never answered. The worker leaves once the
// store is stable again.
func playOutage(b *testbed) bool {
	p := startPlainService(b)
	time.Sleep(drainCalm)
	old := p.workers[0]
	p.add("i-7f3a91c3")
	time.Sleep(outageAfterNew)
	if b.trouble {
		b.store.SetMode(func(string) rowstore.Mode { return rowstore.Unresponsive })
		b.rec.note("store down")
	}
	time.Sleep(outageTime)
	b.store.SetMode(func(string) rowstore.Mode { return rowstore.Normal })
	b.rec.note("store up")
	time.Sleep(contactTime + contactMargin)
	p.remove(old)
	removedAt := b.rec.now()
	time.Sleep(lingers)
	p.exit(old)
	return p.lateRuns(old, removedAt+drainTimeout) > 0
}

// plainService is a deployment of two entry machines and a plain service, under traffic.
type plainService struct {
	b       *testbed
	workers []*worker
	clients *clients
	stop    chan struct{}
	sending chan struct{}
}

const (
	plainServiceName = "registry-app"
	// plainWork is the time of a request at a worker.
	plainWork = 200 * time.Millisecond
)

// add starts a worker and writes its entry.
func (p *plainService) add(id string) {
	w := startWorker(p.b.rec, p.b.net.ip(30+len(p.workers)), id, plainServiceName, plainWork)
	p.workers = append(p.workers, w)
	p.b.store.Put("servers", w.id, w.entry())
	p.b.rec.note("entry written", "worker", w.id)
}

// remove removes the entry of a worker that leaves.
func (p *plainService) remove(w *worker) {
	p.b.store.Remove("servers", w.id)
	p.b.rec.note("entry removed", "worker", w.id)
}

// exit ends a worker, and the traffic a little later.
func (p *plainService) exit(w *worker) {
	p.b.rec.note("worker ended", "worker", w.id, "requests cut", w.exit())
	time.Sleep(2 * time.Second)
	close(p.stop)
	<-p.sending
}

// lateRuns returns how many requests that were sent after from reached a worker after
// from.
func (p *plainService) lateRuns(w *worker, from time.Duration) int {
	byID := make(map[string]*request)
	for _, r := range p.clients.all() {
		byID[r.id] = r
	}
	late, lost := 0, 0
	for _, run := range w.allRuns() {
		r := byID[run.id]
		if r == nil || r.sentAt < from || run.arrivedAt < from {
			continue
		}
		late++
		if !r.served() {
			lost++
			p.b.rec.note("lost", "request", r.id, "kind", r.kind, "status", r.status, "failure", r.failure)
		}
	}
	p.b.rec.note("result", "runs at the worker that is gone, later than drain_timeout_ms", late, "of these without the worker's answer", lost)
	return late
}

// startPlainService starts the deployment and its traffic.
func startPlainService(b *testbed) *plainService {
	p := &plainService{b: b, stop: make(chan struct{}), sending: make(chan struct{})}
	const service = plainServiceName
	b.putConfig(3, []object{
		{"name": "write", "hostname": hostname, "prefix": "/write/", "kind": "unsafe", "service": service, "timeout_ms": 4000, "target_latency_ms": 300, "max_attempts": 1, "priority": 2},
		{"name": "read", "hostname": hostname, "prefix": "/read/", "kind": "safe", "service": service, "timeout_ms": 4000, "target_latency_ms": 300, "max_attempts": 2, "priority": 2},
	}, []object{{"name": service, "health_path": "/health", "max_connections": 220}})
	for _, id := range []string{"i-7f3a91c0", "i-7f3a91c1", "i-7f3a91c2"} {
		p.add(id)
	}
	p.clients = newClients(b.rec, []*gateway{b.machines.startGateway(0), b.machines.startGateway(1)})
	p.clients.awaitReady(15 * time.Second)
	go func() {
		defer close(p.sending)
		tick := time.NewTicker(25 * time.Millisecond)
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-tick.C:
			case <-p.stop:
				return
			}
			r := &request{kind: "unsafe", method: "POST", path: "/write/2f", body: "sanction", deadline: 4 * time.Second}
			if n%4 == 0 {
				r = &request{kind: "safe", method: "GET", path: "/read/2f", deadline: 4 * time.Second}
			}
			p.clients.send(r)
		}
	}()
	return p
}
