// Package router is an entry node's mechanism around the picker: it keeps the
// picker's snapshot fresh, sends its probes, and remembers what agents and
// attempts showed of the endpoints.
package router

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/config"
	"github.com/cyclamenpoint/cyclamenpoint/deployment"
	"github.com/cyclamenpoint/cyclamenpoint/dispatch"
	pb "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
	"github.com/cyclamenpoint/cyclamenpoint/picker"
)

// Terms of probing and of what probes teach.
const (
	// enoughWait is how long a pick waits for further answers once it has one.
	enoughWait = 10 * time.Millisecond
	// firstWait is how long the candidates have for a first answer. Each
	// further round waits twice as long, so that slow answers are not mistaken
	// for dead endpoints for ever.
	firstWait = 250 * time.Millisecond
	// maxWait ends the rounds.
	maxWait = 2 * time.Second
	// suspectFor is how long an endpoint whose connection broke or fell silent
	// is left alone, unless it answers a probe before.
	suspectFor = 2 * time.Second
	// snapshotEvery bounds the age of a snapshot.
	snapshotEvery = 100 * time.Millisecond
	// maxKnown is how long a load report is remembered.
	maxKnown = time.Minute
	// blockPrefill estimates the time to process one block of a prompt.
	blockPrefill = time.Millisecond
)

// Prober asks an agent for its load; the context bounds the wait.
type Prober interface {
	Probe(ctx context.Context, address string, req *pb.ProbeRequest) (*pb.ProbeResponse, error)
}

// Members tells what the other nodes know of the endpoints.
type Members interface {
	// States returns the state of each endpoint that is known, by name. The
	// caller owns the map.
	States() map[string]picker.State
	// Available returns those of the endpoints that are not known to be dead or
	// leaving, or all of them if none is left.
	Available(endpoints []string) []string
}

// NoEndpointError tells that no candidate could be reached.
type NoEndpointError struct {
	Model   string
	Service string
	Reason  string
}

// Error says why.
func (e *NoEndpointError) Error() string {
	return "no endpoint for " + e.Model + e.Service + ": " + e.Reason
}

// Options describe a router.
type Options struct {
	Config  *config.Holder
	Prober  Prober
	Members Members
	// View is where this node stands.
	View picker.Viewpoint
}

// Router picks endpoints. It is safe for many goroutines.
type Router struct {
	opts   Options
	policy picker.Probed

	mu       sync.Mutex
	snapshot *picker.Snapshot
	built    time.Time
	config   *config.Snapshot
	known    map[string]report
	suspects map[string]time.Time
}

// report is the last load report of an endpoint.
type report struct {
	load *pb.ProbeResponse
	at   time.Time
}

// New returns a router.
func New(opts Options) *Router {
	return &Router{
		opts:     opts,
		policy:   picker.Default,
		known:    make(map[string]report),
		suspects: make(map[string]time.Time),
	}
}

// Pick asks the candidates for their load and returns the best. Errors are
// *NoEndpointError and *picker.NoEndpointError.
func (r *Router) Pick(ctx context.Context, req *dispatch.Request, tried []string) (dispatch.Target, error) {
	snap, deploy := r.view()
	if req.Only != "" {
		return r.pickOnly(ctx, req, deploy)
	}
	query := queryOf(req, tried)
	for wait := firstWait; wait <= maxWait && ctx.Err() == nil; wait *= 2 {
		cands, err := r.policy.Candidates(snap, query, random, nil)
		if err != nil {
			return dispatch.Target{}, err
		}
		r.probe(ctx, wait, snap, deploy, query, cands)
		pick, err := r.policy.Choose(snap, query, cands)
		if err != nil {
			return dispatch.Target{}, err
		}
		if target, ok := r.target(deploy, pick.Endpoint, pick.Reason.String()); ok {
			return target, nil
		}
	}
	return dispatch.Target{}, &NoEndpointError{Model: req.Model, Service: req.Service, Reason: "no candidate answers"}
}

// random may be used by many goroutines: the runtime's source locks itself.
var random = rand.New(runtimeSource{})

type runtimeSource struct{}

// Uint64 implements rand.Source.
func (runtimeSource) Uint64() uint64 { return rand.Uint64() }

// pickOnly returns the one endpoint that the request may run at.
func (r *Router) pickOnly(ctx context.Context, req *dispatch.Request, deploy *deployment.Deployment) (dispatch.Target, error) {
	e := deploy.Endpoint(req.Only)
	if e != nil {
		ctx, cancel := context.WithTimeout(ctx, maxWait)
		defer cancel()
		load, err := r.opts.Prober.Probe(ctx, e.Agent, &pb.ProbeRequest{Endpoint: e.Name})
		if err == nil && !load.GetDown() && !load.GetDraining() {
			r.learnLoad(e.Name, load)
			target, _ := r.target(deploy, e.Name, "the only one for it")
			return target, nil
		}
	}
	return dispatch.Target{}, &NoEndpointError{Model: req.Model, Service: req.Service, Reason: "endpoint " + req.Only + ", the only one for it, is not available"}
}

func queryOf(req *dispatch.Request, tried []string) *picker.Request {
	query := &picker.Request{
		Model:   req.Model,
		Service: req.Service,
		Prefill: time.Duration(req.PromptBlocks) * blockPrefill,
		Tried:   tried,
		Now:     time.Now(),
	}
	for _, p := range req.Prefixes {
		query.Prefixes = append(query.Prefixes, picker.Prefix{Hash: p.Hash, Prefill: time.Duration(p.Blocks) * blockPrefill})
	}
	return query
}

// target returns an endpoint as a target, if its agent has ever answered: an
// attempt has to name the agent's incarnation.
func (r *Router) target(deploy *deployment.Deployment, name, reason string) (dispatch.Target, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.known[name]
	if !ok {
		return dispatch.Target{}, false
	}
	e := deploy.Endpoint(name)
	return dispatch.Target{
		Endpoint:    name,
		Agent:       e.Agent,
		Incarnation: known.load.GetIncarnation(),
		Stamp:       known.load.GetStamp(),
		Resumes:     e.Resumes,
		Reason:      reason,
	}, true
}

// Available returns those of the endpoints that take new work, as far as is
// known.
func (r *Router) Available(endpoints []string) []string {
	return r.opts.Members.Available(endpoints)
}

// Learn takes what an attempt showed of its endpoint.
func (r *Router) Learn(target dispatch.Target, load *pb.ProbeResponse, result dispatch.Result) {
	if load != nil {
		r.learnLoad(target.Endpoint, load)
	}
	if !result.Silent {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	// What was known of its agent may be of a former incarnation.
	delete(r.known, target.Endpoint)
	r.suspects[target.Endpoint] = time.Now()
	r.snapshot = nil
}

func (r *Router) learnLoad(endpoint string, load *pb.ProbeResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.known[endpoint] = report{load: load, at: time.Now()}
	if _, suspect := r.suspects[endpoint]; suspect {
		delete(r.suspects, endpoint)
		r.snapshot = nil
	}
}
