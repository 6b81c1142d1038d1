package forward

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/cyclamenpoint/cyclamenpoint/attempt"
	"github.com/cyclamenpoint/cyclamenpoint/deployment"
	"github.com/cyclamenpoint/cyclamenpoint/problem"
	"github.com/cyclamenpoint/cyclamenpoint/upstream"
)

// result is the outcome of one attempt.
type result struct {
	// done is true if no other attempt is needed: the response is complete, or the
	// caller has disconnected.
	done    bool
	verdict Verdict
	outcome attempt.Outcome
	// sent is true if the endpoint may have received the request.
	sent  bool
	cause string
	// retryAfter is the delay that the endpoint suggested; zero for none. cooldown is true if
	// the endpoint asks for no requests meanwhile.
	retryAfter time.Duration
	cooldown   bool
	// deadlineExceeded is true if the caller's deadline passed.
	deadlineExceeded bool
	// released is true if the connection was returned to the pool or closed.
	released bool
	// callerGone is true if the answer could not be written to the caller.
	callerGone bool
}

// problem returns the problem to report to the caller if no other attempt follows.
func (r result) problem(req *Request) *problem.Problem {
	p := &problem.Problem{Kind: problem.OutcomeUnknown, RequestID: req.ID, Detail: r.cause}
	switch {
	case r.outcome == attempt.NotRun:
		p.Kind, p.RetryAfter = problem.NoCapacity, max(r.retryAfter, minRetryAfter)
	case r.deadlineExceeded:
		p.Kind = problem.LateUnknown
	}
	return p
}

// minRetryAfter is the shortest Retry-After sent when an endpoint rejected the
// request: after that time newer load reports are available for the next choice.
const minRetryAfter = 200 * time.Millisecond

// attempt sends the request to one endpoint and relays its response.
func (r *requestState) attempt(ctx context.Context, target Target) result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.watch = r.f.picker.Begin(r.req, target, cancel)
	defer r.watch.End()
	conn, err := r.f.pool.Get(ctx, target.Address, target.MaxConnections, r.needsNewConnection())
	if err != nil {
		return r.notSent(ctx, err)
	}
	r.sends++
	conn.AbortOnDone(ctx)
	r.recordProgress()
	defer r.watchStall(target, cancel)()
	r.watch.Sent()
	reused := conn.Reused()
	resp, err := conn.Exchange(ctx, r.newRequest(target), r.answersRequest)
	if err != nil {
		conn.Discard()
		r.connectionLost(ctx)
		return r.broken(ctx, err)
	}
	answer := r.f.codec.DecodeAnswer(resp.StatusCode, resp.Header)
	if reused && answer.RequestID == "" {
		// It may answer an earlier request on this connection.
		conn.Discard()
		return r.broken(ctx, &UnidentifiedError{Status: resp.Status})
	}
	if !answer.Misdirected {
		r.watch.Stated(answer)
	}
	if answer.NotRun {
		r.watch.Answered(false)
		return r.rejected(conn, resp, answer)
	}
	res := r.relayAnswer(ctx, conn, resp, answer)
	if !res.released {
		conn.Discard()
	}
	switch {
	case res.released && isSuccess(resp.StatusCode):
		r.watch.Completed()
	case !res.released && !res.callerGone:
		r.connectionLost(ctx)
	}
	return res
}

// UnidentifiedError reports an answer on a reused connection that does not say to which request it
// belongs.
type UnidentifiedError struct{ Status string }

// Error implements error.
func (e *UnidentifiedError) Error() string {
	return "answer " + e.Status + " on a reused connection has no request id"
}

// connectionLost reports a failed connection to the watch, unless the attempt was
// cancelled.
func (r *requestState) connectionLost(ctx context.Context) {
	if ctx.Err() == nil {
		r.watch.ConnectionLost()
	}
}

const (
	// stallPollInterval is the time between two checks for a stalled attempt.
	stallPollInterval = 200 * time.Millisecond
	// stallThreshold is the time without an event after which an attempt counts
	// as stalled. Events normally arrive about every 0.1 s.
	stallThreshold = 500 * time.Millisecond
)

// recordProgress records the time at which the attempt started or delivered an event.
func (r *requestState) recordProgress() { r.progressedAt.Store(int64(time.Since(r.req.Arrived))) }

// stalled reports whether the attempt has delivered nothing for stallThreshold.
func (r *requestState) stalled() bool {
	return time.Since(r.req.Arrived)-time.Duration(r.progressedAt.Load()) >= stallThreshold
}

// watchStall cancels an attempt that has stalled at an endpoint that is probably
// down, so that the request can be retried elsewhere: callers abandon a stream
// that stalls for two seconds. It does nothing if the request must not run twice, or
// if no other attempt may follow: then the endpoint may still be about to answer.
// The returned function ends the watch.
func (r *requestState) watchStall(target Target, cancel func()) (stop func()) {
	if r.req.Match.Route.Repeat != deployment.RepeatAlways || r.isLastAttempt() {
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		ticker := time.NewTicker(stallPollInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				if r.stalled() && r.f.picker.Unresponsive(target) {
					r.f.log.Warn("endpoint is unresponsive, attempt cancelled", "request", r.req.ID, "endpoint", target.ID)
					cancel()
					return
				}
			case <-done:
				return
			}
		}
	}()
	return func() { close(done) }
}

// isLastAttempt reports whether the route allows no attempt after the current one.
func (r *requestState) isLastAttempt() bool { return r.sends >= r.req.Match.Route.MaxAttempts }

// needsNewConnection reports whether the request needs a new connection. An idle one
// may already be closed by the endpoint, and a request that is not repeatable could
// not be sent again after such a failure.
func (r *requestState) needsNewConnection() bool {
	return r.req.Match.Route.Repeat != deployment.RepeatAlways
}

// newRequest returns the HTTP request for one attempt.
func (r *requestState) newRequest(target Target) *http.Request {
	header := r.req.Header.Clone()
	m := r.req.Match
	a := Attempt{
		Endpoint: target.ID, Remaining: time.Until(r.req.Deadline), Priority: m.Priority, LastEvent: r.lastEventID,
	}
	if m.Organisation != nil {
		a.Organisation = m.Organisation.Name
	}
	r.f.codec.SetAttempt(header, a)
	if header.Get("User-Agent") == "" {
		// net/http adds a User-Agent of its own if the header is absent.
		header["User-Agent"] = []string{""}
	}
	req := &http.Request{
		Method: r.req.Method, URL: &url.URL{Scheme: "http", Host: target.Address, Opaque: r.req.URI}, RequestURI: r.req.URI,
		Host: r.req.Host, Header: header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: r.req.bodyLength(),
	}
	if len(r.req.Body) > 0 {
		req.Body = io.NopCloser(r.req.bodyReader())
	}
	return req
}

// answersRequest reports whether a response belongs to this request.
func (r *requestState) answersRequest(resp *http.Response) bool {
	id := r.f.codec.DecodeAnswer(resp.StatusCode, resp.Header).RequestID
	return id == "" || id == r.req.ID
}

// notSent returns the result of an attempt that never reached the endpoint.
func (r *requestState) notSent(ctx context.Context, err error) result {
	res := result{verdict: Failed, outcome: attempt.NotRun, cause: err.Error()}
	var limitErr *upstream.ConnectionLimitError
	if errors.As(err, &limitErr) || ctx.Err() != nil {
		res.verdict = Neutral
	}
	return res
}

// broken returns the result of an attempt whose connection failed after the request
// was sent. A reused connection may have been closed by the endpoint while it was
// idle, so its failure does not count against the endpoint.
func (r *requestState) broken(ctx context.Context, err error) result {
	res := result{verdict: Failed, outcome: attempt.Unknown, sent: true, cause: err.Error()}
	var exchange *upstream.ExchangeError
	stale := errors.As(err, &exchange) && exchange.Reused
	if ctx.Err() != nil || stale {
		res.verdict = Neutral
	}
	res.deadlineExceeded = ctx.Err() == context.DeadlineExceeded
	return res
}

// rejected returns the result of an attempt that the endpoint did not run.
func (r *requestState) rejected(conn *upstream.Conn, resp *http.Response, answer Answer) result {
	res := result{verdict: Rejected, outcome: attempt.NotRun, sent: true, retryAfter: answer.RetryAfter, cooldown: answer.Cooldown > 0, cause: "endpoint answered " + resp.Status + ", not run"}
	if answer.Misdirected {
		res.verdict = Misdirected
	}
	if err := upstream.SkipBody(resp); err != nil {
		conn.Discard()
		return res
	}
	releaseConn(conn, resp)
	return res
}

// releaseConn returns a connection to the pool once its response has been read to
// the end, or discards it if it cannot be reused.
func releaseConn(conn *upstream.Conn, resp *http.Response) {
	idle, ok := upstream.Reusable(resp)
	if !ok {
		conn.Discard()
		return
	}
	conn.Release(idle)
}
