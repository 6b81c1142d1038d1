package balancer

import (
	"context"
	"time"

	cyclamenpointv1 "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
	"github.com/cyclamenpoint/cyclamenpoint/membership"
	"github.com/cyclamenpoint/cyclamenpoint/picker"
)

// answer is what came back from the probe of one candidate.
type answer struct {
	at   int
	resp *cyclamenpointv1.ProbeResponse
	err  error
}

// probe asks all candidates at once, notes the answers that come in time and
// returns how many did.
func (b *Balancer) probe(ctx context.Context, v *view, req *picker.Request, cands []picker.Candidate) int {
	probeCtx, cancel := context.WithTimeout(ctx, b.cfg.ProbeTimeout)
	defer cancel()
	prefixes := make([]uint64, len(req.Prefixes))
	for i := range req.Prefixes {
		prefixes[i] = req.Prefixes[i].Hash
	}
	answers := make(chan answer, len(cands))
	for at := range cands {
		index := cands[at].Index
		go func() {
			ask := &cyclamenpointv1.ProbeRequest{Endpoint: v.snap.Name(index), Prefixes: prefixes}
			resp, err := b.cfg.Prober.Probe(probeCtx, v.agents[index], ask)
			answers <- answer{at: at, resp: resp, err: err}
		}()
	}
	answered := 0
	for range cands {
		a := <-answers
		c := &cands[a.at]
		name := v.snap.Name(c.Index)
		if a.err != nil || a.resp.GetEndpoint() != name {
			b.doubt(ctx, name)
			continue
		}
		answered++
		c.Answered = true
		c.Load = loadOf(a.resp, time.Now())
		b.remember(name, c.Load, req.Prefixes)
	}
	return answered
}

// doubt tells the observer of a silent endpoint, unless the caller gave up.
func (b *Balancer) doubt(ctx context.Context, name string) {
	if b.cfg.Observer != nil && ctx.Err() == nil {
		b.cfg.Observer.ReportUnresponsive(name)
	}
}

// remember keeps an answer as a hint, and the endpoint as holder of the longest
// prefix that it has.
func (b *Balancer) remember(name string, load picker.Load, prefixes []picker.Prefix) {
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

// States turns the members into states by endpoint name; an agent has its
// endpoint's name. since keeps members known for long out of slow start: those
// that this process met when it started itself.
func States(members []membership.Member, started time.Time) map[string]picker.State {
	states := make(map[string]picker.State, len(members))
	for i := range members {
		m := &members[i]
		if m.Kind != membership.KindAgent {
			continue
		}
		state := picker.State{Health: healthOf(m)}
		if m.FirstSeen.Sub(started) > meetingTime {
			state.Since = m.FirstSeen
		}
		states[m.Name] = state
	}
	return states
}

// meetingTime is how long after its own start a process counts the others that
// it meets as old.
const meetingTime = 15 * time.Second

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
