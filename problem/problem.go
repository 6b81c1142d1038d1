// Package problem defines the error responses of the system: RFC 9457 problem
// documents with a stable type, the ID of the request and its outcome.
package problem

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// ContentType is the media type of a problem document.
const ContentType = "application/problem+json"

// typeBase is the prefix of problem types. It is a URN, so that clients don't try
// to fetch it.
const typeBase = "urn:cyclamenpoint:problem:"

// Outcome states whether a failed request may have run.
type Outcome string

// The outcomes.
const (
	// NotRun means that the request was valid and certainly did not run.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
	// Refused means that a check rejected the request; it did not run.
	Refused Outcome = "refused"
)

// Kind is a stable problem type with its title and HTTP status.
type Kind struct {
	Name    string
	Title   string
	Status  int
	Outcome Outcome
}

// The problem types.
var (
	BadAPIKey              = Kind{"bad-key", "The API key is not known", http.StatusUnauthorized, Refused}
	BadRequest             = Kind{"bad-request", "The request cannot be read", http.StatusBadRequest, Refused}
	TooLarge               = Kind{"too-large", "The request's body is too large", http.StatusRequestEntityTooLarge, Refused}
	NoModel                = Kind{"no-model", "The model is not in the configuration", http.StatusNotFound, Refused}
	NoRoute                = Kind{"no-route", "The route is not in the configuration", http.StatusNotFound, Refused}
	IdempotencyKeyMissing  = Kind{"idempotency-key-missing", "The route needs an Idempotency-Key", http.StatusBadRequest, Refused}
	IdempotencyKeyConflict = Kind{"idempotency-key-conflict", "The Idempotency-Key came with another body before", http.StatusUnprocessableEntity, Refused}
	IdempotencyKeyInFlight = Kind{"idempotency-key-in-flight", "A request with this Idempotency-Key is running", http.StatusConflict, Refused}
	IdempotencyKeyUnknown  = Kind{"idempotency-key-unknown", "A request with this Idempotency-Key may have run", http.StatusConflict, Unknown}
	AnswerGone             = Kind{"answer-gone", "The request ran before, and its answer is no longer kept", http.StatusConflict, Refused}
	OverLimit              = Kind{"over-limit", "The organisation's limit is reached", http.StatusTooManyRequests, Refused}
	Quarantined            = Kind{"quarantined", "Requests with this content crash endpoints", http.StatusUnprocessableEntity, Refused}
	CrashesEndpoints       = Kind{"crashes-endpoints", "Requests like this one crash endpoints", http.StatusServiceUnavailable, NotRun}
	NoCapacity             = Kind{"no-capacity", "No endpoint has room", http.StatusServiceUnavailable, NotRun}
	Overloaded             = Kind{"overloaded", "The node has no memory for the request", http.StatusServiceUnavailable, NotRun}
	Draining               = Kind{"draining", "The node is stopping", http.StatusServiceUnavailable, NotRun}
	NotReady               = Kind{"not-ready", "The node is not ready", http.StatusServiceUnavailable, NotRun}
	StoreDown              = Kind{"store-down", "The claim could not be made durable", http.StatusServiceUnavailable, NotRun}
	Deadline               = Kind{"deadline", "The deadline cannot be met", http.StatusGatewayTimeout, NotRun}
	LateUnknown            = Kind{"late-unknown", "No answer came in time; the request may have run", http.StatusGatewayTimeout, Unknown}
	OutcomeUnknown         = Kind{"outcome-unknown", "The request may have run", http.StatusBadGateway, Unknown}
	EndpointFailure        = Kind{"endpoint-failure", "The endpoint failed while it answered", http.StatusBadGateway, Unknown}
)

// Problem is an error response. It implements error.
type Problem struct {
	Kind      Kind
	RequestID string
	// Detail describes this occurrence of the problem in one sentence.
	Detail string
	// RetryAfter is the value of the Retry-After header; 0 means no header.
	RetryAfter time.Duration
}

// document is the JSON form of a problem.
type document struct {
	Type      string  `json:"type"`
	Title     string  `json:"title"`
	Status    int     `json:"status"`
	Detail    string  `json:"detail,omitempty"`
	RequestID string  `json:"request_id"`
	Outcome   Outcome `json:"outcome"`
}

// Error implements error.
func (p *Problem) Error() string {
	return p.Kind.Name + ": " + p.Detail
}

// JSON returns the problem as a JSON document.
func (p *Problem) JSON() []byte {
	text, err := json.Marshal(document{
		Type:      typeBase + p.Kind.Name,
		Title:     p.Kind.Title,
		Status:    p.Kind.Status,
		Detail:    p.Detail,
		RequestID: p.RequestID,
		Outcome:   p.Kind.Outcome,
	})
	if err != nil {
		// The document holds only strings and integers, which can always be encoded.
		panic(err)
	}
	return text
}

// Write writes the problem as the response to a request.
func (p *Problem) Write(w http.ResponseWriter) {
	if p.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(p.RetryAfter.Seconds()))))
	}
	w.Header().Set("Content-Type", ContentType)
	w.WriteHeader(p.Kind.Status)
	// Writing fails only if the caller has disconnected.
	_, _ = w.Write(p.JSON())
}
