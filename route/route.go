// Package route holds the routing configuration of entry nodes that choose a route by
// host and path: which service serves a path, which requests may be retried, and which
// API key belongs to which organisation. A Table is immutable; a newer configuration is
// a new Table.
package route

import (
	"strconv"
	"time"

	"github.com/cyclamenpoint/cyclamenpoint/deployment"
)

// Config is one complete configuration.
type Config struct {
	// Version orders configurations; a higher version replaces a lower one.
	Version       uint64
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits
	// Bounded reports the values that were out of range and have been replaced by the
	// nearest bound.
	Bounded []error
}

// Route defines how requests to one host below one path prefix are served.
type Route struct {
	// Name identifies the route in logs.
	Name string
	// Host is matched without a port. Prefix starts and ends with a slash.
	Host   string
	Prefix string
	// Repeat defines when a request may be sent again.
	Repeat deployment.Repeat
	// Stream is true if answers are event streams. Resumable is true if another
	// endpoint can continue a stream after a given event.
	Stream    bool
	Resumable bool
	// Timeout limits the time until the end of the answer; zero means no limit.
	Timeout time.Duration
	// LatencyTarget is the target time until the answer is complete, or until the
	// first event of a stream. TargetGap is the longest acceptable pause between two
	// events.
	LatencyTarget time.Duration
	TargetGap     time.Duration
	// MaxAttempts is the maximum number of endpoints that one request is sent to.
	MaxAttempts int
	// Priority orders requests; 0 is the most urgent.
	Priority int
	// Anonymous is true if requests need no API key.
	Anonymous bool
	// Split distributes the requests over services by weight.
	Split []Share
}

// Kind returns the kind of the route for logs and metrics.
func (r *Route) Kind() string {
	switch {
	case r.Stream && r.Resumable:
		return "resumable stream"
	case r.Stream:
		return "stream"
	case r.Repeat == deployment.RepeatAlways:
		return "repeatable"
	}
	return "once"
}

// Share is the share of a route's requests that one service gets.
type Share struct {
	Service string
	Weight  int
}

// Service is a set of equivalent endpoints.
type Service struct {
	Name string
	// HealthPath is the path of an endpoint's health check.
	HealthPath string
	// MaxConnections is the number of connections that one endpoint accepts in total.
	MaxConnections int
	// ColdStart is the longest time for which an endpoint is cold after a start during
	// traffic. ColdPerSecond is the number of requests per second that a cold endpoint
	// sustains, zero for no limit.
	ColdStart     time.Duration
	ColdPerSecond float64
	// Engine describes the model engines; nil for a plain service.
	Engine *Engine
}

// Engine holds the performance characteristics of a service's model engines.
type Engine struct {
	// Slots is the number of requests that one engine runs at once.
	Slots int
	// KVTokens is the capacity of one engine's KV cache in tokens.
	KVTokens int
	// StepTime is the duration of a token step without requests; each running request
	// adds StepTimePerRequest.
	StepTime           time.Duration
	StepTimePerRequest time.Duration
	// StepsPerPass is the number of token steps that an engine with running requests
	// makes in one pass.
	StepsPerPass int
	// PromptTokensPerSecond is the speed of prompt processing.
	PromptTokensPerSecond float64
	// MeanPromptTokens and MeanAnswerTokens are the mean lengths of prompts and
	// answers.
	MeanPromptTokens, MeanAnswerTokens int
	// Experts describes the experts of the rank groups; nil if there are none.
	Experts *Experts
}

// Experts defines the dimensions of the expert maps of a rank group.
type Experts struct {
	// Layers is the number of layer groups; the experts of a group are placed together.
	Layers int
	// ExpertsPerLayer is the number of experts in a layer, SlotsPerRank the number
	// that one rank holds per layer.
	ExpertsPerLayer int
	SlotsPerRank    int
	// SpareSlots is the number of additional slots per layer that a rank can load
	// while it serves from the others.
	SpareSlots int
	// ExpertBytes is the size of one expert's weights.
	ExpertBytes int64
	// LoadBytesPerSecond is the rate at which a rank loads weights.
	LoadBytesPerSecond float64
	// WorkShare is the share of the work per token that experts do, from 0 to 1.
	WorkShare float64
}

// Organisation is a group of callers that share API keys.
type Organisation struct {
	Name string
	Keys []string
	// Priority replaces the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits are the limits on callers' requests and connections.
type Limits struct {
	MaxBodyBytes   int64
	MaxHeaderBytes int
	IdleTimeout    time.Duration
}

// Cause is why a request has no route.
type Cause uint8

// The causes.
const (
	// CauseNoRoute means that no route matches the host and path, or that the
	// route's service is missing.
	CauseNoRoute Cause = iota
	// CauseNoKey means that the route needs an API key and the request has none, or an
	// unknown one.
	CauseNoKey
)

var causeNames = [...]string{"no route matches", "the key is not known"}

// String returns the cause as it appears in logs.
func (c Cause) String() string { return causeNames[c] }

// DeniedError reports that the configuration does not allow a request.
type DeniedError struct {
	Cause Cause
	// Version is the version of the configuration that denies it.
	Version uint64
}

// Error implements error.
func (e *DeniedError) Error() string {
	return e.Cause.String() + " in configuration " + strconv.FormatUint(e.Version, 10)
}
