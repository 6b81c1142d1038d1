package picker

import (
	"strconv"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/deployment"
)

// Request is what a policy knows of one attempt.
type Request struct {
	// Model is the model asked for; empty for a plain service.
	Model string
	// Service is the plain service asked for; empty for a model.
	Service string
	// Role is the engine's role that the attempt needs; empty means RoleBoth.
	Role deployment.Role
	// Prefixes are the prompt's reusable prefixes, longest first. The last one
	// is what many requests share, such as the system prompt; the one before it
	// ends with the conversation's first message.
	Prefixes []Prefix
	// Holders are endpoints that recently reported one of the prefixes, most
	// recent first. They are hints: events come late and with gaps.
	Holders []string
	// Prefill estimates the time to process the whole prompt with a cold cache.
	Prefill time.Duration
	// Tried are the endpoints that earlier attempts of the request used.
	Tried []string
	// Now is the time of the pick; it ages the hints.
	Now time.Time
}

// Prefix is a beginning of a prompt.
type Prefix struct {
	// Hash identifies the prefix's content.
	Hash uint64
	// Prefill estimates the time to process it with a cold cache.
	Prefill time.Duration
}

// Load is an endpoint's load as the agent beside it reported.
type Load struct {
	// Queued and Running count requests; Slots is how many run at once.
	Queued, Running, Slots int
	// Wait estimates the time until the prompt's processing starts.
	Wait time.Duration
	// Matched is how many of the asked prefixes the endpoint holds.
	Matched int
	// Draining says that the agent refuses new work.
	Draining bool
	// At is when the report arrived; zero means that there is none.
	At time.Time
}

// Candidate is an endpoint worth a probe, and the probe's answer.
type Candidate struct {
	// Index is the endpoint's position in the snapshot.
	Index int32
	// Reason says how the candidate was found.
	Reason Reason
	// HomeRank is the candidate's place among the homes of its prefix, from 0.
	HomeRank uint8
	// Answered says whether Load is an answer to this request's probe.
	Answered bool
	// Load is the answer when Answered is set.
	Load Load
}

// Pick is the endpoint chosen for an attempt.
type Pick struct {
	// Index is the endpoint's position in the snapshot.
	Index int32
	// Endpoint is the endpoint's name.
	Endpoint string
	// Reason says why the endpoint was chosen, for the log.
	Reason Reason
	// Cost is the estimated time to the first token behind the choice.
	Cost time.Duration
}

// Reason says why an endpoint is a candidate or was chosen.
type Reason uint8

// The reasons.
const (
	// ReasonLocal is a random endpoint of the own failure domain.
	ReasonLocal Reason = iota
	// ReasonRegion is a random endpoint of the own region.
	ReasonRegion
	// ReasonSpill is a random endpoint of another region, because the own
	// region is loaded or has no endpoint.
	ReasonSpill
	// ReasonHome is the endpoint that the prefix hashes to.
	ReasonHome
	// ReasonHolder is an endpoint that reported the prefix earlier.
	ReasonHolder
	// ReasonFloor is an endpoint that looks ill, while so many do that the
	// observer distrusts itself.
	ReasonFloor
	// ReasonHint means that no candidate answered and an old hint decided.
	ReasonHint
)

var reasonNames = [...]string{"local", "region", "spill", "home", "holder", "floor", "hint"}

// String returns the reason as the log prints it.
func (r Reason) String() string {
	if int(r) >= len(reasonNames) {
		return "reason-" + strconv.Itoa(int(r))
	}
	return reasonNames[r]
}

// Cause says why no endpoint can be chosen.
type Cause uint8

// The causes.
const (
	// CauseUnknown means that no endpoint serves the model, service or role.
	CauseUnknown Cause = iota
	// CauseDrained means that every endpoint is leaving or has weight 0.
	CauseDrained
	// CauseTried means that the request tried every endpoint that is left.
	CauseTried
	// CauseDraining means that every probed endpoint answered that it drains.
	CauseDraining
)

var causeNames = [...]string{"no endpoint serves it", "all are drained", "all were tried", "all probed are draining"}

// String returns the cause as the log prints it.
func (c Cause) String() string {
	if int(c) >= len(causeNames) {
		return "cause-" + strconv.Itoa(int(c))
	}
	return causeNames[c]
}

// NoEndpointError says that a request has no endpoint to go to. The request
// did not run.
type NoEndpointError struct {
	// Model, Service and Role are the request's.
	Model, Service string
	Role           deployment.Role
	// Cause says what excluded the endpoints.
	Cause Cause
	// Known, Drained and Tried count endpoints of the pool.
	Known, Drained, Tried int
}

// Error implements error.
func (e *NoEndpointError) Error() string {
	what := "model " + strconv.Quote(e.Model)
	if e.Service != "" {
		what = "service " + strconv.Quote(e.Service)
	}
	return "no endpoint for " + what + " role " + strconv.Quote(string(e.Role)) + ": " + e.Cause.String() +
		" (known " + strconv.Itoa(e.Known) + ", drained " + strconv.Itoa(e.Drained) + ", tried " + strconv.Itoa(e.Tried) + ")"
}
