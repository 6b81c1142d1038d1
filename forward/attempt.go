package forward

import (
	"bytes"
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

// result is what became of one attempt.
type result struct {
	// done is true once the caller has the whole answer.
	done    bool
	verdict Verdict
	outcome attempt.Outcome
	// sent is true if the endpoint may have got the request.
	sent  bool
	cause string
	// retryAfter is the endpoint's own hint.
	retryAfter time.Duration
	// late is true if the deadline passed.
	late bool
	// released is true if the connection was given back.
	released bool
}

// problem says what the caller is told if no other attempt follows.
func (r result) problem(req *Request) *problem.Problem {
	p := &problem.Problem{Kind: problem.OutcomeUnknown, RequestID: req.ID, Detail: r.cause}
	switch {
	case r.outcome == attempt.NotRun:
		p.Kind, p.RetryAfter = problem.NoCapacity, max(r.retryAfter, leastRetryAfter)
	case r.late:
		p.Kind = problem.LateUnknown
	}
	return p
}

// leastRetryAfter is when a caller may come back after an endpoint turned its
// request away: the reports by which the next endpoint is chosen are newer then.
const leastRetryAfter = 200 * time.Millisecond

// attempt sends the request to one endpoint and passes its answer on.
func (r *run) attempt(ctx context.Context, target Target) result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.f.picker.Begin(target.ID)
	defer r.f.picker.End(target.ID)
	conn, err := r.f.pool.Get(ctx, target.Address, target.MaxConnections, r.needsFresh())
	if err != nil {
		return r.unsent(ctx, err)
	}
	r.sends++
	conn.BreakWith(ctx)
	r.progressed()
	defer r.watchSilence(target, cancel)()
	resp, err := conn.Exchange(ctx, r.message(target), r.belongs)
	if err != nil {
		conn.Discard()
		return r.broken(ctx, err)
	}
	answer := r.f.codec.DecodeAnswer(resp.StatusCode, resp.Header)
	if answer.NotRun {
		return r.rejected(conn, resp, answer)
	}
	res := r.answer(ctx, conn, resp, answer)
	if !res.released {
		conn.Discard()
	}
	return res
}

const (
	// silencePoll is the time between two looks whether an endpoint has stopped.
	silencePoll = 200 * time.Millisecond
	// standsFor is how long an attempt has to stand for that: events come every
	// 0.1 s or so.
	standsFor = 500 * time.Millisecond
)

// progressed notes that the attempt began or brought an event.
func (r *run) progressed() { r.progress.Store(int64(time.Since(r.req.Arrived))) }

// stands reports whether the attempt has brought nothing for a while.
func (r *run) stands() bool {
	return time.Since(r.req.Arrived)-time.Duration(r.progress.Load()) >= standsFor
}

// watchSilence ends an attempt that another endpoint may repeat once it stands and
// its own endpoint has probably stopped: callers leave a stream that stands for two seconds. The
// returned function ends the watch.
func (r *run) watchSilence(target Target, give func()) (stop func()) {
	if r.req.Match.Route.Repeat != deployment.RepeatAlways {
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		ticker := time.NewTicker(silencePoll)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				if r.stands() && r.f.picker.Unresponsive(target) {
					r.f.log.Warn("endpoint has stopped, the attempt is given up", "request", r.req.ID, "endpoint", target.ID)
					give()
					return
				}
			case <-done:
				return
			}
		}
	}()
	return func() { close(done) }
}

// needsFresh tells whether the request must not go on a connection that the
// endpoint may have closed meanwhile: it could not be sent again.
func (r *run) needsFresh() bool {
	return r.req.Match.Route.Repeat != deployment.RepeatAlways
}

// message is the request as the endpoint gets it.
func (r *run) message(target Target) *http.Request {
	header := r.req.Header.Clone()
	m := r.req.Match
	a := Attempt{
		Endpoint: target.ID, Remaining: time.Until(r.req.Deadline), Priority: m.Priority, LastEvent: r.lastEvent,
	}
	if m.Organisation != nil {
		a.Organisation = m.Organisation.Name
	}
	r.f.codec.SetAttempt(header, a)
	if header.Get("User-Agent") == "" {
		// The package that writes requests adds its own name to none.
		header["User-Agent"] = []string{""}
	}
	req := &http.Request{
		Method: r.req.Method, URL: &url.URL{Scheme: "http", Host: target.Address, Opaque: r.req.URI},
		Host: r.req.Host, Header: header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: int64(len(r.req.Body)),
	}
	if len(r.req.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(r.req.Body))
	}
	return req
}

// belongs tells whether an answer is the one to this request.
func (r *run) belongs(resp *http.Response) bool {
	id := r.f.codec.DecodeAnswer(resp.StatusCode, resp.Header).RequestID
	return id == "" || id == r.req.ID
}

// unsent is the result of an attempt that reached nobody.
func (r *run) unsent(ctx context.Context, err error) result {
	res := result{verdict: Failed, outcome: attempt.NotRun, cause: err.Error()}
	var full *upstream.FullError
	if errors.As(err, &full) || ctx.Err() != nil {
		res.verdict = Neutral
	}
	return res
}

// broken is the result of an attempt whose connection failed.
func (r *run) broken(ctx context.Context, err error) result {
	res := result{verdict: Failed, outcome: attempt.Unknown, sent: true, cause: err.Error()}
	var exchange *upstream.ExchangeError
	stale := errors.As(err, &exchange) && exchange.Reused
	if ctx.Err() != nil || stale {
		res.verdict = Neutral
	}
	res.late = ctx.Err() == context.DeadlineExceeded
	return res
}

// rejected is the result of an attempt that the endpoint turned away.
func (r *run) rejected(conn *upstream.Conn, resp *http.Response, answer Answer) result {
	res := result{verdict: Rejected, outcome: attempt.NotRun, sent: true, retryAfter: answer.RetryAfter, cause: "endpoint answered " + resp.Status + ", not run"}
	if answer.Misdirected {
		res.verdict = Misdirected
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		conn.Discard()
		return res
	}
	give(conn, resp)
	return res
}

// give returns a connection whose answer was read to its end.
func give(conn *upstream.Conn, resp *http.Response) {
	idle, ok := upstream.Reusable(resp)
	if !ok {
		conn.Discard()
		return
	}
	conn.Keep(idle)
}
