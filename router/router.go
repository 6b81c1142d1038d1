// Package router connects the balancer with an entry node. It passes the
// configuration in force and the members' states to the balancer, and stores the
// incarnation of each agent, which every attempt must contain.
package router

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/cyclamenpoint/cyclamenpoint/balancer"
	"github.com/cyclamenpoint/cyclamenpoint/config"
	"github.com/cyclamenpoint/cyclamenpoint/deployment"
	"github.com/cyclamenpoint/cyclamenpoint/dispatch"
	"github.com/cyclamenpoint/cyclamenpoint/evacuation"
	pb "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
	"github.com/cyclamenpoint/cyclamenpoint/picker"
)

// Limits of calls to agents.
const (
	// minProbeTimeout is the timeout of the first probe of an agent whose
	// incarnation is not known. Each further try has twice the timeout, so that
	// an agent that answers slowly is eventually reached.
	minProbeTimeout = 250 * time.Millisecond
	maxProbeTimeout = 2 * time.Second
	// ejectDuration is how long an endpoint gets no new attempts after a
	// connection to it failed or timed out.
	ejectDuration = 2 * time.Second
	// configPollInterval is the interval at which the router checks for a new
	// configuration, and so the longest delay until it applies one.
	configPollInterval = 100 * time.Millisecond
	// prefillPerBlock is the estimated time to process one block of a prompt.
	prefillPerBlock = time.Millisecond
)

// Prober requests an agent's load. The context bounds the wait.
type Prober interface {
	Probe(ctx context.Context, address string, req *pb.ProbeRequest) (*pb.ProbeResponse, error)
}

// Members provides the states of the endpoints from the membership.
type Members interface {
	// Changed returns a channel that is signalled when a member has changed.
	Changed() <-chan struct{}
	// States returns the state of each endpoint in the membership, by name.
	// The caller may change the map.
	States() map[string]picker.State
	// Available returns the endpoints that are not known to be dead or leaving,
	// or all of them if every one is.
	Available(endpoints []string) []string
	// ReportUnresponsive reports an endpoint that did not answer. It does not
	// block.
	ReportUnresponsive(endpoint string)
}

// NoEndpointError reports that no endpoint for a request could be reached.
type NoEndpointError struct {
	Model   string
	Service string
	Reason  string
}

// Error names the model or service and the reason.
func (e *NoEndpointError) Error() string {
	return "no endpoint for " + e.Model + e.Service + ": " + e.Reason
}

// Options configures a Router.
type Options struct {
	Config  *config.Holder
	Prober  Prober
	Members Members
	// Balancer configures the balancer. Its Prober and Observer are replaced.
	Balancer balancer.Config
}

// Router picks endpoints. It is safe for concurrent use.
type Router struct {
	opts     Options
	balancer *balancer.Balancer

	mu     sync.Mutex
	config *config.Snapshot
	// loads holds the last load of each endpoint, with its agent's incarnation.
	loads map[string]*pb.ProbeResponse
}

// New returns a router. It follows the members only while Run runs.
func New(opts Options) *Router {
	r := &Router{opts: opts, loads: make(map[string]*pb.ProbeResponse)}
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
	ticker := time.NewTicker(configPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.opts.Members.Changed():
			r.balancer.SetStates(r.opts.Members.States())
		case <-ticker.C:
			r.updateConfig()
		}
	}
}

// updateConfig passes a new configuration to the balancer. It returns the
// deployment of the configuration in force, or nil if there is none yet.
func (r *Router) updateConfig() *deployment.Deployment {
	current := r.opts.Config.Current()
	r.mu.Lock()
	defer r.mu.Unlock()
	if current == nil {
		return nil
	}
	if r.config != current {
		r.logEvacuations(r.config, current)
		r.config = current
		r.balancer.SetDeployment(current.Deployment, current.Version)
	}
	return current.Deployment
}

// logEvacuations logs which evacuations begin and end with a new configuration. old is nil
// before the first one.
func (r *Router) logEvacuations(old, next *config.Snapshot) {
	var before evacuation.Set
	if old != nil {
		before = evacuation.NewSet(old.Deployment.Evacuated)
	}
	changes := before.Difference(evacuation.NewSet(next.Deployment.Evacuated))
	for _, domain := range changes.Began {
		klog.Infof("router: evacuation in force: failure domain %s, version %d", domain, next.Version)
	}
	for _, domain := range changes.Ended {
		klog.Infof("router: evacuation ended: failure domain %s, version %d", domain, next.Version)
	}
}

// Probe implements balancer.Prober. It stores the answer, which contains the
// agent's incarnation.
func (r *Router) Probe(ctx context.Context, address string, req *pb.ProbeRequest) (*pb.ProbeResponse, error) {
	load, err := r.opts.Prober.Probe(ctx, address, req)
	if err == nil {
		r.storeLoad(load)
	}
	return load, err
}

func (r *Router) storeLoad(load *pb.ProbeResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loads[load.GetEndpoint()] = load
}

// Pick returns the endpoint for an attempt. An error is a *NoEndpointError or
// comes from the balancer.
func (r *Router) Pick(ctx context.Context, req *dispatch.Request, tried []string) (dispatch.Target, error) {
	deploy := r.updateConfig()
	if req.PinnedEndpoint != "" {
		return r.probeUntilReady(ctx, deploy, req, req.PinnedEndpoint, "the request is pinned to it")
	}
	return r.pickReachable(ctx, deploy, req, tried)
}

// pickReachable picks endpoints with the balancer until the agent of one can be
// reached.
func (r *Router) pickReachable(ctx context.Context, deploy *deployment.Deployment, req *dispatch.Request, tried []string) (dispatch.Target, error) {
	skip := slices.Clone(tried)
	for {
		pick, err := r.balancer.Pick(ctx, req.ID, pickerRequest(req, skip))
		if err != nil {
			return dispatch.Target{}, err
		}
		if target, ok := r.target(deploy, pick.Endpoint, pick.Reason.String()); ok {
			return target, nil
		}
		target, err := r.probeUntilReady(ctx, deploy, req, pick.Endpoint, pick.Reason.String())
		if err == nil || ctx.Err() != nil {
			return target, err
		}
		skip = append(skip, pick.Endpoint)
	}
}

// probeUntilReady probes one endpoint's agent, with increasing timeouts, until
// it answers. It fails if the endpoint is down or draining.
func (r *Router) probeUntilReady(ctx context.Context, deploy *deployment.Deployment, req *dispatch.Request, name, reason string) (dispatch.Target, error) {
	e := deploy.Endpoint(name)
	for timeout := minProbeTimeout; e != nil && timeout <= maxProbeTimeout && ctx.Err() == nil; timeout *= 2 {
		load, err := r.probeWithTimeout(ctx, timeout, e)
		if err == nil && (load.GetDown() || load.GetDraining()) {
			break
		}
		if target, ok := r.target(deploy, name, reason); ok && err == nil {
			return target, nil
		}
	}
	return dispatch.Target{}, &NoEndpointError{Model: req.Model, Service: req.Service, Reason: "endpoint " + name + " is not available"}
}

func (r *Router) probeWithTimeout(ctx context.Context, timeout time.Duration, e *deployment.Endpoint) (*pb.ProbeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return r.Probe(ctx, e.Agent, &pb.ProbeRequest{Endpoint: e.Name})
}

func pickerRequest(req *dispatch.Request, tried []string) *picker.Request {
	query := &picker.Request{
		Model:   req.Model,
		Service: req.Service,
		Prefill: time.Duration(req.PromptBlocks) * prefillPerBlock,
		Tried:   tried,
	}
	for _, p := range req.Prefixes {
		query.Prefixes = append(query.Prefixes, picker.Prefix{Hash: p.Hash, Prefill: time.Duration(p.Blocks) * prefillPerBlock})
	}
	return query
}

// target returns the target of an attempt at an endpoint. It returns false if
// the incarnation of the endpoint's agent is not known, since the attempt must
// contain it.
func (r *Router) target(deploy *deployment.Deployment, name, reason string) (dispatch.Target, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	load, ok := r.loads[name]
	e := deploy.Endpoint(name)
	if !ok || e == nil {
		return dispatch.Target{}, false
	}
	return dispatch.Target{
		Endpoint:    name,
		Agent:       e.Agent,
		Incarnation: load.GetIncarnation(),
		Stamp:       load.GetStamp(),
		CanResume:   e.Resumes,
		Reason:      reason,
	}, true
}

// Available returns the endpoints that are in no evacuated failure domain and not known to
// be dead or leaving. If all of the former are dead or leaving, it returns these.
func (r *Router) Available(endpoints []string) []string {
	deploy := r.updateConfig()
	if deploy == nil || len(deploy.Evacuated) == 0 {
		return r.opts.Members.Available(endpoints)
	}
	left := slices.DeleteFunc(slices.Clone(endpoints), func(name string) bool {
		e := deploy.Endpoint(name)
		return e != nil && slices.Contains(deploy.Evacuated, e.FailureDomain)
	})
	return r.opts.Members.Available(left)
}

// Record updates the state of an endpoint from the load and the result of an
// attempt.
func (r *Router) Record(target dispatch.Target, load *pb.ProbeResponse, result dispatch.Result) {
	if load != nil {
		r.storeLoad(load)
		r.balancer.RecordLoad(load)
	}
	if !result.ConnectionLost {
		return
	}
	// The stored load may be that of an earlier incarnation of the agent.
	r.mu.Lock()
	delete(r.loads, target.Endpoint)
	r.mu.Unlock()
	r.opts.Members.ReportUnresponsive(target.Endpoint)
	r.balancer.Eject(target.Endpoint, ejectDuration, result.Detail)
}
