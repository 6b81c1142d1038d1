package forward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/attempt"
	"github.com/cyclamenpoint/cyclamenpoint/deployment"
	"github.com/cyclamenpoint/cyclamenpoint/eventstream"
	"github.com/cyclamenpoint/cyclamenpoint/metric"
	"github.com/cyclamenpoint/cyclamenpoint/upstream"
)

// maxHeld bounds an answer that is read whole before the caller gets any of it,
// so that one that breaks can be replaced. Longer ones fail.
const maxHeld = 4 << 20

// answer passes an endpoint's answer on.
func (r *run) answer(ctx context.Context, conn *upstream.Conn, resp *http.Response, answer Answer) result {
	success := resp.StatusCode >= 200 && resp.StatusCode < 300
	switch {
	case success && (!answer.Sealed || answer.Encoded):
		return failed(ctx, "answer is not the endpoint's own")
	case isPromise(resp.StatusCode):
		// The endpoint does not say that the request has not run.
		return failed(ctx, "endpoint answered "+resp.Status+" without proof")
	case success && r.req.Match.Route.Stream:
		return r.stream(ctx, conn, resp)
	}
	return r.whole(ctx, conn, resp, success)
}

// isPromise reports whether callers take a status to say that nothing ran.
func isPromise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func failed(ctx context.Context, cause string) result {
	res := result{verdict: Failed, outcome: attempt.Unknown, sent: true, cause: cause}
	if ctx.Err() != nil {
		res.verdict, res.late = Neutral, ctx.Err() == context.DeadlineExceeded
	}
	return res
}

// keptAnswer is a whole answer that has not been passed on.
type keptAnswer struct {
	status int
	header http.Header
	body   []byte
}

func (k *keptAnswer) deliver(sink Sink) error {
	sink.Head(k.status, k.header, int64(len(k.body)))
	if err := sink.Write(k.body); err != nil {
		return err
	}
	return sink.Flush()
}

// whole passes on an answer that is no stream once it is complete.
func (r *run) whole(ctx context.Context, conn *upstream.Conn, resp *http.Response, success bool) result {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxHeld+1))
	if err != nil {
		return failed(ctx, "answer broke off: "+err.Error())
	}
	if len(body) > maxHeld {
		return failed(ctx, "answer is longer than "+strconv.Itoa(maxHeld)+" bytes")
	}
	if r.begun {
		return failed(ctx, "endpoint did not resume the stream: "+resp.Status)
	}
	kept := &keptAnswer{status: resp.StatusCode, header: r.f.codec.AnswerHeaders(resp.Header), body: body}
	if resp.StatusCode >= 500 && r.req.Match.Route.Repeat == deployment.RepeatAlways {
		r.kept = kept
		give(conn, resp)
		return result{verdict: Failed, outcome: attempt.Unknown, sent: true, released: true, cause: "endpoint answered " + resp.Status}
	}
	give(conn, resp)
	res := result{done: true, verdict: Neutral, outcome: attempt.Done, sent: true, released: true}
	// A caller that has gone does not read its answer.
	if err := kept.deliver(r.sink); err == nil && success {
		res.verdict = Served
	}
	return res
}

// stream passes on the events of a stream.
func (r *run) stream(ctx context.Context, conn *upstream.Conn, resp *http.Response) result {
	if r.begun {
		metric.StreamsResumed.Inc()
	}
	events := eventstream.NewReader(resp.Body)
	for {
		event, err := events.Next()
		r.progressed()
		if err == io.EOF && r.events > 0 {
			give(conn, resp)
			return r.end()
		}
		if err != nil {
			return failed(ctx, "stream broke off: "+err.Error())
		}
		if !r.newer(event.ID) {
			continue
		}
		if err := r.pass(resp, event, events.HasBuffered()); err != nil {
			return result{verdict: Neutral, outcome: attempt.Unknown, sent: true, cause: "caller: " + err.Error()}
		}
	}
}

// end sends what is left of a whole stream.
func (r *run) end() result {
	// A caller that has gone does not read its answer.
	_ = r.sink.Flush()
	return result{done: true, verdict: Served, outcome: attempt.Done, sent: true, released: true}
}

// newer tells whether an event follows the last one that the caller holds.
func (r *run) newer(id string) bool {
	if r.lastEvent == "" || id == "" {
		return true
	}
	last, err1 := strconv.ParseInt(r.lastEvent, 10, 64)
	now, err2 := strconv.ParseInt(id, 10, 64)
	return err1 != nil || err2 != nil || now > last
}

// pass writes one event, and the head before the first one.
func (r *run) pass(resp *http.Response, event eventstream.Event, more bool) error {
	now := time.Now()
	if r.begun {
		r.longestGap = max(r.longestGap, now.Sub(r.lastAt))
	} else {
		r.sink.Head(resp.StatusCode, r.f.codec.AnswerHeaders(resp.Header), -1)
		r.begun, r.firstAt = true, now
	}
	r.lastAt = now
	if err := r.sink.Write(event.Raw); err != nil {
		return err
	}
	r.events++
	if event.ID != "" {
		r.lastEvent = event.ID
	}
	if more {
		return nil
	}
	return r.sink.Flush()
}
