package dispatch

import (
	"strings"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/attempt"
	pb "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
	"github.com/cyclamenpoint/cyclamenpoint/problem"
)

// State is what became of an attempt.
type State int

// The states.
const (
	// Done means that the whole answer was delivered.
	Done State = iota
	// NotRun is proved by the agent.
	NotRun
	// Unknown means that the attempt may have run, and nothing more is known.
	Unknown
	// Broken means that the endpoint failed while it ran the attempt.
	Broken
	// CallerGone means that the caller takes no answer any more.
	CallerGone
)

// String names the state.
func (s State) String() string {
	return [...]string{"done", "not run", "unknown", "broken", "caller gone"}[s]
}

// Result is what became of an attempt and why.
type Result struct {
	State State
	// Refusal is set when the agent refused.
	Refusal pb.RefusalReason
	// Detail says what happened.
	Detail string
	// RetryAfter is the agent's hint, 0 for none.
	RetryAfter time.Duration
	// ConnectionLost is true when the agent sent nothing for too long or the
	// connection broke.
	ConnectionLost bool
	// Load is the endpoint's load, when the agent told it.
	Load *pb.ProbeResponse
	// News is what the agent knows of crashes.
	News []byte
}

// String gives the state and the detail.
func (r Result) String() string {
	if r.Detail == "" {
		return r.State.String()
	}
	return r.State.String() + ", " + r.Detail
}

// refusalKinds are the refusals that another endpoint would repeat.
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

// final tells whether every endpoint would give the same refusal.
func (r Result) final() bool {
	_, repeats := refusalKinds[r.Refusal]
	return r.State == NotRun && repeats
}

// outcome is what the result proves.
func (r Result) outcome() attempt.Outcome {
	if r.State == NotRun {
		return attempt.NotRun
	}
	return attempt.Unknown
}

// problem returns what the caller is told when no further attempt follows.
func (r Result) problem(req *Request, begun bool) *problem.Problem {
	p := newProblem(r.kind(begun), req, r.Detail)
	p.RetryAfter = r.RetryAfter
	return p
}

func (r Result) kind(begun bool) problem.Kind {
	if begun {
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

// refusalText turns a refusal reason into words.
func refusalText(reason pb.RefusalReason) string {
	name := strings.TrimPrefix(reason.String(), "REFUSAL_REASON_")
	return strings.ToLower(strings.ReplaceAll(name, "_", " "))
}
