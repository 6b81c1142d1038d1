// Package forward carries a caller's request from an entry node straight to an
// endpoint that proves by itself what it has not run. It picks an endpoint,
// sends the request, passes the answer on, and sends again only where that
// cannot break a promise. A stream goes on at another endpoint after the last
// event that the caller holds.
package forward

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/attempt"
	"github.com/cyclamenpoint/cyclamenpoint/discovery"
	"github.com/cyclamenpoint/cyclamenpoint/entropy"
	"github.com/cyclamenpoint/cyclamenpoint/metric"
	"github.com/cyclamenpoint/cyclamenpoint/problem"
	"github.com/cyclamenpoint/cyclamenpoint/retry"
	"github.com/cyclamenpoint/cyclamenpoint/route"
	"github.com/cyclamenpoint/cyclamenpoint/upstream"
)

// Request is one caller's request after the entry's checks.
type Request struct {
	ID     string
	Method string
	// URI is the path with its query, as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	Match  route.Match
	// Arrived is when the request's head was read.
	Arrived time.Time
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// LastEvent is the last event that the caller holds; empty for none.
	LastEvent string
	// PromptTokens is the prompt's size; zero for unknown.
	PromptTokens int
	// AnswerTokens is the caller's guess of the answer's size; zero for unknown.
	AnswerTokens int
}

// Attempt is what an endpoint is told about one attempt.
type Attempt struct {
	// Endpoint is the id of the only endpoint that may run it.
	Endpoint string
	// Organisation is the caller's; empty for a caller without one.
	Organisation string
	// Remaining is what is left of the caller's time.
	Remaining time.Duration
	// Priority runs from 0, the most urgent.
	Priority int
	// LastEvent is the event after which a stream goes on; empty from its start.
	LastEvent string
}

// Answer is what the head of an endpoint's answer says.
type Answer struct {
	// RequestID is the request that it answers.
	RequestID string
	// Sealed is true if the endpoint vouches for the answer.
	Sealed bool
	// NotRun is true if the endpoint says that it did not run the request.
	NotRun bool
	// Misdirected is true if another endpoint was expected at the address.
	Misdirected bool
	// Encoded is true if the body is not as the endpoint made it.
	Encoded bool
	// RetryAfter is when to come back; zero if the endpoint does not say.
	RetryAfter time.Duration
}

// Codec reads and writes the headers that endpoints understand.
type Codec interface {
	SetAttempt(h http.Header, a Attempt)
	DecodeAnswer(status int, h http.Header) Answer
	// AnswerHeaders returns the headers of an answer that the caller gets.
	AnswerHeaders(h http.Header) http.Header
}

// Sink takes the answer for the caller.
type Sink interface {
	// Head begins the answer; length is -1 for a body whose end is not known.
	Head(status int, header http.Header, length int64)
	// Write passes on a piece of the body, Flush sends what was written.
	Write(p []byte) error
	Flush() error
}

// Picker chooses endpoints and learns from what became of attempts.
type Picker interface {
	// Pick returns an endpoint that is not in tried. The error is a
	// *RefusedError.
	Pick(req *Request, tried []string) (Target, error)
	// Begin and End count a request in flight at an endpoint.
	Begin(endpoint string)
	End(endpoint string)
	// Learn takes what an attempt showed of its endpoint.
	Learn(target Target, verdict Verdict)
	// Silent reports whether an endpoint has probably stopped.
	Silent(target Target) bool
}

// Target is the endpoint that an attempt goes to.
type Target struct {
	discovery.Endpoint
	// MaxConnections is what this node may open to it; zero sets no bound.
	MaxConnections int
	// Load is the estimate behind the choice, for the log.
	Load float64
	// Ill is true if nothing better was left.
	Ill bool
}

// RefusedError says that there is no endpoint for a request now.
type RefusedError struct {
	Reason string
	// After is when there will be room.
	After time.Duration
	// MayWait is true if endpoints may come back at any moment.
	MayWait bool
}

// Error implements error.
func (e *RefusedError) Error() string { return e.Reason }

// Verdict is what an attempt showed of its endpoint.
type Verdict int

// The verdicts.
const (
	// Served: the endpoint answered as it should.
	Served Verdict = iota
	// Rejected: the endpoint had no room.
	Rejected
	// Moved: another endpoint is at the address.
	Moved
	// Failed: the endpoint did not answer, or wrongly.
	Failed
	// Neutral: the attempt ended for a reason that is not the endpoint's.
	Neutral
)

// String returns the verdict as logs and figures print it.
func (v Verdict) String() string {
	return [...]string{"served", "rejected", "moved", "failed", "neutral"}[v]
}

// backoff bounds the wait before a second send; the endpoint is another one,
// so it only has to part requests that failed together.
const backoff = 5 * time.Millisecond

const (
	// rejectedBackoff is the wait after an endpoint turned a request away: a group
	// takes about half a second to form. rejectedPart bounds it by the caller's
	// time.
	rejectedBackoff = 400 * time.Millisecond
	rejectedPart    = 0.05
)

// Forwarder forwards requests. It is safe for concurrent use.
type Forwarder struct {
	codec   Codec
	picker  Picker
	pool    *upstream.Pool
	budgets *Budgets
	log     *slog.Logger
}

// New returns a Forwarder.
func New(codec Codec, picker Picker, pool *upstream.Pool, budgets *Budgets, log *slog.Logger) *Forwarder {
	return &Forwarder{codec: codec, picker: picker, pool: pool, budgets: budgets, log: log}
}

// Do forwards a request. It returns nil once the whole answer is in sink, or
// what the caller is to be told. After sink.Head was called the answer stays
// incomplete and its connection has to be broken off.
func (f *Forwarder) Do(ctx context.Context, req *Request, sink Sink) *problem.Problem {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	r := &run{f: f, req: req, sink: sink, lastEvent: req.LastEvent}
	f.budgets.window(req.Match.Service.Name).RecordFirst(time.Now())
	p := r.do(ctx)
	r.logEnd(ctx, p)
	return p
}

// run is the state of one request over its attempts.
type run struct {
	f     *Forwarder
	req   *Request
	sink  Sink
	tried []string
	sends int
	// ran is true once an attempt may have run.
	ran bool
	// begun is true once the head is with the caller; lastEvent is the newest
	// event there, events their number.
	begun     bool
	lastEvent string
	events    int
	firstAt   time.Time
	lastAt    time.Time
	// longestGap is the longest time between two events.
	longestGap time.Duration
	// progress is when the attempt last brought something, since the request's
	// arrival.
	progress atomic.Int64
	// kept is an endpoint's failure that the caller gets if no other attempt
	// does better.
	kept *keptAnswer
	// endpoint is the one of the newest attempt, and load the estimate behind its
	// choice.
	endpoint string
	load     float64
}

func (r *run) do(ctx context.Context) *problem.Problem {
	for {
		target, err := r.pick(ctx)
		if err != nil {
			return r.final(r.refusal(err))
		}
		r.endpoint, r.load = target.ID, target.Load
		result := r.attempt(ctx, target)
		r.f.picker.Learn(target, result.verdict)
		metric.Attempts(r.req.Match.Service.Name, result.verdict.String()).Inc()
		metric.EndpointLoad.Update(target.Load)
		if result.done {
			return nil
		}
		r.ran = r.ran || result.outcome != attempt.NotRun
		if p := r.next(ctx, target, result); p != nil {
			return r.final(p)
		}
		r.tried = append(r.tried, target.ID)
	}
}

const (
	// waitPart is the part of the caller's time that a request waits for
	// endpoints that are coming back, and waitMost its bound: a caller gives a
	// stream up that has not begun after two seconds.
	waitPart = 0.15
	waitMost = 1200 * time.Millisecond
	// waitPoll is the time between two looks for an endpoint.
	waitPoll = 40 * time.Millisecond
)

// pick asks for an endpoint. While none can serve, as when a group forms anew,
// the request waits for a while: whoever is refused comes back once only.
func (r *run) pick(ctx context.Context) (Target, error) {
	given := time.Until(r.req.Deadline)
	until := r.req.Arrived.Add(min(time.Duration(waitPart*float64(given)), waitMost))
	for {
		target, err := r.f.picker.Pick(r.req, r.tried)
		refused, ok := err.(*RefusedError)
		if err == nil || !ok || !refused.MayWait || time.Now().After(until) {
			return target, err
		}
		timer := time.NewTimer(waitPoll)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return target, err
		}
	}
}

// next returns nil if another attempt follows.
func (r *run) next(ctx context.Context, target Target, result result) *problem.Problem {
	final := result.problem(r.req)
	if ctx.Err() != nil {
		return final
	}
	policy := retry.Policy{MaxAttempts: r.req.Match.Route.MaxAttempts, BaseBackoff: backoff, MaxBackoff: backoff}
	decision := policy.Decide(retry.Failure{
		Attempt: max(r.sends, 1), Outcome: result.outcome, Repeat: r.req.Match.Route.Repeat,
		AnswerStarted: r.begun && !r.req.Match.Route.Resumable, Remaining: time.Until(r.req.Deadline),
	}, entropy.New())
	if result.verdict == Rejected {
		// The other endpoints are likely to be in the same state for a moment.
		decision.After = min(rejectedBackoff, time.Duration(rejectedPart*float64(time.Until(r.req.Deadline))))
	}
	if !result.sent && len(r.tried) < maxUnsent {
		// An attempt that reached nobody is none.
		decision.Retry, decision.After = true, 0
	} else if decision.Retry && !r.f.budgets.window(r.req.Match.Service.Name).TryRetry(time.Now()) {
		decision = retry.Decision{Reason: retry.ReasonBudget}
	}
	r.f.log.Info("attempt failed", "request", r.req.ID, "endpoint", target.ID, "attempt", r.sends, "load", target.Load,
		"cause", result.cause, "outcome", result.outcome.String(), "retry", decision.Retry, "reason", decision.Reason.String())
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

// maxUnsent bounds the endpoints that a request is offered to without reaching
// one.
const maxUnsent = 3

// refusal says that no endpoint can be offered the request.
func (r *run) refusal(err error) *problem.Problem {
	p := &problem.Problem{Kind: problem.NoCapacity, RequestID: r.req.ID, Detail: err.Error()}
	if refused, ok := err.(*RefusedError); ok {
		p.RetryAfter = refused.After
		cause := "full"
		if refused.MayWait {
			cause = "none can serve"
		}
		metric.Refusals(r.req.Match.Service.Name, cause).Inc()
	}
	return p
}

// final returns what the caller is told. A kept failure of an endpoint goes
// before the system's own; and a problem that denies a run is true only if no
// attempt may have run.
func (r *run) final(p *problem.Problem) *problem.Problem {
	if r.kept != nil && !r.begun {
		if r.kept.deliver(r.sink) == nil {
			return nil
		}
	}
	if r.ran && p.Kind.Outcome != problem.Unknown {
		p.Kind = problem.OutcomeUnknown
		p.RetryAfter = 0
	}
	return p
}

// measure adds a request to the figures.
func (r *run) measure(p *problem.Problem) {
	kind, outcome := r.req.Match.Route.Kind(), "served"
	if p != nil {
		outcome = p.Kind.Name
	}
	metric.Requests(kind, outcome).Inc()
	metric.Duration(kind).UpdateDuration(r.req.Arrived)
	if !r.firstAt.IsZero() {
		metric.FirstEvent.Update(r.firstAt.Sub(r.req.Arrived).Seconds())
		metric.LongestGap.Update(r.longestGap.Seconds())
	}
}

// logEnd writes the line that tells how a request ended.
func (r *run) logEnd(ctx context.Context, p *problem.Problem) {
	m := r.req.Match
	attrs := []any{
		"request", r.req.ID, "route", m.Route.Name, "service", m.Service.Name, "config", m.Version,
		"endpoint", r.endpoint, "load", r.load, "sends", r.sends, "ms", time.Since(r.req.Arrived).Milliseconds(),
	}
	if m.Organisation != nil {
		attrs = append(attrs, "organisation", m.Organisation.Name)
	}
	if m.Route.Stream && !r.firstAt.IsZero() {
		attrs = append(attrs, "first_event_ms", r.firstAt.Sub(r.req.Arrived).Milliseconds(), "events", r.events, "longest_gap_ms", r.longestGap.Milliseconds())
	}
	r.measure(p)
	if p == nil {
		r.f.log.Info("request served", attrs...)
		return
	}
	attrs = append(attrs, "outcome", string(p.Kind.Outcome), "problem", p.Kind.Name, "detail", p.Detail,
		"retry_after_ms", p.RetryAfter.Milliseconds(), "caller_gone", ctx.Err() == context.Canceled, "begun", r.begun)
	r.f.log.Warn("request not served", attrs...)
}
