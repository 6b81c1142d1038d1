// Package router fits the balancer into an entry node: it gives the balancer
// the configuration in force and the members' states, and remembers the
// incarnation of each agent, which every attempt has to name.
package router

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/balancer"
	"github.com/cyclamenpoint/cyclamenpoint/config"
	"github.com/cyclamenpoint/cyclamenpoint/deployment"
	"github.com/cyclamenpoint/cyclamenpoint/dispatch"
	pb "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
	"github.com/cyclamenpoint/cyclamenpoint/picker"
)

// Terms of reaching agents.
const (
	// firstWait is how long an agent that no probe has reached yet has to tell
	// its incarnation. Each further try waits twice as long, so that a slow
	// answer is not mistaken for a dead endpoint for ever.
	firstWait = 250 * time.Millisecond
	maxWait   = 2 * time.Second
	// ejectFor is how long an endpoint whose connection broke or fell silent
	// gets no new work.
	ejectFor = 2 * time.Second
	// followEvery bounds how late a change of the configuration or of the
	// members is noticed.
	followEvery = 100 * time.Millisecond
	// blockPrefill estimates the time to process one block of a prompt.
	blockPrefill = time.Millisecond
)

// Prober asks an agent for its load; the context bounds the wait.
type Prober interface {
	Probe(ctx context.Context, address string, req *pb.ProbeRequest) (*pb.ProbeResponse, error)
}

// Members tells what the other nodes know of the endpoints.
type Members interface {
	// Changed is signalled when a member changed.
	Changed() <-chan struct{}
	// States returns the state of each endpoint that is known, by name. The
	// caller owns the map.
	States() map[string]picker.State
	// Available returns those of the endpoints that are not known to be dead or
	// leaving, or all of them if none is left.
	Available(endpoints []string) []string
	// ReportUnresponsive reports an endpoint that did not answer; it does not
	// block.
	ReportUnresponsive(endpoint string)
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
	// Balancer chooses; its prober is replaced by one that remembers.
	Balancer balancer.Config
}

// Router picks endpoints. It is safe for many goroutines.
type Router struct {
	opts     Options
	balancer *balancer.Balancer

	mu     sync.Mutex
	config *config.Snapshot
	known  map[string]*pb.ProbeResponse
}

// New returns a router. Run must be called for it to follow the members.
func New(opts Options) *Router {
	r := &Router{opts: opts, known: make(map[string]*pb.ProbeResponse)}
	opts.Balancer.Prober = r
	opts.Balancer.Observer = opts.Members
	r.balancer = balancer.New(opts.Balancer)
	return r
}

// Run follows the configuration and the members until ctx ends.
func (r *Router) Run(ctx context.Context) {
	var refresh sync.WaitGroup
	refresh.Go(func() { r.balancer.Run(ctx) })
	defer refresh.Wait()
	ticker := time.NewTicker(followEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.opts.Members.Changed():
			r.balancer.SetStates(r.opts.Members.States())
		case <-ticker.C:
			r.follow()
		}
	}
}

// follow gives the balancer the configuration in force, and returns it, or nil
// before the first.
func (r *Router) follow() *deployment.Deployment {
	current := r.opts.Config.Current()
	r.mu.Lock()
	defer r.mu.Unlock()
	if current == nil {
		return nil
	}
	if r.config != current {
		r.config = current
		r.balancer.SetDeployment(current.Deployment, current.Version)
	}
	return current.Deployment
}

// Probe implements balancer.Prober: it remembers the agents' incarnations.
func (r *Router) Probe(ctx context.Context, address string, req *pb.ProbeRequest) (*pb.ProbeResponse, error) {
	load, err := r.opts.Prober.Probe(ctx, address, req)
	if err == nil {
		r.remember(load)
	}
	return load, err
}

func (r *Router) remember(load *pb.ProbeResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.known[load.GetEndpoint()] = load
}

// Pick returns the endpoint for an attempt. Errors are *NoEndpointError and
// those of the balancer.
func (r *Router) Pick(ctx context.Context, req *dispatch.Request, tried []string) (dispatch.Target, error) {
	deploy := r.follow()
	if req.PinnedEndpoint != "" {
		return r.reach(ctx, deploy, req, req.PinnedEndpoint, "the only one for it")
	}
	return r.choose(ctx, deploy, req, tried)
}

// choose asks the balancer until it names an endpoint whose agent can be
// reached.
func (r *Router) choose(ctx context.Context, deploy *deployment.Deployment, req *dispatch.Request, tried []string) (dispatch.Target, error) {
	skip := slices.Clone(tried)
	for {
		pick, err := r.balancer.Pick(ctx, req.ID, queryOf(req, skip))
		if err != nil {
			return dispatch.Target{}, err
		}
		if target, ok := r.target(deploy, pick.Endpoint, pick.Reason.String()); ok {
			return target, nil
		}
		target, err := r.reach(ctx, deploy, req, pick.Endpoint, pick.Reason.String())
		if err == nil || ctx.Err() != nil {
			return target, err
		}
		skip = append(skip, pick.Endpoint)
	}
}

// reach asks one endpoint's agent until it tells its incarnation.
func (r *Router) reach(ctx context.Context, deploy *deployment.Deployment, req *dispatch.Request, name, reason string) (dispatch.Target, error) {
	e := deploy.Endpoint(name)
	for wait := firstWait; e != nil && wait <= maxWait && ctx.Err() == nil; wait *= 2 {
		load, err := r.probeWithin(ctx, wait, e)
		if err == nil && (load.GetDown() || load.GetDraining()) {
			break
		}
		if target, ok := r.target(deploy, name, reason); ok && err == nil {
			return target, nil
		}
	}
	return dispatch.Target{}, &NoEndpointError{Model: req.Model, Service: req.Service, Reason: "endpoint " + name + " is not available"}
}

func (r *Router) probeWithin(ctx context.Context, wait time.Duration, e *deployment.Endpoint) (*pb.ProbeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return r.Probe(ctx, e.Agent, &pb.ProbeRequest{Endpoint: e.Name})
}

func queryOf(req *dispatch.Request, tried []string) *picker.Request {
	query := &picker.Request{
		Model:   req.Model,
		Service: req.Service,
		Prefill: time.Duration(req.PromptBlocks) * blockPrefill,
		Tried:   tried,
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
	e := deploy.Endpoint(name)
	if !ok || e == nil {
		return dispatch.Target{}, false
	}
	return dispatch.Target{
		Endpoint:    name,
		Agent:       e.Agent,
		Incarnation: known.GetIncarnation(),
		Stamp:       known.GetStamp(),
		CanResume:   e.Resumes,
		Reason:      reason,
	}, true
}

// Available returns those of the endpoints that take new work, as far as is
// known.
func (r *Router) Available(endpoints []string) []string {
	return r.opts.Members.Available(endpoints)
}

// Record takes what an attempt showed of its endpoint.
func (r *Router) Record(target dispatch.Target, load *pb.ProbeResponse, result dispatch.Result) {
	if load != nil {
		r.remember(load)
		r.balancer.RecordLoad(load)
	}
	if !result.ConnectionLost {
		return
	}
	// What was known of its agent may be of a former incarnation.
	r.mu.Lock()
	delete(r.known, target.Endpoint)
	r.mu.Unlock()
	r.opts.Members.ReportUnresponsive(target.Endpoint)
	r.balancer.Eject(target.Endpoint, ejectFor, result.Detail)
}
