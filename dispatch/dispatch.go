// Package dispatch sends a request from an entry node to an endpoint through the
// endpoint's agent and relays the answer. It picks endpoints, runs attempts, and retries
// only where the request may run again. The result is either a complete answer in the
// sink or a problem.
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

// Request is a caller's request that the entry node has validated.
type Request struct {
	ID           string
	Organisation string
	// Model is set for a request to a model, Service for a request to a plain service.
	Model   string
	Service string
	Method  string
	// Path is the path at the endpoint, with the query.
	Path     string
	Headers  []engine.Header
	Body     []byte
	Priority int32
	// Cost is the estimated work in tokens.
	Cost   float64
	Repeat deployment.Repeat
	// Key is the idempotency key of a protected request.
	Key string
	// Fingerprint identifies the content for quarantine.
	Fingerprint string
	// PinnedEndpoint is the name of the only endpoint that may run the request; empty
	// if any may.
	PinnedEndpoint string
	// ServingEndpoints holds the names of the endpoints that can serve the request.
	ServingEndpoints []string
	// Prefixes are the prefixes of the prompt that end with each message, longest
	// first.
	Prefixes []Prefix
	// PromptBlocks is the length of the whole prompt in KV-cache blocks of the engines.
	PromptBlocks int
	// reclaimEndpoint is the name of the endpoint that may already run the protected
	// request.
	reclaimEndpoint string
	// quarantineFacts holds this node's quarantine facts, encoded as JSON, if the
	// content is suspect.
	quarantineFacts []byte
	// ConfigVersion is the version of the configuration that the request is routed by.
	ConfigVersion uint64
}

// protected reports whether the request runs at most once.
func (r *Request) protected() bool { return r.Repeat == deployment.RepeatNever }

// resumable reports whether another endpoint may continue an answer that has started.
func (r *Request) resumable() bool {
	return r.Model != "" && r.Repeat == deployment.RepeatAlways
}

// Prefix is a leading part of a prompt.
type Prefix struct {
	// Hash identifies the prefix as the cache events of the engines do.
	Hash uint64
	// Blocks is the length of the prefix in KV-cache blocks of the engines.
	Blocks int
}

// Target is the endpoint chosen for an attempt.
type Target struct {
	Endpoint string
	// Agent is the address of the endpoint's agent.
	Agent string
	// Incarnation and Stamp are the fields of attempt.Target, from the agent's last
	// load report.
	Incarnation uint64
	Stamp       int64
	// CanResume is true if the endpoint can continue a stream.
	CanResume bool
	// Reason is why the endpoint was chosen.
	Reason string
}

// Router picks endpoints and records the results of attempts.
type Router interface {
	// Pick returns an endpoint that is not in tried, or an error with the reason why
	// there is none.
	Pick(ctx context.Context, req *Request, tried []string) (Target, error)
	// Available returns those of the endpoints that are expected to accept new
	// requests, or all of them if there are none.
	Available(endpoints []string) []string
	// Record stores the result of an attempt and the load that its endpoint
	// reported, if any.
	Record(target Target, load *pb.ProbeResponse, result Result)
}

// Agents sends attempts to agents.
type Agents interface {
	Execute(ctx context.Context, address string, req *pb.ExecuteRequest, handle agentconn.FrameFunc) error
	Revoke(ctx context.Context, address string, req *pb.RevokeRequest) (*pb.RevokeResponse, error)
}

// Sink receives the answer for the caller.
type Sink interface {
	// Head is called once, before any Data.
	Head(status int, headers []*pb.Header, stream bool) error
	// Data appends a part of the body, or the data of one event of a stream.
	Data(data []byte) error
}

// Dispatcher dispatches requests. It is safe for concurrent use.
type Dispatcher struct {
	router    Router
	agents    Agents
	policy    retry.Policy
	budget    *retry.Budget
	rng       *rand.Rand
	suspects  *quarantine.List
	decisions *decision.Log
}

// New returns a Dispatcher. budget limits the retries of the whole node; suspects holds
// the content that may crash endpoints.
func New(router Router, agents Agents, policy retry.Policy, budget *retry.Budget, suspects *quarantine.List, decisions *decision.Log) *Dispatcher {
	return &Dispatcher{
		router: router, agents: agents, policy: policy, budget: budget,
		rng: syncrand.New(), suspects: suspects, decisions: decisions,
	}
}

// Do runs the request and returns nil once the complete answer is in sink. If it returns
// a problem after sink.Head was called, the answer is incomplete, and the problem must be
// reported in the stream. A problem with the outcome problem.NotRun or problem.Refused
// guarantees that no attempt ran.
func (d *Dispatcher) Do(ctx context.Context, req *Request, sink Sink) *problem.Problem {
	r := &requestState{dispatcher: d, req: req, delivery: &delivery{sink: sink}}
	d.budget.Deposit(req.Organisation)
	return r.do(ctx)
}

// requestState is the state of one request across its attempts.
type requestState struct {
	dispatcher *Dispatcher
	req        *Request
	delivery   *delivery
	attempts   int
	tried      []string
	// unknownOutcome is the problem of the first attempt that may have run.
	unknownOutcome *problem.Problem
	// reclaimUsed is true once a protected request was sent again to the endpoint that
	// may run it.
	reclaimUsed bool
}

func (r *requestState) do(ctx context.Context) *problem.Problem {
	d := r.dispatcher
	for {
		r.attempts++
		if p := d.checkQuarantine(r.req); p != nil {
			return r.final(p)
		}
		target, err := d.pick(ctx, r.req, r.tried, r.delivery)
		if err != nil {
			return r.final(d.noTarget(r.req, r.attempts, err))
		}
		d.decisions.Add(decision.Dispatch, r.req.ID, "attempt %d goes to endpoint %s: %s.", r.attempts, target.Endpoint, target.Reason)
		result := d.attempt(ctx, r.req, uint32(r.attempts), target, r.delivery)
		d.router.Record(target, result.Load, result)
		d.mergeFacts(r.req, result)
		if result.State == Done {
			return nil
		}
		d.decisions.Add(decision.Dispatch, r.req.ID, "attempt %d at endpoint %s ended: %s.", r.attempts, target.Endpoint, result)
		if p := r.next(ctx, target, result); p != nil {
			return r.final(p)
		}
	}
}

// final returns the problem to report to the caller. If p states that the request did
// not run, but an earlier attempt may have run, that attempt's problem is returned
// instead: a later refusal proves nothing about an earlier attempt.
func (r *requestState) final(p *problem.Problem) *problem.Problem {
	if r.unknownOutcome != nil && p.Kind.Outcome != problem.Unknown {
		return r.unknownOutcome
	}
	return p
}

// next waits before the next attempt and returns nil, or returns the final problem if no
// attempt may follow.
func (r *requestState) next(ctx context.Context, target Target, result Result) *problem.Problem {
	final := result.problem(r.req, r.delivery.headSent)
	if result.State != NotRun && r.unknownOutcome == nil {
		r.unknownOutcome = final
	}
	if result.State == CallerGone {
		return final
	}
	if r.tryReclaim(target, result) {
		return nil
	}
	// Suspect content is pinned to one endpoint, so a retry goes to the same one.
	if r.req.PinnedEndpoint == "" {
		r.tried = append(r.tried, target.Endpoint)
	}
	return r.dispatcher.waitForRetry(ctx, r, result, final)
}

// tryReclaim arranges that a protected request is sent once more to the endpoint whose
// connection was lost. The request's claim there makes the new attempt wait for the
// answer of the first one.
func (r *requestState) tryReclaim(target Target, result Result) bool {
	if !r.req.protected() || !result.ConnectionLost || r.reclaimUsed || r.delivery.headSent {
		return false
	}
	if !r.dispatcher.budget.TryWithdraw(r.req.Organisation) {
		return false
	}
	r.reclaimUsed = true
	r.req.reclaimEndpoint = target.Endpoint
	r.dispatcher.decisions.Add(decision.Retry, r.req.ID, "attempt %d requests the answer of the first attempt from endpoint %s.", r.attempts+1, target.Endpoint)
	return true
}

// pick picks an endpoint. An answer that has started can only continue at an endpoint
// that can resume streams.
func (d *Dispatcher) pick(ctx context.Context, req *Request, tried []string, delivery *delivery) (Target, error) {
	for {
		target, err := d.router.Pick(ctx, req, tried)
		if err != nil || !delivery.headSent || target.CanResume {
			return target, err
		}
		tried = append(tried, target.Endpoint)
	}
}

func (d *Dispatcher) noTarget(req *Request, attempts int, err error) *problem.Problem {
	d.decisions.Add(decision.Dispatch, req.ID, "no endpoint for attempt %d: %s.", attempts, err)
	p := newProblem(problem.NoCapacity, req, err.Error())
	p.RetryAfter = noTargetRetryAfter
	return p
}

// noTargetRetryAfter is the Retry-After of a request for which there is no endpoint: nodes
// notice within about this time that an endpoint is back.
const noTargetRetryAfter = time.Second

// waitForRetry waits for the next attempt if the policy allows one, and then returns
// nil. Otherwise it returns final.
func (d *Dispatcher) waitForRetry(ctx context.Context, r *requestState, result Result, final *problem.Problem) *problem.Problem {
	dec := d.policy.Next(d.budget, r.req.Organisation, retry.Failure{
		Attempt:       r.attempts,
		Outcome:       result.outcome(),
		Final:         result.final(),
		Repeat:        r.req.Repeat,
		AnswerStarted: r.delivery.headSent && !r.req.resumable(),
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

// noDeadline is the assumed remaining time of a request without a deadline.
const noDeadline = time.Hour

func timeLeft(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return noDeadline
	}
	return time.Until(deadline)
}

func newProblem(kind problem.Kind, req *Request, detail string) *problem.Problem {
	return &problem.Problem{Kind: kind, RequestID: req.ID, Detail: detail}
}
