package main

import (
	"sync/atomic"
	"time"
)

const (
	leaderCalm = 10 * time.Second
	// leaderRounds is the number of times that the leader is killed and a rank crashes.
	leaderRounds = 5
	// planTime is how long the group is left alone after a kill, and after a crash.
	planTime = 8 * time.Second
)

// playLeader changes the maps of a rank group under load. The process that gave the last
// order to hold the group is killed; some seconds later a rank crashes, and the group forms
// again. This is repeated.
func playLeader(b *testbed) bool {
	d := startRankGroup(b, 8)
	g := d.group
	var gate atomic.Int64
	g.mu.Lock()
	g.onOrder = func(rank int, operation string) {
		if operation == "hold" {
			gate.Store(int64(rank))
		}
	}
	g.mu.Unlock()
	time.Sleep(leaderCalm)
	for round := range leaderRounds {
		// The rank before the gate is that of the leader.
		leader := (int(gate.Load()) + g.shape.ranks - 1) % g.shape.ranks
		if b.trouble {
			p := b.machines.all[len(b.machines.all)-g.shape.ranks+leader]
			kill(downTime, p)
			b.rec.note("process killed", "name", p.name)
		}
		time.Sleep(planTime)
		if b.trouble {
			g.crash((leader + 2 + round) % g.shape.ranks)
			b.rec.note("a rank crashes")
		}
		time.Sleep(planTime)
	}
	d.endTraffic()
	served := share{}
	for _, r := range d.clients.all() {
		served.add(r.served())
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	b.rec.note("result", "changes of map", g.switches, "passes with two maps", g.mixed, "maps refused as invalid", g.invalid, "served", served)
	return g.mixed > 0
}
