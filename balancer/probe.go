package balancer

import (
	"context"
	"time"

	cyclamenpointv1 "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
	"github.com/cyclamenpoint/cyclamenpoint/membership"
	"github.com/cyclamenpoint/cyclamenpoint/picker"
)

// probeReply is the result of probing one candidate, given by its position among the
// candidates.
type probeReply struct {
	candidate int
	resp      *cyclamenpointv1.ProbeResponse
	err       error
}

// probe probes all candidates concurrently, stores the replies that arrive in time and
// returns their number.
func (b *Balancer) probe(ctx context.Context, current *addressedSnapshot, req *picker.Request, cands []picker.Candidate) int {
	probeCtx, cancel := context.WithTimeout(ctx, b.cfg.ProbeTimeout)
	defer cancel()
	prefixes := make([]uint64, len(req.Prefixes))
	for i := range req.Prefixes {
		prefixes[i] = req.Prefixes[i].Hash
	}
	replies := make(chan probeReply, len(cands))
	for candidate := range cands {
		index := cands[candidate].Index
		go func() {
			probe := &cyclamenpointv1.ProbeRequest{Endpoint: current.snap.Name(index), Prefixes: prefixes}
			resp, err := b.cfg.Prober.Probe(probeCtx, current.agents[index], probe)
			replies <- probeReply{candidate: candidate, resp: resp, err: err}
		}()
	}
	answered := 0
	for range cands {
		reply := <-replies
		c := &cands[reply.candidate]
		name := current.snap.Name(c.Index)
		if reply.err != nil || reply.resp.GetEndpoint() != name {
			b.reportUnresponsive(ctx, name)
			continue
		}
		answered++
		c.Answered = true
		c.Load = loadOf(reply.resp, time.Now())
		b.recordReply(name, c.Load, req.Prefixes)
	}
	return answered
}

// reportUnresponsive notifies the observer of an endpoint that did not reply, unless
// the caller cancelled the request.
func (b *Balancer) reportUnresponsive(ctx context.Context, name string) {
	if b.cfg.Observer != nil && ctx.Err() == nil {
		b.cfg.Observer.ReportUnresponsive(name)
	}
}

// recordReply stores a reply as a hint, and the endpoint as holder of the longest prefix
// that it has cached.
func (b *Balancer) recordReply(name string, load picker.Load, prefixes []picker.Prefix) {
	if n := min(load.Matched, len(prefixes)); n > 0 {
		b.holders.Add(prefixes[len(prefixes)-n].Hash, name)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hints[name] = load
}

func loadOf(resp *cyclamenpointv1.ProbeResponse, now time.Time) picker.Load {
	return picker.Load{
		Queued:   int(resp.GetQueued()),
		Running:  int(resp.GetRunning()),
		Slots:    int(resp.GetSlots()),
		Wait:     time.Duration(resp.GetWaitMillis()) * time.Millisecond,
		Matched:  int(resp.GetMatched()),
		Draining: resp.GetDraining() || resp.GetDown(),
		At:       now,
	}
}

// States returns the states of the endpoints by name. It derives them from the members
// that are agents; an agent has the name of its endpoint. started is when this process
// started: members that were discovered within startupGrace of it get no slow start,
// because they may have run for a long time.
func States(members []membership.Member, started time.Time) map[string]picker.State {
	states := make(map[string]picker.State, len(members))
	for i := range members {
		m := &members[i]
		if m.Kind != membership.KindAgent {
			continue
		}
		state := picker.State{Health: healthOf(m)}
		if m.FirstSeen.Sub(started) > startupGrace {
			state.Since = m.FirstSeen
		}
		states[m.Name] = state
	}
	return states
}

// startupGrace is the time after its own start in which a process assumes that the
// members it discovers have run for a long time.
const startupGrace = 15 * time.Second

func healthOf(m *membership.Member) picker.Health {
	switch {
	case m.Leaving:
		return picker.HealthLeaving
	case m.Health == membership.Dead:
		return picker.HealthDead
	case m.Health == membership.Suspect:
		return picker.HealthSuspect
	default:
		return picker.HealthAlive
	}
}
