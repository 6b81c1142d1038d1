// Package dispatch carries one request from an entry node to an endpoint and
// its answer back: it routes, runs attempts, and tries again only where that
// cannot break a promise. It gives its sink a whole answer or a problem.
package dispatch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/agentconn"
	"github.com/cyclamenpoint/cyclamenpoint/decision"
	"github.com/cyclamenpoint/cyclamenpoint/deployment"
	"github.com/cyclamenpoint/cyclamenpoint/engine"
	pb "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
	"github.com/cyclamenpoint/cyclamenpoint/problem"
	"github.com/cyclamenpoint/cyclamenpoint/quarantine"
	"github.com/cyclamenpoint/cyclamenpoint/retry"
	"github.com/cyclamenpoint/cyclamenpoint/syncrand"
)

// Request is one caller's request after the entry's checks.
type Request struct {
	ID           string
	Organisation string
	// Model is set for a generation, Service for a call of a plain service.
	Model   string
	Service string
	Method  string
	// Path is the path at the endpoint, with its query.
	Path     string
	Headers  []engine.Header
	Body     []byte
	Priority int32
	// Cost estimates the work in tokens.
	Cost   float64
	Repeat deployment.Repeat
	// Key is the idempotency key of a protected request.
	Key string
	// Fingerprint identifies the content for quarantine.
	Fingerprint string
	// PinnedEndpoint names the one endpoint that the request may run at; empty allows all.
	PinnedEndpoint string
	// ServingEndpoints names the endpoints that serve the request.
	ServingEndpoints []string
	// Prefixes are the prompt's prefixes up to each message, longest first.
	Prefixes []Prefix
	// PromptBlocks is the length of the whole prompt in the engines' blocks.
	PromptBlocks int
	// reclaim names the endpoint that may run the protected request already.
	reclaim string
	// news is what this node knows of crashes, when the content is suspect.
	news []byte
	// ConfigVersion is the configuration by which the request is routed.
	ConfigVersion uint64
}

// protected tells whether the request runs at most once.
func (r *Request) protected() bool { return r.Repeat == deployment.RepeatNever }

// resumable tells whether an endpoint may go on with an answer that has begun.
func (r *Request) resumable() bool {
	return r.Model != "" && r.Repeat == deployment.RepeatAlways
}

// Prefix is a beginning of a prompt.
type Prefix struct {
	// Hash is that of the engines' cache events.
	Hash uint64
	// Blocks is its length in the engines' blocks.
	Blocks int
}

// Target is the endpoint that an attempt goes to.
type Target struct {
	Endpoint    string
	Agent       string
	Incarnation uint64
	Stamp       int64
	CanResume   bool
	// Reason says why this endpoint was picked.
	Reason string
}

// Router picks endpoints and learns from what became of attempts.
type Router interface {
	// Pick returns an endpoint that is not in tried, or an error that says why
	// there is none.
	Pick(ctx context.Context, req *Request, tried []string) (Target, error)
	// Available returns those of the endpoints that take new work, as far as is
	// known, or all of them if none is left.
	Available(endpoints []string) []string
	// Record takes what an attempt showed of its endpoint.
	Record(target Target, load *pb.ProbeResponse, result Result)
}

// Agents carries attempts to agents.
type Agents interface {
	Execute(ctx context.Context, address string, req *pb.ExecuteRequest, take agentconn.FrameFunc) error
	Revoke(ctx context.Context, address string, req *pb.RevokeRequest) (*pb.RevokeResponse, error)
}

// Sink takes the answer for the caller.
type Sink interface {
	// Head is called once, before any Data.
	Head(status int, headers []*pb.Header, stream bool) error
	// Data takes a piece of the body, or one event's data of a stream.
	Data(data []byte) error
}

// Dispatcher dispatches requests. It is safe for many goroutines.
type Dispatcher struct {
	router    Router
	agents    Agents
	policy    retry.Policy
	budget    *retry.Budget
	rng       *rand.Rand
	suspects  *quarantine.List
	decisions *decision.Log
}

// New returns a dispatcher. budget bounds the retries of the whole node,
// suspects holds what it knows of crashes.
func New(router Router, agents Agents, policy retry.Policy, budget *retry.Budget, suspects *quarantine.List, decisions *decision.Log) *Dispatcher {
	return &Dispatcher{
		router: router, agents: agents, policy: policy, budget: budget,
		rng: syncrand.New(), suspects: suspects, decisions: decisions,
	}
}

// Do runs the request until its answer is whole in sink, and then returns nil.
// A problem after sink.Head was called leaves the answer incomplete; the
// caller must be told so in the stream. A problem says "not run" or "refused"
// only when no attempt may have run.
func (d *Dispatcher) Do(ctx context.Context, req *Request, sink Sink) *problem.Problem {
	r := &run{dispatcher: d, req: req, delivery: &delivery{sink: sink}}
	d.budget.Deposit(req.Organisation)
	return r.do(ctx)
}

// run is the state of one request over all of its attempts.
type run struct {
	dispatcher *Dispatcher
	req        *Request
	delivery   *delivery
	attempts   int
	tried      []string
	// doubt is what the caller is told of the first attempt that may have run.
	doubt *problem.Problem
	// reclaimed is true once a protected request was sent again to the endpoint
	// that may run it.
	reclaimed bool
}

func (r *run) do(ctx context.Context) *problem.Problem {
	d := r.dispatcher
	for {
		r.attempts++
		if p := d.suspect(r.req); p != nil {
			return r.final(p)
		}
		target, err := d.pick(ctx, r.req, r.tried, r.delivery)
		if err != nil {
			return r.final(d.noTarget(r.req, r.attempts, err))
		}
		d.decisions.Add(decision.Dispatch, r.req.ID, "attempt %d goes to endpoint %s: %s.", r.attempts, target.Endpoint, target.Reason)
		result := d.attempt(ctx, r.req, uint32(r.attempts), target, r.delivery)
		d.router.Record(target, result.Load, result)
		d.hear(r.req, result)
		if result.State == Done {
			return nil
		}
		d.decisions.Add(decision.Dispatch, r.req.ID, "attempt %d at endpoint %s ended: %s.", r.attempts, target.Endpoint, result)
		if p := r.next(ctx, target, result); p != nil {
			return r.final(p)
		}
	}
}

// final turns a problem that denies a run into the first doubt, if there is
// one: a later refusal proves nothing about an earlier attempt.
func (r *run) final(p *problem.Problem) *problem.Problem {
	if r.doubt != nil && p.Kind.Outcome != problem.Unknown {
		return r.doubt
	}
	return p
}

// next returns the problem that ends the request, or nil when one more attempt
// follows.
func (r *run) next(ctx context.Context, target Target, result Result) *problem.Problem {
	final := result.problem(r.req, r.delivery.begun)
	if result.State != NotRun && r.doubt == nil {
		r.doubt = final
	}
	if result.State == CallerGone {
		return final
	}
	if r.reclaim(target, result) {
		return nil
	}
	// A suspect may run at one endpoint only, however often.
	if r.req.PinnedEndpoint == "" {
		r.tried = append(r.tried, target.Endpoint)
	}
	return r.dispatcher.wait(ctx, r, result, final)
}

// reclaim sends a protected request once more to the endpoint whose connection
// broke: its claim there makes it wait for the first run's answer.
func (r *run) reclaim(target Target, result Result) bool {
	if !r.req.protected() || !result.ConnectionLost || r.reclaimed || r.delivery.begun {
		return false
	}
	if !r.dispatcher.budget.TryWithdraw(r.req.Organisation) {
		return false
	}
	r.reclaimed = true
	r.req.reclaim = target.Endpoint
	r.dispatcher.decisions.Add(decision.Retry, r.req.ID, "attempt %d asks endpoint %s for the answer of the first.", r.attempts+1, target.Endpoint)
	return true
}

// pick asks the router. A delivery that has begun can only go on at an
// endpoint that resumes.
func (d *Dispatcher) pick(ctx context.Context, req *Request, tried []string, delivery *delivery) (Target, error) {
	for {
		target, err := d.router.Pick(ctx, req, tried)
		if err != nil || !delivery.begun || target.CanResume {
			return target, err
		}
		tried = append(tried, target.Endpoint)
	}
}

func (d *Dispatcher) noTarget(req *Request, attempts int, err error) *problem.Problem {
	d.decisions.Add(decision.Dispatch, req.ID, "no endpoint for attempt %d: %s.", attempts, err)
	return newProblem(problem.NoCapacity, req, err.Error())
}

// wait asks the policy whether one more attempt may follow, and waits before
// it. It returns final when none follows.
func (d *Dispatcher) wait(ctx context.Context, r *run, result Result, final *problem.Problem) *problem.Problem {
	dec := d.policy.Next(d.budget, r.req.Organisation, retry.Failure{
		Attempt:       r.attempts,
		Outcome:       result.outcome(),
		Final:         result.final(),
		Repeat:        r.req.Repeat,
		AnswerStarted: r.delivery.begun && !r.req.resumable(),
		Remaining:     timeLeft(ctx),
	}, d.rng)
	if !dec.Retry {
		d.decisions.Add(decision.Retry, r.req.ID, "no further attempt after %d: %s.", r.attempts, dec.Reason)
		return final
	}
	d.decisions.Add(decision.Retry, r.req.ID, "attempt %d follows in %s: %s.", r.attempts+1, dec.After.Round(time.Millisecond), dec.Reason)
	timer := time.NewTimer(dec.After)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return final
	}
}

// unbounded stands for the time left of a request without a deadline.
const unbounded = time.Hour

func timeLeft(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return unbounded
	}
	return time.Until(deadline)
}

func newProblem(kind problem.Kind, req *Request, detail string) *problem.Problem {
	return &problem.Problem{Kind: kind, RequestID: req.ID, Detail: detail}
}
