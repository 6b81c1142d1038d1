// Package forward proxies a caller's request from an entry node directly to an
// endpoint, without an agent in between. The endpoint states in its response
// whether it ran the request. A Forwarder picks an endpoint, sends the request,
// relays the response, and retries only where the request may run again. A
// resumable stream continues at another endpoint after the last event that the
// caller received.
package forward

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/attempt"
	"github.com/cyclamenpoint/cyclamenpoint/discovery"
	"github.com/cyclamenpoint/cyclamenpoint/membudget"
	"github.com/cyclamenpoint/cyclamenpoint/metric"
	"github.com/cyclamenpoint/cyclamenpoint/problem"
	"github.com/cyclamenpoint/cyclamenpoint/quarantine"
	"github.com/cyclamenpoint/cyclamenpoint/retry"
	"github.com/cyclamenpoint/cyclamenpoint/route"
	"github.com/cyclamenpoint/cyclamenpoint/syncrand"
	"github.com/cyclamenpoint/cyclamenpoint/upstream"
)

// Request is a caller's request that the entry node has validated and matched to
// a route.
type Request struct {
	ID     string
	Method string
	// URI is the path with its query, as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	// Body is the body, or its first piece if Rest is not empty.
	Body []byte
	// Rest holds the further pieces of a body that is not in one piece.
	Rest  [][]byte
	Match route.Match
	// Caller is the address of the caller, for the limits on the memory of answers.
	Caller netip.Addr
	// Arrived is when the request headers were read.
	Arrived time.Time
	// Deadline is the caller's deadline, or that of the route if it is earlier.
	Deadline time.Time
	// LastEvent is the id of the last stream event that the caller received; empty
	// for none.
	LastEvent string
	// PromptTokens is the size of the prompt; zero if unknown.
	PromptTokens int
	// AnswerTokens is the caller's estimate of the size of the answer; zero if
	// unknown.
	AnswerTokens int
	// PromptParts holds the ids of the parts of the prompt that other requests may
	// have too, in order.
	PromptParts []string
	// Identity identifies the request around crashes of endpoints.
	Identity *quarantine.Request
}

// bodyLength returns the length of the body.
func (r *Request) bodyLength() int64 {
	n := len(r.Body)
	for _, piece := range r.Rest {
		n += len(piece)
	}
	return int64(n)
}

// bodyReader returns a reader of the body.
func (r *Request) bodyReader() io.Reader {
	if len(r.Rest) == 0 {
		return bytes.NewReader(r.Body)
	}
	readers := make([]io.Reader, 0, 1+len(r.Rest))
	readers = append(readers, bytes.NewReader(r.Body))
	for _, piece := range r.Rest {
		readers = append(readers, bytes.NewReader(piece))
	}
	return io.MultiReader(readers...)
}

// Attempt holds the values that an endpoint gets in the headers of one attempt.
type Attempt struct {
	// Endpoint is the id of the endpoint that the attempt is for; any other must
	// reject it.
	Endpoint string
	// Organisation is the caller's organisation; empty if it has none.
	Organisation string
	// Remaining is the time until the caller's deadline.
	Remaining time.Duration
	// Priority is 0 for the most urgent requests and grows with lower urgency.
	Priority int
	// LastEvent is the id of the event after which the stream resumes; empty to
	// start from the beginning.
	LastEvent string
}

// Answer holds what the headers of an endpoint's response state.
type Answer struct {
	// RequestID identifies the request that the response belongs to.
	RequestID string
	// Sealed is true if the response has the header that shows that the endpoint
	// produced it.
	Sealed bool
	// NotRun is true if the endpoint states that it did not run the request.
	NotRun bool
	// Misdirected is true if the address belongs to an endpoint other than the
	// one that the attempt was for.
	Misdirected bool
	// Encoded is true if the body has a content encoding, so it is not the body
	// that the endpoint produced.
	Encoded bool
	// RetryAfter is the delay that the endpoint suggests before a retry; zero for
	// none.
	RetryAfter time.Duration
	// Cooldown is the time for which the endpoint asks for no requests from this node;
	// zero for none.
	Cooldown time.Duration
	// RateLimit is the number of requests per second that the endpoint accepts from all
	// entry nodes together; zero for no limit.
	RateLimit float64
	// Leaving is true if the endpoint states that it is about to stop.
	Leaving bool
	Cold    ColdStatement
}

// ColdStatement is what an answer states about the endpoint's cold start.
type ColdStatement struct {
	// Stated is true if it states a time; Remaining is the time until the endpoint is
	// warm, zero if it is.
	Stated    bool
	Remaining time.Duration
	// Fault is the beginning of the value that was stated if it was out of range or no
	// number; empty otherwise.
	Fault string
}

// Codec encodes and decodes the headers exchanged with endpoints.
type Codec interface {
	SetAttempt(h http.Header, a Attempt)
	DecodeAnswer(status int, h http.Header) Answer
	// AnswerHeaders returns the response headers that are passed to the caller.
	AnswerHeaders(h http.Header) http.Header
}

// Sink receives the response for the caller.
type Sink interface {
	// Head starts the response; length is -1 for a body of unknown length.
	Head(status int, header http.Header, length int64)
	// Write appends a part of the body; Flush sends the parts written so far.
	Write(p []byte) error
	Flush() error
}

// Picker chooses endpoints and records the outcome of attempts.
type Picker interface {
	// Pick returns an endpoint that is not in tried. The error is a
	// *NoEndpointError or a *QuarantinedError.
	Pick(req *Request, tried []string) (Target, error)
	// Begin marks the start of an attempt. withdraw cancels it.
	Begin(req *Request, target Target, withdraw func()) Watch
	// Record stores the verdict on the endpoint of an attempt.
	Record(target Target, verdict Verdict)
	// Unresponsive reports whether an endpoint is probably down.
	Unresponsive(target Target) bool
	// NextFree returns the time until an endpoint of the request's service takes requests, as
	// far as the endpoints have asked for none; zero if one does now.
	NextFree(req *Request) time.Duration
}

// Watch receives the events of one attempt. Its methods must not be called concurrently.
type Watch interface {
	// Sent marks that the request is about to be sent.
	Sent()
	// Answered marks an event of the answer; ran is false if the endpoint stated that it
	// did not run the request.
	Answered(ran bool)
	// Completed marks the end of a complete answer.
	Completed()
	// ConnectionLost marks that the connection failed before the end of the answer.
	ConnectionLost()
	// Stated is called with each answer of the endpoint, before the caller gets it. What
	// it states about the endpoint concerns later requests too.
	Stated(a Answer)
	// End marks the end of the attempt.
	End()
}

// Target is the endpoint chosen for an attempt.
type Target struct {
	discovery.Endpoint
	// MaxConnections limits the connections that this entry node opens to the
	// endpoint; zero means no limit.
	MaxConnections int
	// Load is the load estimate on which the choice is based, for the log.
	Load float64
	// Unhealthy is true if only unhealthy endpoints were available.
	Unhealthy bool
	// Reservation is what the Picker reserved for the attempt, for its Begin; nil for
	// nothing. A Forwarder passes each Target to Begin.
	Reservation any
}

// NoEndpointError reports that no endpoint can take a request now.
type NoEndpointError struct {
	Reason string
	// RetryAfter is the expected time until there is capacity.
	RetryAfter time.Duration
	// MayRecover is true if no endpoint can serve at all; one may recover at any
	// moment. It is false if endpoints are only full or too slow.
	MayRecover bool
	// Suspect is true if the request may only run at one endpoint, because it may crash
	// endpoints.
	Suspect bool
	// Evacuated is true if all endpoints are in evacuated failure domains.
	Evacuated bool
}

// Error implements error.
func (e *NoEndpointError) Error() string { return e.Reason }

// QuarantinedError reports that a request must not run because its content or a part of
// its prompt crashes endpoints.
type QuarantinedError struct {
	// Remaining is how long the quarantine lasts.
	Remaining time.Duration
}

// Error implements error.
func (e *QuarantinedError) Error() string {
	return "endpoints crashed each time they ran this content or a part of its prompt"
}

// Verdict is the conclusion about an endpoint drawn from an attempt.
type Verdict int

// The verdicts.
const (
	// Served means that the endpoint answered correctly.
	Served Verdict = iota
	// Rejected means that the endpoint had no capacity.
	Rejected
	// Misdirected means that another endpoint is at the address.
	Misdirected
	// Failed means that the endpoint did not answer or gave an invalid response.
	Failed
	// Neutral means that the attempt ended for a reason unrelated to the endpoint.
	Neutral
)

// String returns the verdict as logs and metrics show it.
func (v Verdict) String() string {
	return [...]string{"served", "rejected", "moved", "failed", "neutral"}[v]
}

// retryBackoff bounds the wait before a retry. The retry goes to another endpoint,
// so the wait only has to spread out requests that failed at the same time.
const retryBackoff = 5 * time.Millisecond

const (
	// rejectedBackoff is the wait after an endpoint rejected a request: a rank
	// group takes about half a second to form. maxRejectedBackoffShare limits it
	// to a share of the time until the caller's deadline.
	rejectedBackoff         = 400 * time.Millisecond
	maxRejectedBackoffShare = 0.05
)

// Forwarder forwards requests to endpoints. It is safe for concurrent use.
type Forwarder struct {
	codec   Codec
	picker  Picker
	pool    *upstream.Pool
	budgets *RetryBudgets
	// memory is the memory for responses that are read in full.
	memory *membudget.Budget
	log    *slog.Logger
}

// New returns a Forwarder.
func New(codec Codec, picker Picker, pool *upstream.Pool, budgets *RetryBudgets, memory *membudget.Budget, log *slog.Logger) *Forwarder {
	return &Forwarder{codec: codec, picker: picker, pool: pool, budgets: budgets, memory: memory, log: log}
}

// Do forwards a request. It returns nil once the complete response is in sink, or
// else the problem to report to the caller. If sink.Head was called before a
// problem is returned, the response is incomplete and the caller's connection must
// be aborted.
func (f *Forwarder) Do(ctx context.Context, req *Request, sink Sink) *problem.Problem {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	r := &requestState{f: f, req: req, sink: sink, lastEventID: req.LastEvent}
	f.budgets.windowFor(req.Match.Service.Name).RecordFirst(time.Now())
	p := r.do(ctx)
	r.setFallback(nil)
	r.logOutcome(ctx, p)
	return p
}

// requestState is the state of one request across its attempts.
type requestState struct {
	f     *Forwarder
	req   *Request
	sink  Sink
	tried []string
	sends int
	// mayHaveRun is true once an attempt may have run.
	mayHaveRun bool
	// watch is that of the current attempt.
	watch Watch
	// headSent is true once the response head was sent to the caller. lastEventID
	// is the id of the last event sent, events the number of events sent.
	headSent bool
	// contentType is that of the response head.
	contentType  string
	lastEventID  string
	events       int
	firstEventAt time.Time
	lastEventAt  time.Time
	// longestGap is the longest pause between two events.
	longestGap time.Duration
	// progressedAt is when the current attempt last made progress, as a duration
	// since the request's arrival.
	progressedAt atomic.Int64
	// fallback is an endpoint's error response, which the caller gets if no later
	// attempt succeeds.
	fallback *bufferedAnswer
	// endpoint is the endpoint of the latest attempt, load the load estimate on
	// which its choice was based.
	endpoint string
	load     float64
}

func (r *requestState) do(ctx context.Context) *problem.Problem {
	for {
		target, err := r.pick(ctx)
		if err != nil {
			return r.final(r.noEndpointProblem(err))
		}
		r.endpoint, r.load = target.ID, target.Load
		result := r.attempt(ctx, target)
		r.f.picker.Record(target, result.verdict)
		metric.Attempts(r.req.Match.Service.Name, result.verdict.String()).Inc()
		metric.EndpointLoad.Update(target.Load)
		if result.done {
			return nil
		}
		r.mayHaveRun = r.mayHaveRun || result.outcome != attempt.NotRun
		if p := r.next(ctx, target, result); p != nil {
			return r.final(p)
		}
		r.tried = append(r.tried, target.ID)
	}
}

const (
	// waitShare is the share of the time until the deadline that a request may wait
	// for endpoints to recover. maxWait is the upper limit of the wait: callers
	// abandon a stream that has not started after two seconds.
	waitShare = 0.15
	maxWait   = 1200 * time.Millisecond
	// waitPollInterval is the time between two attempts to pick an endpoint.
	waitPollInterval = 40 * time.Millisecond
)

// pick chooses an endpoint. While none can serve, the request waits for a limited
// time, for example until a rank group has formed again. It is not refused at once,
// because a refused caller retries only once.
func (r *requestState) pick(ctx context.Context) (Target, error) {
	remaining := time.Until(r.req.Deadline)
	until := r.req.Arrived.Add(min(time.Duration(waitShare*float64(remaining)), maxWait))
	for {
		target, err := r.f.picker.Pick(r.req, r.tried)
		noEndpoint, ok := err.(*NoEndpointError)
		if err == nil || !ok || !noEndpoint.MayRecover || time.Now().After(until) {
			return target, err
		}
		timer := time.NewTimer(waitPollInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return target, err
		}
	}
}

// next waits before the next attempt and returns nil, or returns the final problem
// if no attempt may follow.
func (r *requestState) next(ctx context.Context, target Target, result result) *problem.Problem {
	final := result.problem(r.req)
	if result.cooldown && final.Kind == problem.NoCapacity {
		// The delay concerns that endpoint. Others may take requests before.
		final.RetryAfter = max(r.f.picker.NextFree(r.req), minRetryAfter)
	}
	if ctx.Err() != nil {
		return final
	}
	policy := retry.Policy{MaxAttempts: r.req.Match.Route.MaxAttempts, BaseBackoff: retryBackoff, MaxBackoff: retryBackoff}
	decision := policy.Decide(retry.Failure{
		Attempt: max(r.sends, 1), Outcome: result.outcome, Repeat: r.req.Match.Route.Repeat,
		AnswerStarted: r.headSent && !r.req.Match.Route.Resumable, Remaining: time.Until(r.req.Deadline),
	}, syncrand.New())
	if result.verdict == Rejected && !result.cooldown {
		// The other endpoints are probably in the same state for a short time.
		decision.After = min(rejectedBackoff, time.Duration(maxRejectedBackoffShare*float64(time.Until(r.req.Deadline))))
	}
	if !result.sent && len(r.tried) < maxUnsentAttempts {
		// An attempt that never reached an endpoint does not count against
		// MaxAttempts or the retry budget.
		decision.Retry, decision.After = true, 0
	} else if decision.Retry && !r.f.budgets.windowFor(r.req.Match.Service.Name).TryRetry(time.Now()) {
		decision = retry.Decision{Reason: retry.ReasonBudget}
	}
	r.f.log.Info("attempt failed", "request", r.req.ID, "endpoint", target.ID, "attempt", r.sends, "load", target.Load,
		"cause", result.cause, "outcome", result.outcome.String(), "retry", decision.Retry, "reason", decision.Reason.String(),
		"events", r.events, "prompt_parts", r.req.PromptParts)
	if !decision.Retry {
		return final
	}
	timer := time.NewTimer(decision.After)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return final
	}
}

// maxUnsentAttempts limits the attempts of one request that fail before they reach
// an endpoint and are retried outside of the retry policy.
const maxUnsentAttempts = 3

// noEndpointProblem returns the problem for a request without an endpoint.
func (r *requestState) noEndpointProblem(err error) *problem.Problem {
	p := &problem.Problem{Kind: problem.NoCapacity, RequestID: r.req.ID, Detail: err.Error()}
	cause := "full"
	switch e := err.(type) {
	case *NoEndpointError:
		p.RetryAfter = e.RetryAfter
		if e.MayRecover {
			cause = "none can serve"
		}
		if e.Suspect {
			cause = "suspect"
		}
		if e.Evacuated {
			cause = "evacuated"
		}
	case *QuarantinedError:
		p.Kind, p.RetryAfter, cause = problem.CrashesEndpoints, e.Remaining, "quarantined"
	}
	metric.Refusals(r.req.Match.Service.Name, cause).Inc()
	return p
}

// setFallback replaces the fallback response.
func (r *requestState) setFallback(b *bufferedAnswer) {
	if r.fallback != nil {
		r.fallback.body.release()
	}
	r.fallback = b
}

// final sends the fallback response, if there is one and the caller has received
// nothing yet, and returns nil. Otherwise it returns the problem to report to the
// caller, which is p unless an attempt may have run: then a p with an outcome other
// than problem.Unknown becomes problem.OutcomeUnknown.
func (r *requestState) final(p *problem.Problem) *problem.Problem {
	if r.fallback != nil && !r.headSent {
		if r.fallback.writeTo(r.sink) == nil {
			return nil
		}
	}
	if r.mayHaveRun && p.Kind.Outcome != problem.Unknown {
		p.Kind = problem.OutcomeUnknown
		p.RetryAfter = 0
	}
	return p
}

// recordMetrics counts a finished request in the metrics.
func (r *requestState) recordMetrics(p *problem.Problem) {
	kind, outcome := r.req.Match.Route.Kind(), "served"
	if p != nil {
		outcome = p.Kind.Name
	}
	metric.Requests(kind, outcome).Inc()
	metric.Duration(kind).UpdateDuration(r.req.Arrived)
	if !r.firstEventAt.IsZero() {
		metric.FirstEvent.Update(r.firstEventAt.Sub(r.req.Arrived).Seconds())
		metric.LongestGap.Update(r.longestGap.Seconds())
	}
}

// logOutcome logs how a request ended and updates the metrics.
func (r *requestState) logOutcome(ctx context.Context, p *problem.Problem) {
	m := r.req.Match
	attrs := []any{
		"request", r.req.ID, "route", m.Route.Name, "service", m.Service.Name, "config", m.Version,
		"endpoint", r.endpoint, "load", r.load, "sends", r.sends, "ms", time.Since(r.req.Arrived).Milliseconds(),
	}
	if m.Organisation != nil {
		attrs = append(attrs, "organisation", m.Organisation.Name)
	}
	if m.Route.Stream && !r.firstEventAt.IsZero() {
		attrs = append(attrs, "first_event_ms", r.firstEventAt.Sub(r.req.Arrived).Milliseconds(), "events", r.events, "longest_gap_ms", r.longestGap.Milliseconds())
	}
	r.recordMetrics(p)
	if p == nil {
		r.f.log.Info("request served", attrs...)
		return
	}
	attrs = append(attrs, "outcome", string(p.Kind.Outcome), "problem", p.Kind.Name, "detail", p.Detail,
		"retry_after_ms", p.RetryAfter.Milliseconds(), "caller_gone", context.Cause(ctx) == context.Canceled, "begun", r.headSent)
	r.f.log.Warn("request not served", attrs...)
}
