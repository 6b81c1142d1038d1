// Package entry implements the HTTP interface of an entry node for its callers:
// an OpenAI-compatible interface to the models, and the routes of the services.
// It identifies the organisation, validates the request, dispatches it, and
// writes the answer.
package entry

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/cyclamenpoint/cyclamenpoint/config"
	"github.com/cyclamenpoint/cyclamenpoint/connlimit"
	"github.com/cyclamenpoint/cyclamenpoint/deployment"
	"github.com/cyclamenpoint/cyclamenpoint/dispatch"
	"github.com/cyclamenpoint/cyclamenpoint/membudget"
	"github.com/cyclamenpoint/cyclamenpoint/problem"
	"github.com/cyclamenpoint/cyclamenpoint/quota"
	"github.com/cyclamenpoint/cyclamenpoint/resource"
)

// Header fields of the callers' interface.
const (
	headerRequestID      = "X-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
)

// drainPollInterval is the interval at which a stopping node checks whether its
// requests have ended.
const drainPollInterval = 20 * time.Millisecond

// Limits are the limits on requests and the timeouts of the callers' interface.
type Limits struct {
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64 `yaml:"max_body_bytes,omitempty"`
	// MaxHeaderBytes bounds a request's header.
	MaxHeaderBytes int `yaml:"max_header_bytes,omitempty"`
	// MemoryBytes is the memory of the process, of which callers use a part, and
	// MaxDescriptors the number of its descriptors.
	MemoryBytes    int64 `yaml:"memory_bytes,omitempty"`
	MaxDescriptors int   `yaml:"max_descriptors,omitempty"`
	// HeaderTimeout bounds the time to read a header.
	HeaderTimeout time.Duration `yaml:"header_timeout,omitempty"`
	// BodyTimeout bounds the time to read a request's body.
	BodyTimeout time.Duration `yaml:"body_timeout,omitempty"`
	// RequestTimeout is the deadline of a request.
	RequestTimeout time.Duration `yaml:"request_timeout,omitempty"`
	// DrainGrace is how long a stopping node continues to refuse new requests
	// after its last answer, so that callers and the platform's load balancer
	// detect that it is stopping.
	DrainGrace time.Duration `yaml:"drain_grace,omitempty"`
}

// DefaultLimits returns the limits that apply unless the settings override
// them.
func DefaultLimits() Limits {
	return Limits{
		MaxBodyBytes:   4 << 20,
		MaxHeaderBytes: 32 << 10,
		MemoryBytes:    resource.DefaultMemoryBytes,
		MaxDescriptors: resource.DefaultDescriptors,
		HeaderTimeout:  5 * time.Second,
		BodyTimeout:    30 * time.Second,
		RequestTimeout: 10 * time.Minute,
		DrainGrace:     time.Second,
	}
}

// Dispatcher runs requests.
type Dispatcher interface {
	// Do runs a request and writes its answer to sink. It returns nil after a
	// complete answer.
	Do(ctx context.Context, req *dispatch.Request, sink dispatch.Sink) *problem.Problem
}

// Readiness reports whether the node may serve requests.
type Readiness interface {
	// Ready returns "" when the node may serve requests, else the reason why
	// not.
	Ready() string
}

// Limiter enforces the organisations' limits across all entry nodes.
type Limiter interface {
	// Admit counts a request that may generate up to the given number of
	// tokens. Its error is a *quota.LimitedError.
	Admit(organisation string, limits deployment.Limits, tokens float64) (*quota.Grant, error)
}

// Options configures an Entry.
type Options struct {
	Config     *config.Holder
	Dispatcher Dispatcher
	Limiter    Limiter
	Readiness  Readiness
	Limits     Limits
	// DebugVars is true if /debug/vars serves the expvar variables of the process.
	DebugVars bool
}

// Entry serves callers. It is safe for concurrent use.
type Entry struct {
	opts     Options
	plan     resource.Plan
	memory   *membudget.Budget
	refusals *connlimit.Reporter
	draining atomic.Bool
	inFlight atomic.Int64
}

// New returns an Entry.
func New(opts Options) *Entry {
	plan := resource.NewPlan(opts.Limits.MemoryBytes, opts.Limits.MaxDescriptors, connlimit.ConnectionBytes)
	return &Entry{
		opts: opts, plan: plan, memory: membudget.New(membudget.DefaultConfig(plan.RequestBytes)),
		refusals: connlimit.NewReporter("callers", klog.InfoS),
	}
}

// Limit limits the connections of a listener for callers that server is to serve, and the
// memory of their heads.
func (e *Entry) Limit(listener net.Listener, server *http.Server) net.Listener {
	return connlimit.Listen(listener, server, connlimit.Config{
		MaxConnections: e.plan.Callers, MaxHeadBytes: func() int { return e.opts.Limits.MaxHeaderBytes }, Memory: e.memory, OnRefusal: e.refused,
	})
}

// refused counts a refusal because of the limits of the process.
func (e *Entry) refused(cause string) {
	requestVars.Add("refused-"+cause, 1)
	e.refusals.Refused(cause)
}

// RunLimits ends requests that make no progress until the context ends.
func (e *Entry) RunLimits(ctx context.Context) { e.memory.Run(ctx) }

// InFlight returns the number of requests in flight.
func (e *Entry) InFlight() int { return int(e.inFlight.Load()) }

// Server returns the HTTP server for callers.
func (e *Entry) Server() *http.Server {
	return &http.Server{
		Handler:           e.Handler(),
		ReadHeaderTimeout: e.opts.Limits.HeaderTimeout,
		MaxHeaderBytes:    e.opts.Limits.MaxHeaderBytes,
		IdleTimeout:       time.Minute,
	}
}

// unreadBodyTime is how long the rest of the body of a refused request may take to arrive.
// After that the connection is closed.
const unreadBodyTime = 500 * time.Millisecond

// leaveBodies limits the time for which the server waits for bodies that were not read. It
// waits after the handler, and limits the time for the next request anew.
func leaveBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(w, r)
		if r.ContentLength != 0 {
			connlimit.LeaveBody(w, unreadBodyTime)
		}
	})
}

// Handler returns the handler of all paths for callers.
func (e *Entry) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(leaveBodies)
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "ok") })
	r.Get("/readyz", e.readyz)
	if e.opts.DebugVars {
		r.Handle("/debug/vars", expvar.Handler())
	}
	r.Group(func(r chi.Router) {
		r.Use(e.checkReady)
		r.Get("/v1/models", e.models)
		r.Post("/v1/chat/completions", e.chat)
		r.HandleFunc("/services/{service}/*", e.service)
	})
	r.NotFound(e.notFound)
	r.MethodNotAllowed(e.notFound)
	return r
}

// Drain refuses new requests before they run. It returns DrainGrace after the
// last request in flight has ended.
func (e *Entry) Drain(ctx context.Context) error {
	e.draining.Store(true)
	klog.Infof("entry: draining, %d requests in flight.", e.InFlight())
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for e.inFlight.Load() > 0 {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "drain with %d requests in flight", e.InFlight())
		case <-ticker.C:
		}
	}
	klog.Info("entry: drained.")
	grace := time.NewTimer(e.opts.Limits.DrainGrace)
	defer grace.Stop()
	select {
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "drain, in the grace period after the last request")
	case <-grace.C:
		return nil
	}
}

func (e *Entry) readyz(w http.ResponseWriter, _ *http.Request) {
	if reason := e.notReady(); reason != "" {
		writeText(w, http.StatusServiceUnavailable, reason)
		return
	}
	writeText(w, http.StatusOK, "ready")
}

// notReady returns "" when the node may serve requests, else the reason why
// not.
func (e *Entry) notReady() string {
	if e.draining.Load() {
		return "the node is stopping"
	}
	if e.opts.Config.Current() == nil {
		return "the node has no configuration"
	}
	return e.opts.Readiness.Ready()
}

// checkReady is middleware that gives a request its identifier and its
// deadline, and refuses it while the node may not serve requests.
func (e *Entry) checkReady(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := uuid.NewString()
		w.Header().Set(headerRequestID, id)
		// The request is counted before the check, so that Drain waits for
		// every request that passes it.
		e.inFlight.Add(1)
		defer e.inFlight.Add(-1)
		if reason := e.notReady(); reason != "" {
			kind := problem.NotReady
			if e.draining.Load() {
				kind = problem.Draining
				w.Header().Set("Connection", "close")
			}
			(&problem.Problem{Kind: kind, RequestID: id, Detail: reason, RetryAfter: time.Second}).Write(w)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), e.opts.Limits.RequestTimeout)
		defer cancel()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

func (e *Entry) notFound(w http.ResponseWriter, _ *http.Request) {
	id := uuid.NewString()
	w.Header().Set(headerRequestID, id)
	(&problem.Problem{Kind: problem.NoRoute, RequestID: id, Detail: "no such path or method"}).Write(w)
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text + "\n"))
}
