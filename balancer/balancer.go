// Package balancer runs the picker's ProbePolicy: it updates the snapshot, sends the
// probes, stores the replies as load hints and logs requests for which there is no
// endpoint. It is safe for concurrent use.
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
	// refreshPeriod is the interval at which the snapshot is renewed.
	refreshPeriod = time.Second
	// slowStartRefresh is how long after a change of the endpoints the snapshot is
	// rebuilt in each period, so that the weights of new endpoints grow. It exceeds
	// the picker's slow start.
	slowStartRefresh = 35 * time.Second
	// maxHolders is the number of prefixes whose holder is stored. The holder is the
	// endpoint that last reported the prefix as cached.
	maxHolders = 8192
	// maxCandidates is the capacity of the slice of candidates for one pick.
	maxCandidates = 16
)

// Prober requests load reports from agents.
type Prober interface {
	// Probe returns the reply of the agent at an address, or an error if the context
	// ends first.
	Probe(ctx context.Context, address string, req *cyclamenpointv1.ProbeRequest) (*cyclamenpointv1.ProbeResponse, error)
}

// Observer is notified of endpoints that do not reply to probes.
type Observer interface {
	// ReportUnresponsive reports an endpoint that did not reply to a probe. It must
	// not block.
	ReportUnresponsive(endpoint string)
}

// Config configures a Balancer.
type Config struct {
	// Locality is the location of this process.
	Locality picker.Locality
	// Policy chooses the endpoints; picker.DefaultProbePolicy suits deployments of
	// all sizes.
	Policy picker.ProbePolicy
	// Prober sends the probes.
	Prober Prober
	// ProbeTimeout limits the wait for replies to probes.
	ProbeTimeout time.Duration
	// Observer is notified of unresponsive endpoints; it may be nil.
	Observer Observer
	// Rand is the random source, which no other code may use.
	Rand *rand.Rand
}

// DefaultProbeTimeout is longer than a round trip between regions.
const DefaultProbeTimeout = 30 * time.Millisecond

// Pick is the endpoint chosen for an attempt.
type Pick struct {
	picker.Pick
	// Agent is the address of the endpoint's agent, as IP:port.
	Agent string
	// Version is the version of the deployment that the choice is based on.
	Version uint64
	// Probed counts the probes sent for the choice, Answered the replies.
	Probed, Answered int
}

// NotConfiguredError reports that this process has no deployment yet.
type NotConfiguredError struct{}

// Error implements error.
func (*NotConfiguredError) Error() string {
	return "no deployment is in force here yet"
}

// addressedSnapshot is a snapshot with the agent addresses of its endpoints, by
// position.
type addressedSnapshot struct {
	snap   *picker.Snapshot
	agents []string
}

// Balancer chooses endpoints for attempts.
type Balancer struct {
	cfg     Config
	current atomic.Pointer[addressedSnapshot]
	// holders maps the hash of a prefix to its holder.
	holders *lru.Cache[uint64, string]

	mu         sync.Mutex
	rng        *rand.Rand
	deployment *deployment.Deployment
	version    uint64
	states     map[string]picker.State
	hints      map[string]picker.Load
	// ejected holds when the ejection of each ejected endpoint ends.
	ejected map[string]time.Time
	// changedAt is when the deployment, the states or the ejections last changed.
	changedAt time.Time
}

// New returns a balancer without a deployment.
func New(cfg Config) *Balancer {
	// The size is a positive constant; New fails for no other reason.
	holders, _ := lru.New[uint64, string](maxHolders)
	return &Balancer{cfg: cfg, holders: holders, rng: cfg.Rand, hints: make(map[string]picker.Load), ejected: make(map[string]time.Time)}
}

// SetDeployment replaces the deployment. The caller must not change d afterwards.
func (b *Balancer) SetDeployment(d *deployment.Deployment, version uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.deployment, b.version = d, version
	b.rebuild(time.Now())
}

// SetStates replaces the observed states of the endpoints, by name. From then on an
// endpoint without a state counts as suspect, because its agent was never reached. The
// caller must not change states afterwards.
func (b *Balancer) SetStates(states map[string]picker.State) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.states = states
	b.rebuild(time.Now())
}

// Eject excludes an endpoint for the given period because requests failed there
// although it replies to probes. Ejected endpoints count as unhealthy, so they are used
// again if most endpoints are unhealthy.
func (b *Balancer) Eject(endpoint string, period time.Duration, reason string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.ejected[endpoint] = now.Add(period)
	b.rebuild(now)
	klog.Infof("balancer: endpoint %s is ejected for %s: %s", endpoint, period, reason)
}

// Run renews the hints and weights of the snapshot until ctx ends.
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

// refresh gives the latest hints to the snapshot. It rebuilds the snapshot while
// endpoints may be in their slow start or are ejected.
func (b *Balancer) refresh(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.current.Load()
	if current == nil {
		return
	}
	if now.Sub(b.changedAt) < slowStartRefresh || len(b.ejected) > 0 {
		b.build(now)
		return
	}
	b.current.Store(&addressedSnapshot{snap: current.snap.WithHints(b.hintsOf(current.snap), now), agents: current.agents})
}

// rebuild builds a new snapshot after a change. The caller holds the lock.
func (b *Balancer) rebuild(now time.Time) {
	b.changedAt = now
	b.build(now)
}

// build builds a new snapshot. The caller holds the lock.
func (b *Balancer) build(now time.Time) {
	if b.deployment == nil {
		return
	}
	snap := picker.NewSnapshot(b.deployment, b.version, b.cfg.Locality, b.allStates(now), now)
	agents := make([]string, snap.Len())
	for i := range b.deployment.Endpoints {
		agents[i] = b.deployment.Endpoints[i].Agent
	}
	b.current.Store(&addressedSnapshot{snap: snap.WithHints(b.hintsOf(snap), now), agents: agents})
}

// allStates returns the observed states. Endpoints that are ejected or whose agent was
// never reached are marked as suspect. It deletes ejections that have ended.
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

// hintsOf returns the hints by endpoint position. It deletes the hints of endpoints
// that are not in the snapshot.
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

// Pick chooses an endpoint for one attempt of the request with the given id. The error
// is a *NotConfiguredError or a *picker.NoEndpointError; the attempt did not run.
func (b *Balancer) Pick(ctx context.Context, id string, req *picker.Request) (Pick, error) {
	current := b.current.Load()
	if current == nil {
		return Pick{}, &NotConfiguredError{}
	}
	req.Holders = b.holdersOf(req.Prefixes)
	req.Now = time.Now()
	cands, err := b.candidates(current.snap, req)
	if err != nil {
		klog.Infof("balancer: no endpoint for request %s: %v", id, err)
		return Pick{}, err
	}
	answered := b.probe(ctx, current, req, cands)
	chosen, err := b.cfg.Policy.Choose(current.snap, req, cands)
	if err != nil {
		klog.Infof("balancer: no endpoint for request %s: %v", id, err)
		return Pick{}, err
	}
	return Pick{Pick: chosen, Agent: current.agents[chosen.Index], Version: current.snap.Version(), Probed: len(cands), Answered: answered}, nil
}

func (b *Balancer) candidates(snap *picker.Snapshot, req *picker.Request) ([]picker.Candidate, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cfg.Policy.Candidates(snap, req, b.rng, make([]picker.Candidate, 0, maxCandidates))
}

// RecordLoad stores a load report that did not arrive as the reply to a probe, for
// example one in a refusal.
func (b *Balancer) RecordLoad(resp *cyclamenpointv1.ProbeResponse) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hints[resp.GetEndpoint()] = loadOf(resp, time.Now())
}

// holdersOf returns the endpoints that last reported the prefixes as cached.
func (b *Balancer) holdersOf(prefixes []picker.Prefix) []string {
	var found []string
	for i := range prefixes {
		if name, ok := b.holders.Get(prefixes[i].Hash); ok {
			found = append(found, name)
		}
	}
	return found
}
