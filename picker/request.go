package picker

import (
	"strconv"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/deployment"
)

// Request is the input of ProbePolicy for one attempt.
type Request struct {
	// Model is the requested model; empty for a plain service.
	Model string
	// Service is the requested plain service; empty for a model.
	Service string
	// Role is the engine role that the attempt needs; empty means RoleBoth.
	Role deployment.Role
	// Prefixes are the prefixes of the prompt that can be cached, longest first.
	// The last one is shared by many requests, such as the system prompt; the one
	// before it ends with the first message of the conversation.
	Prefixes []Prefix
	// Holders are endpoints that recently reported one of the prefixes as cached,
	// most recent first. They are only hints: cache events can be late or lost.
	Holders []string
	// Prefill is the estimated time to process the whole prompt with a cold cache.
	Prefill time.Duration
	// Tried are the endpoints used by earlier attempts of the request.
	Tried []string
	// Now is the time of the pick, from which the age of hints is computed.
	Now time.Time
}

// Prefix is a leading part of a prompt.
type Prefix struct {
	// Hash identifies the content of the prefix.
	Hash uint64
	// Prefill is the estimated time to process the prefix with a cold cache.
	Prefill time.Duration
}

// Load is the load of an endpoint as reported by its agent.
type Load struct {
	// Queued and Running count requests; Slots is the number that can run at once.
	Queued, Running, Slots int
	// Wait is the estimated time until processing of the prompt starts.
	Wait time.Duration
	// Matched is the number of the request's prefixes that the endpoint has
	// cached.
	Matched int
	// Draining is true if the agent rejects new requests.
	Draining bool
	// At is when the report arrived; zero means that there is no report.
	At time.Time
}

// Candidate is an endpoint to probe, with the reply to the probe.
type Candidate struct {
	// Index is the endpoint's position in the snapshot.
	Index int32
	// Reason is why the endpoint is a candidate.
	Reason Reason
	// HomeRank is the candidate's position among the homes of its prefix, from 0.
	HomeRank uint8
	// Answered is true if Load is the reply to this request's probe.
	Answered bool
	// Load is the reply if Answered is set.
	Load Load
}

// Pick is the endpoint chosen for an attempt.
type Pick struct {
	// Index is the endpoint's position in the snapshot.
	Index int32
	// Endpoint is the endpoint's name.
	Endpoint string
	// Reason is why the endpoint was chosen, for the log.
	Reason Reason
	// Cost is the estimated time to the first token, including penalties, by which
	// the endpoint was chosen.
	Cost time.Duration
}

// Reason is why an endpoint is a candidate or was chosen.
type Reason uint8

// The reasons.
const (
	// ReasonLocal is a random endpoint of the local failure domain.
	ReasonLocal Reason = iota
	// ReasonRegion is a random endpoint of the local region.
	ReasonRegion
	// ReasonSpill is an endpoint of another region, because the local region is
	// overloaded or has no endpoint.
	ReasonSpill
	// ReasonHome is an endpoint that a prefix hashes to.
	ReasonHome
	// ReasonHolder is an endpoint that recently reported the prefix as cached.
	ReasonHolder
	// ReasonUnhealthy is an unhealthy endpoint, used because more than
	// maxUnhealthyPercent of the pool look unhealthy. The log shows it as "floor".
	ReasonUnhealthy
	// ReasonHint is the endpoint with the best older hint, because no candidate
	// replied.
	ReasonHint
)

var reasonNames = [...]string{"local", "region", "spill", "home", "holder", "floor", "hint"}

// String returns the reason as it appears in the log.
func (r Reason) String() string {
	if int(r) >= len(reasonNames) {
		return "reason-" + strconv.Itoa(int(r))
	}
	return reasonNames[r]
}

// Cause is why no endpoint can be chosen.
type Cause uint8

// The causes.
const (
	// CauseUnknown means that no endpoint serves the model, service or role.
	CauseUnknown Cause = iota
	// CauseDrained means that every endpoint is leaving or has weight 0.
	CauseDrained
	// CauseTried means that the request has already tried every eligible endpoint.
	CauseTried
	// CauseDraining means that every probed endpoint replied that it is draining.
	CauseDraining
)

var causeNames = [...]string{"no endpoint serves it", "all are drained", "all were tried", "all probed are draining"}

// String returns the cause as it appears in the log.
func (c Cause) String() string {
	if int(c) >= len(causeNames) {
		return "cause-" + strconv.Itoa(int(c))
	}
	return causeNames[c]
}

// NoEndpointError reports that no endpoint can be chosen for a request. The request
// did not run.
type NoEndpointError struct {
	// Model, Service and Role are those of the request.
	Model, Service string
	Role           deployment.Role
	// Cause is why no endpoint is left.
	Cause Cause
	// Known, Drained and Tried count the endpoints of the pool.
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
