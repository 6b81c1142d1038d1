package forward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/attempt"
	"github.com/cyclamenpoint/cyclamenpoint/deployment"
	"github.com/cyclamenpoint/cyclamenpoint/eventstream"
	"github.com/cyclamenpoint/cyclamenpoint/metric"
	"github.com/cyclamenpoint/cyclamenpoint/upstream"
)

// maxSkippedEventBytes limits the events that a caller already has at the beginning of a
// resumed stream. An endpoint that repeats events without end would otherwise occupy the
// request until its deadline.
const maxSkippedEventBytes = 256 << 10

// relayAnswer sends an endpoint's response to the caller.
func (r *requestState) relayAnswer(ctx context.Context, conn *upstream.Conn, resp *http.Response, answer Answer) result {
	success := isSuccess(resp.StatusCode)
	switch {
	case success && (!answer.Sealed || answer.Encoded):
		return failedResult(ctx, "answer is not the endpoint's own")
	case impliesNotRun(resp.StatusCode):
		// The endpoint has not stated that the request did not run. The status must
		// not reach the caller, who would treat it as proof.
		return failedResult(ctx, "endpoint answered "+resp.Status+" without proof")
	case success && r.req.Match.Route.Stream:
		return r.relayStream(ctx, conn, resp)
	}
	return r.relayBuffered(ctx, conn, resp, success)
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// impliesNotRun reports whether callers treat a status as proof that the request
// did not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// failedResult returns the result of an attempt whose response is unusable. If
// ctx has ended, the failure does not count against the endpoint.
func failedResult(ctx context.Context, cause string) result {
	res := result{verdict: Failed, outcome: attempt.Unknown, sent: true, cause: cause}
	if ctx.Err() != nil {
		res.verdict, res.deadlineExceeded = Neutral, ctx.Err() == context.DeadlineExceeded
	}
	return res
}

// bufferedAnswer is a complete response that has not been sent to the caller.
type bufferedAnswer struct {
	status int
	header http.Header
	body   *bufferedBody
}

func (b *bufferedAnswer) writeTo(sink Sink) error {
	sink.Head(b.status, b.header, int64(b.body.size))
	if err := b.body.writeTo(sink); err != nil {
		return err
	}
	return sink.Flush()
}

// relayBuffered reads a response that is not a stream in full and then sends it
// to the caller.
func (r *requestState) relayBuffered(ctx context.Context, conn *upstream.Conn, resp *http.Response, success bool) result {
	body, err := readBody(ctx, resp.Body, r.f.memory.Open(r.req.Caller))
	if err != nil {
		return failedResult(ctx, "answer cannot be used: "+err.Error())
	}
	if r.headSent {
		body.release()
		return failedResult(ctx, "endpoint did not resume the stream: "+resp.Status)
	}
	buffered := &bufferedAnswer{status: resp.StatusCode, header: r.f.codec.AnswerHeaders(resp.Header), body: body}
	if resp.StatusCode >= 500 && r.req.Match.Route.Repeat == deployment.RepeatAlways {
		r.setFallback(buffered)
		releaseConn(conn, resp)
		return result{verdict: Failed, outcome: attempt.Unknown, sent: true, released: true, cause: "endpoint answered " + resp.Status}
	}
	defer body.release()
	releaseConn(conn, resp)
	res := result{done: true, verdict: Neutral, outcome: attempt.Done, sent: true, released: true}
	// A write error means that the caller has disconnected.
	if err := buffered.writeTo(r.sink); err == nil && success {
		res.verdict = Served
	}
	return res
}

// eventStreamType is the Content-Type of streams.
const eventStreamType = "text/event-stream"

// relayStream sends the events of a stream to the caller as they arrive.
func (r *requestState) relayStream(ctx context.Context, conn *upstream.Conn, resp *http.Response) result {
	contentType := resp.Header.Get("Content-Type")
	isStream := !r.headSent || contentType == r.contentType || strings.HasPrefix(contentType, eventStreamType)
	if !isStream && contentType != "" {
		return failedResult(ctx, "endpoint did not resume the stream: answered "+resp.Status+" of type "+strconv.Quote(contentType))
	}
	if r.headSent {
		metric.StreamsResumed.Inc()
	}
	before := r.events
	events, skipped := eventstream.NewReader(resp.Body), 0
	for {
		event, err := events.Next()
		r.recordProgress()
		if err == io.EOF && r.events == before && !isStream {
			return failedResult(ctx, "endpoint did not resume the stream: answered "+resp.Status+" without a type and an event")
		}
		if err == io.EOF && r.events > 0 {
			releaseConn(conn, resp)
			return r.finishStream()
		}
		if err != nil {
			return failedResult(ctx, "stream broke off: "+err.Error())
		}
		if !r.isNewEvent(event.ID) {
			if skipped += len(event.Raw); skipped > maxSkippedEventBytes {
				return failedResult(ctx, "endpoint repeats events")
			}
			continue
		}
		if err := r.relayEvent(resp, event, events.HasBuffered()); err != nil {
			return result{verdict: Neutral, outcome: attempt.Unknown, sent: true, callerGone: true, cause: "caller: " + err.Error()}
		}
	}
}

// finishStream flushes the last events of a complete stream.
func (r *requestState) finishStream() result {
	// An error means that the caller has disconnected.
	_ = r.sink.Flush()
	return result{done: true, verdict: Served, outcome: attempt.Done, sent: true, released: true}
}

// isNewEvent reports whether an event comes after the last one sent to the
// caller. Events without a numeric id count as new.
func (r *requestState) isNewEvent(id string) bool {
	if r.lastEventID == "" || id == "" {
		return true
	}
	last, lastErr := strconv.ParseInt(r.lastEventID, 10, 64)
	current, err := strconv.ParseInt(id, 10, 64)
	return lastErr != nil || err != nil || current > last
}

// relayEvent writes one event, preceded by the response head if it is the first.
// It flushes unless more events are already buffered.
func (r *requestState) relayEvent(resp *http.Response, event eventstream.Event, more bool) error {
	now := time.Now()
	if r.headSent {
		r.longestGap = max(r.longestGap, now.Sub(r.lastEventAt))
	} else {
		r.sink.Head(resp.StatusCode, r.f.codec.AnswerHeaders(resp.Header), -1)
		r.headSent, r.firstEventAt, r.contentType = true, now, resp.Header.Get("Content-Type")
	}
	r.lastEventAt = now
	if err := r.sink.Write(event.Raw); err != nil {
		return err
	}
	r.events++
	r.watch.Answered(true)
	if event.ID != "" {
		r.lastEventID = event.ID
	}
	if more {
		return nil
	}
	return r.sink.Flush()
}
