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

// lateCrashWindow is how long a run that ended without a complete answer still
// counts as in flight, because the agent may detect a broken stream before it
// detects the crash.
const lateCrashWindow = 5 * time.Second

// counts holds the counters of all lists and gates of the process. Its keys are
// "crashes" (detected by this process), "refused " followed by the reason and
// "became " followed by the state.
var counts = expvar.NewMap("quarantine")

// Ending is how a run ended.
type Ending int

// The endings of a run.
const (
	// EndedComplete: the endpoint gave a complete answer.
	EndedComplete Ending = iota
	// EndedIncomplete: the run ended in any other way, including cancellation.
	EndedIncomplete
)

// Gate controls which requests an agent sends to its endpoint. It tracks the
// requests in flight and admits one suspect at a time. It is safe for concurrent
// use.
type Gate struct {
	list        *List
	endpoint    string
	incarnation uint64
	// isTrialEndpoint reports whether this endpoint is the trial endpoint of a
	// content; see List.TrialEndpoint.
	isTrialEndpoint func(Fingerprint) bool
	// token is a semaphore with one permit, which the admitted suspect holds.
	token chan struct{}

	mu      sync.Mutex
	running map[*Permit]struct{}
	// ended holds the contents of runs that recently ended without a complete
	// answer, and when they ended.
	ended   map[Fingerprint]time.Time
	crashes uint32
}

// NewGate returns the gate of one endpoint.
func NewGate(list *List, endpoint string, incarnation uint64, isTrialEndpoint func(Fingerprint) bool) *Gate {
	return &Gate{
		list:            list,
		endpoint:        endpoint,
		incarnation:     incarnation,
		isTrialEndpoint: isTrialEndpoint,
		token:           make(chan struct{}, 1),
		running:         make(map[*Permit]struct{}),
		ended:           make(map[Fingerprint]time.Time),
	}
}

// Permit allows one request to be sent to the endpoint. Its methods must not be
// called concurrently.
type Permit struct {
	gate        *Gate
	fingerprint Fingerprint
	// holdsToken is true while the permit holds the gate's token.
	holdsToken bool
}

// Enter admits a request to the queue. A suspect waits until no other suspect is
// admitted. If the error is not nil, it is a *RefusedError and the request has
// not run. After Enter succeeds, the caller must call End.
func (g *Gate) Enter(ctx context.Context, fp Fingerprint) (*Permit, error) {
	p := &Permit{gate: g, fingerprint: fp}
	if g.list.State(fp) == Suspect && g.isTrialEndpoint(fp) {
		select {
		case g.token <- struct{}{}:
			p.holdsToken = true
		case <-ctx.Done():
			return nil, g.refused(fp, ReasonCancelled)
		}
	}
	if err := p.check(); err != nil {
		p.releaseToken()
		return nil, err
	}
	if g.list.State(fp) == Clean {
		// The content was cleared while it waited; it no longer needs the token.
		p.releaseToken()
	}
	return p, nil
}

// Start records that the request is about to be sent to the endpoint. It checks
// the content again, because its state may have changed while the request was
// queued. If the error is not nil, it is a *RefusedError and the request has not
// run.
func (p *Permit) Start() error {
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	if err := p.check(); err != nil {
		return err
	}
	p.gate.running[p] = struct{}{}
	return nil
}

// End records the end of the run, or that the request did not start. After a
// complete answer the content is cleared of all its crashes.
func (p *Permit) End(e Ending) {
	g := p.gate
	g.mu.Lock()
	if _, ok := g.running[p]; ok {
		delete(g.running, p)
		if e == EndedIncomplete {
			g.pruneEnded()
			g.ended[p.fingerprint] = time.Now()
		} else {
			g.list.RecordAnswer(p.fingerprint)
		}
	}
	g.mu.Unlock()
	p.releaseToken()
}

// RecordCrash records a crash of the endpoint: the contents in flight become
// suspects. The agent calls it once per crash, before it sends the next request to
// the endpoint.
func (g *Gate) RecordCrash() CrashID {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pruneEnded()
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

// check returns an error if the request may not run at this endpoint now. It
// acquires the token for a request that became a suspect after it was admitted.
func (p *Permit) check() error {
	g := p.gate
	switch g.list.State(p.fingerprint) {
	case Quarantined:
		return g.refused(p.fingerprint, ReasonQuarantined)
	case Suspect:
		return p.acquireToken()
	default:
		return nil
	}
}

func (p *Permit) acquireToken() error {
	g := p.gate
	if !g.isTrialEndpoint(p.fingerprint) {
		return g.refused(p.fingerprint, ReasonElsewhere)
	}
	if p.holdsToken {
		return nil
	}
	select {
	case g.token <- struct{}{}:
		p.holdsToken = true
		return nil
	default:
		return g.refused(p.fingerprint, ReasonBusy)
	}
}

// releaseToken releases the token if the permit holds it.
func (p *Permit) releaseToken() {
	if p.holdsToken {
		p.holdsToken = false
		<-p.gate.token
	}
}

func (g *Gate) pruneEnded() {
	maps.DeleteFunc(g.ended, func(_ Fingerprint, at time.Time) bool { return time.Since(at) > lateCrashWindow })
}

func (g *Gate) refused(fp Fingerprint, r Reason) error {
	counts.Add("refused "+r.String(), 1)
	klog.V(1).Infof("quarantine: refused content %s at %s: %s", fp, g.endpoint, r)
	return &RefusedError{Fingerprint: fp, Reason: r, Remaining: g.list.remaining(fp)}
}
