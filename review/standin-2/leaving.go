package main

import (
	"fmt"
	"slices"
	"time"
)

// Bounds of the users' pages, as in the settings.
const (
	contact      = 3000 * time.Millisecond
	drainTimeout = 2000 * time.Millisecond
)

const (
	// linger is how much longer than drainTimeout a leaving server goes on: "a little longer
	// (at times many seconds)".
	linger = 1600 * time.Millisecond
	// leavingRounds is the number of times that the connections fall silent, settleTime the
	// calm before each.
	leavingRounds = 5
	settleTime    = 7 * time.Second
	// batchSize is the number of requests that clients send at once, batchWork the time that
	// a server works on one. The last batch of a round comes batchDelay after the
	// connections have fallen silent.
	batchSize  = 24
	batchWork  = 500 * time.Millisecond
	batchDelay = contact + 300*time.Millisecond
	// verification is a call with which an entry node checks its copy of the configuration.
	// A round begins after one, since what is shown depends on which of its checks comes
	// next.
	verification     = "table=op&wait_ms=0"
	verificationTime = 4 * time.Second
)

// leaver is a server that has left without reporting that it is draining.
type leaver struct {
	*server
	// silent is when the connections fell silent, removed when the store acknowledged the
	// removal of the entry, and exited when the process ended.
	silent, removed, exited time.Time
}

// runLeaving lets the open connections to the store fall silent, and after that a server
// leave that never reports that it is draining: its entry is removed, and it continues
// serving.
//
// DRAIN: no request reaches it later than drainTimeout after the store has acknowledged the
// removal, from a machine in touch.
func runLeaving(w *world) (verdict, error) {
	s, err := w.startStore()
	if err != nil {
		return verdict{}, err
	}
	if err := s.putJSON("op", "config", deskConfig(3, nil)); err != nil {
		return verdict{}, err
	}
	for i := range 2 {
		if _, err := w.startServer(s, fmt.Sprintf("i-desk-%d", i+1), "desk", w.ip(2, i), batchWork); err != nil {
			return verdict{}, err
		}
	}
	ip := w.ip(1, 0)
	l, err := w.startLink(ip, s.address)
	if err != nil {
		return verdict{}, err
	}
	m := machine{name: "edge-1", class: "edge", ip: ip, store: l.address(), seeds: fmt.Sprintf("%s:%d", ip, portControl), memoryMB: 206, fds: 2870, bootstrap: true}
	if _, err := w.start(m, w.gateway, "gateway"); err != nil {
		return verdict{}, err
	}
	if err := awaitReady(ip); err != nil {
		return verdict{}, err
	}
	c := &clients{w: w, host: "desk.example", path: "/orders/new", method: "POST", timeout: 4 * time.Second, prefix: "q"}
	var leavers []leaver
	for round := range leavingRounds {
		one, err := playLeaving(w, s, l, c, ip, round)
		if err != nil {
			return verdict{}, err
		}
		leavers = append(leavers, one)
	}
	c.wait()
	return judgeLeaving(w, c, leavers), nil
}

// playLeaving plays one round: a server starts, and leaves after the connections have fallen
// silent.
func playLeaving(w *world, s *platformStore, l *link, c *clients, ip string, round int) (leaver, error) {
	started, err := w.startServer(s, fmt.Sprintf("i-desk-leaver-%d", round+1), "desk", w.ip(3, round), batchWork)
	if err != nil {
		return leaver{}, err
	}
	time.Sleep(settleTime)
	c.batch(ip, batchSize)
	time.Sleep(time.Second)
	if !l.awaitAnswer(verification, verificationTime) {
		return leaver{}, fmt.Errorf("no call with %s within %s", verification, verificationTime)
	}
	one := leaver{server: started, silent: time.Now()}
	if w.trouble {
		w.note("the %d open connections to the store fall silent", l.silence())
	}
	time.Sleep(200 * time.Millisecond)
	one.leaving.Store(true)
	s.Remove("servers", one.id)
	one.removed = time.Now()
	w.noteAt(one.removed, "the store has removed the entry of %s, which continues serving", one.id)
	time.Sleep(time.Until(one.silent.Add(batchDelay)))
	c.batch(ip, batchSize)
	time.Sleep(time.Until(one.removed.Add(drainTimeout + linger)))
	one.exited = time.Now()
	one.exit()
	return one, nil
}

// judgeLeaving applies DRAIN to the requests that reached the servers that have left.
func judgeLeaving(w *world, c *clients, leavers []leaver) verdict {
	var late, lost, rounds, all int
	var last time.Duration
	for _, one := range leavers {
		arrivals := one.all()
		all += len(arrivals)
		slices.SortFunc(arrivals, func(a, b arrival) int { return a.at.Compare(b.at) })
		before := late
		for _, a := range arrivals {
			q, ok := c.find(a.id)
			after := a.at.Sub(one.removed)
			if !ok || after <= drainTimeout || w.trouble && q.at.Sub(one.silent) <= contact {
				continue
			}
			late++
			if q.status >= 500 {
				lost++
			}
			last = max(last, after)
			w.noteAt(a.at, "DRAIN: %s reached %s %d ms after its removal, sent %d ms after the connections fell silent; the client got %d %s",
				a.id, one.id, after.Milliseconds(), q.at.Sub(one.silent).Milliseconds(), q.status, q.failure)
		}
		if late > before {
			rounds++
		}
	}
	if late == 0 {
		return verdict{summary: fmt.Sprintf("held: none of %d requests reached a server that had left too late", all)}
	}
	return verdict{broken: true, summary: fmt.Sprintf("broken: DRAIN: in %d of %d rounds, %d requests in all reached a server that had left, up to %d ms after its removal was acknowledged; %d of them were cut off when it exited", rounds, len(leavers), late, last.Milliseconds(), lost)}
}
