package dispatch

import (
	"strings"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/attempt"
	pb "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
	"github.com/cyclamenpoint/cyclamenpoint/problem"
)

// State is the outcome of an attempt.
type State int

// The states.
const (
	// Done means that the complete answer was delivered.
	Done State = iota
	// NotRun means that the agent has stated that the attempt did not run.
	NotRun
	// Unknown means that the attempt may have run.
	Unknown
	// Broken means that the endpoint failed while it ran the attempt.
	Broken
	// CallerGone means that the caller has disconnected or its deadline has passed.
	CallerGone
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"done", "not run", "unknown", "broken", "caller gone"}[s]
}

// Result is the outcome of an attempt with its details.
type Result struct {
	State State
	// Refusal is the reason if the agent refused the attempt.
	Refusal pb.RefusalReason
	// Detail describes the cause.
	Detail string
	// RetryAfter is the delay that the agent suggested, 0 for none.
	RetryAfter time.Duration
	// ConnectionLost is true if the connection to the agent failed or timed out.
	ConnectionLost bool
	// Load is the endpoint's load if the agent reported it.
	Load *pb.ProbeResponse
	// News holds the agent's quarantine facts, encoded as JSON. The name is that of
	// the field in the protocol.
	News []byte
}

// String returns the state and the detail.
func (r Result) String() string {
	if r.Detail == "" {
		return r.State.String()
	}
	return r.State.String() + ", " + r.Detail
}

// refusalKinds holds the refusals that any other endpoint would repeat, with the kind of
// problem to report for each.
var refusalKinds = map[pb.RefusalReason]problem.Kind{
	pb.RefusalReason_REFUSAL_REASON_QUARANTINED:        problem.Quarantined,
	pb.RefusalReason_REFUSAL_REASON_DEADLINE:           problem.Deadline,
	pb.RefusalReason_REFUSAL_REASON_ORGANISATION_LIMIT: problem.OverLimit,
	pb.RefusalReason_REFUSAL_REASON_KEY_CONFLICT:       problem.IdempotencyKeyConflict,
	pb.RefusalReason_REFUSAL_REASON_KEY_IN_FLIGHT:      problem.IdempotencyKeyInFlight,
	pb.RefusalReason_REFUSAL_REASON_CLAIM_UNKNOWN:      problem.IdempotencyKeyUnknown,
	pb.RefusalReason_REFUSAL_REASON_ANSWER_GONE:        problem.AnswerGone,
	pb.RefusalReason_REFUSAL_REASON_STORE_DOWN:         problem.StoreDown,
}

// final reports whether every other endpoint would refuse for the same reason.
func (r Result) final() bool {
	_, repeats := refusalKinds[r.Refusal]
	return r.State == NotRun && repeats
}

// outcome returns NotRun if the attempt is known not to have run, otherwise Unknown.
func (r Result) outcome() attempt.Outcome {
	if r.State == NotRun {
		return attempt.NotRun
	}
	return attempt.Unknown
}

// problem returns the problem to report if no further attempt follows. headSent is true
// if the caller has already received a part of the answer.
func (r Result) problem(req *Request, headSent bool) *problem.Problem {
	p := newProblem(r.kind(headSent), req, r.Detail)
	p.RetryAfter = r.RetryAfter
	return p
}

func (r Result) kind(headSent bool) problem.Kind {
	if headSent {
		return problem.EndpointFailure
	}
	switch r.State {
	case NotRun:
		if kind, ok := refusalKinds[r.Refusal]; ok {
			return kind
		}
		return problem.NoCapacity
	case Broken:
		return problem.EndpointFailure
	default:
		return problem.OutcomeUnknown
	}
}

// refusalText returns a refusal reason in words.
func refusalText(reason pb.RefusalReason) string {
	name := strings.TrimPrefix(reason.String(), "REFUSAL_REASON_")
	return strings.ToLower(strings.ReplaceAll(name, "_", " "))
}
