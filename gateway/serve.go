package gateway

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/cyclamenpoint/cyclamenpoint/connlimit"
	"github.com/cyclamenpoint/cyclamenpoint/forward"
	"github.com/cyclamenpoint/cyclamenpoint/problem"
	"github.com/cyclamenpoint/cyclamenpoint/quarantine"
	"github.com/cyclamenpoint/cyclamenpoint/route"
)

const (
	// headerTimeout limits the time to receive the headers of a request.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long a caller's connection may stay idle. It exceeds the
	// limit that the configuration states for callers, so that callers close first.
	idleTimeout = 90 * time.Second
	// writeTimeout limits a write to a caller that does not read.
	writeTimeout = 5 * time.Second
	// maxHeaderBytes is the limit of the HTTP server; the limit in the configuration is
	// lower.
	maxHeaderBytes = 64 << 10
	// unreadBodyTime is how long the body of a refused request may take to arrive. After that
	// the connection is closed.
	unreadBodyTime = 500 * time.Millisecond
	// maxProbeHeaderBytes is the limit for readiness checks, which have few headers.
	maxProbeHeaderBytes = 8 << 10
	// defaultTimeout applies to requests without a timeout on routes without one.
	defaultTimeout = 30 * time.Second
	// deregistrationTime is how long the platform takes to stop sending connections to
	// a node that is not ready: two readiness checks, one second apart, and a margin.
	deregistrationTime = 3 * time.Second
	// stopMargin is the part of the grace period reserved for the end of the process.
	stopMargin = 300 * time.Millisecond
	// finalAnswerTime is the time before that in which requests that are still in flight
	// get a final answer.
	finalAnswerTime = 200 * time.Millisecond
	// stoppingRetryAfter is the Retry-After of a node that is stopping. Other nodes can
	// serve the request at once.
	stoppingRetryAfter = 50 * time.Millisecond
)

// listen opens the listeners for callers and for readiness checks.
func (g *Gateway) listen(ctx context.Context) error {
	ready := &http.Server{
		Handler: connlimit.WithoutBodies(http.HandlerFunc(g.serveReady)), ReadHeaderTimeout: headerTimeout, ReadTimeout: headerTimeout, WriteTimeout: headerTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxProbeHeaderBytes,
	}
	callers := &http.Server{
		Handler: http.HandlerFunc(g.serveCaller), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
	for _, l := range []struct {
		server  *http.Server
		address string
		limits  connlimit.Config
	}{
		{ready, g.settings.ReadinessAddress, connlimit.Config{
			MaxConnections: g.settings.Plan.Probes, MaxHeadBytes: func() int { return maxProbeHeaderBytes }, Memory: g.memory, CountBodies: true, EvictActive: true,
			OnRefusal: connlimit.NewReporter("readiness", g.log.Warn).Refused,
		}},
		{callers, g.settings.CallerAddress, connlimit.Config{
			MaxConnections: g.settings.Plan.Callers, MaxHeadBytes: g.maxHeadBytes, Memory: g.memory, OnRefusal: g.refusals.Refused,
		}},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return errors.WithStack(err)
		}
		listener = connlimit.Listen(listener, l.server, l.limits)
		g.servers = append(g.servers, l.server)
		g.listeners = append(g.listeners, listener)
		g.runInBackground(ctx, func(context.Context) {
			if err := l.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
				g.log.Error("listener failed", "address", l.address, "error", err.Error())
			}
		})
	}
	return nil
}

// maxHeadBytes returns the limit of the configuration for a request's head. Without one it is
// the limit of the server.
func (g *Gateway) maxHeadBytes() int {
	if table := g.table.Load(); table != nil {
		if limit := table.Limits().MaxHeaderBytes; limit > 0 {
			return min(limit, maxHeaderBytes)
		}
	}
	return maxHeaderBytes
}

// serveReady handles a readiness check.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !g.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serveCaller handles a caller's request.
func (g *Gateway) serveCaller(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	req, body, p := g.decodeRequest(w, r, arrived)
	defer body.release()
	if p == nil && g.closing.Load() {
		// A connection that was accepted before may bring a request at any later time.
		p = &problem.Problem{Kind: problem.Draining, RequestID: req.ID, RetryAfter: stoppingRetryAfter}
	}
	if p == nil {
		ctx, cancel := context.WithCancelCause(r.Context())
		defer cancel(nil)
		defer context.AfterFunc(g.requests, func() { cancel(&StoppingError{}) })()
		sink := &responseSink{w: w, controller: http.NewResponseController(w)}
		p = g.forwarder.Do(ctx, req, sink)
		if p != nil && sink.headSent {
			// Only an aborted connection shows the caller that the answer is
			// incomplete.
			panic(http.ErrAbortHandler)
		}
	} else {
		if r.ContentLength != 0 {
			connlimit.LeaveBody(w, unreadBodyTime)
		}
		g.log.Warn("request refused", "request", p.RequestID, "problem", p.Kind.Name, "detail", p.Detail, "retry_after_ms", p.RetryAfter.Milliseconds())
	}
	if p != nil {
		g.writeProblem(w, p)
	}
}

// StoppingError is the cause for which a request is cancelled that is still in flight when
// the node has to stop.
type StoppingError struct{}

// Error implements error.
func (*StoppingError) Error() string { return "the node is stopping" }

// writeProblem sends a problem as the answer.
func (g *Gateway) writeProblem(w http.ResponseWriter, p *problem.Problem) {
	h := w.Header()
	g.protocol.SetRequestID(h, p.RequestID)
	if p.RetryAfter > 0 {
		g.protocol.SetRetryAfter(h, p.RetryAfter)
	}
	// Otherwise Write would replace the header by whole seconds.
	p.RetryAfter = 0
	p.Write(w)
}

// decodeRequest validates a caller's request, matches it to a route and reads its body.
func (g *Gateway) decodeRequest(w http.ResponseWriter, r *http.Request, arrived time.Time) (*forward.Request, body, *problem.Problem) {
	caller, err := g.protocol.DecodeCaller(r.Header)
	if err != nil {
		return nil, body{}, &problem.Problem{Kind: problem.BadRequest, RequestID: caller.ID, Detail: err.Error()}
	}
	if len(caller.InvalidHeaders) > 0 {
		g.log.Warn("invalid headers, size of the request is unknown", "request", caller.ID, "headers", caller.InvalidHeaders)
	}
	table := g.table.Load()
	if table == nil {
		return nil, body{}, &problem.Problem{Kind: problem.NotReady, RequestID: caller.ID, Detail: "no configuration yet", RetryAfter: startRetryAfter}
	}
	match, err := table.Lookup(r.Host, r.URL.EscapedPath(), caller.Key, caller.ID)
	if err != nil {
		return nil, body{}, g.deniedProblem(caller.ID, err)
	}
	body, p := g.readBody(w, r, caller.ID, table.Limits().MaxBodyBytes)
	if p != nil {
		return nil, body, p
	}
	return &forward.Request{
		ID: caller.ID, Method: r.Method, URI: r.RequestURI, Host: r.Host,
		Header: g.protocol.ForwardedHeaders(r.Header), Body: body.first, Rest: body.rest, Match: match, Caller: connlimit.Caller(r.Context()),
		Arrived: arrived, Deadline: arrived.Add(effectiveTimeout(caller.Timeout, match.Route.Timeout)),
		LastEvent: caller.LastEvent, PromptTokens: caller.PromptTokens, AnswerTokens: caller.answerTokens(),
		PromptParts: caller.PromptParts, Identity: requestIdentity(r, match, body, caller.PromptParts),
	}, body, nil
}

// requestIdentity returns what identifies a request around crashes of endpoints.
func requestIdentity(r *http.Request, match route.Match, body body, parts []string) *quarantine.Request {
	content := quarantine.Content{Service: match.Service.Name, Method: r.Method, Path: r.RequestURI, Body: body.first, Rest: body.rest}
	if match.Organisation != nil {
		content.Organisation = match.Organisation.Name
	}
	return quarantine.NewRequest(content, parts)
}

// startRetryAfter is the Retry-After of a node that lacks an up-to-date configuration,
// for example because it has just started.
const startRetryAfter = 300 * time.Millisecond

// effectiveTimeout returns the shorter of the caller's and the route's timeout. Zero
// means not set; if neither is set, it returns defaultTimeout.
func effectiveTimeout(callerTimeout, routeTimeout time.Duration) time.Duration {
	switch {
	case callerTimeout <= 0 && routeTimeout <= 0:
		return defaultTimeout
	case callerTimeout <= 0:
		return routeTimeout
	case routeTimeout <= 0:
		return callerTimeout
	}
	return min(callerTimeout, routeTimeout)
}

// deniedProblem returns the problem for a request that the configuration does not allow.
// While the store is unreachable the node may lack a newer configuration that allows the
// request, so it answers that it is not ready.
func (g *Gateway) deniedProblem(id string, err error) *problem.Problem {
	p := &problem.Problem{Kind: problem.NoRoute, RequestID: id, Detail: err.Error()}
	var denied *route.DeniedError
	if errors.As(err, &denied) && denied.Cause == route.CauseNoKey {
		p.Kind = problem.BadAPIKey
	}
	if lostAt, _ := g.configFollower.OutageTimes(); !lostAt.IsZero() {
		p.Kind, p.RetryAfter = problem.NotReady, startRetryAfter
	}
	return p
}

// responseSink is a forward.Sink that writes to an http.ResponseWriter.
type responseSink struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	headSent   bool
	// aborted is true if the answer must not be written any further.
	aborted atomic.Bool
}

// AbortedError reports that the answer to a caller that does not read was aborted.
type AbortedError struct{}

// Error implements error.
func (*AbortedError) Error() string { return "the caller does not read" }

// Abort ends the current and all further writes. It is called while others wait for the
// memory of the answer.
func (s *responseSink) Abort() {
	s.aborted.Store(true)
	// This fails only if the connection is closed.
	_ = s.controller.SetWriteDeadline(time.Unix(1, 0))
}

// Head implements forward.Sink.
func (s *responseSink) Head(status int, header http.Header, length int64) {
	h := s.w.Header()
	for name, values := range header {
		if !strings.EqualFold(name, "Content-Length") {
			h[name] = values
		}
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	s.headSent = true
	s.w.WriteHeader(status)
}

// Write implements forward.Sink.
func (s *responseSink) Write(p []byte) error {
	if err := s.controller.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if s.aborted.Load() {
		// Abort may have come before the deadline was set.
		return &AbortedError{}
	}
	_, err := s.w.Write(p)
	return err
}

// Flush implements forward.Sink.
func (s *responseSink) Flush() error { return s.controller.Flush() }

// Stop shuts the node down. It reports the node as not ready and continues to serve until
// the platform has reacted. Then it accepts no further requests, waits for those in
// flight, and returns before the grace period is over. Requests that are still in flight
// shortly before that are cancelled, so that their callers get an answer.
func (g *Gateway) Stop() {
	start := time.Now()
	g.draining.Store(true)
	g.log.Info("stopping", "in_flight", g.inFlight.Load())
	deregistered := time.NewTimer(min(deregistrationTime, g.settings.GracePeriod/2))
	defer deregistered.Stop()
	<-deregistered.C
	end := start.Add(g.settings.GracePeriod - stopMargin)
	cancelTimer := time.AfterFunc(time.Until(end.Add(-finalAnswerTime)), g.cancelRequests)
	defer cancelTimer.Stop()
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	g.closeConnections(ctx)
	for i := len(g.servers) - 1; i >= 0; i-- {
		if err := g.servers[i].Shutdown(ctx); err != nil {
			g.log.Warn("shutdown incomplete, aborting requests in flight", "in_flight", g.inFlight.Load(), "error", err.Error())
		}
	}
	g.cancel()
	g.log.Info("stopped", "after", time.Since(start).String())
}

// closeConnections accepts no more connections and closes those that are idle. Until no
// request is in flight, it leaves the others to the handler, which refuses further
// requests: http.Server.Shutdown would read these and close the connection without an
// answer, so that a caller could not know whether they have run.
func (g *Gateway) closeConnections(ctx context.Context) {
	g.closing.Store(true)
	for i, l := range g.listeners {
		if err := l.Close(); err != nil {
			g.log.Warn("cannot close a listener", "address", l.Addr().String(), "error", err.Error())
		}
		g.servers[i].SetKeepAlivesEnabled(false)
	}
	for g.inFlight.Load() > 0 && ctx.Err() == nil {
		sleep(ctx, closePollInterval)
	}
}

// closePollInterval is the time between two checks whether requests are in flight.
const closePollInterval = 20 * time.Millisecond

// sleep waits for some time, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
