// Package balancer is the mechanism around the pure picker: it keeps the
// snapshot, sends the probes, remembers their answers as hints and logs each
// choice. It is safe for concurrent use.
package balancer

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"k8s.io/klog/v2"

	"github.com/cyclamenpoint/cyclamenpoint/deployment"
	cyclamenpointv1 "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
	"github.com/cyclamenpoint/cyclamenpoint/picker"
)

const (
	// refreshPeriod is the time between two renewals of the snapshot.
	refreshPeriod = time.Second
	// slowStartWatch is how long after a change of the endpoints the snapshot is
	// rebuilt each period, so that the shares of new endpoints grow.
	slowStartWatch = 35 * time.Second
	// maxHolders bounds the prefixes whose holder is remembered.
	maxHolders = 8192
	// maxCandidates is the room for the candidates of one pick.
	maxCandidates = 16
)

// Prober asks the agent at an address for its load.
type Prober interface {
	// Probe returns the answer, or an error when the context ends first.
	Probe(ctx context.Context, address string, req *cyclamenpointv1.ProbeRequest) (*cyclamenpointv1.ProbeResponse, error)
}

// Observer is told which endpoints did not answer a probe.
type Observer interface {
	// ReportUnresponsive reports an endpoint that did not answer a probe. It must
	// not block.
	ReportUnresponsive(endpoint string)
}

// Config sets up a Balancer.
type Config struct {
	// Locality is where this process stands.
	Locality picker.Locality
	// Policy chooses; picker.DefaultProbePolicy suits all sizes.
	Policy picker.ProbePolicy
	// Prober sends the probes.
	Prober Prober
	// ProbeTimeout bounds the wait for probes.
	ProbeTimeout time.Duration
	// Observer hears of silent endpoints; nil means nobody does.
	Observer Observer
	// Rand is the balancer's own random source.
	Rand *rand.Rand
}

// DefaultProbeTimeout exceeds a round trip between regions.
const DefaultProbeTimeout = 30 * time.Millisecond

// Pick is where an attempt goes.
type Pick struct {
	picker.Pick
	// Agent is where the agent beside the endpoint listens, as IP:port.
	Agent string
	// Version is the version of the deployment that chose.
	Version uint64
	// Probed and Answered count the probes of the choice.
	Probed, Answered int
}

// NotConfiguredError says that no deployment is in force here yet.
type NotConfiguredError struct{}

// Error implements error.
func (*NotConfiguredError) Error() string {
	return "no deployment is in force here yet"
}

// view is a snapshot with the addresses of its endpoints.
type view struct {
	snap   *picker.Snapshot
	agents []string
}

// Balancer chooses endpoints.
type Balancer struct {
	cfg     Config
	current atomic.Pointer[view]
	holders *lru.Cache[uint64, string]

	mu         sync.Mutex
	rng        *rand.Rand
	deployment *deployment.Deployment
	version    uint64
	states     map[string]picker.State
	hints      map[string]picker.Load
	ejected    map[string]time.Time
	changedAt  time.Time
}

// New returns a balancer without a deployment.
func New(cfg Config) *Balancer {
	// The size is a positive constant; New fails for no other reason.
	holders, _ := lru.New[uint64, string](maxHolders)
	return &Balancer{cfg: cfg, holders: holders, rng: cfg.Rand, hints: make(map[string]picker.Load), ejected: make(map[string]time.Time)}
}

// SetDeployment puts a deployment in force. The caller must not change d
// afterwards.
func (b *Balancer) SetDeployment(d *deployment.Deployment, version uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.deployment, b.version = d, version
	b.rebuild(time.Now())
}

// SetStates replaces what is known of the endpoints, by name. From then on an
// endpoint without a state counts as suspect: its agent has not been met. The
// caller must not change states afterwards.
func (b *Balancer) SetStates(states map[string]picker.State) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.states = states
	b.rebuild(time.Now())
}

// Eject gives an endpoint no new work for a while, because requests failed
// there though it answers probes. The floor holds for ejected endpoints as for
// others that look ill.
func (b *Balancer) Eject(endpoint string, period time.Duration, reason string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.ejected[endpoint] = now.Add(period)
	b.rebuild(now)
	klog.Infof("balancer: %s is ejected for %s: %s", endpoint, period, reason)
}

// Run renews the snapshot's hints and shares until ctx ends.
func (b *Balancer) Run(ctx context.Context) {
	ticker := time.NewTicker(refreshPeriod)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			b.refresh(now)
		case <-ctx.Done():
			return
		}
	}
}

// refresh gives the hints to the snapshot, and rebuilds it while endpoints
// start slowly.
func (b *Balancer) refresh(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	v := b.current.Load()
	if v == nil {
		return
	}
	if now.Sub(b.changedAt) < slowStartWatch || len(b.ejected) > 0 {
		b.build(now)
		return
	}
	b.current.Store(&view{snap: v.snap.WithHints(b.hintsOf(v.snap), now), agents: v.agents})
}

// rebuild builds a snapshot after a change. The caller holds the lock.
func (b *Balancer) rebuild(now time.Time) {
	b.changedAt = now
	b.build(now)
}

func (b *Balancer) build(now time.Time) {
	if b.deployment == nil {
		return
	}
	snap := picker.NewSnapshot(b.deployment, b.version, b.cfg.Locality, b.allStates(now), now)
	agents := make([]string, snap.Len())
	for i := range b.deployment.Endpoints {
		agents[i] = b.deployment.Endpoints[i].Agent
	}
	b.current.Store(&view{snap: snap.WithHints(b.hintsOf(snap), now), agents: agents})
}

// allStates adds the endpoints whose agent has not been met and those that are
// ejected.
func (b *Balancer) allStates(now time.Time) map[string]picker.State {
	all := make(map[string]picker.State, len(b.states))
	maps.Copy(all, b.states)
	for i := range b.deployment.Endpoints {
		name := b.deployment.Endpoints[i].Name
		if _, ok := all[name]; !ok && b.states != nil {
			all[name] = picker.State{Health: picker.HealthSuspect}
		}
	}
	for name, until := range b.ejected {
		if !now.Before(until) {
			delete(b.ejected, name)
			continue
		}
		if state := all[name]; state.Health == picker.HealthAlive {
			all[name] = picker.State{Health: picker.HealthSuspect, Since: state.Since}
		}
	}
	return all
}

// hintsOf orders the hints by position and forgets those of unknown endpoints.
func (b *Balancer) hintsOf(snap *picker.Snapshot) []picker.Load {
	hints := make([]picker.Load, snap.Len())
	for name, load := range b.hints {
		i, ok := snap.Index(name)
		if !ok {
			delete(b.hints, name)
			continue
		}
		hints[i] = load
	}
	return hints
}

// Pick chooses an endpoint for one attempt of the request called id. The error
// is a *NotConfiguredError or a *picker.NoEndpointError; the attempt did not
// run.
func (b *Balancer) Pick(ctx context.Context, id string, req *picker.Request) (Pick, error) {
	v := b.current.Load()
	if v == nil {
		return Pick{}, &NotConfiguredError{}
	}
	req.Holders = b.holdersOf(req.Prefixes)
	req.Now = time.Now()
	cands, err := b.candidates(v.snap, req)
	if err != nil {
		klog.Infof("balancer: request %s goes nowhere: %v", id, err)
		return Pick{}, err
	}
	answered := b.probe(ctx, v, req, cands)
	chosen, err := b.cfg.Policy.Choose(v.snap, req, cands)
	if err != nil {
		klog.Infof("balancer: request %s goes nowhere: %v", id, err)
		return Pick{}, err
	}
	return Pick{Pick: chosen, Agent: v.agents[chosen.Index], Version: v.snap.Version(), Probed: len(cands), Answered: answered}, nil
}

func (b *Balancer) candidates(snap *picker.Snapshot, req *picker.Request) ([]picker.Candidate, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cfg.Policy.Candidates(snap, req, b.rng, make([]picker.Candidate, 0, maxCandidates))
}

// RecordLoad keeps a load report that came with something else, such as a refusal.
func (b *Balancer) RecordLoad(resp *cyclamenpointv1.ProbeResponse) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hints[resp.GetEndpoint()] = loadOf(resp, time.Now())
}

// holdersOf returns the endpoints remembered for the prefixes.
func (b *Balancer) holdersOf(prefixes []picker.Prefix) []string {
	var found []string
	for i := range prefixes {
		if name, ok := b.holders.Get(prefixes[i].Hash); ok {
			found = append(found, name)
		}
	}
	return found
}
