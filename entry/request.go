package entry

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"

	"github.com/cyclamenpoint/cyclamenpoint/config"
	"github.com/cyclamenpoint/cyclamenpoint/connlimit"
	"github.com/cyclamenpoint/cyclamenpoint/deployment"
	"github.com/cyclamenpoint/cyclamenpoint/dispatch"
	"github.com/cyclamenpoint/cyclamenpoint/engine"
	"github.com/cyclamenpoint/cyclamenpoint/membudget"
	"github.com/cyclamenpoint/cyclamenpoint/problem"
	"github.com/cyclamenpoint/cyclamenpoint/quarantine"
	"github.com/cyclamenpoint/cyclamenpoint/quota"
)

const (
	chatPath = "/v1/chat/completions"
	// maxIdempotencyKeyBytes bounds the length of an idempotency key.
	maxIdempotencyKeyBytes = 255
	// defaultMaxTokens is the cost of a request without max_tokens, unless the
	// model allows fewer.
	defaultMaxTokens = 256
)

// forwardedHeaders holds the header fields that are forwarded to endpoints.
var forwardedHeaders = []string{"Content-Type", "Accept", headerIdempotencyKey}

// request is a request whose caller is identified.
type request struct {
	arrived  time.Time
	entry    *Entry
	snapshot *config.Snapshot
	org      *deployment.Organisation
	id       string
	w        http.ResponseWriter
	r        *http.Request
	body     []byte
	// memory is what is reserved for body.
	memory *membudget.Reservation
}

// authenticate identifies the organisation of the caller. If it fails, it
// answers the request and returns nil.
func (e *Entry) authenticate(w http.ResponseWriter, r *http.Request) *request {
	requestVars.Add("requests", 1)
	in := &request{arrived: time.Now(), entry: e, snapshot: e.opts.Config.Current(), id: w.Header().Get(headerRequestID), w: w, r: r}
	in.org = in.snapshot.Directory.Identify(r.Header.Get("Authorization"))
	if in.org == nil {
		w.Header().Set("WWW-Authenticate", "Bearer")
		in.fail(problem.BadAPIKey, "the Authorization header names no organisation")
		return nil
	}
	return in
}

// fail answers the request with a problem.
func (in *request) fail(kind problem.Kind, detail string) {
	requestVars.Add(kind.Name, 1)
	(&problem.Problem{Kind: kind, RequestID: in.id, Detail: detail}).Write(in.w)
}

// bodyCopies is the number of further copies of a body that are made for an attempt: one
// without gaps, one of the parts that are decoded, and one that is encoded for the agent.
const bodyCopies = 3

// memoryRetryAfter is the Retry-After of a request that finds no memory.
const memoryRetryAfter = time.Second

// readBody reads the body within the limits. If it fails, it answers the
// request and returns false. Otherwise in.release has to be called.
func (in *request) readBody() bool {
	limits := in.entry.opts.Limits
	rc := http.NewResponseController(in.w)
	// If the connection supports no deadlines, only the body's size is limited.
	_ = rc.SetReadDeadline(time.Now().Add(limits.BodyTimeout))
	in.memory = in.entry.memory.Open(connlimit.Caller(in.r.Context()))
	in.memory.SetRevocable(func() { _ = rc.SetReadDeadline(time.Unix(1, 0)) })
	first, rest, err := in.memory.ReadPieces(in.r.Context(), http.MaxBytesReader(in.w, in.r.Body, limits.MaxBodyBytes), in.r.ContentLength)
	in.memory.SetRevocable(nil)
	if err == nil && !in.memory.Revoked() {
		_ = rc.SetReadDeadline(time.Time{})
		in.body = first
		if len(rest) > 0 {
			in.body = slices.Concat(append([][]byte{first}, rest...)...)
		}
		in.memory.ForceGrow(bodyCopies * int64(len(in.body)))
		return true
	}
	revoked := in.memory.Revoked()
	in.release()
	var tooLarge *http.MaxBytesError
	var full *membudget.FullError
	switch {
	case revoked:
		in.failOverloaded("body-stalled", "the body makes no progress")
	case errors.As(err, &full):
		in.failOverloaded("body-memory", err.Error())
	case errors.As(err, &tooLarge):
		in.fail(problem.TooLarge, "the body is larger than this node takes")
	default:
		in.fail(problem.BadRequest, "the body ended early")
	}
	return false
}

// failOverloaded refuses a request because of the memory of the process. It has not run.
func (in *request) failOverloaded(cause, detail string) {
	in.entry.refused(cause)
	requestVars.Add(problem.Overloaded.Name, 1)
	in.w.Header().Set("Connection", "close")
	(&problem.Problem{Kind: problem.Overloaded, RequestID: in.id, Detail: detail, RetryAfter: memoryRetryAfter}).Write(in.w)
}

// release returns the memory of the body.
func (in *request) release() {
	if in.memory != nil {
		in.memory.Release()
	}
}

// newDispatchRequest returns the dispatch request with the fields that all
// kinds of request have in common.
func (in *request) newDispatchRequest() *dispatch.Request {
	req := &dispatch.Request{
		ID:            in.id,
		Organisation:  in.org.Name,
		Method:        in.r.Method,
		Body:          in.body,
		ConfigVersion: in.snapshot.Version,
		Cost:          1,
	}
	for _, name := range forwardedHeaders {
		if v := in.r.Header.Get(name); v != "" {
			req.Headers = append(req.Headers, engine.Header{Name: name, Value: v})
		}
	}
	return req
}

// chatBody is the part of a chat completion request that the entry reads.
type chatBody struct {
	Model     string `json:"model"`
	MaxTokens *int   `json:"max_tokens"`
	Messages  []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
}

// chat serves chat completions.
func (e *Entry) chat(w http.ResponseWriter, r *http.Request) {
	in := e.authenticate(w, r)
	if in == nil || !in.readBody() {
		return
	}
	defer in.release()
	var body chatBody
	if err := json.Unmarshal(in.body, &body); err != nil {
		in.fail(problem.BadRequest, "the body is no chat completion request: "+err.Error())
		return
	}
	if len(body.Messages) == 0 {
		in.fail(problem.BadRequest, "messages: at least one is required")
		return
	}
	model := in.snapshot.Deployment.Model(body.Model)
	if model == nil {
		in.fail(problem.NoModel, "model: no model is called "+body.Model)
		return
	}
	tokens := min(defaultMaxTokens, model.MaxTokens)
	if body.MaxTokens != nil {
		tokens = *body.MaxTokens
	}
	if tokens < 1 || tokens > model.MaxTokens {
		in.fail(problem.BadRequest, "max_tokens: outside what the model allows")
		return
	}
	req := in.newDispatchRequest()
	req.Model = model.Name
	req.Path = chatPath
	req.Repeat = model.Repeat
	req.Cost = float64(tokens)
	req.Prefixes, req.PromptBlocks = prefixes(body)
	req.ServingEndpoints = in.snapshot.Deployment.ServingEndpoints(model.Name, "")
	req.Fingerprint = string(quarantine.FingerprintOf(quarantine.Content{Organisation: in.org.Name, Model: model.Name, Body: in.body}))
	in.dispatch(req)
}

// service serves the routes of services.
func (e *Entry) service(w http.ResponseWriter, r *http.Request) {
	in := e.authenticate(w, r)
	if in == nil {
		return
	}
	service := in.snapshot.Deployment.Service(chi.URLParam(r, "service"))
	if service == nil {
		in.fail(problem.NoRoute, "no such service")
		return
	}
	path := "/" + chi.URLParam(r, "*")
	route := service.Route(r.Method, path)
	if route == nil {
		in.fail(problem.NoRoute, "the service has no such route")
		return
	}
	key := r.Header.Get(headerIdempotencyKey)
	if !in.checkKey(route, key) || !in.readBody() {
		return
	}
	defer in.release()
	req := in.newDispatchRequest()
	req.Service = service.Name
	req.Path = path
	if r.URL.RawQuery != "" {
		req.Path += "?" + r.URL.RawQuery
	}
	req.Repeat = route.Repeat
	req.Key = key
	req.ServingEndpoints = in.snapshot.Deployment.ServingEndpoints("", service.Name)
	req.Fingerprint = string(quarantine.FingerprintOf(quarantine.Content{
		Organisation: in.org.Name, Service: service.Name, Method: r.Method, Path: req.Path, Body: in.body,
	}))
	in.dispatch(req)
}

// checkKey checks that a request for a protected route has a valid idempotency
// key. If not, it answers the request and returns false.
func (in *request) checkKey(route *deployment.Route, key string) bool {
	if route.Repeat != deployment.RepeatNever {
		return true
	}
	if key == "" {
		in.fail(problem.IdempotencyKeyMissing, "the route runs a request at most once and needs the header Idempotency-Key")
		return false
	}
	if len(key) > maxIdempotencyKeyBytes {
		in.fail(problem.BadRequest, "Idempotency-Key: longer than 255 bytes")
		return false
	}
	return true
}

// dispatch runs a validated request within its organisation's limits, and
// writes the answer or the problem.
func (in *request) dispatch(req *dispatch.Request) {
	grant, err := in.entry.opts.Limiter.Admit(in.org.Name, in.org.Limits, req.Cost)
	if err != nil {
		in.failLimited(err)
		return
	}
	out := &answer{w: in.w, rc: http.NewResponseController(in.w), arrived: in.arrived}
	defer func() { grant.Done(float64(out.events)) }()
	if p := in.entry.opts.Dispatcher.Do(in.r.Context(), req, out); p != nil {
		out.fail(p)
		return
	}
	out.finish()
}

// failLimited refuses a request because its organisation is over a limit.
func (in *request) failLimited(err error) {
	p := &problem.Problem{Kind: problem.OverLimit, RequestID: in.id, Detail: err.Error()}
	var limited *quota.LimitedError
	if errors.As(err, &limited) {
		p.RetryAfter = limited.RetryAfter
	}
	requestVars.Add(p.Kind.Name, 1)
	p.Write(in.w)
}
