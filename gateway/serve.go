package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/cyclamenpoint/cyclamenpoint/forward"
	"github.com/cyclamenpoint/cyclamenpoint/problem"
	"github.com/cyclamenpoint/cyclamenpoint/route"
)

const (
	// headerTimeout bounds the arrival of a request's head.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long a caller's connection may stay idle. It exceeds
	// the bound that a configuration tells callers, so that they end first.
	idleTimeout = 90 * time.Second
	// writeTimeout bounds the wait for a caller that does not read.
	writeTimeout = 5 * time.Second
	// maxHeaderBytes is the server's own bound; a configuration's is lower.
	maxHeaderBytes = 64 << 10
	// defaultDeadline holds for a request that names none, on a route without a
	// time-out.
	defaultDeadline = 30 * time.Second
	// rotationTime is how long the platform takes to stop sending connections to
	// a node that is not ready: two questions, a second apart, and some slack.
	rotationTime = 3 * time.Second
	// stopMargin is kept of the grace for the end of the process.
	stopMargin = 300 * time.Millisecond
)

// listen opens the listeners for callers and the platform's questions.
func (g *Gateway) listen(ctx context.Context) error {
	ready := &http.Server{Handler: http.HandlerFunc(g.serveReady), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	callers := &http.Server{
		Handler: http.HandlerFunc(g.serveCaller), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
	for _, l := range []struct {
		server  *http.Server
		address string
	}{{ready, g.settings.ReadinessAddress}, {callers, g.settings.CallerAddress}} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return errors.WithStack(err)
		}
		g.servers = append(g.servers, l.server)
		g.duty(ctx, func(context.Context) {
			if err := l.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				g.log.Error("listener ended", "address", l.address, "error", err.Error())
			}
		})
	}
	return nil
}

// serveReady answers whether the node takes new connections.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !g.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serveCaller serves one request.
func (g *Gateway) serveCaller(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	req, p := g.request(w, r, arrived)
	if p == nil {
		sink := &responseSink{w: w, control: http.NewResponseController(w)}
		p = g.forward.Do(r.Context(), req, sink)
		if p != nil && sink.begun {
			// Only a broken connection tells the caller that the answer is not
			// whole.
			panic(http.ErrAbortHandler)
		}
	} else {
		g.log.Warn("request refused", "request", p.RequestID, "problem", p.Kind.Name, "detail", p.Detail, "retry_after_ms", p.RetryAfter.Milliseconds())
	}
	if p != nil {
		g.refuse(w, p)
	}
}

// refuse answers with a problem.
func (g *Gateway) refuse(w http.ResponseWriter, p *problem.Problem) {
	h := w.Header()
	g.protocol.SetRequestID(h, p.RequestID)
	if p.RetryAfter > 0 {
		g.protocol.SetRetryAfter(h, p.RetryAfter)
	}
	p.RetryAfter = 0
	p.Write(w)
}

// request checks a caller's request and reads its body.
func (g *Gateway) request(w http.ResponseWriter, r *http.Request, arrived time.Time) (*forward.Request, *problem.Problem) {
	caller, err := g.protocol.DecodeCaller(r.Header)
	if err != nil {
		return nil, &problem.Problem{Kind: problem.BadRequest, RequestID: caller.ID, Detail: err.Error()}
	}
	if len(caller.InvalidHeaders) > 0 {
		g.log.Warn("size of a request cannot be read, it counts as unknown", "request", caller.ID, "headers", caller.InvalidHeaders)
	}
	table := g.table.Load()
	if table == nil {
		return nil, &problem.Problem{Kind: problem.NotReady, RequestID: caller.ID, Detail: "no configuration yet", RetryAfter: startRetryAfter}
	}
	match, err := table.Lookup(r.Host, r.URL.EscapedPath(), caller.Key, caller.ID)
	if err != nil {
		return nil, g.denied(caller.ID, err)
	}
	body, p := readBody(w, r, caller.ID, table.Limits().MaxBodyBytes)
	if p != nil {
		return nil, p
	}
	return &forward.Request{
		ID: caller.ID, Method: r.Method, URI: r.RequestURI, Host: r.Host,
		Header: g.protocol.ForwardedHeaders(r.Header), Body: body, Match: match,
		Arrived: arrived, Deadline: arrived.Add(timeFor(caller.Deadline, match.Route.Timeout)),
		LastEvent: caller.LastEvent, PromptTokens: caller.PromptTokens, AnswerTokens: caller.answerTokens(),
	}, nil
}

// startRetryAfter is when a node that has just started knows more.
const startRetryAfter = 300 * time.Millisecond

// timeFor is the shorter of the caller's and the route's time.
func timeFor(deadline, timeout time.Duration) time.Duration {
	switch {
	case deadline <= 0 && timeout <= 0:
		return defaultDeadline
	case deadline <= 0:
		return timeout
	case timeout <= 0:
		return deadline
	}
	return min(deadline, timeout)
}

// denied says that the configuration does not allow the request. While the
// store does not answer, a newer configuration may allow it.
func (g *Gateway) denied(id string, err error) *problem.Problem {
	p := &problem.Problem{Kind: problem.NoRoute, RequestID: id, Detail: err.Error()}
	var denied *route.DeniedError
	if errors.As(err, &denied) && denied.Cause == route.CauseNoKey {
		p.Kind = problem.BadAPIKey
	}
	if lostAt, _ := g.config.OutageTimes(); !lostAt.IsZero() {
		p.Kind, p.RetryAfter = problem.NotReady, startRetryAfter
	}
	return p
}

// readBody reads a request's body up to limit bytes; zero sets no bound.
func readBody(w http.ResponseWriter, r *http.Request, id string, limit int64) ([]byte, *problem.Problem) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if limit > 0 {
		r.Body = http.MaxBytesReader(w, r.Body, limit)
	}
	body, err := io.ReadAll(r.Body)
	if err == nil {
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &problem.Problem{Kind: problem.TooLarge, RequestID: id, Detail: err.Error()}
	}
	return nil, &problem.Problem{Kind: problem.BadRequest, RequestID: id, Detail: "body: " + err.Error()}
}

// responseSink is a forward.Sink.
type responseSink struct {
	w       http.ResponseWriter
	control *http.ResponseController
	begun   bool
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
	s.begun = true
	s.w.WriteHeader(status)
}

// Write implements forward.Sink.
func (s *responseSink) Write(p []byte) error {
	if err := s.control.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := s.w.Write(p)
	return err
}

// Flush implements forward.Sink.
func (s *responseSink) Flush() error { return s.control.Flush() }

// Stop ends the node: it tells the platform that it takes no new connections,
// serves on until that has taken effect, waits for the answers in flight, and
// returns before the grace is over.
func (g *Gateway) Stop() {
	began := time.Now()
	g.draining.Store(true)
	g.log.Info("stopping", "in_flight", g.inFlight.Load())
	rotation := time.NewTimer(min(rotationTime, g.settings.GracePeriod/2))
	defer rotation.Stop()
	<-rotation.C
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(g.settings.GracePeriod-stopMargin))
	defer cancel()
	for i := len(g.servers) - 1; i >= 0; i-- {
		if err := g.servers[i].Shutdown(ctx); err != nil {
			g.log.Warn("answers in flight are cut off", "in_flight", g.inFlight.Load(), "error", err.Error())
		}
	}
	g.cancel()
	g.log.Info("stopped", "after", time.Since(began).String())
}
