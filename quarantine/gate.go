package quarantine

import (
	"context"
	"expvar"
	"maps"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

// linger is how long a run that ended without a whole answer still counts as in
// flight: the agent may see a broken stream before it sees the crash.
const linger = 5 * time.Second

// counts are the counters of all lists and gates of the process: "crashes" that
// were seen here, "refused " with the reason, "became " with the state.
var counts = expvar.NewMap("quarantine")

// Ending says how a run ended.
type Ending int

// The endings of a run.
const (
	// EndedComplete: the endpoint gave its whole answer.
	EndedComplete Ending = iota
	// EndedIncomplete: the run ended in any other way, cancellation included.
	EndedIncomplete
)

// Gate stands between an agent and its endpoint. It knows what is in flight and
// lets one suspect run at a time. It is safe for concurrent use.
type Gate struct {
	list        *List
	endpoint    string
	incarnation uint64
	// trialHere reports whether this endpoint is the trial endpoint of a
	// content; see Trial.
	trialHere func(Fingerprint) bool
	// token is held by the suspect that is let through.
	token chan struct{}

	mu      sync.Mutex
	running map[*Permit]struct{}
	// ended holds the contents of runs that broke lately, with the time.
	ended   map[Fingerprint]time.Time
	crashes uint32
}

// NewGate returns the gate of one endpoint.
func NewGate(list *List, endpoint string, incarnation uint64, trialHere func(Fingerprint) bool) *Gate {
	return &Gate{
		list:        list,
		endpoint:    endpoint,
		incarnation: incarnation,
		trialHere:   trialHere,
		token:       make(chan struct{}, 1),
		running:     make(map[*Permit]struct{}),
		ended:       make(map[Fingerprint]time.Time),
	}
}

// Permit is the permission of one request to go to the endpoint. Its methods are
// called by one goroutine.
type Permit struct {
	gate        *Gate
	fingerprint Fingerprint
	// alone is true while the pass holds the gate's token.
	alone bool
}

// Enter lets a request through to the queue. A suspect waits until no other
// suspect is let through. The error is a *RefusedError; the request has not run
// then. After Enter has succeeded the caller calls End in any case.
func (g *Gate) Enter(ctx context.Context, fp Fingerprint) (*Permit, error) {
	p := &Permit{gate: g, fingerprint: fp}
	if g.list.State(fp) == Suspect && g.trialHere(fp) {
		select {
		case g.token <- struct{}{}:
			p.alone = true
		case <-ctx.Done():
			return nil, g.refused(fp, ReasonCancelled)
		}
	}
	if err := p.check(); err != nil {
		p.drop()
		return nil, err
	}
	if g.list.State(fp) == Clean {
		// It was cleared while it waited; others need not wait for it.
		p.drop()
	}
	return p, nil
}

// Start notes that the request goes to the endpoint now. It looks at the facts
// again: they may have changed while the request was queued. The error is a
// *RefusedError; the request has not run then.
func (p *Permit) Start() error {
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	if err := p.check(); err != nil {
		return err
	}
	p.gate.running[p] = struct{}{}
	return nil
}

// End notes the end of the run, or that the request never started. A whole
// answer clears the content everywhere.
func (p *Permit) End(e Ending) {
	g := p.gate
	g.mu.Lock()
	if _, ok := g.running[p]; ok {
		delete(g.running, p)
		if e == EndedIncomplete {
			g.forgetEnded()
			g.ended[p.fingerprint] = time.Now()
		} else {
			g.list.RecordAnswer(p.fingerprint)
		}
	}
	g.mu.Unlock()
	p.drop()
}

// RecordCrash notes that the endpoint crashed: everything in flight becomes
// suspect. The agent calls it once for each crash, before it lets anything
// through to the endpoint again.
func (g *Gate) RecordCrash() CrashID {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.forgetEnded()
	fps := slices.Collect(maps.Keys(g.ended))
	for p := range g.running {
		fps = append(fps, p.fingerprint)
	}
	clear(g.running)
	clear(g.ended)
	g.crashes++
	id := CrashID{Endpoint: g.endpoint, Incarnation: g.incarnation, Number: g.crashes}
	slices.Sort(fps)
	g.list.RecordCrash(id, slices.Compact(fps))
	return id
}

// check refuses what may not run here now. It takes the token for a request
// that became a suspect after it was let through.
func (p *Permit) check() error {
	g := p.gate
	switch g.list.State(p.fingerprint) {
	case Quarantined:
		return g.refused(p.fingerprint, ReasonQuarantined)
	case Suspect:
		return p.alonePlease()
	default:
		return nil
	}
}

func (p *Permit) alonePlease() error {
	g := p.gate
	if !g.trialHere(p.fingerprint) {
		return g.refused(p.fingerprint, ReasonElsewhere)
	}
	if p.alone {
		return nil
	}
	select {
	case g.token <- struct{}{}:
		p.alone = true
		return nil
	default:
		return g.refused(p.fingerprint, ReasonBusy)
	}
}

// drop gives the token back.
func (p *Permit) drop() {
	if p.alone {
		p.alone = false
		<-p.gate.token
	}
}

func (g *Gate) forgetEnded() {
	maps.DeleteFunc(g.ended, func(_ Fingerprint, at time.Time) bool { return time.Since(at) > linger })
}

func (g *Gate) refused(fp Fingerprint, r Reason) error {
	counts.Add("refused "+r.String(), 1)
	klog.V(1).Infof("quarantine: refused content %s at %s: %s", fp, g.endpoint, r)
	return &RefusedError{Fingerprint: fp, Reason: r, Remaining: g.list.remaining(fp)}
}
