package main

import (
	"os"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// recoverCalm is the time between the start of the traffic and the first moment at
	// which the final fault may strike.
	recoverCalm = 10 * time.Second
	// faultWait is how long the final fault waits for an order.
	faultWait = 25 * time.Second
	// downTime is how long the processes are down.
	downTime = 1100 * time.Millisecond
	// recoveryTime is the bound recovery_s.
	recoveryTime = 12 * time.Second
	// judgedTime is how long requests are sent after the recovery.
	judgedTime = 12 * time.Second
	// streamInterval is the time between two requests.
	streamInterval = 120 * time.Millisecond
)

// playRecover changes the maps of a rank group under load. The final fault kills all
// processes of the system right after a worker has acknowledged an order to hold the
// group.
func playRecover(b *testbed) bool {
	d := startRankGroup(b, 2)
	g, c := d.group, d.clients
	trafficAt := b.rec.now()
	time.Sleep(recoverCalm / 2)
	if os.Getenv("LEADER") == "1" {
		// The other agent then leads the group.
		for _, p := range b.machines.all {
			if p.name == "side-0" {
				kill(2*time.Second, p)
			}
		}
	}
	time.Sleep(recoverCalm / 2)
	// The agents are killed first.
	victims := slices.Clone(b.machines.all)
	slices.Reverse(victims)
	if os.Getenv("FAULT") == "leader" {
		victims = slices.DeleteFunc(victims, func(p *process) bool { return p.name != "side-0" })
	}
	struck := make(chan struct{})
	var once sync.Once
	fault := func(cause string) {
		once.Do(func() {
			if b.trouble {
				kill(downTime, victims...)
				b.rec.note("processes killed", "right after", cause)
			}
			close(struck)
		})
	}
	g.mu.Lock()
	b.rec.note("changes of map so far", "maps", g.switches)
	g.onOrder = func(rank int, operation string) {
		if operation == "hold" {
			fault("hold at rank " + strconv.Itoa(rank))
		}
	}
	g.mu.Unlock()
	select {
	case <-struck:
	case <-time.After(faultWait):
		if b.trouble {
			cannotRun("no order to hold the group")
		}
	}
	faultAt := b.rec.now()
	time.Sleep(downTime)
	backAt := b.rec.now()
	b.rec.note("processes start again")
	time.Sleep(recoveryTime + judgedTime)
	d.endTraffic()
	before, after := share{}, share{}
	for _, r := range c.all() {
		switch {
		case r.sentAt >= trafficAt && r.sentAt < faultAt-time.Second:
			before.add(r.served())
		case r.sentAt > backAt+recoveryTime:
			after.add(r.served())
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.ranks {
		b.rec.note("rank at the end", "rank", r.number, "step", g.step, "held", r.hold, "armed", r.armed != nil, "map", r.inForce)
	}
	for _, p := range b.machines.all {
		b.rec.note("process", "name", p.name, "starts", p.starts)
	}
	b.rec.note("result", "changes of map", g.switches, "passes with two maps", g.mixed, "maps refused as invalid", g.invalid,
		"served before", before, "served later than recovery_s", after)
	return before.part() >= 0.25 && after.part() < 0.25
}

// share counts served requests.
type share struct{ served, all int }

func (s *share) add(served bool) {
	s.all++
	if served {
		s.served++
	}
}

func (s share) part() float64 { return float64(s.served) / float64(max(s.all, 1)) }

func (s share) String() string { return strconv.Itoa(s.served) + " of " + strconv.Itoa(s.all) }

// rankGroup is a deployment of two entry machines and one rank group, under traffic.
type rankGroup struct {
	group         *group
	clients       *clients
	stop, sending chan struct{}
}

func (d *rankGroup) endTraffic() {
	close(d.stop)
	<-d.sending
}

// startRankGroup starts the deployment and its traffic. RANKS sets another number of ranks.
func startRankGroup(b *testbed, ranks int) *rankGroup {
	const service = "drafting-llm"
	if n, err := strconv.Atoi(os.Getenv("RANKS")); err == nil {
		ranks = n
	}
	// The figures of the deployment, for fewer ranks: 8 experts a rank, 11 places, 4 spare.
	s := shape{ranks: ranks, sets: 6, experts: 8 * ranks, placements: 11, spare: 4}
	b.putConfig(3, []object{
		{"name": "draft", "hostname": hostname, "prefix": "/draft/", "kind": "streaming", "resumable": true, "service": service, "timeout_ms": 8000, "target_latency_ms": 400, "target_gap_ms": 120, "max_attempts": 2, "priority": 1, "sticky": true},
	}, []object{{"name": service, "health_path": "/health", "max_connections": 516, "engine": object{
		"slots": groupSlots, "kv_capacity_tokens": 372000, "step_ms": 5.85, "per_seq_ms": 0.355, "context_per_k": 0.036, "stride": 1,
		"read_per_s": 61200, "pairs_per_m": 0.325, "chunk": 512, "usual": object{"prompt": 400, "answer": 60}, "report_lag_ms": 200,
		"sets": s.sets, "experts": s.experts, "placements": s.placements, "spare": s.spare, "expert_mb": 580, "link_mbps": 92000, "expert_share": 0.85,
	}}})
	g := newGroup(b.rec, b.net, s)
	c := newClients(b.rec, []*gateway{b.machines.startGateway(0), b.machines.startGateway(1)})
	for n, r := range g.ranks {
		b.store.Put("servers", r.id, entryOf(service, r.listener.Addr().String(), groupSlots))
		b.machines.startAgent(n, b.net.ip(50+n), r.listener.Addr().String(), service)
	}
	c.awaitReady(15 * time.Second)
	d := &rankGroup{group: g, clients: c, stop: make(chan struct{}), sending: make(chan struct{})}
	go func() {
		defer close(d.sending)
		tick := time.NewTicker(streamInterval)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
			case <-d.stop:
				return
			}
			c.send(&request{kind: "streaming", method: "POST", path: "/draft/2f", body: "complaint", deadline: 8 * time.Second})
		}
	}()
	return d
}
