// Package router picks endpoints for an entry node's requests: it asks the
// agents of a few candidates for their load and takes the one with the
// shortest wait.
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
)

// Terms of probing.
const (
	// candidates is how many endpoints are asked for their load at once.
	candidates = 2
	// firstWait is how long the first candidates have to answer. Each further
	// round waits twice as long, so that slow answers are not mistaken for dead
	// endpoints for ever.
	firstWait = 250 * time.Millisecond
	// maxWait ends the rounds.
	maxWait = 2 * time.Second
)

// Prober asks an agent for its load.
type Prober interface {
	Probe(ctx context.Context, address string, req *pb.ProbeRequest) (*pb.ProbeResponse, error)
}

// NoEndpointError tells that no endpoint can take a request.
type NoEndpointError struct {
	Model   string
	Service string
	Reason  string
}

// Error says why.
func (e *NoEndpointError) Error() string {
	return "no endpoint for " + e.Model + e.Service + ": " + e.Reason
}

// Router picks endpoints. It is safe for many goroutines.
type Router struct {
	holder *config.Holder
	prober Prober
}

// New returns a router on the configuration in force.
func New(holder *config.Holder, prober Prober) *Router {
	return &Router{holder: holder, prober: prober}
}

// Pick probes some endpoints that serve the request and returns the one with
// the shortest wait. Errors are *NoEndpointError.
func (r *Router) Pick(ctx context.Context, req *dispatch.Request, tried []string) (dispatch.Target, error) {
	able := r.able(req, tried)
	rand.Shuffle(len(able), func(i, j int) { able[i], able[j] = able[j], able[i] })
	wait := firstWait
	for next := 0; len(able) > 0 && wait <= maxWait && ctx.Err() == nil; next += candidates {
		some := make([]deployment.Endpoint, 0, candidates)
		for i := range min(candidates, len(able)) {
			some = append(some, able[(next+i)%len(able)])
		}
		if best, ok := r.best(ctx, wait, req, some); ok {
			return best, nil
		}
		wait *= 2
	}
	return dispatch.Target{}, &NoEndpointError{Model: req.Model, Service: req.Service, Reason: "none answers with room"}
}

// able returns the endpoints that serve the request and take new work.
func (r *Router) able(req *dispatch.Request, tried []string) []deployment.Endpoint {
	d := r.holder.Current().Deployment
	skip := make(map[string]bool, len(tried))
	for _, name := range tried {
		skip[name] = true
	}
	var able []deployment.Endpoint
	for i := range d.Endpoints {
		e := &d.Endpoints[i]
		serves := e.Service == req.Service && d.ModelOf(e) == req.Model && (req.Only == "" || req.Only == e.Name)
		if serves && !skip[e.Name] && d.EffectiveWeight(e) > 0 {
			able = append(able, *e)
		}
	}
	return able
}

// best probes endpoints at once and returns the one with the shortest wait.
func (r *Router) best(ctx context.Context, wait time.Duration, req *dispatch.Request, endpoints []deployment.Endpoint) (dispatch.Target, bool) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	loads := make([]*pb.ProbeResponse, len(endpoints))
	var wg sync.WaitGroup
	for i := range endpoints {
		wg.Go(func() {
			load, err := r.prober.Probe(ctx, endpoints[i].Agent, &pb.ProbeRequest{Endpoint: endpoints[i].Name, Prefixes: req.Prefixes})
			if err == nil && !load.GetDraining() && !load.GetDown() {
				loads[i] = load
			}
		})
	}
	wg.Wait()
	best := -1
	for i, load := range loads {
		if load != nil && (best < 0 || load.GetWaitMillis() < loads[best].GetWaitMillis()) {
			best = i
		}
	}
	if best < 0 {
		return dispatch.Target{}, false
	}
	return dispatch.Target{
		Endpoint:    endpoints[best].Name,
		Agent:       endpoints[best].Agent,
		Incarnation: loads[best].GetIncarnation(),
		Stamp:       loads[best].GetStamp(),
		Resumes:     endpoints[best].Resumes,
		Reason:      "shortest wait of the probed",
	}, true
}

// Learn takes what an attempt showed of its endpoint.
func (r *Router) Learn(dispatch.Target, *pb.ProbeResponse, dispatch.Result) {}
